"""Proofs that no software version of a service has been missed."""

import collections.abc

from citronport import clock
from citronport.relay import contacts as contacts_module
from citronport.relay import membership as membership_module
from citronport.relay import store_check as store_check_module
from citronport.relay import stream_messages
from citronport.scheduler.direct import software_history

Answers = collections.abc.Mapping[str, stream_messages.StreamFound]
"""Answers of other instances, by their names."""

STORE = "store"
OTHER_INSTANCE = "other instance"
ALL_INSTANCES = "all instances"


class VersionProofs:
    """Proves that this instance's view is as recent as a stream.

    A stream began before its caller asked to take it up, at a version that
    the store had listed before, and through an instance that knew it.

    Args:
        members: the other instances.
        contacts: which of them are known to be gone.
        store_check: confirms with the store that the view is current.
        ticker: the clock.
    """

    def __init__(
        self,
        members: membership_module.Membership,
        contacts: contacts_module.Contacts,
        store_check: store_check_module.StoreCheck,
        ticker: clock.Clock,
    ) -> None:
        self._members = members
        self._contacts = contacts
        self._store_check = store_check
        self._ticker = ticker

    def update(self) -> None:
        """Take over what is known of the other instances."""
        self._contacts.update()

    def confirm(
        self,
        since: float,
        max_seconds: float = store_check_module.MAX_WAIT_SECONDS,
    ) -> bool:
        """Return whether the store confirms the view up to a moment.

        Args:
            since: the moment, clock time in seconds.
            max_seconds: how long to wait for the store.
        """
        return self._store_check.confirm(since, max_seconds)

    def was_one_cut_off(self) -> bool:
        """Return whether another instance may have run on unheard lately."""
        return self._contacts.was_one_cut_off()

    def get_view_seconds(self) -> float:
        """Return how old the view may be by which another instance acted."""
        return self._contacts.get_view_seconds()

    def list_out_of_contact(self) -> list[str]:
        """Return starts of instances that may know other versions."""
        return self._contacts.list_out_of_contact(
            self._store_check.revision, self._store_check.current_at
        )

    def find(self, answers: Answers) -> str | None:
        """Return what proves the versions that others know; None if nothing.

        Either one of them has confirmed its view with the store, or the
        store answers none of them, and all instances say what they know or
        were in contact until their end: none can have begun streams at a
        version that these do not know.

        Args:
            answers: their answers, if the own view could not be confirmed.
        """
        if any(answer.is_current for answer in answers.values()):
            return OTHER_INSTANCE
        now = self._ticker.now()
        # This one may have started behind a cut, or after the others lost
        # contact with some.
        starts = set().union(*(a.out_of_contact for a in answers.values()))
        if self._members.get_known_share(
            now
        ) < 1.0 or not self._contacts.knows(starts):
            return None
        answered = set(answers)
        if self._members.is_large():
            # Only a few are asked. Those that learn of a version report it
            # within a second.
            answered |= {
                r.instance
                for r in self._members.list_fresh(now)
                if r.revision <= self._store_check.revision
            }
        may_know_more = self._contacts.may_know_more(
            answered, self._store_check.revision, self._store_check.current_at
        )
        return None if may_know_more else ALL_INSTANCES


def is_complete(
    versions: software_history.Versions,
    answers: Answers,
    *,
    is_current: bool,
) -> bool:
    """Return whether this instance or another knows all versions.

    Args:
        versions: those that this instance knows.
        answers: answers of the others.
        is_current: whether the store has confirmed the own view.
    """
    found = answers.values()
    if is_current and versions.is_complete:
        return True
    if is_current or any(answer.is_current for answer in found):
        # What one that is out of step has missed, one that is current may
        # have missed before its start.
        return any(a.is_complete and a.is_current for a in found)
    return versions.is_complete or any(a.is_complete for a in found)
