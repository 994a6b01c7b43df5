"""HTTP client of all processes, based on curl; it returns failures as responses."""

from collections.abc import Callable

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse

UPLOADED = "uploaded"  # key of the bytes of the body sent, beside the timings
TRANSFER_FAILED_STATUS = 599  # status that tornado sets for a failed transfer


class _ReportingClient(CurlAsyncHTTPClient):
    """Attaches the response to the error that ``fetch`` raises for it.

    The response's timings show how far a failed transfer progressed.
    """

    def fetch_impl(
        self, request: HTTPRequest, callback: Callable[[HTTPResponse], None]
    ) -> None:
        def report(response: HTTPResponse) -> None:
            if isinstance(response.error, HTTPError):
                response.error.response = response
            callback(response)

        super().fetch_impl(request, report)

    def _finish(
        self,
        curl: pycurl.Curl,
        curl_error: int | None = None,
        curl_message: str | None = None,
    ) -> None:
        # The handle may serve another request once the response is passed on.
        uploaded = curl.getinfo(pycurl.SIZE_UPLOAD)
        report = curl.info["callback"]

        def add_uploaded(response: HTTPResponse) -> None:
            response.time_info[UPLOADED] = uploaded
            report(response)

        curl.info["callback"] = add_uploaded
        super()._finish(curl, curl_error, curl_message)

    def close(self) -> None:
        """Close all connections, and remove the timer that closing them sets."""
        super().close()
        if self._timeout is not None:
            self.io_loop.remove_timeout(self._timeout)


def use_own_connection(curl: pycurl.Curl) -> None:
    """Make a call on a connection of its own, on which no copy of another can come."""
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


class HttpClient:
    """Sends requests; at most ``max_clients`` are in flight at a time."""

    def __init__(self, max_clients: int) -> None:
        self._curl = _ReportingClient(force_instance=True, max_clients=max_clients)

    async def fetch(self, request: HTTPRequest) -> HTTPResponse:
        """Return the response; a failed transfer has ``TRANSFER_FAILED_STATUS``."""
        try:
            return await self._curl.fetch(request, raise_error=False)
        except HTTPError as error:
            if error.response is None:
                return HTTPResponse(request, TRANSFER_FAILED_STATUS, error=error)
            return error.response

    def close(self) -> None:
        """Close all connections; transfers in flight are aborted."""
        self._curl.close()
