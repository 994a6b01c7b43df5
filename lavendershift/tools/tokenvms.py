"""A simulated VM of the token experiment: its accounts and lease snapshot."""

import math
from collections.abc import Mapping
from datetime import timedelta

from lavendershift.leases import UNLOCK_DELAY, find_lease_terms
from lavendershift.prepaid import LeaseTerms, PrepaidAccount, SpendingLimit


class TokenVm:
    """Holds tokens of customers and writes lease snapshots.

    A later process of the VM can adopt the tokens that the previous one can't have
    committed under the terms of its last snapshot.
    """

    def __init__(self, name: str, domain: int) -> None:
        self.name = name
        self.domain = domain
        self.is_up = True
        self.starts = 0
        self._accounts: dict[str, PrepaidAccount] = {}
        self._snapshot: dict[str, tuple[int, LeaseTerms]] = {}
        self._snapshot_at = timedelta()

    def find_account(self, customer: str) -> PrepaidAccount:
        """Return a customer's account; create an empty one if there is none."""
        return self._accounts.setdefault(customer, PrepaidAccount(customer))

    def count_held(self) -> int:
        """Return the tokens that are free or reserved on this VM."""
        return sum(a.free + a.reserved for a in self._accounts.values())

    def write_snapshot(self, now: timedelta, wanted: Mapping[str, int]) -> None:
        """Write a lease snapshot; ``wanted`` tokens count as spent already."""
        self._snapshot_at = now
        for customer, account in self._accounts.items():
            pending = min(wanted.get(customer, 0), account.free)
            unspent = account.free - pending
            burst, rate = find_lease_terms(account, now)
            self._snapshot[customer] = (
                unspent,
                LeaseTerms(burst, rate, unspent, UNLOCK_DELAY),
            )
            terms = LeaseTerms(burst + pending, rate, unspent, UNLOCK_DELAY)
            account.limits = [SpendingLimit(now, terms)]

    def end(self) -> None:
        """End the process, which loses its accounts."""
        self.is_up = False
        self.starts += 1
        self._accounts = {}

    def start(self, now: timedelta, adopts_tokens: bool) -> None:
        """Start a process, which may adopt tokens of the previous one."""
        self.is_up = True
        if not adopts_tokens:
            return
        for customer, (unspent, terms) in self._snapshot.items():
            left = unspent - math.ceil(terms.find_allowance(now - self._snapshot_at))
            if left > 0:
                self.find_account(customer).credit(left)
