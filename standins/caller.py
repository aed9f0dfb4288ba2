"""Stand-in for a caller: looks up entries, sends requests, keeps results."""

import dataclasses
import json
import time
from typing import Any

import geventhttpclient

from standins import answers
from standins import engine

NOT_RUN = "not run"
RECONNECT_DELAY_SECONDS = 0.1
"""Pause before the next attempt if a connection broke without an answer."""

STATUS_NO_LISTENER = 599
"""Status by which the fault proxy reports that the target is not listening.

It stands for a refused connection; see ``_Connection.reply_no_listener``.
"""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """Result of one attempt to send a request.

    Attributes:
        status: HTTP status, 0 if the connection failed.
        code: numeric code of a refusal or a stream error, else None.
        ran: whether the request ran, according to the refusal; "not sent"
            if the connection was refused; None if nothing was said.
        text: the answer's text, as far as it was received.
        whole: whether the answer was received completely.
        clean: whether the HTTP message ended as framed, without a cut.
        answer_id: request id in the answer.
        retry_after: seconds to wait before a retry, None if not given.
        seconds: time from sending to the end of the attempt.
        first_seconds: time to the first token, None if none was received.
        sent_to: address of the instance that the request was sent to.
        may_retry: whether the refusal allows the same request to be sent
            again.
        go_to: addresses that the refusal names to be used instead.
    """

    status: int
    code: int | None = None
    ran: str | None = None
    text: str = ""
    whole: bool = False
    clean: bool = False
    answer_id: str | None = None
    retry_after: float | None = None
    seconds: float = 0.0
    first_seconds: float | None = None
    sent_to: str = ""
    may_retry: bool = False
    go_to: tuple[str, ...] = ()

    @property
    def is_final(self) -> bool:
        """Whether the request is settled, so that no retry is allowed."""
        if self.whole:
            return True
        if self.ran is None:
            return False
        # A refusal that names other addresses forbids a retry at this one,
        # but allows it there.
        may_come = self.may_retry or bool(self.go_to)
        return not may_come or self.ran != NOT_RUN


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entries:
    """Result of a lookup.

    Attributes:
        addresses: instances to send requests to.
        ticket: sent along with idempotency keys.
        keep_seconds: how long the result may be cached.
    """

    addresses: tuple[str, ...]
    ticket: str
    keep_seconds: float


def look_up(address: str, key: str) -> Entries:
    """Ask an instance which instances to send requests to.

    Raises:
        OSError: the instance could not be reached or refused the lookup.
    """
    client = _connect(address, 5.0)
    try:
        answer = client.get("/v1/entries", {"Authorization": f"Bearer {key}"})
        body = json.loads(answer.read())
    except Exception as error:
        raise OSError(f"lookup at {address} failed: {error}") from error
    finally:
        client.close()
    if answer.status_code != 200:
        raise OSError(f"lookup at {address} was refused: {body}")
    return Entries(
        addresses=tuple(body["entries"]),
        ticket=body["ticket"],
        keep_seconds=body["keep_seconds"],
    )


def look_up_code(address: str, key: str) -> int | None:
    """Return 0 for an accepted lookup, a refusal's code, None if no answer."""
    client = _connect(address, 2.0)
    try:
        answer = client.get("/v1/entries", {"Authorization": f"Bearer {key}"})
        body = json.loads(answer.read())
    except Exception:
        return None
    finally:
        client.close()
    return 0 if answer.status_code == 200 else body["error"]["code"]


def encode_body(body: dict[str, Any]) -> bytes:
    """Encode a request body as JSON."""
    return json.dumps(body).encode()


def make_chat(
    model: str, prompt: str, max_tokens: int, *, stream: bool = True
) -> dict[str, Any]:
    """Return the body of a chat completion request."""
    return {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": stream,
    }


def make_expected(body: dict[str, Any]) -> str:
    """Return the text of the complete answer to a chat request."""
    return answers.make_text(engine.make_prompt(body), body["max_tokens"])


def send(
    address: str,
    key: str,
    path: str,
    body: dict[str, Any],
    *,
    deadline: float = 30.0,
    headers: dict[str, str] | None = None,
    method: str = "POST",
) -> Outcome:
    """Send a request once, on its own connection."""
    started = time.monotonic()
    client = _connect(address, deadline + 5)
    sent = {
        "Authorization": f"Bearer {key}",
        "Content-Type": "application/json",
        "X-Deadline-Seconds": str(deadline),
        **(headers or {}),
    }
    try:
        answer = client.request(method, path, encode_body(body), sent)
        if answer.status_code == STATUS_NO_LISTENER:
            raise ConnectionRefusedError
        if answer.status_code != 200:
            return _read_refusal(answer, address, started)
        if body.get("stream"):
            return _read_stream(answer, address, started)
        return _read_whole(answer, address, started)
    except Exception as error:
        refused = isinstance(error, ConnectionRefusedError)
        return Outcome(
            status=0,
            ran="not sent" if refused else None,
            seconds=time.monotonic() - started,
            sent_to=address,
        )
    finally:
        client.close()


def _connect(address: str, timeout: float) -> geventhttpclient.HTTPClient:
    host, port = address.rsplit(":", 1)
    return geventhttpclient.HTTPClient(
        host, int(port), connection_timeout=2.0, network_timeout=timeout
    )


