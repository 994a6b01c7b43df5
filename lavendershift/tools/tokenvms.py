"""A VM of a day of prepaid requests: its accounts, and the page of its process."""

import math
from collections.abc import Mapping
from datetime import timedelta

from lavendershift.leases import UNLOCK_DELAY, find_lease_terms
from lavendershift.prepaid import LeaseTerms, PrepaidAccount, SpendingLimit


class TokenVm:
    """Holds tokens; a process that was killed leaves what its page did not promise."""

    def __init__(self, name: str, domain: int) -> None:
        self.name = name
        self.domain = domain
        self.is_up = True
        self.starts = 0
        self._accounts: dict[str, PrepaidAccount] = {}
        self._page: dict[str, tuple[int, LeaseTerms]] = {}
        self._page_at = timedelta()

    def find_account(self, customer: str) -> PrepaidAccount:
        """Return a customer's account, empty at first."""
        return self._accounts.setdefault(customer, PrepaidAccount(customer))

    def count_held(self) -> int:
        """Return the tokens that are free here or set aside for requests."""
        return sum(a.free + a.reserved for a in self._accounts.values())

    def write_page(self, now: timedelta, wanted: Mapping[str, int]) -> None:
        """Write a page; ``wanted`` tokens count as spent already."""
        self._page_at = now
        for customer, account in self._accounts.items():
            ahead = min(wanted.get(customer, 0), account.free)
            unspent = account.free - ahead
            burst, rate = find_lease_terms(account, now)
            self._page[customer] = (
                unspent,
                LeaseTerms(burst, rate, unspent, UNLOCK_DELAY),
            )
            promise = LeaseTerms(burst + ahead, rate, unspent, UNLOCK_DELAY)
            account.limits = [SpendingLimit(now, promise)]

    def end(self) -> None:
        """End the process."""
        self.is_up = False
        self.starts += 1
        self._accounts = {}

    def start(self, now: timedelta, adopts: bool) -> None:
        """Start a process, which may adopt what the last one left."""
        self.is_up = True
        if not adopts:
            return
        for customer, (unspent, promise) in self._page.items():
            left = unspent - math.ceil(promise.find_allowance(now - self._page_at))
            if left > 0:
                self.find_account(customer).credit(left)
