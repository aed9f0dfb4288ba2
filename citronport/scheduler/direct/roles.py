"""Roles of an instance towards an endpoint, which set its share of a bound."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Sender:
    """One of several instances that send independently of each other.

    Attributes:
        own: name of this instance.
        instances: names of all these instances.
        known_share: part of the fleet that these are; the others have the
            rest of each bound.
    """

    own: str
    instances: tuple[str, ...]
    known_share: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """The instance that leases out the slots of the endpoint."""


Role = Sender | Owner
