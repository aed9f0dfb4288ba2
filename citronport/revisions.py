"""Revisions of a store that may be restored from an older copy."""

PER_ERA = 10**12
"""More revisions than a store gives out between two restorations."""


def make_revision(era: int, number: int) -> int:
    """Return a revision that is later than all of earlier eras.

    A store that is restored from an older copy gives revisions out again. If
    these were compared as they are, an instance would ignore all changes
    until the store has caught up with what was lost.

    Args:
        era: how often the store has been restored.
        number: revision as the store states it.
    """
    return era * PER_ERA + number


def split_revision(revision: int) -> tuple[int, int]:
    """Return era and number, see ``make_revision``."""
    return divmod(revision, PER_ERA)


def get_era(revision: int) -> int:
    """Return how often the store had been restored at a revision."""
    return split_revision(revision)[0]
