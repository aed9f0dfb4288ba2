"""Which entries a caller should use, in order."""

from citronport.scheduler import models
from citronport.scheduler import ownership


def order_instances(
    workspace: str,
    instances: dict[str, models.Instance],
    data_centres: dict[str, models.Service],
    dead: frozenset[str],
) -> list[models.Instance]:
    """Return the entries for a workspace, best first.

    Load: many workspaces of unlike size. Harm: a workspace that is spread
    over all entries finds none of its prefixes in the caches behind them;
    all callers on one entry overload it. The rendezvous order keeps each
    workspace on the same first entries and spreads workspaces.

    Args:
        workspace: the caller's workspace.
        instances: the published list.
        data_centres: state by name; an instance in one that is not in
            service is left out.
        dead: names out of reach.
    """
    usable = [
        name
        for name, instance in instances.items()
        if instance.state == models.Service.IN
        and name not in dead
        and data_centres.get(instance.data_centre, models.Service.IN)
        == models.Service.IN
    ]
    ranked = ownership.rank_instances(workspace, usable)
    return [instances[name] for name in ranked]
