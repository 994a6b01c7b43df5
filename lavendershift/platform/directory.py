"""The small answers of a VM: where to connect, and whether it is ready."""

from collections.abc import Callable
from datetime import timedelta
from urllib.parse import parse_qs, urlsplit

import msgspec
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from lavendershift.vmlist import VmList
from lavendershift.workingset import WorkingSet

RESOLVE_TTL = timedelta(seconds=1)  # how soon callers learn of a VM that left
MAX_ADDRESSES = 64


class SmallServer:
    """An HTTP server whose answers are made at once."""

    def __init__(
        self,
        answer: Callable[[HTTPServerRequest], tuple[int, bytes]],
        content_type: str = "application/json",
    ) -> None:
        self._answer = answer
        self._content_type = content_type
        self._http = HTTPServer(self._serve, idle_connection_timeout=30)

    def listen(self, address: str) -> None:
        """Listen on ``address``."""
        host, _, port = address.rpartition(":")
        self._http.listen(int(port), address=host, backlog=512)

    def stop(self) -> None:
        """Take no more connections."""
        self._http.stop()

    def _serve(self, request: HTTPServerRequest) -> None:
        status, body = self._answer(request)
        headers = HTTPHeaders(
            {"Content-Type": self._content_type, "Content-Length": str(len(body))}
        )
        connection = request.connection
        assert connection is not None
        line = ResponseStartLine("HTTP/1.1", status, "OK" if status == 200 else "Error")
        connection.write_headers(line, headers, body)
        connection.finish()


class Directory:
    """Answers callers that ask for addresses."""

    def __init__(
        self, vms: VmList, working_set: WorkingSet, longest_ttl: timedelta
    ) -> None:
        self._vms = vms
        self._working_set = working_set
        self._ttl = min(RESOLVE_TTL, longest_ttl)

    def answer(self, request: HTTPServerRequest) -> tuple[int, bytes]:
        """Return the addresses of the active VMs for a caller's domain."""
        url = urlsplit(request.uri or "")
        if url.path != "/resolve":
            return 404, b"{}"
        domain = parse_qs(url.query).get("zone", [""])[0]
        names = self._working_set.list_for(domain)[:MAX_ADDRESSES]
        addresses = self._vms.list_addresses(names)
        if not addresses:
            return 503, b"{}"
        answer = {"addresses": addresses, "ttl_s": self._ttl.total_seconds()}
        return 200, msgspec.json.encode(answer)
