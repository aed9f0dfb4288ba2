"""Store of the newest published values, from the platform or peers."""

import collections
import collections.abc
import dataclasses

from absl import logging
import result

from citronport import documents
from citronport import validation
from citronport.catalogue import client
from citronport.catalogue import const
from citronport.catalogue import delta
from citronport.catalogue import models
from citronport.scheduler import models as scheduler_models

LOG = "platform:"


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyIndex:
    """Index from the hashes of workspace keys to catalogue entries.

    Attributes:
        salt: salt of all key hashes.
        entries: entry name by key hash.
    """

    salt: str
    entries: dict[str, str]


@dataclasses.dataclass(kw_only=True)
class _StoredValue:
    """A value in force and the deltas that led to it."""

    published: client.Published
    document: delta.Document
    history: collections.deque[delta.Delta]


class Store:
    """Holds the newest version of each value and notifies listeners.

    Versions only increase: values from a stale platform or from a peer
    that is behind are ignored.
    """

    def __init__(self) -> None:
        self.fleet: scheduler_models.Fleet | None = None
        self.key_index = KeyIndex(salt="", entries={})
        self.instances: dict[str, scheduler_models.Instance] = {}
        self._values: dict[str, _StoredValue] = {}
        self._listeners: list[collections.abc.Callable[[str], None]] = []

    def add_listener(
        self, listener: collections.abc.Callable[[str], None]
    ) -> None:
        """Register a function to call with the path of each changed value."""
        self._listeners.append(listener)

    def get_versions(self) -> dict[str, int]:
        """Return the version of each value, by path."""
        return {p: h.published.version for p, h in self._values.items()}

    def get(self, path: str) -> client.Published | None:
        """Return a value as JSON, to send it to a peer."""
        stored = self._values.get(path)
        if stored is None:
            return None
        text = delta.dump(stored.document)
        return dataclasses.replace(stored.published, value=text)

    def find_deltas(self, path: str, version: int) -> list[delta.Delta]:
        """Return the deltas from a version to the one in force.

        Returns:
            The deltas in order; empty if any of them is no longer kept.
        """
        stored = self._values.get(path)
        if stored is None:
            return []
        found = [d for d in stored.history if d.base >= version]
        if not found or found[0].base != version:
            return []
        return found

    def apply(self, published: client.Published) -> bool:
        """Apply a value if it is newer and valid; return whether it was."""
        return self._apply_text(published, documents.load)

    def apply_from_peer(self, published: client.Published) -> bool:
        """Apply a value that another instance sends; see ``apply``.

        It is JSON, whose parser needs a twentieth of the memory of the one
        for YAML.
        """
        if published.path not in const.PATHS:
            return False
        return self._apply_text(published, documents.load_json)

    def _apply_text(
        self,
        published: client.Published,
        parse: collections.abc.Callable[[str], result.Result],
    ) -> bool:
        if not self._is_newer(published.path, published.version):
            return False
        match parse(published.value):
            case result.Ok(raw):
                return self._apply_document(published, raw, None)
            case result.Err(reason):
                _log_rejected(published.path, reason)
                return False

    def apply_delta(self, path: str, change: delta.Delta) -> bool:
        """Apply a delta; return False if the complete value is needed."""
        if not self._is_newer(path, change.version):
            return True
        stored = self._values.get(path)
        if stored is None or stored.published.version != change.base:
            return False
        applied = delta.apply_delta(stored.document, change)
        if applied is None:
            return False
        document, text = applied
        published = client.Published(
            path=path, version=change.version, value=text
        )
        return self._apply_document(published, document, change)

    def _is_newer(self, path: str, version: int) -> bool:
        stored = self._values.get(path)
        return stored is None or version > stored.published.version

    def _apply_document(
        self,
        published: client.Published,
        document: delta.Document,
        change: delta.Delta | None,
    ) -> bool:
        path = published.path
        if path == const.PATH_CATALOGUE:
            taken = self._apply_catalogue(published, document)
        else:
            taken = self._apply_instances(published, document)
        if not taken:
            return False
        self._store_value(published, document, change)
        logging.info("%s %s is at version %d.", LOG, path, published.version)
        for listener in self._listeners:
            listener(path)
        return True

    def _store_value(
        self,
        published: client.Published,
        document: delta.Document,
        change: delta.Delta | None,
    ) -> None:
        stored = self._values.get(published.path)
        history: collections.deque[delta.Delta] = collections.deque(
            maxlen=const.MAX_KEPT_DELTAS
        )
        if stored is not None:
            history = stored.history
            history.append(
                change
                or delta.make_delta(
                    stored.document,
                    document,
                    stored.published.version,
                    published.version,
                )
            )
        self._values[published.path] = _StoredValue(
            published=published, document=document, history=history
        )

    def _apply_catalogue(
        self, published: client.Published, document: delta.Document
    ) -> bool:
        checked = validation.validate(
            document, published.value, models.CatalogueModel
        )
        match checked:
            case result.Ok(catalogue):
                self.fleet = models.make_fleet(catalogue)
                self.key_index = KeyIndex(
                    salt=catalogue.key_salt,
                    entries={e.key_sha256: e.name for e in catalogue.entries},
                )
                return True
            case result.Err(reason):
                # The last valid catalogue stays in force unchanged.
                _log_rejected(published.path, reason)
                return False

    def _apply_instances(
        self, published: client.Published, document: delta.Document
    ) -> bool:
        checked = validation.validate(
            document, published.value, models.InstanceListModel
        )
        match checked:
            case result.Ok(listed):
                self.instances = models.make_instances(listed)
                return True
            case result.Err(reason):
                _log_rejected(published.path, reason)
                return False


def _log_rejected(path: str, reason: str) -> None:
    name = path.rsplit("/", 1)[-1]
    logging.error("%s %s refused: %s.", LOG, name, reason)
