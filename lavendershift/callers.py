"""The HTTP server towards callers, with a bound on their connections."""

from typing import Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream, StreamClosedError
from tornado.web import Application

from lavendershift import signals
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.handlers import describe_error
from lavendershift.settings_sections import LimitsSection, ListenSection


class CallerServer(HTTPServer):
    """Serves at most ``max_connections`` connections at a time.

    A caller beyond them is told so and that nothing ran, and the connection
    is closed.
    """

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Take ``max_connections`` besides the options of ``HTTPServer``."""
        self._max_connections = kwargs.pop("max_connections")
        self._open = 0
        super().initialize(*args, **kwargs)

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a new connection if there is room for it."""
        if self._open >= self._max_connections:
            refuse_connection(stream)
            return
        self._open += 1
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        """Note that a connection has ended."""
        self._open -= 1
        super().on_close(server_conn)


def open_server(
    application: Application, listen: ListenSection, limits: LimitsSection
) -> CallerServer:
    """Return a server that listens for callers, over TLS where it is set."""
    options: dict[str, Any] = {}
    if listen.tls_certificate is not None:
        options["ssl_options"] = {
            "certfile": str(listen.tls_certificate),
            "keyfile": str(listen.tls_key),
        }
    server = CallerServer(
        application,
        max_connections=limits.max_connections,
        max_body_size=limits.max_body_bytes,
        max_buffer_size=limits.max_body_bytes + limits.max_header_bytes,
        max_header_size=limits.max_header_bytes,
        idle_connection_timeout=limits.caller_idle.total_seconds(),
        body_timeout=limits.caller_idle.total_seconds(),
        **options,
    )
    server.listen(listen.address.port, listen.address.host)
    return server


def refuse_connection(stream: IOStream) -> None:
    """Answer a connection, before any request was read, that there is no room."""
    error = RequestError(ErrorKind.OVERLOADED, "connections")
    signals.request_refused.send(stream, context=None, error=error)
    body = msgspec.json.encode(describe_error(error))
    head = (
        f"HTTP/1.1 {error.answer.status} Service Unavailable\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n"
        f"Ran: {error.answer.ran.value}\r\n"
        "Connection: close\r\n\r\n"
    )
    written = stream.write(head.encode() + body)
    written.add_done_callback(lambda done: _close(done, stream))


def _close(done: Any, stream: IOStream) -> None:
    if not done.cancelled() and isinstance(done.exception(), StreamClosedError):
        return
    stream.close()
