"""HTTP client for attempts at backend servers.

The result of an attempt states its delivery: whether anything was sent, and
whether the complete response arrived. Each attempt uses a new connection,
because libcurl silently resends a request if a reused connection turns out to
be closed, and the server could then execute the request twice.
"""

import contextlib
import socket
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import Any, NamedTuple

import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

from lavendershift.httpclients import (
    TRANSFER_FAILED_STATUS,
    UPLOADED,
    HttpClient,
    use_own_connection,
)
from lavendershift.responsedelegates import is_delimited

MAX_CLIENTS = 2000
FINAL_STATUSES = range(200, 600)
NOT_RUN_HEADER = "Not-Run"


class Delivery(Enum):
    """Delivery state of an attempt.

    ``NOT_SENT``: no byte of the request was sent. ``REFUSED``: the server states
    that it did not execute the request. ``UNKNOWN``: the request may have been
    executed, but the response is missing or incomplete. ``ANSWERED``: the
    complete response arrived.
    """

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    ANSWERED = "answered"


class UpstreamCall(NamedTuple):
    """HTTP request of one attempt.

    ``timeout`` covers the complete exchange, including the response body.
    """

    method: str
    url: str
    headers: dict[str, str]
    body: bytes | None
    connect_timeout: timedelta
    timeout: timedelta


class UpstreamResult(NamedTuple):
    """Result of an attempt.

    ``status`` is 0 if no response began. ``body`` is empty if the response was
    streamed to ``on_chunk``. ``detail`` is the transport error, if any. ``timed_out``
    is set if the timeout of the exchange, not of its connection, ended it.
    """

    delivery: Delivery
    status: int
    headers: HTTPHeaders
    body: bytes
    detail: str
    timed_out: bool = False


class Transfer:
    """Handle of an attempt in flight, to pause or abort its transfer."""

    def __init__(self) -> None:
        self._curl: pycurl.Curl | None = None
        self._paused = False
        self._socket: socket.socket | None = None

    def attach(self, curl: pycurl.Curl) -> None:
        """Attach the curl handle before the transfer starts."""
        self._curl = curl
        use_own_connection(curl)
        curl.setopt(pycurl.OPENSOCKETFUNCTION, self._open_socket)

    def detach(self) -> None:
        """Detach the curl handle, which may be reused for another transfer."""
        self._curl = None
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def pause(self) -> None:
        """Stop reading from the backend server."""
        if self._curl is not None and not self._paused:
            self._paused = True
            self._curl.pause(pycurl.PAUSE_RECV)

    def resume(self) -> None:
        """Continue reading after ``pause``."""
        if self._curl is not None and self._paused:
            self._paused = False
            self._curl.pause(pycurl.PAUSE_CONT)

    def abort(self) -> None:
        """Shut the socket down, so that the transfer fails."""
        if self._socket is not None:
            with contextlib.suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)
        self.resume()

    def _open_socket(self, purpose: int, address: Any) -> socket.socket:
        """Open the transfer's socket, of which curl uses a duplicate."""
        if self._socket is not None:
            self._socket.close()
        self._socket = socket.socket(address.family, address.socktype, address.protocol)
        return self._socket


class UpstreamClient:
    """Sends attempts to backend servers with one shared curl client.

    With ``tls`` the connections use TLS, and server certificates are verified
    against ``ca_certificates``, which default to those of the system.
    """

    def __init__(self, ca_certificates: str = "", tls: bool = False) -> None:
        self._scheme = "https" if tls else "http"
        self._http = HttpClient(MAX_CLIENTS)
        self._ca_certificates = ca_certificates or None

    def make_url(self, address: str, path: str) -> str:
        """Return the URL of ``path`` on the backend server at ``address``."""
        return f"{self._scheme}://{address}{path}"

    async def run_call(
        self,
        call: UpstreamCall,
        transfer: Transfer,
        on_status: Callable[[int, HTTPHeaders], bool] | None = None,
        on_chunk: Callable[[bytes], None] | None = None,
    ) -> UpstreamResult:
        """Send ``call`` and return its result.

        If ``on_status`` returns true for the status and headers, the body is
        streamed to ``on_chunk`` as it arrives. Other bodies are returned in the
        result.
        """
        reader = _ResponseReader(on_status, on_chunk)
        request = HTTPRequest(
            call.url,
            method=call.method,
            headers=call.headers,
            body=call.body,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            decompress_response=False,
            connect_timeout=call.connect_timeout.total_seconds(),
            request_timeout=max(call.timeout.total_seconds(), 0.001),
            streaming_callback=reader.add_chunk,
            prepare_curl_callback=lambda curl: _prepare(curl, transfer, reader),
            ca_certs=self._ca_certificates,
        )
        response = await self._http.fetch(request)
        transfer.detach()
        return reader.make_result(response)

    async def fetch(
        self, method: str, url: str, timeout: timedelta, body: bytes | None = None
    ) -> HTTPResponse:
        """Make a control call; a failure is a response with status 599.

        It has a connection of its own, as attempts have: a server may send a response a
        second time, and nothing in one names its call.
        """
        transfer = Transfer()
        seconds = timeout.total_seconds()
        request = HTTPRequest(
            url,
            method=method,
            body=body,
            connect_timeout=seconds,
            request_timeout=seconds,
            allow_nonstandard_methods=True,
            prepare_curl_callback=transfer.attach,
            ca_certs=self._ca_certificates,
        )
        response = await self._http.fetch(request)
        transfer.detach()
        return response

    def close(self) -> None:
        """Close the HTTP client; transfers in flight are abandoned."""
        self._http.close()


