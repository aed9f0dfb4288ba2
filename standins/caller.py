"""Stand-in for a caller: looks entries up, sends, keeps what it got."""

import dataclasses
import json
import time
from typing import Any

import geventhttpclient

from standins import answers
from standins import engine

NOT_RUN = "not run"
RECONNECT_DELAY_SECONDS = 0.1
"""Pause after a connection that broke without an answer."""

STATUS_NO_LISTENER = 599
"""How the fault proxy says that nobody listens behind it."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """What a caller got for one request.

    Attributes:
        status: HTTP status, 0 if the connection failed.
        code: numbered code of a refusal, None otherwise.
        ran: what a refusal says about the run; "not sent" if nothing
            listened.
        text: the answer's text, as far as it came.
        whole: whether the answer came to its proper end.
        clean: whether the connection said that this was all.
        answer_id: request id that the answer names.
        retry_after: seconds, None if not told.
        seconds: time to the end.
        first_seconds: time to the first token, None if none came.
        sent_to: the entry that was used.
        may_retry: whether a refusal lets the same request come again.
        go_to: entries that a refusal names to use instead.
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
        """Whether it settles the request: an answer, or no hope."""
        if self.whole:
            return True
        if self.ran is None:
            return False
        # A refusal that names other entries forbids a repeat at this one.
        may_come = self.may_retry or bool(self.go_to)
        return not may_come or self.ran != NOT_RUN


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entries:
    """The answer of a lookup."""

    addresses: tuple[str, ...]
    ticket: str
    keep_seconds: float


def look_up(address: str, key: str) -> Entries:
    """Ask an entry which entries to use.

    Raises:
        OSError: the entry could not be reached or refused.
    """
    client = _connect(address, 5.0)
    try:
        answer = client.get("/v1/entries", {"Authorization": f"Bearer {key}"})
        body = json.loads(answer.read())
    except Exception as error:
        raise OSError(f"look-up at {address}: {error}") from error
    finally:
        client.close()
    if answer.status_code != 200:
        raise OSError(f"look-up at {address}: {body}")
    return Entries(
        addresses=tuple(body["entries"]),
        ticket=body["ticket"],
        keep_seconds=body["keep_seconds"],
    )


def look_up_code(address: str, key: str) -> int | None:
    """Look up; return 0, the refusal's code, or None without an answer."""
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
    """Return a body as it is sent."""
    return json.dumps(body).encode()


def make_chat(
    model: str, prompt: str, max_tokens: int, *, stream: bool = True
) -> dict[str, Any]:
    """Return the body of a chat call."""
    return {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": stream,
    }


def make_expected(body: dict[str, Any]) -> str:
    """Return the text that a whole answer to a chat call has."""
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
    """Send one request once, on a connection of its own."""
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
    """Send until a request is taken, as long as "not run" is the answer."""
    end = time.monotonic() + retry_seconds
    while True:
        outcome = send(address, key, path, body, **options)
        if outcome.ran != NOT_RUN or time.monotonic() > end:
            return outcome
        time.sleep(outcome.retry_after or 0.1)


class Caller:
    """One workspace's client: it keeps the lookup and obeys refusals.

    Args:
        key: the workspace key.
        addresses: entries to ask first, "ip:port".
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
        """Send a request until it is settled or its deadline is over.

        Args:
            path: where to send it.
            body: what to send.
            deadline: seconds.
            key: idempotency key of a request that may run only once.

        Returns:
            What each attempt gave; the last one stands.
        """
        end = time.monotonic() + deadline
        attempts: list[Outcome] = []
        turn = 0
        headers: dict[str, str] | None = None
        while (left := end - time.monotonic()) > 0:
            entries = self._find_entries()
            if key is not None and headers is None:
                # A repeat goes under the first ticket: another one would
                # make it another request.
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
        # The ticket comes from the entry that the requests go to: one
        # from elsewhere costs a hop to its home for each request.
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
        raise OSError("no entry answers")


def _make_idempotency_headers(key: str, ticket: str) -> dict[str, str]:
    return {
        "X-Non-Idempotent": "true",
        "Idempotency-Key": key,
        "X-Citronport-Ticket": ticket,
    }
