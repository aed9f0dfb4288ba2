"""What part of an endpoint's bound an instance may use by itself."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Sender:
    """One of many instances that send by themselves.

    Attributes:
        own: its name.
        instances: all of them.
    """

    own: str
    instances: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """The instance that hands out the places of the endpoint."""


Role = Sender | Owner
