"""The newest published values this instance knows, from any source."""

import collections.abc
import dataclasses

from absl import logging
import result

from citronport.platform import client
from citronport.platform import const
from citronport.platform import models
from citronport.scheduler import models as decisions

LOG = "platform:"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accounts:
    """How workspace keys are found.

    Attributes:
        salt: salt of all key hashes.
        entries: entry name by key hash.
    """

    salt: str
    entries: dict[str, str]


class Store:
    """Holds each value at its newest version and tells who listens.

    A version never goes back: a platform that is stale, and a peer that
    is behind, are both simply older.
    """

    def __init__(self) -> None:
        self.fleet: decisions.Fleet | None = None
        self.accounts = Accounts(salt="", entries={})
        self.instances: dict[str, decisions.Instance] = {}
        self._values: dict[str, client.Published] = {}
        self._listeners: list[collections.abc.Callable[[str], None]] = []

    def listen(self, listener: collections.abc.Callable[[str], None]) -> None:
        """Call a function with the path of each value that changes."""
        self._listeners.append(listener)

    def get_versions(self) -> dict[str, int]:
        """Return the version of each value by its path."""
        return {path: v.version for path, v in self._values.items()}

    def get(self, path: str) -> client.Published | None:
        """Return a value as it was published, for a peer."""
        return self._values.get(path)

    def offer(self, published: client.Published) -> bool:
        """Take a value if it is newer and valid; return whether taken."""
        known = self._values.get(published.path)
        if known is not None and published.version <= known.version:
            return False
        if published.path == const.PATH_CATALOGUE:
            taken = self._take_catalogue(published)
        else:
            taken = self._take_instances(published)
        if not taken:
            return False
        self._values[published.path] = published
        logging.info(
            "%s %s is at version %d.", LOG, published.path, published.version
        )
        for listener in self._listeners:
            listener(published.path)
        return True

    def _take_catalogue(self, published: client.Published) -> bool:
        match models.parse_catalogue(published.value):
            case result.Ok(catalogue):
                self.fleet = models.make_fleet(catalogue)
                self.accounts = Accounts(
                    salt=catalogue.key_salt,
                    entries={e.key_sha256: e.name for e in catalogue.entries},
                )
                return True
            case result.Err(reason):
                # The last good catalogue stays in force, whole.
                logging.error("%s catalogue refused: %s.", LOG, reason)
                return False

    def _take_instances(self, published: client.Published) -> bool:
        match models.parse_instances(published.value):
            case result.Ok(listed):
                self.instances = models.make_instances(listed)
                return True
            case result.Err(reason):
                logging.error("%s instance list refused: %s.", LOG, reason)
                return False
