import random
from datetime import timedelta

import pytest

from lavendershift.clocks import ManualClock
from lavendershift.errors import ANSWERS, ErrorKind, Ran
from lavendershift.overload.admissions import (
    MIN_SHARE,
    Cause,
    OverloadAdmission,
    OverloadError,
)
from lavendershift.overload.servicetimes import LateShare, ServiceTimes
from lavendershift.overload.shares import divide_evenly, divide_in_order
from lavendershift.overload.works import Work
from lavendershift.tests.silencesimulation import SilenceFleet, Size

MS = timedelta(milliseconds=1)
TARGET = 1000 * MS
LATE_WORK = Work("", "other", 0, TARGET, TARGET, 0, None)


class AdmissionBench:
    """An admission with a fixed excess, and requests at a fixed rate."""

    def __init__(self, excess=0.5, seed=3):
        self.clock = ManualClock()
        self.excess = excess
        self.is_late = True
        self.admission = OverloadAdmission(
            self.clock, random.Random(seed), lambda: self.excess, lambda: 300 * MS
        )
        self.number = 0

    def make_work(self, customer="a", kind="chat", urgency=0, size=0, left=10_000):
        self.number += 1
        return Work(
            customer,
            kind,
            urgency,
            TARGET,
            self.clock.elapsed() + left * MS,
            size,
            self.number,
        )

    def try_work(self, work):
        """Return the error with which a request is refused, or ``None``.

        Another delivery is late, as on an overloaded VM, if ``is_late`` is set.
        """
        if self.excess and self.is_late:
            self.admission.note_delivery(LATE_WORK, timedelta(), timedelta(), TARGET)
        try:
            self.admission.admit(work)
        except OverloadError as error:
            return error
        return None

    def run(self, counts, seconds=4):
        """Send requests per 100 ms; return the admitted fraction by description.

        ``counts`` has the number of requests by their customer, kind and urgency. The
        first second doesn't count.
        """
        admitted, total = dict.fromkeys(counts, 0), dict.fromkeys(counts, 0)
        for step in range(seconds * 10):
            self.clock.advance(100 * MS)
            for description, count in counts.items():
                for _ in range(count):
                    error = self.try_work(self.make_work(*description))
                    if step >= 10:
                        total[description] += 1
                        admitted[description] += error is None
        return {key: admitted[key] / total[key] for key in counts}


def test_without_excess_everything_is_admitted():
    """Guards against refusals on a calm VM, also of requests that it can't finish."""
    bench = AdmissionBench(excess=0.0)
    work = bench.make_work(left=1)
    bench.admission.note_delivery(work, timedelta(), timedelta(), 9000 * MS)
    assert bench.try_work(work) is None
    bench.admission.check_after_wait(work)
    assert set(bench.run({("a", "chat", 0): 50}).values()) == {1.0}


def test_customers_with_less_than_their_share_are_not_refused():
    served = AdmissionBench().run({("large", "chat", 0): 20, ("small", "chat", 0): 2})
    assert served["small", "chat", 0] > 0.95
    assert 0.2 < served["large", "chat", 0] < 0.5


def test_what_a_customer_does_not_use_goes_to_others_within_a_second():
    bench = AdmissionBench()
    both = bench.run({("a", "chat", 0): 10, ("b", "chat", 0): 10})
    assert abs(both["a", "chat", 0] - both["b", "chat", 0]) < 0.15
    alone = bench.run({("a", "chat", 0): 6}, seconds=3)
    assert alone["a", "chat", 0] > both["a", "chat", 0] - 0.1


def test_urgent_requests_go_first_and_no_kind_is_starved():
    served = AdmissionBench(0.4).run(
        {("a", "chat", 0): 8, ("a", "plain", 1): 8, ("a", "tag", 2): 8}, seconds=20
    )
    chat, plain, tag = served.values()
    assert chat > 0.95 > plain > tag
    assert tag > 0.25 * sum(served.values()) / 3


def test_a_customer_beside_many_small_ones_is_not_starved():
    """A large customer got nothing where many small ones use what can be served."""
    counts = {(f"small-{n}", "chat", 0): 1 for n in range(40)}
    served = AdmissionBench(0.4).run({**counts, ("large", "chat", 0): 40})
    mean = (sum(served.values()) - served["large", "chat", 0]) / 40
    overall = (mean + served["large", "chat", 0]) / 2
    assert served["large", "chat", 0] >= 0.25 * overall


def test_the_largest_requests_are_not_starved():
    bench = AdmissionBench(0.4)
    served = {100: 0, 1000: 0, 5000: 0}
    for step in range(600):
        bench.clock.advance(10 * MS)
        size = [100, 1000, 1000, 1000, 5000][step % 5]
        served[size] += bench.try_work(bench.make_work(size=size)) is None
    assert served[5000] / 120 > served[1000] / 360 > 0.3
    assert served[100] / 120 > 0.5 * served[1000] / 360


def test_a_returning_request_goes_before_a_new_one():
    """A request that is refused twice costs its caller more than one refusal."""
    bench = AdmissionBench(0.4)
    waiting, returned, served = [], 0, 0
    for step in range(800):
        bench.clock.advance(10 * MS)
        work = bench.make_work()
        if bench.try_work(work) is not None and step % 3 == 0:
            waiting.append((step + 20, work))
        while waiting and waiting[0][0] <= step:
            returned += 1
            served += bench.try_work(waiting.pop(0)[1]) is None
    assert returned > 50
    assert served / returned > 0.95


