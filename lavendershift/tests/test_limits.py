from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from lavendershift.clocks import ManualClock
from lavendershift.errors import ErrorKind
from lavendershift.limits import BURST_TIME, Limit, RateLimiter


@settings(derandomize=True, database=None)
@given(
    st.floats(0.2, 50),
    st.integers(1, 8),
    st.lists(st.floats(0, 1), min_size=1, max_size=100),
)
def test_the_fleet_keeps_its_rate_and_the_retry_delay_is_exact(rate, routers, steps):
    clock = ManualClock()
    limiters = [RateLimiter(clock) for _ in range(routers)]
    limit = Limit("desks/rennes/plume", rate)
    admitted = 0
    for number, step in enumerate(steps):
        clock.advance(timedelta(seconds=step))
        limiter = limiters[number % routers]
        result = limiter.admit([limit], 1 / routers)
        if isinstance(result, Success):
            limiter.release(result.unwrap())
            admitted += 1
            continue
        error = result.failure()
        assert error.kind is ErrorKind.RATE_LIMITED
        almost = error.retry_after - timedelta(milliseconds=1)
        if almost > timedelta():
            clock.advance(almost)
            assert not isinstance(limiter.admit([limit], 1 / routers), Success)
        clock.advance(error.retry_after - max(almost, timedelta()))
        permit = limiter.admit([limit], 1 / routers).unwrap()
        limiter.release(permit)
        admitted += 1
    elapsed = clock.elapsed().total_seconds()
    burst = max(BURST_TIME.total_seconds() * rate / routers, 1)
    assert admitted <= elapsed * rate + routers * burst + 1e-3


def test_concurrency_is_divided_and_freed_on_release():
    limiter = RateLimiter(ManualClock())
    limit = Limit("desks/rennes/plume", None, 8)
    permits = [limiter.admit([limit], 0.25).unwrap() for _ in range(2)]
    assert limiter.admit([limit], 0.25).failure().kind is ErrorKind.RATE_LIMITED
    limiter.release(permits[0])
    assert isinstance(limiter.admit([limit], 0.25), Success)


def test_a_refusal_consumes_no_limit():
    clock = ManualClock()
    limiter = RateLimiter(clock)
    customer = Limit("desks/rennes/plume", 1.0, 100)
    application = Limit("desks/rennes/plume/web", None, 0)
    for _ in range(10):
        result = limiter.admit([customer, application], 1.0)
        assert "web" in result.failure().detail
    for _ in range(2):
        assert isinstance(limiter.admit([customer], 1.0), Success)
    assert "plume" in limiter.admit([customer], 1.0).failure().detail