def _prepare(curl: pycurl.Curl, transfer: Transfer, reader: "_ResponseReader") -> None:
    """Set up a curl handle for one attempt.

    Header lines are read from curl directly, because tornado passes them on in a
    later iteration of the event loop, after body chunks that arrived with them.
    """
    transfer.attach(curl)
    curl.setopt(pycurl.HEADERFUNCTION, reader.add_header_line)


class _ResponseReader:
    """Collects status, headers and body of a response as curl reports them."""

    def __init__(
        self,
        on_status: Callable[[int, HTTPHeaders], bool] | None,
        on_chunk: Callable[[bytes], None] | None,
    ) -> None:
        self._on_status = on_status
        self._on_chunk = on_chunk
        self._status = 0
        self._headers = HTTPHeaders()
        self._head_ended = False
        self._chunks: list[bytes] = []
        self._is_streamed: bool | None = None

    def add_header_line(self, data: bytes) -> None:
        line = data.decode("latin1").rstrip("\r\n")
        if line.startswith("HTTP/"):
            self._status = int(line.split(" ", 2)[1])
            self._headers = HTTPHeaders()
            self._head_ended = False
        elif line:
            self._headers.parse_line(line)
        else:
            self._head_ended = True

    def add_chunk(self, chunk: bytes) -> None:
        if self._is_streamed is None:
            self._is_streamed = self._choose_streaming()
        if self._is_streamed and self._on_chunk is not None:
            self._on_chunk(chunk)
        else:
            self._chunks.append(chunk)

    def _choose_streaming(self) -> bool:
        if self._on_status is None:
            return False
        return self._on_status(self._status, self._headers)

    def make_result(self, response: HTTPResponse) -> UpstreamResult:
        delivery = self._classify_delivery(response)
        detail = str(response.error) if response.error else ""
        status = (
            self._status if response.code == TRANSFER_FAILED_STATUS else response.code
        )
        timed_out = delivery is Delivery.UNKNOWN and _has_timed_out(response)
        return UpstreamResult(
            delivery, status, self._headers, b"".join(self._chunks), detail, timed_out
        )

    def _classify_delivery(self, response: HTTPResponse) -> Delivery:
        if response.code == TRANSFER_FAILED_STATUS:
            if not _may_have_sent(response):
                return Delivery.NOT_SENT
            return Delivery.UNKNOWN
        if self._status not in FINAL_STATUSES:
            return Delivery.UNKNOWN
        if not is_delimited(self._status, self._headers) and _has_unsent(response):
            # The end of a connection on which the server stops reading the request is
            # no proof that the response is complete.
            return Delivery.UNKNOWN
        if not self._head_ended:  # curl reports a truncated head as an empty response
            return Delivery.UNKNOWN
        refused = response.code in (409, 429, 503)
        if refused and self._headers.get(NOT_RUN_HEADER, "").lower() == "true":
            return Delivery.REFUSED
        return Delivery.ANSWERED


def _has_unsent(response: HTTPResponse) -> bool:
    """Return whether a part of the request's body was not sent."""
    return response.time_info.get(UPLOADED, 0) < len(response.request.body or b"")


def _has_timed_out(response: HTTPResponse) -> bool:
    error = response.error
    return isinstance(error, CurlError) and error.errno == pycurl.E_OPERATION_TIMEDOUT


def _may_have_sent(response: HTTPResponse) -> bool:
    """Return whether a failed transfer may have sent any byte of the request.

    Over TLS no byte of the request is sent before the handshake has ended. The time of
    a step that was not reached is 0, except that newer versions of curl also set
    "pretransfer" when a connection fails.
    """
    step = "appconnect" if response.request.url.startswith("https:") else "connect"
    times = response.time_info
    return bool(times.get(step) and times.get("pretransfer"))
