"""Log client that accesses the platform's log service over HTTP."""

from collections.abc import Sequence
from datetime import timedelta
from typing import Any, NamedTuple

import msgspec
from tornado.httpclient import HTTPRequest, HTTPResponse

from lavendershift.decoding import prune_depth, run_decoder
from lavendershift.errors import DecodeError, LogUnavailableError, RecordsExpiredError
from lavendershift.httpclients import HttpClient, use_own_connection
from lavendershift.records import Record, decode_entry, encode_record
from lavendershift.streams import ReadResult, register_log_client

MAX_CLIENTS = 64


class EntriesBody(NamedTuple):
    """Undecoded entries ``[offset, time_ms, JSON record]`` of a read response."""

    entries: list[tuple[int, int, Any]]
    next_offset: int
    end_offset: int


class _ReadAnswer(msgspec.Struct):
    entries: list[tuple[int, int, Any]]
    next_offset: int
    end_offset: int


class _AppendAnswer(msgspec.Struct):
    first_offset: int


class _ExpiredAnswer(msgspec.Struct):
    first_offset: int


@register_log_client("http")
class HttpLogClient:
    """Appends and reads records of the log service at ``url``.

    ``timeout`` applies to each call, in addition to the ``wait`` of a read.
    ``received_bytes`` counts the bodies of all responses.
    """

    def __init__(self, url: str, timeout: timedelta) -> None:
        self._url = url.rstrip("/")
        self._timeout = timeout
        self._http = HttpClient(MAX_CLIENTS)
        self.received_bytes = 0

    async def append_records(self, stream: str, records: Sequence[Record]) -> int:
        """Append ``records`` and return the offset of the first."""
        return await self.append_raw(stream, [encode_record(r) for r in records])

    async def append_raw(self, stream: str, records: list[Any]) -> int:
        """Append JSON records; return the offset of the first."""
        response = await self._fetch(
            f"/streams/{stream}/records", self._timeout, msgspec.json.encode(records)
        )
        return self._decode(response, _AppendAnswer).first_offset

    async def read_entries(
        self, stream: str, offset: int, limit: int, wait: timedelta
    ) -> ReadResult:
        """Return entries from ``offset`` on; see ``streams.LogClient``."""
        body = await self.read_raw(stream, offset, limit, wait)
        entries = [decode_entry(stream, *raw) for raw in body.entries]
        return ReadResult(entries, body.next_offset, body.end_offset)

    async def read_raw(
        self, stream: str, offset: int, limit: int, wait: timedelta
    ) -> EntriesBody:
        """Return entries with undecoded JSON records; see ``read_entries``."""
        wait_ms = wait // timedelta(milliseconds=1)
        path = f"/streams/{stream}/records?offset={offset}&limit={limit}"
        response = await self._fetch(
            f"{path}&wait_ms={wait_ms}", self._timeout + wait, None
        )
        if response.code == 410:
            raise RecordsExpiredError(
                stream, self._decode(response, _ExpiredAnswer).first_offset
            )
        response_body = self._decode(response, _ReadAnswer)
        return EntriesBody(
            response_body.entries, response_body.next_offset, response_body.end_offset
        )

    async def close(self) -> None:
        """Close the HTTP client."""
        self._http.close()

    async def _fetch(
        self, path: str, timeout: timedelta, body: bytes | None
    ) -> HTTPResponse:
        request = HTTPRequest(
            self._url + path,
            method="GET" if body is None else "POST",
            body=body,
            headers={"Content-Type": "application/json"},
            connect_timeout=self._timeout.total_seconds(),
            request_timeout=timeout.total_seconds(),
            prepare_curl_callback=use_own_connection,
        )
        response = await self._http.fetch(request)
        self.received_bytes += len(response.body or b"")
        if response.code not in (200, 410):
            raise LogUnavailableError(f"{path}: status {response.code}")
        return response

    def _decode(self, response: HTTPResponse, answer_type: type) -> Any:
        body = response.body
        try:
            try:
                return decode_body(body, answer_type)
            except DecodeError:
                # One record that nests too deep mustn't hide those after it.
                return decode_body(prune_depth(body), answer_type)
        except DecodeError as error:
            raise LogUnavailableError(
                f"invalid response of the log service: {error}"
            ) from None


def decode_body(body: bytes, kind: type) -> Any:
    """Decode a response of the log service; raises ``DecodeError``."""
    return run_decoder(lambda: msgspec.json.decode(body, type=kind), "log service")
