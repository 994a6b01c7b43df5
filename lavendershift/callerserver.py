"""The HTTP server for callers, with a limit on open connections."""

import math
from datetime import timedelta
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
    """Serve at most ``max_connections`` connections at a time.

    A connection over the limit gets a 503 response that says that nothing ran,
    and is closed.
    """

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Accept ``max_connections`` in addition to ``HTTPServer``'s options."""
        self._max_connections = kwargs.pop("max_connections")
        self._open_connections = 0
        super().initialize(*args, **kwargs)

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a new connection, or refuse it over the connection limit."""
        if self._open_connections >= self._max_connections:
            refuse_connection(stream)
            return
        self._open_connections += 1
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        """Count a connection as closed."""
        self._open_connections -= 1
        super().on_close(server_conn)


def open_server(
    application: Application, listen: ListenSection, limits: LimitsSection
) -> CallerServer:
    """Return a server that listens for callers, over TLS if a certificate is set."""
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
    """Refuse a connection over the limit before reading a request from it."""
    error = RequestError(ErrorKind.OVERLOADED, "connections")
    signals.request_refused.send(stream, context=None, error=error)
    body = msgspec.json.encode(describe_error(error))
    retry_after = error.answer.retry_after or timedelta()
    head = (
        f"HTTP/1.1 {error.answer.status} Service Unavailable\r\n"
        f"Retry-After: {math.ceil(retry_after.total_seconds())}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n"
        f"Ran: {error.answer.ran.value}\r\n"
        "Connection: close\r\n\r\n"
    )
    written = stream.write(head.encode() + body)
    written.add_done_callback(lambda write: _close_stream(write, stream))


def _close_stream(write: Any, stream: IOStream) -> None:
    if not write.cancelled() and isinstance(write.exception(), StreamClosedError):
        return
    stream.close()
