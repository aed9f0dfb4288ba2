"""Which endpoints are candidates for a request: few, never all."""

import bisect
import collections.abc

import xxhash

from citronport.scheduler import const
from citronport.scheduler import models


class HashRing:
    """Endpoints of one model on a hash ring, weighted by their speed.

    Load: thousands of endpoints. Harm: a decision that looks at all of
    them costs more with each one. A lookup is a binary search; it is
    built anew only when the set of endpoints changes.

    Attributes:
        prefill_rate: mean prompt tokens a second.
        decode_rate: mean answer tokens a second of a full batch.
    """

    def __init__(self, endpoints: list[models.Endpoint]) -> None:
        rates = [e.prefill_rate for e in endpoints]
        mean = sum(rates) / max(1, len(rates))
        # A large fleet evens out by itself, and is costly to hash.
        usual = const.RING_POINTS_TOTAL // max(1, len(endpoints))
        usual = min(
            const.RING_POINTS_PER_ENDPOINT,
            max(const.MIN_RING_POINTS_PER_ENDPOINT, usual),
        )
        points = []
        for endpoint in endpoints:
            weight = endpoint.prefill_rate / mean
            for number in range(max(1, round(usual * weight))):
                position = hash_text(f"{endpoint.name}/{number}")
                points.append((position, endpoint.name))
        points.sort()
        self._positions = [spot for spot, _ in points]
        self._names = [name for _, name in points]
        self._size = len(endpoints)
        self.prefill_rate = mean
        slots = [e.decode_rate * 0.6 * e.concurrency for e in endpoints]
        self.decode_rate = sum(slots) / max(1, len(slots))

    def get_cost(self, prompt_tokens: float, output_tokens: float) -> float:
        """Return the seconds of a mean endpoint that a request takes.

        Prefill and decoding go on side by side, so that the scarcer one
        counts.
        """
        prefill = prompt_tokens / max(1.0, self.prefill_rate)
        return max(prefill, output_tokens / max(1.0, self.decode_rate))

    def find_successors(self, key: int, count: int) -> list[str]:
        """Return up to ``count`` distinct endpoints that follow a key."""
        found: list[str] = []
        at = bisect.bisect_left(self._positions, key)
        for step in range(len(self._names)):
            name = self._names[(at + step) % len(self._names)]
            if name not in found:
                found.append(name)
            if len(found) >= min(count, self._size):
                break
        return found


def hash_text(text: str) -> int:
    """Return a 64-bit hash of a text, the same on each instance."""
    return xxhash.xxh3_64_intdigest(text.encode())


def hash_to_fraction(text: str) -> float:
    """Return a number in [0, 1) that depends on a text only."""
    return hash_text(text) / 2**64


def make_hash_rings(
    fleet: models.Fleet,
) -> dict[tuple[models.Kind, str], HashRing]:
    """Return a ring for each kind and model, of what is in service."""
    groups: dict[tuple[models.Kind, str], list[models.Endpoint]] = {}
    for endpoint in fleet.endpoints.values():
        if not is_in_service(fleet, endpoint):
            continue
        for model in endpoint.models:
            groups.setdefault((endpoint.kind, model), []).append(endpoint)
    return {group: HashRing(members) for group, members in groups.items()}


def is_in_service(fleet: models.Fleet, endpoint: models.Endpoint) -> bool:
    """Return whether operators let an endpoint have new work."""
    centre = fleet.data_centres.get(endpoint.data_centre)
    return endpoint.state == models.Service.IN and centre == models.Service.IN


def find_candidates(ring: HashRing, request: models.Request) -> list[str]:
    """Return endpoints to choose from, those with the prefix first.

    Load: documents that several requests share, uneven load. Harm: by
    load alone each engine prefills each document; by prefix alone one
    engine gets all of a popular document's requests. Two places for a
    prefix and two by chance leave a way out at four looks.
    """
    found = []
    if request.prefix:
        block = min(len(request.prefix) - 1, const.AFFINITY_BLOCK_INDEX)
        # The key hashes the block: its own value may not be spread.
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
    """Return a few further endpoints when the first ones are no good."""
    key = hash_text(f"{request.request_id}/more")
    found = ring.find_successors(key, const.RANDOM_CANDIDATES * 2)
    return [name for name in found if name not in seen]
