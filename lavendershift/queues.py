"""Bounded waiting for a server while all of them are busy.

``RequestQueue`` holds the requests for one model or service. Interactive ones
go before batch ones; a batch request whose latest start is near goes with the
interactive ones, in at most one of ``URGENT_INTERVAL`` turns. Within a class
the customer with the least service for its weight is next (start-time fair
queueing); its interactive requests are taken in order of arrival, its batch
requests by the latest start that still meets their deadline.

A request that cannot meet its deadline, or does not fit, is refused at once
and told when to come back. The queue never holds a request that was given up::

    queue.enqueue(ticket)     # Success(Enqueued(displaced)) or Failure
    queue.take(fits)          # the next ticket when a server has room
    queue.expire()            # refusals of those that became hopeless
"""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from returns.result import Failure, Result, Success

from lavendershift.clocks import Clock
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.fairness import FairShare

MAX_WAITING = 256  # of each class
MAX_INTERACTIVE_WAIT = timedelta(seconds=1)
URGENT_MARGIN = timedelta(seconds=10)  # before the latest start
URGENT_INTERVAL = 4  # turns, of which one may go to urgent batch requests
SHORTEST_RETRY = timedelta(milliseconds=100)
RATE_WEIGHT = 0.1  # of the newest observation
INITIAL_STARTS_PER_S = 5.0


class Ticket(NamedTuple):
    """A request that waits.

    ``cost`` is its share of service, in tokens. ``service_time`` is how long
    it is expected to take once started; ``deadline`` is on the scale of
    ``Clock.elapsed``.
    """

    id: str
    customer: str
    priority: str = "interactive"
    deadline: timedelta | None = None
    service_time: timedelta = timedelta()
    cost: float = 1.0
    weight: float = 1.0

    @property
    def latest_start(self) -> timedelta:
        """The last moment at which a start still meets the deadline."""
        if self.deadline is None:
            return timedelta.max
        return self.deadline - self.service_time


class Refusal(NamedTuple):
    """A ticket that is out of the queue, and what to tell its caller."""

    ticket: Ticket
    error: RequestError


class Enqueued(NamedTuple):
    """A ticket's entry; ``displaced`` had to leave and are to be told at once."""

    displaced: list[Refusal]


class StartRate:
    """How often waiting requests are started, for estimates of the wait."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._interval_s = 1 / INITIAL_STARTS_PER_S
        self._last = clock.elapsed()

    def note_busy(self) -> None:
        """Note that the first request waits: the next interval starts."""
        self._last = self._clock.elapsed()

    def note_start(self) -> None:
        """Note that a request was taken from the queue."""
        now = self._clock.elapsed()
        seconds = (now - self._last).total_seconds()
        self._interval_s += RATE_WEIGHT * (seconds - self._interval_s)
        self._last = now

    def estimate_wait(self, ahead: float) -> timedelta:
        """Return the wait behind ``ahead`` requests."""
        return timedelta(seconds=(ahead + 1) * self._interval_s)


class _Line:
    """The waiting tickets of one class, by customer."""

    def __init__(self) -> None:
        self.shares = FairShare()
        self.customers: dict[str, dict[str, Ticket]] = {}

    def __len__(self) -> int:
        return sum(len(tickets) for tickets in self.customers.values())

    def list_tickets(self) -> list[Ticket]:
        """Return all tickets, each customer's in order of arrival."""
        return [t for tickets in self.customers.values() for t in tickets.values()]

    def add(self, ticket: Ticket) -> None:
        """Append a ticket."""
        if ticket.customer not in self.customers:
            self.shares.activate(ticket.customer)
        self.customers.setdefault(ticket.customer, {})[ticket.id] = ticket

    def remove(self, ticket: Ticket) -> None:
        """Drop a ticket, whether it is served or not."""
        tickets = self.customers[ticket.customer]
        del tickets[ticket.id]
        if not tickets:
            del self.customers[ticket.customer]

    def find_head(self) -> Ticket | None:
        """Return the ticket to serve next."""
        if not self.customers:
            return None
        tickets = self.customers[self.shares.choose(self.customers)].values()
        if next(iter(tickets)).priority == "batch":
            return min(tickets, key=lambda t: t.latest_start)
        return next(iter(tickets))

    def count_ahead(self, ticket: Ticket) -> float:
        """Return how many are served before a newcomer under fair sharing."""
        own = len(self.customers.get(ticket.customer, ()))
        ahead = float(own)
        for customer, tickets in self.customers.items():
            if customer != ticket.customer:
                weight = next(iter(tickets.values())).weight
                due = (own + 1) * weight / max(ticket.weight, 1e-9)
                ahead += min(len(tickets), due)
        return ahead

    def choose_displaced(self, newcomer: Ticket) -> Ticket:
        """Return the ticket that gives way when one too many would wait."""

        def measure(customer: str) -> float:
            tickets = [*self.customers.get(customer, {}).values()]
            if customer == newcomer.customer:
                tickets.append(newcomer)
            return len(tickets) / max(tickets[0].weight, 1e-9)

        loser = max([newcomer.customer, *self.customers], key=measure)
        if loser == newcomer.customer:
            return newcomer
        return next(reversed(self.customers[loser].values()))


