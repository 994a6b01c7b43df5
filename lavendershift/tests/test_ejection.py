import random
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from lavendershift.ejection import MAX_EJECTED_SHARE, OutlierDetector


# With ``derandomize``, the source of a ``@given`` function, its name included, seeds
# its examples.
@settings(derandomize=True, database=None)
@given(
    st.integers(1, 9),
    st.lists(st.tuples(st.integers(0, 8), st.integers(1, 4)), max_size=60),
)
def test_at_most_the_stated_share_is_ejected_when_everything_fails(count, steps):
    names = {f"e{number}" for number in range(count)}
    detector = OutlierDetector(random.Random(2))
    detector.update_servers(names)
    now = timedelta()
    for server, failures in steps:
        for _ in range(failures):
            detector.record_failure(f"e{server % count}", now)
        ejected = sum(detector.is_ejected(name, now) for name in names)
        assert ejected <= MAX_EJECTED_SHARE * count
        now += timedelta(milliseconds=50)


def test_ejections_of_a_slow_server_grow_longer():
    detector = OutlierDetector(random.Random(2))
    detector.update_servers({"e0", "e1", "e2", "e3"})
    now = timedelta()
    lengths = []
    for _ in range(40):
        for name in ("e1", "e2", "e3"):
            detector.record_slowness(name, 1.0, now)
        ejection = detector.record_slowness("e0", 8.0, now)
        if ejection is not None:
            lengths.append(ejection.length)
            now += ejection.length
    assert len(lengths) > 4
    assert lengths[:5] == sorted(set(lengths[:5]))
