"""Service discovery for callers, and the HTTP server of a VM's status endpoints."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import IOStream

from lavendershift.evacuation.homes import Regions
from lavendershift.routes import RoutingTable
from lavendershift.vmlist import VmList
from lavendershift.workingset import WorkingSet

# Longest time for which callers cache addresses, and may call a VM that has left.
MAX_RESOLVE_TTL = timedelta(seconds=1)
MAX_ADDRESSES = 64  # maximum number of addresses in one response
# Limits of the status endpoints, whose requests have small headers and no body.
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 4096
MAX_BUFFER_BYTES = 65_536
CHUNK_BYTES = 4096
IDLE_TIMEOUT_S = 30
BODY_TIMEOUT_S = 5
MAX_CONNECTIONS = 64  # open connections to one endpoint


class SyncHttpServer:
    """An HTTP server whose handler returns the status and body without waiting."""

    def __init__(
        self,
        handle: Callable[[HTTPServerRequest], tuple[int, bytes]],
        content_type: str = "application/json",
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self._handle = handle
        self._content_type = content_type
        self._http = _SmallHttpServer(
            self._serve,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            body_timeout=BODY_TIMEOUT_S,
            chunk_size=CHUNK_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            max_buffer_size=MAX_BUFFER_BYTES,
        )
        self._http.max_connections = max_connections

    def listen(self, address: str) -> None:
        """Listen on ``address``."""
        host, _, port = address.rpartition(":")
        self._http.listen(int(port), address=host, backlog=512)

    def stop(self) -> None:
        """Accept no more connections."""
        self._http.stop()

    def _serve(self, request: HTTPServerRequest) -> None:
        status, body = self._handle(request)
        headers = HTTPHeaders(
            {"Content-Type": self._content_type, "Content-Length": str(len(body))}
        )
        connection: Any = request.connection
        assert connection is not None
        self._http.note_request(connection.stream)
        line = ResponseStartLine("HTTP/1.1", status, "OK" if status == 200 else "Error")
        connection.write_headers(line, headers, body)
        connection.finish()


class _SmallHttpServer(HTTPServer):
    """HTTP server that closes the least recently used of too many connections."""

    max_connections = MAX_CONNECTIONS

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a new connection."""
        used = [other for other in self._get_streams() if not other.closed()]
        excess = len(used) + 1 - self.max_connections
        for other in used[: max(excess, 0)]:
            other.close()
        self._streams = dict.fromkeys(used[max(excess, 0) :]) | {stream: None}
        super().handle_stream(stream, address)

    def note_request(self, stream: IOStream) -> None:
        """Note that a connection is used."""
        streams = self._get_streams()
        if stream in streams:
            del streams[stream]
            streams[stream] = None

    def _get_streams(self) -> dict[IOStream, None]:
        # tornado's servers are not initialized by ``__init__``.
        return self.__dict__.setdefault("_streams", {})


class VmDirectory:
    """Resolves the service to the addresses of active VMs."""

    def __init__(
        self, vms: VmList, working_set: WorkingSet, max_ttl: timedelta
    ) -> None:
        self.regions = Regions({})
        self.table: RoutingTable | None = None
        self._vms = vms
        self._working_set = working_set
        self._ttl = min(MAX_RESOLVE_TTL, max_ttl)

    def handle(self, request: HTTPServerRequest) -> tuple[int, bytes]:
        """Return the addresses of the active VMs for a caller's failure domain."""
        url = urlsplit(request.uri or "")
        if url.path != "/resolve":
            return 404, b"{}"
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        names = self._list_names(query)[:MAX_ADDRESSES]
        addresses = self._vms.list_addresses(names)
        if not addresses:
            return 503, b"{}"
        response = {"addresses": addresses, "ttl_s": self._ttl.total_seconds()}
        return 200, msgspec.json.encode(response)

    def _list_names(self, query: dict[str, str]) -> list[str]:
        """Return the active VMs for a caller, in regions where its body may go."""
        domain = query.get("zone", "")
        homes = self.table.list_homes(query.get("name", "")) if self.table else []
        region = query.get("region") or self.regions.by_domain.get(domain, "")
        if not homes:
            return self._working_set.list_for(domain)
        active = self._working_set.find_active()
        allowed = self.regions.choose_domains(active, region, homes)
        return self._working_set.list_for(domain, allowed)