class RequestQueue:
    """The requests that wait for one model or service."""

    def __init__(self, clock: Clock, max_waiting: int = MAX_WAITING) -> None:
        self._clock = clock
        self._max_waiting = max_waiting
        self._lines = {"interactive": _Line(), "batch": _Line()}
        self._tickets: dict[str, Ticket] = {}
        self._rate = StartRate(clock)
        self._turns = 0

    def __len__(self) -> int:
        return len(self._tickets)

    def has_waiting(self, priority: str) -> bool:
        """Tell whether a newcomer of this class has to queue behind others."""
        return len(self._lines[priority]) > 0

    def enqueue(self, ticket: Ticket) -> Result[Enqueued, RequestError]:
        """Let ``ticket`` wait, or refuse it at once.

        Fails with ``DEADLINE_UNREACHABLE`` or ``OVERLOADED``. Where the queue
        is full, the customer with the most waiting for its weight gives way.
        """
        error = self._check_wait(ticket)
        if error is not None:
            return Failure(error)
        line = self._lines[ticket.priority]
        displaced = []
        if len(line) >= self._max_waiting:
            loser = line.choose_displaced(ticket)
            full = RequestError(
                ErrorKind.OVERLOADED, "queue is full", self._rate.estimate_wait(0)
            )
            if loser is ticket:
                return Failure(full)
            self._remove(loser)
            displaced.append(Refusal(loser, full))
        if not self._tickets:
            self._rate.note_busy()
        line.add(ticket)
        self._tickets[ticket.id] = ticket
        return Success(Enqueued(displaced))

    def take(self, fits: Callable[[Ticket], bool]) -> Ticket | None:
        """Remove and return the next ticket that can start now.

        ``fits`` is asked about the head of each class, in order, and tells
        whether some server has room for it.
        """
        for line in self._order_lines():
            head = line.find_head()
            if head is not None and fits(head):
                line.shares.charge(head.customer, head.cost, head.weight)
                self._remove(head)
                self._note_start()
                return head
        return None

    def is_urgent(self, ticket: Ticket) -> bool:
        """Tell whether ``ticket`` has to start soon to meet its deadline."""
        return ticket.latest_start - self._clock.elapsed() <= URGENT_MARGIN

    def cancel(self, ticket_id: str) -> bool:
        """Drop a ticket whose caller has gone; ``False`` if it does not wait."""
        ticket = self._tickets.get(ticket_id)
        if ticket is None:
            return False
        self._remove(ticket)
        return True

    def expire(self) -> list[Refusal]:
        """Remove the tickets that can no longer meet their deadline."""
        now = self._clock.elapsed()
        late = [t for t in self._tickets.values() if t.latest_start < now]
        for ticket in late:
            self._remove(ticket)
        return [Refusal(t, refuse_late(now - t.latest_start)) for t in late]

    def estimate_wait(self, ticket: Ticket) -> timedelta:
        """Return how long a newcomer would wait for its start.

        With nobody ahead it is zero: the next free place is its own, and its
        start corrects an outdated estimate.
        """
        ahead = self._lines[ticket.priority].count_ahead(ticket)
        if ticket.priority == "batch":
            ahead += len(self._lines["interactive"])
        return self._rate.estimate_wait(ahead) if ahead else timedelta()

    def _check_wait(self, ticket: Ticket) -> RequestError | None:
        wait = self.estimate_wait(ticket)
        start = self._clock.elapsed() + wait
        if start > ticket.latest_start:
            return refuse_late(start - ticket.latest_start)
        if ticket.priority == "interactive" and wait > MAX_INTERACTIVE_WAIT:
            retry_after = max(wait - MAX_INTERACTIVE_WAIT, SHORTEST_RETRY)
            return RequestError(ErrorKind.OVERLOADED, "wait too long", retry_after)
        return None

    def _order_lines(self) -> list[_Line]:
        interactive, batch = self._lines["interactive"], self._lines["batch"]
        head = batch.find_head()
        if head is None or self._turns % URGENT_INTERVAL:
            return [interactive, batch]
        if not self.is_urgent(head):
            return [interactive, batch]
        return [batch, interactive]

    def _note_start(self) -> None:
        self._turns += 1
        self._rate.note_start()

    def _remove(self, ticket: Ticket) -> None:
        del self._tickets[ticket.id]
        self._lines[ticket.priority].remove(ticket)


def refuse_late(missing: timedelta) -> RequestError:
    """Return the refusal of a request that is ``missing`` too late to start."""
    retry_after = max(missing, SHORTEST_RETRY)
    return RequestError(ErrorKind.DEADLINE_UNREACHABLE, "wait too long", retry_after)