def test_a_request_that_cannot_finish_in_time_is_refused_at_arrival():
    bench = AdmissionBench(0.1)
    for _ in range(5):
        work = bench.make_work()
        bench.admission.note_delivery(work, timedelta(), 500 * MS, 2000 * MS)
    assert bench.try_work(bench.make_work(left=1900)).cause is Cause.TIME
    bench.clock.advance(timedelta(seconds=0.1))
    assert bench.try_work(bench.make_work(left=1000, kind="unknown")) is None
    with pytest.raises(OverloadError) as caught:
        bench.admission.check_after_wait(bench.make_work(left=1400))
    assert caught.value.cause is Cause.WAIT
    bench.admission.check_after_wait(bench.make_work(left=1900))
    bench.clock.advance(timedelta(seconds=3))  # the estimate has expired
    assert bench.try_work(bench.make_work(left=1000)) is None


def test_on_time_deliveries_end_refusals():
    """A refusal costs more than a response that is on time in spite of the lag."""
    bench = AdmissionBench(0.5)
    bench.is_late = False
    refused = 0
    for _ in range(300):
        bench.clock.advance(10 * MS)
        work, now = bench.make_work(), bench.clock.elapsed()
        refused += bench.try_work(work) is not None
        bench.admission.note_delivery(work, now, timedelta(), now + 20 * MS)
    assert not refused


def test_few_requests_are_admitted_whatever_keeps_the_loop_late():
    """On a busy machine, a VM with little to do would refuse what it can serve."""
    bench = AdmissionBench(0.9)
    served = bench.run({("a", "chat", 0): 1})  # 10 a second
    assert served["a", "chat", 0] == 1
    served = bench.run({("a", "chat", 0): 3})
    assert served["a", "chat", 0] < 1


def test_retry_delays_are_spread_acceptable_and_shorter_for_returning_callers():
    bench = AdmissionBench(0.9)
    first, second = [], []
    for _ in range(300):
        bench.clock.advance(10 * MS)
        work = bench.make_work(left=2000)
        error = bench.try_work(work)
        if error is not None:
            first.append(error.retry_after)
            error = bench.try_work(work)
            if error is not None:
                second.append(error.retry_after)
    assert max(first) <= 2000 * MS / 3
    assert max(first) - min(first) > 200 * MS
    assert sum(second, timedelta()) / len(second) < sum(first, timedelta()) / len(first)


def test_refusals_stop_while_most_refused_callers_return():
    """Refused callers that return at once cost more processor time than is saved."""
    bench = AdmissionBench(0.9)
    refused = []
    for step in range(300):
        bench.clock.advance(10 * MS)
        work = bench.make_work()
        attempts = 0
        while attempts < 3 and bench.try_work(work) is not None:
            attempts += 1
        refused.append((step, attempts))
    assert any(attempts for step, attempts in refused if step < 30)
    assert not any(attempts for step, attempts in refused if step > 30)


def test_what_is_remembered_is_bounded():
    bench = AdmissionBench(0.9)
    for number in range(20_000):
        bench.clock.advance(1 * MS)
        bench.try_work(bench.make_work(f"c{number % 500}", f"k{number % 7}"))
    admission = bench.admission
    assert len(admission._refused) <= 4096
    assert len(admission._rates) <= 4000
    bench.excess = 0.0
    bench.try_work(bench.make_work())
    assert not admission._demands


def test_equal_parts_and_floors():
    assert divide_evenly({"a": 90, "b": 10}, 50, 0.1) == {"a": 40, "b": 10}
    assert divide_evenly({"a": 90, "b": 90}, 50, 0.1) == {"a": 25, "b": 25}
    assert divide_in_order([90, 10], 50, 0.1) == [49, 1]
    rng = random.Random(5)
    for _ in range(300):
        demands = {str(n): rng.uniform(0.01, 50) for n in range(rng.randrange(1, 20))}
        total, rate = sum(demands.values()), rng.random()
        floor = rate * MIN_SHARE
        for parts in (
            divide_evenly(demands, total * rate, floor).values(),
            divide_in_order(list(demands.values()), total * rate, floor),
        ):
            assert abs(sum(parts) - total * rate) < 1e-6
        for name, part in divide_evenly(demands, total * rate, floor).items():
            assert demands[name] * floor - 1e-9 <= part <= demands[name] + 1e-9


def test_estimates_follow_deliveries_and_expire():
    clock = ManualClock()
    times, late = ServiceTimes(clock), LateShare(clock)
    assert times.estimate("chat") is None
    assert late.measure() == 0
    for number in range(60):
        clock.advance(50 * MS)
        times.note("chat", 300 * MS)
        late.note(number % 2 == 0)
    assert times.estimate("chat") == 300 * MS
    assert 0.4 < late.measure() < 0.5
    clock.advance(timedelta(seconds=20))
    assert times.estimate("chat") is None
    assert late.measure() < 0.01


def test_a_refusal_says_that_the_request_has_not_run():
    answer = ANSWERS[ErrorKind.VM_OVERLOADED]
    assert (answer.status, answer.ran) == (503, Ran.NO)


@pytest.mark.parametrize("is_overloaded", [True, False])
def test_a_gateway_refuses_before_anything_is_sent(is_overloaded):
    fleet = SilenceFleet(1, Size(1, 1, 4, 100))
    vm = fleet.find_vm(0)
    if is_overloaded:
        vm.gateway.admission.find_excess = lambda: 0.75
        vm.gateway.admission.find_lag = lambda: 300 * MS
    fleet.run(3)
    refused = [c for c in fleet.calls.values() if c.error == "VM_OVERLOADED"]
    assert bool(refused) == is_overloaded
    assert not any(call.flights for call in refused)
    assert any(call.is_done for call in fleet.calls.values())
    assert not fleet.reports.errors
