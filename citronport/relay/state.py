"""Reads the state of an instance for its metrics."""

import typing

from citronport import revisions
from citronport.relay import metrics

if typing.TYPE_CHECKING:
    from citronport.relay import core


def read_state(instance: "core.Instance", now: float) -> metrics.State:
    """Return the state that the metrics show.

    Args:
        instance: the instance.
        now: clock time, seconds.
    """
    configuration = instance.cluster_state.configuration
    fresh = instance.members.list_fresh(now)
    store_era, store_revision = revisions.split_revision(
        instance.mirror.revision
    )
    return metrics.State(
        up_seconds=now - instance.started_at,
        ready=instance.is_ready(),
        running=instance.application.running,
        waiting=instance.dispatcher.count_waiting(),
        peers_in_reach=len(fresh),
        known_instances=len(instance.members.list_known(now)),
        configuration_version=(configuration.version if configuration else 0),
        store_seconds=now - instance.follower.answered_at,
        store_revision=store_revision,
        store_calls=instance.follower.calls + instance.store_check.calls,
        store_failures=(
            instance.follower.failures + instance.store_check.failures
        ),
        store_refused=instance.follower.refused,
        store_era=store_era,
        store_lost=len(instance.mirror.list_lost()),
        summaries_made=instance.summaries.made,
        summaries_taken=instance.summaries.taken,
        news_taken=instance.replication.taken,
        news_failed=instance.replication.failed,
        news_received=instance.replication.received,
        news_behind_seconds=instance.replication.get_behind_seconds(),
        endpoints=len(instance.cluster_state.endpoints),
        cold=sum(
            instance.cold.is_cold(name, now)
            for name in instance.cluster_state.endpoints
        ),
        limited=instance.limits.count_limited(),
        brittle=instance.limits.brittle.count(),
        leaving=sum(
            e.leaving for e in instance.cluster_state.endpoints.values()
        ),
        paused=len(
            instance.pauses.list_names(
                instance.cluster_state.endpoints.values(), now
            )
        ),
        path_lost=instance.paths.is_lost,
        leases=len(instance.leasing.leases),
        barred=instance.suspects.count_barred(),
        barred_parts=instance.suspects.count_barred_parts(),
        streams=len(instance.stream_versions),
        peer_row_bytes=instance.peer_rows.total,
        peer_rows_refused=instance.peer_rows.refused,
        lines_dropped=sum(instance.log.dropped.values()),
        rejected=instance.log.rejected,
        oldest_report_seconds=instance.members.get_oldest_age(now),
    )
