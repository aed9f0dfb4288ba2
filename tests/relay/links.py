"""Links of some instances to the endpoints that can be cut, for tests."""

import contextlib
import enum
import socket

from standins import proxy as proxy_module
from tests.relay import fakes

SOURCE = "callers"


class Cut(enum.StrEnum):
    """What becomes of connections to endpoints during a cut."""

    SILENT = "silent"
    """Open ones hang, and so do attempts to open one."""
    RESET = "reset"
    """Open ones are reset, new ones refused."""
    REFUSED = "refused"
    """Open ones live on, new ones are refused."""


class Links:
    """A proxy before each endpoint, and a store that lists these proxies.

    Instances that read this store reach the endpoints by links that can be
    cut. Its revisions are those of the original.

    Args:
        test: the test at whose end all is stopped.
        store: the original store, with all its content.
        endpoints: real address of each endpoint by name.
    """

    def __init__(self, test, store, endpoints):
        self._proxy = proxy_module.Proxy(1)
        test.addCleanup(self._proxy.stop)
        test.addCleanup(self.heal)
        self._addresses = {}
        self._silent = []
        self.store = fakes.Store(test)
        text = {}
        for name, address in endpoints.items():
            host, _, port = address.rpartition(":")
            at = ("127.0.0.1", _find_free_port())
            self._proxy.listen(at, name, (host, int(port)))
            self._addresses[name] = at
            text[address] = f"127.0.0.1:{at[1]}"
        self.store.copy_items(store, text)

    def cut(self, how, *names):
        """Cut the links to the named endpoints, by default to all."""
        for name in names or self._addresses:
            address = self._addresses[name]
            self._proxy.stop_listening(name)
            match how:
                case Cut.SILENT:
                    fault = proxy_module.Fault(how=proxy_module.How.HOLD)
                    self._proxy.inject_fault(SOURCE, name, fault)
                    self._silent += _listen_without_room(address)
                case Cut.RESET:
                    fault = proxy_module.Fault(how=proxy_module.How.RESET)
                    self._proxy.inject_fault(SOURCE, name, fault)

    def heal(self):
        """Let all connections pass again."""
        for sock in self._silent:
            sock.close()
        self._silent = []
        self._proxy.heal(lambda source, target: True)
        for name in self._addresses:
            self._proxy.start_listening(name)


def _find_free_port():
    with contextlib.closing(socket.socket()) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def _listen_without_room(address):
    """Return sockets that leave new connections to an address unanswered."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(0)
    fillers = [socket.socket() for _ in range(3)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(address)
    return [listener, *fillers]
