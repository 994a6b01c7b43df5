"""HTTP calls to backend servers, one attempt at a time.

An attempt reports truthfully how far it came: whether anything was sent, and
whether the whole answer arrived. Each attempt uses a connection of its own,
because libcurl silently sends a request a second time when a reused
connection turns out to be closed, which would run it twice.
"""

import contextlib
import socket
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import Any, NamedTuple

import pycurl
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

from lavendershift.httpclients import TRANSFER_FAILED_STATUS, HttpClient

MAX_CLIENTS = 2000
NOT_RUN_HEADER = "Not-Run"


class Delivery(Enum):
    """How far an attempt came."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    ANSWERED = "answered"


class UpstreamCall(NamedTuple):
    """One attempt to be sent to a backend server.

    ``method`` and ``url`` as in HTTP; ``timeout`` covers the whole answer.
    """

    method: str
    url: str
    headers: dict[str, str]
    body: bytes | None
    connect_timeout: timedelta
    timeout: timedelta


class UpstreamResult(NamedTuple):
    """What came of an attempt.

    ``status`` is 0 where no answer began. ``body`` is empty for an answer
    that was handed over in chunks.
    """

    delivery: Delivery
    status: int
    headers: HTTPHeaders
    body: bytes
    detail: str


class Transfer:
    """Handle on an attempt in flight, to hold it back or abort it."""

    def __init__(self) -> None:
        self._curl: pycurl.Curl | None = None
        self._paused = False
        self._socket: socket.socket | None = None

    def attach(self, curl: pycurl.Curl) -> None:
        """Take hold of the transfer's curl handle before it starts."""
        self._curl = curl
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.OPENSOCKETFUNCTION, self._open_socket)

    def detach(self) -> None:
        """Let go of the handle; it may serve another transfer from now on."""
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
        """Go on reading after ``pause``."""
        if self._curl is not None and self._paused:
            self._paused = False
            self._curl.pause(pycurl.PAUSE_CONT)

    def abort(self) -> None:
        """Make the transfer fail soon."""
        if self._socket is not None:
            with contextlib.suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)
        self.resume()

    def _open_socket(self, purpose: int, address: Any) -> socket.socket:
        """Open the transfer's socket; curl works on a duplicate of it."""
        if self._socket is not None:
            self._socket.close()
        self._socket = socket.socket(address.family, address.socktype, address.protocol)
        return self._socket


class UpstreamClient:
    """Sends attempts to backend servers with one shared curl client.

    With ``tls`` the servers are spoken to over TLS, and their certificates
    checked against ``ca_certificates``, by default those of the system.
    """

    def __init__(self, ca_certificates: str = "", tls: bool = False) -> None:
        self._scheme = "https" if tls else "http"
        self._http = HttpClient(MAX_CLIENTS)
        self._ca_certificates = ca_certificates or None

    def make_url(self, address: str, path: str) -> str:
        """Return the URL of ``path`` at a backend server."""
        return f"{self._scheme}://{address}{path}"

    async def run_call(
        self,
        call: UpstreamCall,
        transfer: Transfer,
        on_status: Callable[[int, HTTPHeaders], bool] | None = None,
        on_chunk: Callable[[bytes], None] | None = None,
    ) -> UpstreamResult:
        """Send ``call`` and return what came of it.

        With ``on_status`` and ``on_chunk`` the answer is handed over as it
        arrives, if ``on_status`` returns true for it; other answers are
        collected in the result.
        """
        answer = _AnswerReader(on_status, on_chunk)
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
            streaming_callback=answer.add_chunk,
            prepare_curl_callback=lambda curl: _prepare(curl, transfer, answer),
            ca_certs=self._ca_certificates,
        )
        response = await self._http.fetch(request)
        transfer.detach()
        return answer.make_result(response)

    async def fetch(
        self, method: str, url: str, timeout: timedelta, body: bytes | None = None
    ) -> HTTPResponse:
        """Make a control call; a failure is an answer with status 599."""
        seconds = timeout.total_seconds()
        request = HTTPRequest(
            url,
            method=method,
            body=body,
            connect_timeout=seconds,
            request_timeout=seconds,
            allow_nonstandard_methods=True,
            ca_certs=self._ca_certificates,
        )
        return await self._http.fetch(request)

    def close(self) -> None:
        """Close the HTTP client; transfers in flight are abandoned."""
        self._http.close()


def _prepare(curl: pycurl.Curl, transfer: Transfer, answer: "_AnswerReader") -> None:
    """Set a curl handle up for one attempt.

    Header lines are taken from curl itself: tornado hands them over in a later
    turn of the loop, by when chunks that came with them have been handed over.
    """
    transfer.attach(curl)
    curl.setopt(pycurl.HEADERFUNCTION, answer.add_header_line)


class _AnswerReader:
    """Collects status, headers and body of an answer as curl reports them."""

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
        self._handed_over: bool | None = None

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
        if self._handed_over is None:
            self._handed_over = self._ask_handover()
        if self._handed_over and self._on_chunk is not None:
            self._on_chunk(chunk)
        else:
            self._chunks.append(chunk)

    def _ask_handover(self) -> bool:
        if self._on_status is None:
            return False
        return self._on_status(self._status, self._headers)

    def make_result(self, response: HTTPResponse) -> UpstreamResult:
        delivery = self._judge_delivery(response)
        detail = str(response.error) if response.error else ""
        status = (
            self._status if response.code == TRANSFER_FAILED_STATUS else response.code
        )
        return UpstreamResult(
            delivery, status, self._headers, b"".join(self._chunks), detail
        )

    def _judge_delivery(self, response: HTTPResponse) -> Delivery:
        if response.code == TRANSFER_FAILED_STATUS:
            if not _was_connected(response):
                return Delivery.NOT_SENT
            return Delivery.UNKNOWN
        if not self._head_ended:  # which curl takes for an empty answer
            return Delivery.UNKNOWN
        refused = response.code in (409, 429, 503)
        if refused and self._headers.get(NOT_RUN_HEADER, "").lower() == "true":
            return Delivery.REFUSED
        return Delivery.ANSWERED


def _was_connected(response: HTTPResponse) -> bool:
    """Whether a failed transfer came so far that it may have sent anything.

    Over TLS nothing is sent before the handshake has ended.
    """
    step = "appconnect" if response.request.url.startswith("https:") else "pretransfer"
    return bool(response.time_info.get(step))
