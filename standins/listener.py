"""HTTP server of the stand-ins."""

from typing import Any

from gevent import pywsgi
from gevent import socket


class CloseDelimitedHandler(pywsgi.WSGIHandler):
    """Ends responses of unknown length with their connection."""

    def finalize_headers(self) -> None:
        """Complete the headers of a response, without chunks."""
        super().finalize_headers()
        if self.response_use_chunked:
            self.response_use_chunked = False
            self.response_headers.remove((b"Transfer-Encoding", b"chunked"))
            self.close_connection = True


def serve(
    address: str, port: int, application: Any, *, close_delimited: bool = False
) -> None:
    """Serve until killed; small writes are sent at once (TCP_NODELAY).

    Args:
        address: IP address.
        port: TCP port.
        application: the WSGI application.
        close_delimited: whether responses of unknown length have no chunks.
    """
    server = pywsgi.WSGIServer(
        (address, port), application, log=None, error_log=None
    )
    if close_delimited:
        server.handler_class = CloseDelimitedHandler
    server.init_socket()
    server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    server.serve_forever()
