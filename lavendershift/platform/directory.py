"""Service discovery for callers, and the HTTP server of a VM's status endpoints."""

from collections.abc import Callable
from datetime import timedelta
from urllib.parse import parse_qs, urlsplit

import msgspec
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from lavendershift.evacuation.homes import Regions
from lavendershift.routes import RoutingTable
from lavendershift.vmlist import VmList
from lavendershift.workingset import WorkingSet

# Longest time for which callers cache addresses, and may call a VM that has left.
MAX_RESOLVE_TTL = timedelta(seconds=1)
MAX_ADDRESSES = 64  # maximum number of addresses in one response


class SyncHttpServer:
    """An HTTP server whose handler returns the status and body without waiting."""

    def __init__(
        self,
        handle: Callable[[HTTPServerRequest], tuple[int, bytes]],
        content_type: str = "application/json",
    ) -> None:
        self._handle = handle
        self._content_type = content_type
        self._http = HTTPServer(self._serve, idle_connection_timeout=30)

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
        connection = request.connection
        assert connection is not None
        line = ResponseStartLine("HTTP/1.1", status, "OK" if status == 200 else "Error")
        connection.write_headers(line, headers, body)
        connection.finish()


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
