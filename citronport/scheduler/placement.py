"""Selection of a few candidate endpoints for a request by hashing."""

import bisect
import collections.abc

import xxhash

from citronport.scheduler import const
from citronport.scheduler import models


class HashRing:
    """Consistent hash ring of one model's endpoints, weighted by speed.

    With thousands of endpoints, a decision that examines all of them is
    too expensive. A lookup here is a binary search, and the ring is rebuilt
    only when the set of endpoints changes.

    Attributes:
        prefill_rate: mean prompt tokens per second.
        decode_rate: mean answer tokens per second of a full batch.
    """

    def __init__(self, endpoints: list[models.Endpoint]) -> None:
        rates = [e.prefill_rate for e in endpoints]
        mean = sum(rates) / max(1, len(rates))
        # A large fleet is balanced with fewer points per endpoint, and
        # hashing many points is expensive.
        points_per_endpoint = const.RING_POINTS_TOTAL // max(1, len(endpoints))
        points_per_endpoint = min(
            const.RING_POINTS_PER_ENDPOINT,
            max(const.MIN_RING_POINTS_PER_ENDPOINT, points_per_endpoint),
        )
        points = []
        for endpoint in endpoints:
            weight = endpoint.prefill_rate / mean
            for replica in range(max(1, round(points_per_endpoint * weight))):
                position = hash_text(f"{endpoint.name}/{replica}")
                points.append((position, endpoint.name))
        points.sort()
        self._positions = [position for position, _ in points]
        self._names = [name for _, name in points]
        self._size = len(endpoints)
        self.prefill_rate = mean
        batch_rates = [e.decode_rate * 0.6 * e.concurrency for e in endpoints]
        self.decode_rate = sum(batch_rates) / max(1, len(batch_rates))

    def get_cost(self, prompt_tokens: float, output_tokens: float) -> float:
        """Return the cost of a request, seconds of a mean endpoint.

        Prefill and decoding run in parallel, so the larger one counts.
        """
        prefill = prompt_tokens / max(1.0, self.prefill_rate)
        return max(prefill, output_tokens / max(1.0, self.decode_rate))

    def find_successors(self, key: int, count: int) -> list[str]:
        """Return up to ``count`` distinct endpoints that follow ``key``."""
        found: list[str] = []
        start = bisect.bisect_left(self._positions, key)
        for step in range(len(self._names)):
            name = self._names[(start + step) % len(self._names)]
            if name not in found:
                found.append(name)
            if len(found) >= min(count, self._size):
                break
        return found


def hash_text(text: str) -> int:
    """Return a 64-bit hash of a text, identical on all instances."""
    return xxhash.xxh3_64_intdigest(text.encode())


def hash_to_fraction(text: str) -> float:
    """Return a number in [0, 1) derived from the hash of a text."""
    return hash_text(text) / 2**64


def make_hash_rings(
    fleet: models.Fleet,
) -> dict[tuple[models.Kind, str], HashRing]:
    """Return a ring of the endpoints in service for each kind and model."""
    groups: dict[tuple[models.Kind, str], list[models.Endpoint]] = {}
    for endpoint in fleet.endpoints.values():
        if not is_in_service(fleet, endpoint):
            continue
        for model in endpoint.models:
            groups.setdefault((endpoint.kind, model), []).append(endpoint)
    return {group: HashRing(members) for group, members in groups.items()}


def is_in_service(fleet: models.Fleet, endpoint: models.Endpoint) -> bool:
    """Return whether an endpoint and its data centre are in service."""
    centre = fleet.data_centres.get(endpoint.data_centre)
    return endpoint.state == models.Service.IN and centre == models.Service.IN


def find_candidates(ring: HashRing, request: models.Request) -> list[str]:
    """Return candidate endpoints, those selected by the prefix first.

    Requests may share a document. Placement by load alone makes each
    engine prefill each document; placement by prefix alone sends all
    requests of a popular document to one engine. Two candidates by prefix
    and two random ones avoid both at the cost of four checks.
    """
    found = []
    if request.prefix:
        block = min(len(request.prefix) - 1, const.AFFINITY_BLOCK_INDEX)
        # Block values may be unevenly distributed, so they are hashed.
        key = hash_text(str(request.prefix[block]))
        found = ring.find_successors(key, const.AFFINITY_CANDIDATES)
    random_names = ring.find_successors(
        hash_text(request.request_id), const.RANDOM_CANDIDATES
    )
    return list(dict.fromkeys([*found, *random_names]))


def find_further_candidates(
    ring: HashRing,
    request: models.Request,
    seen: collections.abc.Container[str],
) -> list[str]:
    """Return additional candidates if the first ones are unsuitable."""
    key = hash_text(f"{request.request_id}/more")
    found = ring.find_successors(key, const.RANDOM_CANDIDATES * 2)
    return [name for name in found if name not in seen]
