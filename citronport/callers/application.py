"""WSGI application that routes the requests of callers."""

import collections.abc
import dataclasses
import urllib.parse

import result

from citronport import clock
from citronport import const as common
from citronport import errors
from citronport import runs
from citronport.callers import answers
from citronport.callers import const
from citronport.callers import idempotency
from citronport.callers import lookup
from citronport.callers import replies
from citronport.callers import request_headers
from citronport.callers import submissions
from citronport.catalogue import models as catalogue_models
from citronport.catalogue import store
from citronport.scheduler import models as decisions


class Application:
    """The WSGI application for callers.

    Args:
        published: the catalogue and the instance list.
        records: issues the tickets.
        ticker: the clock.
        submit: returns the run of a submission; see
            ``deduplication.Deduplicator.submit``.
        directory: selects the entries for a caller.
    """

    def __init__(
        self,
        published: store.Store,
        records: idempotency.RequestRecords,
        ticker: clock.Clock,
        submit: collections.abc.Callable[[runs.Work], runs.Run],
        directory: lookup.Directory,
    ) -> None:
        self._published = published
        self._records = records
        self._ticker = ticker
        self._submit = submit
        self._directory = directory

    def __call__(
        self,
        environ: request_headers.Environ,
        start_response: replies.StartResponse,
    ) -> collections.abc.Iterable[bytes]:
        """Handle one HTTP request."""
        target = request_headers.read_target(environ)
        match self._find_entry(environ):
            case result.Err(refusal):
                return self._refuse(environ, start_response, refusal)
            case result.Ok(entry):
                pass
        match (environ["REQUEST_METHOD"], target.name):
            case ("GET", const.PATH_LOOKUP):
                return self._answer_lookup(environ, start_response, entry)
            case ("GET", const.PATH_MODELS):
                return replies.answer_json(start_response, self._list_models())
            case ("POST", const.PATH_CHAT):
                return self._answer_work(environ, start_response, entry)
        if submissions.get_service(target) is not None:
            return self._answer_work(environ, start_response, entry)
        refusal = errors.Refusal(code=errors.Code.UNKNOWN_PATH)
        return self._refuse(environ, start_response, refusal)

    def _find_entry(
        self, environ: request_headers.Environ
    ) -> result.Result[decisions.Entry, errors.Refusal]:
        fleet = self._published.fleet
        if fleet is None:
            return result.Err(
                errors.Refusal(code=errors.Code.NO_CATALOGUE, retry_after=1)
            )
        scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
        key_index = self._published.key_index
        hashed = catalogue_models.hash_key(key_index.salt, key.strip())
        name = key_index.entries.get(hashed)
        if scheme.lower() != "bearer" or name is None:
            return result.Err(errors.Refusal(code=errors.Code.UNKNOWN_KEY))
        return result.Ok(fleet.entries[name])

    def _answer_lookup(
        self,
        environ: request_headers.Environ,
        start_response: replies.StartResponse,
        entry: decisions.Entry,
    ) -> list[bytes]:
        if self._directory.is_leaving():
            # A ticket of this instance would soon be invalid.
            refusal = errors.Refusal(code=errors.Code.LEAVING)
            return self._refuse(environ, start_response, refusal)
        query = urllib.parse.parse_qs(environ["QUERY_STRING"])
        entries = self._directory.find(
            entry.workspace,
            model=query.get("model", [""])[0],
            caller=query.get("caller", [""])[0],
        )
        ticket = self._records.issue_ticket(self._ticker.now())
        body = {
            "entries": list(entries),
            "keep_seconds": const.LOOKUP_LIFETIME_SECONDS,
            "ticket": str(ticket),
            "ticket_seconds": const.TICKET_LIFETIME_SECONDS,
        }
        return replies.answer_json(start_response, body)

    def _list_models(self) -> dict:
        fleet = self._published.fleet
        names = {
            model
            for endpoint in (fleet.endpoints.values() if fleet else ())
            if endpoint.kind == decisions.Kind.ENGINE
            for model in endpoint.models
        }
        listed = [
            {
                "id": name,
                "object": "model",
                "created": 0,
                "owned_by": "citronport",
            }
            for name in sorted(names)
        ]
        return {"object": "list", "data": listed}

    def _answer_work(
        self,
        environ: request_headers.Environ,
        start_response: replies.StartResponse,
        entry: decisions.Entry,
    ) -> collections.abc.Iterable[bytes]:
        keyed = request_headers.get_header(
            environ, common.HEADER_IDEMPOTENCY_KEY
        )
        if self._directory.is_leaving() and not keyed:
            # Refuse before the body is read. A keyed request is excepted,
            # since it may be a repeat that joins an existing run.
            refusal = errors.Refusal(code=errors.Code.LEAVING)
            return self._refuse(environ, start_response, refusal)
        now = self._ticker.now()
        target = request_headers.read_target(environ)
        match submissions.parse(environ, target, entry, now):
            case result.Err(refusal):
                return self._refuse(environ, start_response, refusal)
            case result.Ok(work):
                pass
        run = self._submit(work)
        return answers.answer_run(
            start_response, run, run.read(), self._complete_refusal
        )

    def _refuse(
        self,
        environ: request_headers.Environ,
        start_response: replies.StartResponse,
        refusal: errors.Refusal,
    ) -> list[bytes]:
        return replies.answer_refusal(
            start_response,
            self._complete_refusal(refusal),
            close=not environ["wsgi.input"].complete,
        )

    def _complete_refusal(self, refusal: errors.Refusal) -> errors.Refusal:
        if refusal.code != errors.Code.LEAVING or refusal.go_to:
            return refusal
        others = self._directory.list_others()
        # The caller can go to another entry at once. Without one, it waits
        # for this or another instance to be back in service.
        retry_after = 0.0 if others else const.ALL_LEAVING_RETRY_SECONDS
        return dataclasses.replace(
            refusal, go_to=others, retry_after=retry_after
        )
