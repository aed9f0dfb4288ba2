"""HTTP server of the stand-ins."""

from typing import Any

from gevent import pywsgi
from gevent import socket


def serve(address: str, port: int, application: Any) -> None:
    """Serve until killed; small writes are sent at once (TCP_NODELAY)."""
    server = pywsgi.WSGIServer(
        (address, port), application, log=None, error_log=None
    )
    server.init_socket()
    server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    server.serve_forever()
