from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from lavendershift.clocks import ManualClock
from lavendershift.errors import ANSWERS, ErrorKind, Ran
from lavendershift.queues import (
    MAX_INTERACTIVE_WAIT,
    URGENT_INTERVAL,
    RequestQueue,
    Ticket,
)


def seconds(value):
    return timedelta(seconds=value)


def take(queue):
    return queue.take(lambda ticket: True)


def drain(queue):
    return [take(queue).id for _ in range(len(queue))]


def test_interactive_requests_go_first_and_batch_ones_by_latest_start():
    queue = RequestQueue(ManualClock())
    for id, priority, deadline in [
        ("b-late", "batch", 900),
        ("b-soon", "batch", 300),
        ("i1", "interactive", 60),
        ("i2", "interactive", 30),
    ]:
        queue.enqueue(Ticket(id, "plume", priority, seconds(deadline))).unwrap()
    assert drain(queue) == ["i1", "i2", "b-soon", "b-late"]


def test_urgent_batch_requests_are_not_starved():
    clock = ManualClock()
    queue = RequestQueue(clock)
    queue.enqueue(Ticket("b", "plume", "batch", seconds(8))).unwrap()
    for number in range(4):
        queue.enqueue(Ticket(f"i{number}", "plume")).unwrap()
    assert "b" in drain(queue)[:URGENT_INTERVAL]


def test_a_class_that_does_not_fit_does_not_block_the_other():
    queue = RequestQueue(ManualClock())
    queue.enqueue(Ticket("i", "plume")).unwrap()
    queue.enqueue(Ticket("b", "plume", "batch")).unwrap()
    assert queue.take(lambda t: t.priority == "batch").id == "b"
    assert queue.take(lambda t: False) is None
    assert len(queue) == 1


@settings(derandomize=True, database=None)
@given(
    st.lists(st.tuples(st.integers(0, 2), st.integers(1, 50)), min_size=1, max_size=200)
)
def test_backlogged_customers_are_served_by_weight(arrivals):
    weights = {"c0": 1.0, "c1": 2.0, "c2": 4.0}
    queue = RequestQueue(ManualClock(), max_waiting=1000)
    waiting = dict.fromkeys(weights, 0)
    for number, (customer, cost) in enumerate(arrivals):
        name = f"c{customer}"
        ticket = Ticket(str(number), name, "batch", cost=cost, weight=weights[name])
        queue.enqueue(ticket).unwrap()
        waiting[name] += 1
    served = dict.fromkeys(weights, 0.0)
    backlogged = {name for name, count in waiting.items() if count}
    while len(queue):
        ticket = take(queue)
        served[ticket.customer] += ticket.cost / ticket.weight
        waiting[ticket.customer] -= 1
        if not all(waiting[name] for name in backlogged):
            break
        for one in backlogged:
            for other in backlogged:
                bound = 50 / weights[one] + 50 / weights[other]
                assert abs(served[one] - served[other]) <= bound


def test_a_weight_of_four_gets_four_times_the_service():
    queue = RequestQueue(ManualClock())
    for number in range(20):
        for name, weight in (("light", 1.0), ("heavy", 4.0)):
            ticket = Ticket(f"{name}{number}", name, "batch", cost=10, weight=weight)
            queue.enqueue(ticket).unwrap()
    served = [take(queue).customer for _ in range(20)]
    assert 15 <= served.count("heavy") <= 17


def test_a_ticket_past_its_latest_start_is_refused():
    clock = ManualClock()
    queue = RequestQueue(clock)
    ticket = Ticket("a", "plume", "interactive", seconds(9), service_time=seconds(3))
    queue.enqueue(ticket).unwrap()
    clock.advance(seconds(6))
    assert queue.expire() == []
    clock.advance(timedelta(milliseconds=1))
    [refusal] = queue.expire()
    assert refusal.ticket == ticket
    assert refusal.error.kind is ErrorKind.DEADLINE_UNREACHABLE
    assert take(queue) is None


