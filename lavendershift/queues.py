"""Bounded queues of requests that wait while all servers are busy.

``RequestQueue`` holds the requests for one model or service. Interactive
requests are served before batch requests. A batch request whose latest start is
near is urgent and takes precedence in at most one of ``URGENT_INTERVAL`` turns.
Within a class, the customer that received the least service relative to its
weight is next (start-time fair queueing). A customer's interactive requests are
served in order of arrival, its batch requests by the latest start that still
meets their deadline.

A request that cannot meet its deadline, would wait too long or finds the queue
full is refused immediately with a retry delay. The queue never holds a cancelled
request::

    queue.enqueue(ticket)     # Success(Enqueued(displaced)) or Failure
    queue.take(fits)          # the next ticket that a server has capacity for
    queue.expire()            # refusals of tickets past their latest start
"""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from returns.result import Failure, Result, Success

from lavendershift.clocks import Clock
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.fairness import FairShare

MAX_WAITING = 256  # most waiting requests of one class in a queue
MAX_INTERACTIVE_WAIT = timedelta(seconds=1)
# Time before its latest start from which a batch request is urgent.
URGENT_MARGIN = timedelta(seconds=10)
URGENT_INTERVAL = 4  # turns, of which one may go to an urgent batch request
SHORTEST_RETRY = timedelta(milliseconds=100)
RATE_WEIGHT = 0.1  # smoothing factor of the mean interval between starts
INITIAL_STARTS_PER_S = 5.0


class Ticket(NamedTuple):
    """A queued request.

    ``cost`` is the service it consumes, in tokens. ``service_time`` is its
    expected duration once started. ``deadline`` is a time of ``Clock.elapsed``.
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
        """Latest time at which a start still meets the deadline."""
        if self.deadline is None:
            return timedelta.max
        return self.deadline - self.service_time


class Refusal(NamedTuple):
    """A ticket that was removed from the queue, and the error for its caller."""

    ticket: Ticket
    error: RequestError


class Enqueued(NamedTuple):
    """Result of queueing a ticket; ``displaced`` lists tickets to refuse now."""

    displaced: list[Refusal]


class StartRate:
    """Moving average of the interval between starts, to estimate waiting times."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._interval_s = 1 / INITIAL_STARTS_PER_S
        self._last = clock.elapsed()

    def restart_interval(self) -> None:
        """Start a new interval: the queue was empty until now."""
        self._last = self._clock.elapsed()

    def note_start(self) -> None:
        """Record that a request was taken from the queue."""
        now = self._clock.elapsed()
        seconds = (now - self._last).total_seconds()
        self._interval_s += RATE_WEIGHT * (seconds - self._interval_s)
        self._last = now

    def estimate_wait(self, ahead: float) -> timedelta:
        """Return the expected wait behind ``ahead`` requests."""
        return timedelta(seconds=(ahead + 1) * self._interval_s)


