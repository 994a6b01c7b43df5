"""Rows of granted tokens in a keyed topic of the store."""

import msgspec

from lavendershift.errors import LogUnavailableError
from lavendershift.grantrows import GrantRow, SwapResult
from lavendershift.platform import names
from lavendershift.platform.store import AppendResult, Record, StoreClient

RESULTS = {
    AppendResult.DONE: SwapResult.DONE,
    AppendResult.MOVED: SwapResult.MOVED,
    AppendResult.NOT_DONE: SwapResult.REFUSED,
    AppendResult.UNKNOWN: SwapResult.UNKNOWN,
}


class _Row(msgspec.Struct):
    granted: int
    change: str


class StoreQuotaLog:
    """The rows of one partition, each a record under its customer's name."""

    def __init__(self, store: StoreClient, partition: int = 0) -> None:
        self._store = store
        self._partition = partition

    async def read_newest(self) -> tuple[list[GrantRow], int]:
        """Return the newest row of each customer and an end before them."""
        batch = await self._store.read_newest(names.GRANTS_TOPIC, self._partition)
        return [decode_row(record) for record in batch.records], batch.next_offset

    async def read_records(self, offset: int) -> list[GrantRow]:
        """Return the rows from ``offset`` on to the log's end.

        Raises ``LogUnavailableError`` where the store does not send them all.
        """
        rows: list[GrantRow] = []
        while True:
            batch = await self._store.read(
                names.GRANTS_TOPIC, self._partition, offset + len(rows)
            )
            rows += [decode_row(record) for record in batch.records]
            if batch.next_offset >= batch.end:
                return rows
            if not batch.records:
                raise LogUnavailableError("a read that ends before its rows")

    async def swap(self, end: int, rows: list[GrantRow]) -> SwapResult:
        """Append ``rows``, all or none, if the partition ends at ``end``."""
        records = [
            (row.customer.encode(), msgspec.json.encode(_Row(row.granted, row.change)))
            for row in rows
        ]
        result, _ = await self._store.append(
            names.GRANTS_TOPIC, self._partition, records, end
        )
        return RESULTS[result]


def decode_row(record: Record) -> GrantRow:
    """Return a row; raises ``LogUnavailableError`` for one that can't be read."""
    try:
        row = msgspec.json.decode(record.value, type=_Row)
        return GrantRow(record.key.decode(), row.granted, row.change)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise LogUnavailableError(f"row {record.offset}: {error}") from None