def _read_refusal(answer: Any, address: str, started: float) -> Outcome:
    error = json.loads(answer.read()).get("error", {})
    return Outcome(
        status=answer.status_code,
        code=error.get("code"),
        ran=error.get("ran"),
        retry_after=error.get("retry_after"),
        seconds=time.monotonic() - started,
        sent_to=address,
        may_retry=answer.get("x-should-retry") == "true",
        go_to=tuple(error.get("go_to") or ()),
    )


def _read_whole(answer: Any, address: str, started: float) -> Outcome:
    data = answer.read()
    whole = len(data) == int(answer.get("content-length", len(data)))
    body = json.loads(data)
    seconds = time.monotonic() - started
    text = body.get("receipt", "")
    if "choices" in body:
        text = body["choices"][0]["message"]["content"]
    return Outcome(
        status=200,
        text=text,
        whole=whole,
        clean=answer.message_complete,
        answer_id=body.get("id"),
        seconds=seconds,
        first_seconds=seconds,
        sent_to=address,
    )


def _read_stream(answer: Any, address: str, started: float) -> Outcome:
    parts: list[str] = []
    answer_id = None
    first = None
    done = False
    clean = False
    error: dict[str, Any] = {}
    try:
        while event := answer.readline(b"\n\n"):
            if event.rstrip() == b"data: [DONE]":
                done = True
                continue
            chunk = json.loads(event.removeprefix(b"data: "))
            if "error" in chunk:
                error = chunk["error"]
                continue
            answer_id = chunk["id"]
            content = chunk["choices"][0]["delta"].get("content")
            if content:
                first = first or time.monotonic() - started
                parts.append(content)
        clean = answer.message_complete
    except Exception:
        done = False
    return Outcome(
        status=200,
        code=error.get("code"),
        ran=error.get("ran"),
        text="".join(parts),
        whole=done,
        clean=clean,
        answer_id=answer_id,
        seconds=time.monotonic() - started,
        first_seconds=first,
        sent_to=address,
    )


def send_until_run(
    address: str,
    key: str,
    path: str,
    body: dict[str, Any],
    *,
    retry_seconds: float = 15.0,
    **options: Any,
) -> Outcome:
    """Send a request; retry for a while if it is refused as "not run"."""
    end = time.monotonic() + retry_seconds
    while True:
        outcome = send(address, key, path, body, **options)
        if outcome.ran != NOT_RUN or time.monotonic() > end:
            return outcome
        time.sleep(outcome.retry_after or 0.1)


class Caller:
    """A workspace's client, which caches lookups and follows refusals.

    Args:
        key: the workspace key.
        addresses: "ip:port" of the instances to send the first lookup to.
    """

    def __init__(self, key: str, addresses: list[str]) -> None:
        self._key = key
        self._addresses = addresses
        self._entries: Entries | None = None
        self._entries_expire_at = 0.0

    def call(
        self,
        path: str,
        body: dict[str, Any],
        *,
        deadline: float,
        key: str | None = None,
    ) -> list[Outcome]:
        """Send a request until it is settled or its deadline has passed.

        Args:
            path: path of the URL.
            body: request body.
            deadline: seconds.
            key: idempotency key of a request that may run only once.

        Returns:
            The outcome of each attempt; the last one is final.
        """
        end = time.monotonic() + deadline
        attempts: list[Outcome] = []
        turn = 0
        headers: dict[str, str] | None = None
        while (left := end - time.monotonic()) > 0:
            entries = self._find_entries()
            if key is not None and headers is None:
                # Retries keep the first ticket: with another ticket they
                # would count as a different request.
                headers = _make_idempotency_headers(key, entries.ticket)
            last = attempts[-1] if attempts else None
            addresses = (last.go_to if last else ()) or entries.addresses
            outcome = send(
                addresses[turn % len(addresses)],
                self._key,
                path,
                body,
                deadline=left,
                headers=headers,
            )
            attempts.append(outcome)
            if outcome.is_final:
                break
            if outcome.ran is None or outcome.retry_after == 0:
                turn += 1
                self._entries_expire_at = 0.0
            pause = outcome.retry_after or RECONNECT_DELAY_SECONDS
            time.sleep(min(pause, max(0.0, end - time.monotonic())))
        return attempts

    def _find_entries(self) -> Entries:
        now = time.monotonic()
        if self._entries is not None and now < self._entries_expire_at:
            return self._entries
        known = self._entries.addresses if self._entries else ()
        found = self._ask((*known, *self._addresses))
        # The ticket is taken from the instance that the requests go to.
        # A ticket of another instance would cost one more hop, to the
        # instance that issued it, for each request.
        first = found.addresses[0]
        found = self._ask((first, *found.addresses[1:], *self._addresses))
        self._entries = found
        self._entries_expire_at = now + found.keep_seconds
        return found

    def _ask(self, addresses: tuple[str, ...]) -> Entries:
        for address in addresses:
            try:
                return look_up(address, self._key)
            except OSError:
                continue
        raise OSError("lookup failed at every known address")


def _make_idempotency_headers(key: str, ticket: str) -> dict[str, str]:
    return {
        "X-Non-Idempotent": "true",
        "Idempotency-Key": key,
        "X-Citronport-Ticket": ticket,
    }
