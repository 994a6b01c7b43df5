"""The quota records of all partitions, and what this VM knows of lost grants."""

from collections.abc import Sequence
from datetime import timedelta

from lavendershift.partitions import find_partition
from lavendershift.quotarecords import InquiryListener, QuotaRecords


class QuotaPartitions:
    """Finds the quota records of customers; one object for each partition."""

    def __init__(self, records: Sequence[QuotaRecords]) -> None:
        self._records = records

    def find_records(self, customer: str) -> QuotaRecords:
        """Return the quota records of the partition of ``customer``."""
        return self._records[find_partition(customer, len(self._records))]

    def find_era(self, customer: str) -> int:
        """Return the store's era of a customer's quota record."""
        return self.find_records(customer).era

    def find_draw_wait(self, customer: str) -> timedelta:
        """Return how long nothing can be drawn for ``customer`` after a restore."""
        return self.find_records(customer).find_draw_wait(customer)

    def note_told(self, customer: str, granted: int, era: int) -> None:
        """Note the grants after a draw of another VM, in case a restore loses it."""
        self.find_records(customer).note_told(customer, granted, era)

    def note_lost(self, customer: str, granted: int, era: int) -> None:
        """Note grants that the store in ``era`` may lack, as another VM says."""
        self.find_records(customer).note_lost(customer, granted, era)

    def find_unrecorded(self, customer: str, era: int, is_same_store: bool) -> int:
        """Return the known grants if the store in ``era`` may lack them, or else 0."""
        records = self.find_records(customer)
        return records.find_unrecorded(customer, era, is_same_store)

    def listen(self, on_inquiry: InquiryListener) -> None:
        """Call ``on_inquiry`` with the grants to ask other VMs about, and the era."""
        for records in self._records:
            records.on_inquiry = on_inquiry

    def list_lost(self) -> list[int]:
        """Return the partitions of which a restored store may lack known grants."""
        return [n for n, each in enumerate(self._records) if each.has_lost_grants]

    def find_read_at(self) -> timedelta:
        """Return when quota records were last known to be the newest."""
        times = [r.read_at for r in self._records if r.read_at is not None]
        return max(times, default=timedelta())
