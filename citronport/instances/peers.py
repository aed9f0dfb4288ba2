"""Links to the other entry instances and the exchanges on them."""

import collections.abc
import dataclasses
import itertools

from absl import logging
import gevent
from gevent import queue
from gevent import server as gevent_server
from gevent import socket

from citronport import byte_budget
from citronport import clock
from citronport import errors
from citronport import resources
from citronport import runs
from citronport.callers import connections
from citronport.endpoints import messages as answers
from citronport.instances import const
from citronport.instances import link
from citronport.instances import messages
from citronport.scheduler import models

LOG = "instances:"


@dataclasses.dataclass(frozen=True, kw_only=True)
class _RemoteRun:
    """A run for another instance and the task that sends its response."""

    run: runs.Run
    inbox: queue.Queue[answers.Message]
    task: gevent.Greenlet


class Peers:
    """Maintains links to other instances and runs exchanges over them.

    Args:
        hello: the first message that this process sends on each link.
        ticker: the clock.
        submit: starts or joins the run of a request that another instance
            sent, given its role.
        handle_gossip: handles messages that belong to no exchange and
            returns the reply, if there is one.
        shares: what the clients of each port may use.
        budget: bytes of requests, shared with the port for callers; its own
            one by default.
    """

    def __init__(
        self,
        hello: messages.Hello,
        ticker: clock.Clock,
        submit: collections.abc.Callable[[runs.Work, str], runs.Run],
        handle_gossip: collections.abc.Callable[
            [str, messages.Message], messages.Message | None
        ],
        shares: resources.Shares | None = None,
        budget: byte_budget.ByteBudget | None = None,
    ) -> None:
        shares = shares or resources.make_default_shares()
        self._budget = budget or byte_budget.make_budget(shares)
        self._connections = connections.ConnectionTracker(
            connections.Limits(connections=shares.links)
        )
        self.hello = hello
        self._ticker = ticker
        self._submit = submit
        self._handle_gossip = handle_gossip
        self._links: dict[str, link.Link] = {}
        self._instances: dict[str, models.Instance] = {}
        # A new instance has no instance list yet: until then the links that
        # others opened to it are the only way to request one.
        self._accepted: dict[str, link.Link] = {}
        self._connecting: set[str] = set()
        self._last_used: dict[str, float] = {}
        self._stream_numbers = itertools.count(1)
        self._exchanges: dict[
            tuple[link.Link, int], queue.Queue[messages.Message | link.Closed]
        ] = {}
        self._remote_runs: dict[tuple[link.Link, int], _RemoteRun] = {}

    def serve(self, address: str, port: int) -> gevent_server.StreamServer:
        """Listen for other instances; return the started server."""
        server = gevent_server.StreamServer((address, port), self._accept)
        server.max_accept = resources.MAX_ACCEPTED
        server.init_socket()
        resources.limit_unread(server.socket, resources.FETCH_BUFFER_BYTES)
        server.start()
        return server

    def update_links(
        self, instances: dict[str, models.Instance], neighbours: set[str]
    ) -> None:
        """Open missing links and close unused ones.

        Args:
            instances: all instances on the list, by name.
            neighbours: names of those to keep a link to.
        """
        self._instances = instances
        for name in neighbours - set(self._links):
            if name not in self._connecting:
                gevent.spawn(self._connect, instances[name])
        now = self._ticker.now()
        for name, known in list(self._links.items()):
            idle = (
                now - self._last_used.get(name, now)
                > const.MAX_LINK_IDLE_SECONDS
            )
            if name not in instances or (name not in neighbours and idle):
                del self._links[name]
                known.close()

    def get_link(self, instance: str) -> link.Link | None:
        """Return a link to an instance; open it if there is none."""
        self._last_used[instance] = self._ticker.now()
        if instance not in self._links and instance in self._instances:
            self._connect(self._instances[instance])
        return self._links.get(instance)

    def broadcast(self, message: messages.Message, names: set[str]) -> None:
        """Send a message to several instances."""
        for name in names:
            self.send(name, message)

    def send(self, instance: str, message: messages.Message) -> None:
        """Send a message to one instance, if there is a link to it."""
        chosen = self._links.get(instance) or self._accepted.get(instance)
        if chosen is not None:
            chosen.send(message)

    def is_idle(self) -> bool:
        """Return whether no response to another instance is in progress."""
        return not self._remote_runs

    def close_links(self, timeout: float) -> None:
        """Close all links after their queued messages are written."""
        links = [*self._links.values(), *self._accepted.values()]
        for each in links:
            each.close()
        for each in links:
            each.wait(timeout)

    def get_incarnation(self, instance: str) -> str | None:
        """Return the incarnation of an instance, None without a link."""
        known = self._links.get(instance)
        return known.peer.incarnation if known and known.peer else None

    def forward(
        self, run: runs.Run, instance: str, role: str
    ) -> errors.Refusal | None:
        """Have another instance run a request and deliver its response.

        Args:
            run: the request; receives the response.
            instance: name of the instance that is to run it.
            role: see ``messages.Submit``.

        Returns:
            None once the response is complete, otherwise a refusal, which
            has not been delivered to the run.
        """
        chosen = self.get_link(instance)
        if chosen is None:
            return _make_unreachable_refusal(role)
        key = (chosen, next(self._stream_numbers))
        inbox: queue.Queue[messages.Message | link.Closed] = queue.Queue()
        self._exchanges[key] = inbox
        chosen.send(self._make_submit(key[1], role, run.work))
        ended = False
        try:
            refusal = _deliver_answer(inbox, run)
            ended = True
            if role == const.ROLE_HOME and chosen.peer is None:
                # The kernel still accepts connections for a process that is
                # terminating. A link that closes before its Hello message
                # never reached the home; whether an earlier copy of the
                # request ran there remains unknown.
                return _make_unreachable_refusal(role)
            return refusal
        finally:
            del self._exchanges[key]
            # The caller disconnected or was refused meanwhile: the other
            # instance must no longer send the request to an endpoint.
            if not ended:
                chosen.send(messages.Leave(stream=key[1]))

    def _make_submit(
        self, stream: int, role: str, work: runs.Work
    ) -> messages.Submit:
        # The clocks of two instances differ, so times are sent as seconds
        # from now.
        left = work.request.deadline - self._ticker.now()
        return messages.Submit(
            stream=stream,
            role=role,
            request=dataclasses.replace(work.request, deadline=left),
            call=work.call,
            identity=work.identity if role == const.ROLE_HOME else None,
        )

    def _connect(self, instance: models.Instance) -> None:
        self._connecting.add(instance.name)
        try:
            sock = resources.connect(
                (instance.address, instance.peer_port),
                const.CONNECT_TIMEOUT_SECONDS,
                resources.FETCH_BUFFER_BYTES,
            )
        except OSError:
            return
        finally:
            self._connecting.discard(instance.name)
        sock.settimeout(None)
        if instance.name in self._links:
            sock.close()
            return
        opened = link.Link(sock, self._handle_message)
        opened.send(self.hello)
        self._links[instance.name] = opened

    def _accept(self, sock: socket.socket, sender: tuple[str, int]) -> None:
        if not self._connections.add(sock, sender[0]):
            sock.close()
            return
        holding = self._budget.open(
            sender[0], lambda: sock.shutdown(socket.SHUT_RD)
        )
        opened = link.Link(sock, self._handle_accepted, holding)
        opened.send(self.hello)
        try:
            opened.wait()
        finally:
            self._connections.remove(sock)

    def _handle_accepted(
        self, source: link.Link, message: messages.Message | link.Closed
    ) -> None:
        if isinstance(message, messages.Hello):
            # Until then it may make room for others.
            self._connections.set_busy(source.sock)
        self._handle_message(source, message)

    def _handle_message(
        self, source: link.Link, message: messages.Message | link.Closed
    ) -> None:
        match message:
            case link.Closed():
                self._handle_closed(source)
            case messages.Submit():
                self._handle_submit(source, message)
            case messages.Leave():
                self._abandon_run((source, message.stream))
            case (
                messages.Begin()
                | messages.Piece()
                | messages.End()
                | messages.Refused()
            ):
                inbox = self._exchanges.get((source, message.stream))
                if inbox is not None:
                    inbox.put(message)
            case messages.Hello():
                if source is not self._links.get(message.instance):
                    self._accepted[message.instance] = source
                logging.info("%s connected to %s.", LOG, message.instance)
            case _:
                self._pass_to_gossip(source, message)

    def _pass_to_gossip(
        self, source: link.Link, message: messages.Message
    ) -> None:
        if source.peer is None:
            return
        answer = self._handle_gossip(source.peer.instance, message)
        if answer is not None:
            source.send(answer)

    def _handle_closed(self, source: link.Link) -> None:
        for links in (self._links, self._accepted):
            for name, known in list(links.items()):
                if known is source:
                    del links[name]
        for (used_link, _), inbox in list(self._exchanges.items()):
            if used_link is source:
                inbox.put(link.Closed())
        for key in list(self._remote_runs):
            if key[0] is source:
                self._abandon_run(key)

    def _handle_submit(
        self, source: link.Link, message: messages.Submit
    ) -> None:
        deadline = self._ticker.now() + message.request.deadline
        work = runs.Work(
            request=dataclasses.replace(message.request, deadline=deadline),
            call=message.call,
            identity=message.identity,
        )
        run = self._submit(work, message.role)
        key = (source, message.stream)
        inbox = run.attach()
        task = gevent.spawn(self._send_answer, key, inbox)
        self._remote_runs[key] = _RemoteRun(run=run, inbox=inbox, task=task)

    def _send_answer(
        self,
        key: tuple[link.Link, int],
        inbox: queue.Queue[answers.Message],
    ) -> None:
        source, stream = key
        ended = False
        while not ended:
            message = inbox.get()
            source.send(_make_message(stream, message))
            ended = isinstance(message, answers.Finished | answers.Refused)
        self._remote_runs.pop(key, None)

    def _abandon_run(self, key: tuple[link.Link, int]) -> None:
        # The reader is detached here and not by its task: a task that is
        # killed before it first runs would leave the reader attached, and
        # the request would be run although nobody reads the response.
        remote_run = self._remote_runs.pop(key, None)
        if remote_run is not None:
            remote_run.task.kill(block=False)
            remote_run.run.detach(remote_run.inbox)


