"""What the slopes come to at the aimed size, against the budget."""

from citronport.instances import const as instance_const
from citronport.platform import const as platform_const
from measures.capacity import slopes

INSTANCES = 510
CHANGES_PER_SECOND = 6900 / 86400
LIST_CHANGES_PER_SECOND = 2 * (860 + 37) / 86400
READERS = 19 * platform_const.READERS_PER_DATA_CENTRE


def total(
    fits: list[slopes.Fit], single: dict[str, float]
) -> dict[str, float]:
    """Return the figures of one instance, and of the platform, at size."""
    at = {one.series.name: one.at_aim for one in fits}
    pace = 1 / instance_const.LARGE_REPORT_SECONDS
    links = at["links of an instance"]
    reports = links * pace * at["report, bytes"]
    change = at["one change to a peer, bytes"]
    spread = CHANGES_PER_SECOND * change
    cpu = (
        links * pace * at["report made and read, s"]
        + CHANGES_PER_SECOND
        * (at["one change taken, s"] + at["scheduler told of a change, s"])
        + LIST_CHANGES_PER_SECOND * at["instance gone, owners ranked, s"]
    )
    watches = INSTANCES / platform_const.CONFIRM_SECONDS
    asks = (INSTANCES - READERS) / platform_const.FALLBACK_SECONDS
    return {
        "reports, KB/s sent and received": reports / 1000,
        "changes, KB/s": spread / 1000,
        "reader: whole values, KB/s": CHANGES_PER_SECOND
        * at["catalogue, bytes of JSON"]
        / 1000,
        "control, share of a core": cpu,
        "reader: share of a core": cpu
        + CHANGES_PER_SECOND * at["whole JSON taken, s"],
        "control state, MB": at["control state, MB"],
        "platform reads, 1/s": watches
        + asks
        + READERS * (1 / platform_const.WATCH_SECONDS + CHANGES_PER_SECOND),
        "platform reads in an outage, 1/s": INSTANCES
        * 2
        / (0.75 * platform_const.MAX_RETRY_SECONDS),
        "change in force at all, s": single["hops to reach 510 instances"]
        * (at["one change taken, s"] + at["scheduler told of a change, s"]),
    }


def describe(totals: dict[str, float]) -> list[str]:
    """Return one line for each figure."""
    return [f"at size, {name}: {v:.4g}" for name, v in totals.items()]
