"""Instance whose outgoing connections are bound to its own IP address.

On loopback the kernel gives every connection the same source address, but
the fault proxy identifies a connection's source by its address, as a network
would. Otherwise the instance equals ``python -m citronport serve``.
"""

import pathlib
import sys
from typing import Any

from gevent import socket
import yaml

from citronport import __main__ as command_line

IP_BIND_ADDRESS_NO_PORT = 24
"""Linux socket option: choose the source port on connect, not on bind.

Otherwise each bound socket would take a port of its own, and the ports would
run out.
"""


def serve(settings_file: str) -> None:
    """Run one entry instance until SIGTERM."""
    settings = yaml.safe_load(pathlib.Path(settings_file).read_text())
    _bind_connections(settings["peers"]["address"])
    sys.argv = ["citronport", "serve", settings_file]
    command_line.run()


def _bind_connections(address: str) -> None:
    connect = socket.socket.connect

    def bind_and_connect(sock: socket.socket, target: Any) -> None:
        if sock.family == socket.AF_INET:
            sock.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
            sock.bind((address, 0))
        connect(sock, target)

    socket.socket.connect = bind_and_connect