def _make_unreachable_refusal(role: str) -> errors.Refusal:
    # Nothing was sent, but an earlier copy of a request in the home role may
    # have run at its home.
    if role == const.ROLE_HOME:
        return errors.Refusal(code=errors.Code.HOME_UNREACHABLE)
    return errors.Refusal(code=errors.Code.NO_ENDPOINT, retry_after=0.5)


def _deliver_answer(
    inbox: queue.Queue[messages.Message | link.Closed], run: runs.Run
) -> errors.Refusal | None:
    while True:
        message = inbox.get()
        match message:
            case messages.Begin():
                run.deliver(
                    answers.Started(
                        status=message.status,
                        content_type=message.content_type,
                    )
                )
            case messages.Piece():
                run.deliver(
                    answers.Chunk(offset=message.offset, data=message.data)
                )
            case messages.End():
                run.deliver(answers.Finished(size=message.size))
                return None
            case messages.Refused():
                return errors.Refusal(
                    code=errors.Code(message.code),
                    detail=message.detail,
                    retry_after=message.retry_after,
                    go_to=tuple(message.go_to),
                )
            case _:
                return errors.Refusal(code=errors.Code.INSTANCE_LOST)


def _make_message(stream: int, message: answers.Message) -> messages.Message:
    match message:
        case answers.Started():
            return messages.Begin(
                stream=stream,
                status=message.status,
                content_type=message.content_type,
            )
        case answers.Chunk():
            return messages.Piece(
                stream=stream, offset=message.offset, data=message.data
            )
        case answers.Finished():
            return messages.End(stream=stream, size=message.size)
        case answers.Refused():
            refusal = message.refusal
            return messages.Refused(
                stream=stream,
                code=int(refusal.code),
                detail=refusal.detail,
                retry_after=refusal.retry_after,
                go_to=list(refusal.go_to),
            )
