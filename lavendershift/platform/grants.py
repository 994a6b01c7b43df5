"""Quota records in a keyed topic of the store."""

import msgspec

from lavendershift.decoding import Count, decode_json
from lavendershift.errors import DecodeError, LogUnavailableError
from lavendershift.platform import names
from lavendershift.platform.store import StoreClient
from lavendershift.platform.storerecords import AppendResult, Record
from lavendershift.quotalogs import QuotaRecord, SwapResult
from lavendershift.storehistories import History, StoreRestoredError

RESULTS = {
    AppendResult.DONE: SwapResult.DONE,
    AppendResult.MOVED: SwapResult.MOVED,
    AppendResult.NOT_DONE: SwapResult.REFUSED,
    AppendResult.UNKNOWN: SwapResult.UNKNOWN,
}


class _QuotaValue(msgspec.Struct):
    granted: Count
    change: str
    era: Count | msgspec.UnsetType = msgspec.UNSET
    settled: bool | msgspec.UnsetType = msgspec.UNSET


class StoreQuotaLog:
    """The quota records of one partition, keyed by customer."""

    def __init__(self, store: StoreClient, partition: int = 0) -> None:
        self._store = store
        self._partition = partition
        self.history = store.history

    @property
    def newest_history(self) -> History:
        """The newest history of the store that this VM knows of."""
        return self._store.history

    @property
    def is_restored(self) -> bool:
        """Whether the store has another history than that of the last reading."""
        return self._store.history != self.history

    async def read_newest(self) -> tuple[list[QuotaRecord], int]:
        """Return each customer's newest record and an offset to read on from."""
        batch = await self._store.read_newest(names.GRANTS_TOPIC, self._partition)
        self.history = batch.history
        return [decode_record(record) for record in batch.records], batch.next_offset

    async def read_records(self, offset: int) -> list[QuotaRecord]:
        """Return the records from ``offset`` to the end of the log.

        Raises ``LogUnavailableError`` if the store does not send all of them, and
        ``StoreRestoredError`` if it was restored since ``read_newest``.
        """
        if self.is_restored:
            raise StoreRestoredError("the offset is from before a restore")
        quota_records: list[QuotaRecord] = []
        while True:
            batch = await self._store.read(
                names.GRANTS_TOPIC, self._partition, offset + len(quota_records)
            )
            if batch.history != self.history:
                raise StoreRestoredError("the offset is from before a restore")
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
                encode_value(quota, quota.granted),
            )
            for quota in quota_records
            if quota.granted is not None
        ]
        result, _ = await self._store.append(
            names.GRANTS_TOPIC, self._partition, records, end, self.history
        )
        return RESULTS[result]


def encode_value(quota: QuotaRecord, granted: int) -> bytes:
    """Encode a quota record; one of a store without eras has none."""
    value = _QuotaValue(granted, quota.change_id)
    if quota.era:
        value.era, value.settled = quota.era, quota.is_settled
    return msgspec.json.encode(value)


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
    return QuotaRecord(
        customer,
        quota.granted,
        quota.change,
        era=quota.era or 0,
        is_settled=quota.settled is not False,
    )