class _ClassQueue:
    """Queued tickets of one class, grouped by customer."""

    def __init__(self) -> None:
        self.shares = FairShare()
        self.customers: dict[str, dict[str, Ticket]] = {}

    def __len__(self) -> int:
        return sum(len(tickets) for tickets in self.customers.values())

    def list_tickets(self) -> list[Ticket]:
        """Return all tickets, each customer's in order of arrival."""
        return [t for tickets in self.customers.values() for t in tickets.values()]

    def add(self, ticket: Ticket) -> None:
        """Append a ticket to the tickets of its customer."""
        if ticket.customer not in self.customers:
            self.shares.activate(ticket.customer)
        self.customers.setdefault(ticket.customer, {})[ticket.id] = ticket

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket that was served, refused or cancelled."""
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
        """Return how many tickets fair sharing serves before a new ``ticket``."""
        own = len(self.customers.get(ticket.customer, ()))
        ahead = float(own)
        for customer, tickets in self.customers.items():
            if customer != ticket.customer:
                weight = next(iter(tickets.values())).weight
                due = (own + 1) * weight / max(ticket.weight, 1e-9)
                ahead += min(len(tickets), due)
        return ahead

    def choose_displaced(self, newcomer: Ticket) -> Ticket:
        """Return the ticket to refuse when ``newcomer`` finds the queue full.

        It is the newest ticket of the customer with the most tickets relative to
        its weight, the newcomer included.
        """

        def find_relative_length(customer: str) -> float:
            tickets = [*self.customers.get(customer, {}).values()]
            if customer == newcomer.customer:
                tickets.append(newcomer)
            return len(tickets) / max(tickets[0].weight, 1e-9)

        largest = max([newcomer.customer, *self.customers], key=find_relative_length)
        if largest == newcomer.customer:
            return newcomer
        return next(reversed(self.customers[largest].values()))


class RequestQueue:
    """Bounded queue of the requests for one model or service."""

    def __init__(self, clock: Clock, max_waiting: int = MAX_WAITING) -> None:
        self._clock = clock
        self._max_waiting = max_waiting
        self._classes = {"interactive": _ClassQueue(), "batch": _ClassQueue()}
        self._tickets: dict[str, Ticket] = {}
        self._rate = StartRate(clock)
        self._turns = 0

    def __len__(self) -> int:
        return len(self._tickets)

    def has_waiting(self, priority: str) -> bool:
        """Return whether requests of this class are queued already."""
        return len(self._classes[priority]) > 0

    def enqueue(self, ticket: Ticket) -> Result[Enqueued, RequestError]:
        """Queue ``ticket``, or refuse it immediately.

        Fails with ``DEADLINE_UNREACHABLE`` or ``OVERLOADED``. If the queue is
        full, a ticket of the customer with the most tickets relative to its
        weight is refused.
        """
        error = self._check_wait(ticket)
        if error is not None:
            return Failure(error)
        class_queue = self._classes[ticket.priority]
        displaced = []
        if len(class_queue) >= self._max_waiting:
            refused = class_queue.choose_displaced(ticket)
            full = RequestError(
                ErrorKind.OVERLOADED, "queue is full", self._rate.estimate_wait(0)
            )
            if refused is ticket:
                return Failure(full)
            self._remove(refused)
            displaced.append(Refusal(refused, full))
        if not self._tickets:
            self._rate.restart_interval()
        class_queue.add(ticket)
        self._tickets[ticket.id] = ticket
        return Success(Enqueued(displaced))

    def take(self, fits: Callable[[Ticket], bool]) -> Ticket | None:
        """Remove and return the next ticket that can start now.

        ``fits`` returns whether a server has capacity for a ticket; it is called
        for the head of each class, in order.
        """
        for class_queue in self._order_classes():
            head = class_queue.find_head()
            if head is not None and fits(head):
                class_queue.shares.charge(head.customer, head.cost, head.weight)
                self._remove(head)
                self._note_start()
                return head
        return None

    def is_urgent(self, ticket: Ticket) -> bool:
        """Return whether ``ticket`` has to start soon to meet its deadline."""
        return ticket.latest_start - self._clock.elapsed() <= URGENT_MARGIN

    def cancel(self, ticket_id: str) -> bool:
        """Remove the ticket of a cancelled request; ``False`` if it is not queued."""
        ticket = self._tickets.get(ticket_id)
        if ticket is None:
            return False
        self._remove(ticket)
        return True

    def expire(self) -> list[Refusal]:
        """Remove and return the tickets that can no longer meet their deadline."""
        now = self._clock.elapsed()
        late = [t for t in self._tickets.values() if t.latest_start < now]
        for ticket in late:
            self._remove(ticket)
        return [Refusal(t, make_deadline_error(now - t.latest_start)) for t in late]

    def estimate_wait(self, ticket: Ticket) -> timedelta:
        """Return how long a new ``ticket`` would wait for its start.

        The wait is zero if no ticket is ahead: the next free capacity goes to
        the new one, whose start corrects an outdated estimate of the rate.
        """
        ahead = self._classes[ticket.priority].count_ahead(ticket)
        if ticket.priority == "batch":
            ahead += len(self._classes["interactive"])
        return self._rate.estimate_wait(ahead) if ahead else timedelta()

    def _check_wait(self, ticket: Ticket) -> RequestError | None:
        wait = self.estimate_wait(ticket)
        start = self._clock.elapsed() + wait
        if start > ticket.latest_start:
            return make_deadline_error(start - ticket.latest_start)
        if ticket.priority == "interactive" and wait > MAX_INTERACTIVE_WAIT:
            retry_after = max(wait - MAX_INTERACTIVE_WAIT, SHORTEST_RETRY)
            return RequestError(ErrorKind.OVERLOADED, "wait too long", retry_after)
        return None

    def _order_classes(self) -> list[_ClassQueue]:
        interactive, batch = self._classes["interactive"], self._classes["batch"]
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
        self._classes[ticket.priority].remove(ticket)


def make_deadline_error(delay: timedelta) -> RequestError:
    """Return the error of a request that would start ``delay`` too late."""
    retry_after = max(delay, SHORTEST_RETRY)
    return RequestError(ErrorKind.DEADLINE_UNREACHABLE, "wait too long", retry_after)
