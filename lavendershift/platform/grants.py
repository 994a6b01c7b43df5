"""Quota records in a keyed topic of the store."""

import msgspec

from lavendershift.decoding import Count, decode_json
from lavendershift.errors import DecodeError, LogUnavailableError
from lavendershift.platform import names
from lavendershift.platform.store import AppendResult, Record, StoreClient
from lavendershift.quotarecords import QuotaRecord, SwapResult

RESULTS = {
    AppendResult.DONE: SwapResult.DONE,
    AppendResult.MOVED: SwapResult.MOVED,
    AppendResult.NOT_DONE: SwapResult.REFUSED,
    AppendResult.UNKNOWN: SwapResult.UNKNOWN,
}


class _QuotaValue(msgspec.Struct):
    granted: Count
    change: str


class StoreQuotaLog:
    """The quota records of one partition, keyed by customer."""

    def __init__(self, store: StoreClient, partition: int = 0) -> None:
        self._store = store
        self._partition = partition

    async def read_newest(self) -> tuple[list[QuotaRecord], int]:
        """Return each customer's newest record and an offset to read on from."""
        batch = await self._store.read_newest(names.GRANTS_TOPIC, self._partition)
        return [decode_record(record) for record in batch.records], batch.next_offset

    async def read_records(self, offset: int) -> list[QuotaRecord]:
        """Return the records from ``offset`` to the end of the log.

        Raises ``LogUnavailableError`` if the store does not send all of them.
        """
        quota_records: list[QuotaRecord] = []
        while True:
            batch = await self._store.read(
                names.GRANTS_TOPIC, self._partition, offset + len(quota_records)
            )
            quota_records += [decode_record(record) for record in batch.records]
            if batch.next_offset >= batch.end:
                return quota_records
            if not batch.records:
                raise LogUnavailableError(
                    "the store sent fewer quota records than the partition has"
                )

    async def swap(self, end: int, quota_records: list[QuotaRecord]) -> SwapResult:
        """Append ``quota_records`` atomically if the partition ends at ``end``."""
        records = [
            (
                quota.customer.encode(),
                msgspec.json.encode(_QuotaValue(quota.granted, quota.change_id)),
            )
            for quota in quota_records
            if quota.granted is not None
        ]
        result, _ = await self._store.append(
            names.GRANTS_TOPIC, self._partition, records, end
        )
        return RESULTS[result]


def decode_record(record: Record) -> QuotaRecord:
    """Decode a quota record; one that is malformed has no number of grants.

    A key that is no text has the empty name, which no customer has.
    """
    try:
        customer = record.key.decode()
    except UnicodeDecodeError:
        return QuotaRecord("", None, "", "the key is no text")
    try:
        quota = decode_json(record.value, _QuotaValue, "quota")
    except DecodeError as error:
        return QuotaRecord(customer, None, "", error.reason)
    return QuotaRecord(customer, quota.granted, quota.change)