def test_an_unreachable_deadline_is_refused_at_once_with_a_retry_delay():
    clock = ManualClock()
    queue = RequestQueue(clock)
    for number in range(100):
        queue.enqueue(Ticket(str(number), "plume", "batch")).unwrap()
    ticket = Ticket("x", "plume", "batch", seconds(5), service_time=seconds(2))
    error = queue.enqueue(ticket).failure()
    assert error.kind is ErrorKind.DEADLINE_UNREACHABLE
    assert ANSWERS[error.kind].ran is Ran.NO
    assert error.retry_after == queue.estimate_wait(ticket) - seconds(3)
    assert len(queue) == 100


def test_an_outdated_estimate_of_the_rate_is_corrected():
    clock = ManualClock()
    queue = RequestQueue(clock)
    for number in range(40):
        queue.enqueue(Ticket(f"slow{number}", "plume")).unwrap()
        clock.advance(seconds(30))
        assert take(queue) is not None
    for number in range(80):
        queue.enqueue(
            Ticket(f"fast{number}", "plume", deadline=clock.elapsed() + seconds(10))
        ).unwrap()
        clock.advance(timedelta(milliseconds=100))
        assert take(queue) is not None
    queue.enqueue(Ticket("first", "plume")).unwrap()
    queue.enqueue(Ticket("second", "plume")).unwrap()


def test_the_wait_of_interactive_requests_is_bounded():
    queue = RequestQueue(ManualClock())
    refused = 0
    for number in range(100):
        result = queue.enqueue(Ticket(str(number), "plume"))
        if not isinstance(result, Success):
            refused += 1
            assert result.failure().kind is ErrorKind.OVERLOADED
            assert result.failure().retry_after > timedelta()
    assert refused > 0
    assert queue.estimate_wait(Ticket("y", "plume")) > MAX_INTERACTIVE_WAIT
    assert isinstance(queue.enqueue(Ticket("z", "umoya")), Success)


def test_a_full_queue_displaces_the_customer_with_the_most_tickets():
    queue = RequestQueue(ManualClock(), max_waiting=4)
    for number in range(4):
        queue.enqueue(Ticket(str(number), "plume", "batch")).unwrap()
    refused = queue.enqueue(Ticket("4", "plume", "batch"))
    assert refused.failure().kind is ErrorKind.OVERLOADED
    [displaced] = queue.enqueue(Ticket("5", "umoya", "batch")).unwrap().displaced
    assert displaced.ticket.id == "3"
    assert displaced.error.kind is ErrorKind.OVERLOADED
    assert len(queue) == 4


@settings(derandomize=True, database=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["add", "take", "cancel", "wait"]), st.integers(0, 9)
        ),
        max_size=80,
    )
)
def test_no_ticket_is_lost_or_taken_after_its_removal(steps):
    clock = ManualClock()
    queue = RequestQueue(clock, max_waiting=5)
    waiting = {}
    for number, (step, value) in enumerate(steps):
        if step == "add":
            deadline = clock.elapsed() + seconds(value)
            priority = "batch" if value % 2 else "interactive"
            ticket = Ticket(str(number), f"c{value % 3}", priority, deadline)
            result = queue.enqueue(ticket)
            if isinstance(result, Success):
                waiting[ticket.id] = ticket
                for refusal in result.unwrap().displaced:
                    del waiting[refusal.ticket.id]
        elif step == "take":
            ticket = take(queue)
            assert (ticket is None) == (not waiting)
            if ticket is not None:
                assert waiting.pop(ticket.id).latest_start >= clock.elapsed()
        elif step == "cancel" and waiting:
            cancelled = sorted(waiting)[value % len(waiting)]
            assert queue.cancel(cancelled)
            del waiting[cancelled]
        else:
            clock.advance(seconds(value / 3))
            for refusal in queue.expire():
                assert waiting.pop(refusal.ticket.id).latest_start < clock.elapsed()
        assert len(queue) == len(waiting)


@pytest.mark.parametrize("priority", ["interactive", "batch"])
def test_a_cancelled_request_is_not_started(priority):
    queue = RequestQueue(ManualClock())
    queue.enqueue(Ticket("a", "plume", priority)).unwrap()
    assert queue.cancel("a")
    assert not queue.cancel("a")
    assert take(queue) is None
