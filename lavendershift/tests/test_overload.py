"""Replays of a small VM under load; each test is named after its load."""

import pytest

from lavendershift.tests.overloadreplay import (
    CAPACITY,
    CHAT,
    TAG,
    Load,
    OverloadReplay,
    group_by_customer,
    measure_on_time,
    measure_served,
)


def make_surge(load, stays, seconds=12):
    return [
        Load("large", CHAT, CAPACITY * load * 0.8, 2, seconds, stays=stays),
        Load("large", TAG, CAPACITY * load * 0.2, 2, seconds, stays=stays),
        Load("small", CHAT, 5, 0, seconds, stays=stays),
    ]


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("load", [1.2, 1.5, 2, 3])
def test_surge_of_one_customer_whose_refused_callers_use_another_vm(load, seed):
    """Without admission, the VM served nearly everything late."""
    loads = make_surge(load, stays=0.0)
    with_admission = OverloadReplay(loads, seed=seed)
    without = OverloadReplay(loads, has_admission=False, seed=seed)
    assert with_admission.sum_worth() > 0.75
    assert with_admission.sum_worth() > without.sum_worth() + 0.4
    small = with_admission.select(customer="small")
    refused = sum(bool(call.refusals) for call in small) / len(small)
    large = with_admission.select(customer="large")
    assert refused < sum(bool(call.refusals) for call in large) / len(large)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("load", [1.5, 2, 3, 4])
def test_surge_of_one_customer_whose_refused_callers_return(load, seed):
    """Refusals of callers that return cost more than they save; so they stop."""
    loads = make_surge(load, stays=1.0)
    with_admission = OverloadReplay(loads, seed=seed)
    without = OverloadReplay(loads, has_admission=False, seed=seed)
    assert with_admission.sum_worth() > without.sum_worth() - 0.08
    customers = group_by_customer(with_admission.calls)
    served = measure_served(with_admission.calls)
    assert all(measure_served(c) >= served / 4 for c in customers.values())


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_surge_of_one_kind(seed):
    loads = [
        Load("a", CHAT, 20, stays=0.3),
        Load("a", TAG, CAPACITY * 1.2, 2, stays=0.3),
    ]
    with_admission = OverloadReplay(loads, seed=seed)
    without = OverloadReplay(loads, has_admission=False, seed=seed)
    chat, tag = with_admission.select(kind=CHAT), with_admission.select(kind=TAG)
    assert measure_on_time(chat) > 0.85
    assert measure_on_time(chat) > measure_on_time(without.select(kind=CHAT)) + 0.2
    assert measure_served(chat) > measure_served(tag) - 0.05
    assert measure_served(tag) > measure_served(with_admission.calls) / 4


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_callers_that_retry_at_once(seed):
    loads = [
        Load("impatient", CHAT, CAPACITY * 1.3, 2, insists=True),
        Load("calm", CHAT, 5),
    ]
    with_admission = OverloadReplay(loads, seed=seed)
    without = OverloadReplay(loads, has_admission=False, seed=seed)
    assert with_admission.sum_worth() > without.sum_worth() - 0.08
    calm = with_admission.select(customer="calm")
    assert measure_served(calm) > 0.9


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_surge_of_large_prompts_beside_small_urgent_requests(seed):
    large = CHAT._replace(name="large", urgency=1, value=4.5)
    loads = [
        Load("a", large, CAPACITY * 1.2, 2, size=10, stays=0.3),
        Load("a", CHAT, 15, stays=0.3),
    ]
    replay = OverloadReplay(loads, seed=seed)
    assert measure_on_time(replay.select(kind=CHAT)) > 0.9
    calls = sorted(replay.select(kind=large), key=lambda call: call.size)
    mean = measure_served(calls)
    assert measure_served(calls[-len(calls) // 10 :]) >= mean / 2
    assert (
        measure_served(calls[len(calls) * 7 // 10 : len(calls) * 9 // 10]) >= mean / 2
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("length_s", [0.5, 1.0])
def test_one_pause_of_up_to_a_second(length_s, seed):
    """Guards against refusals of what a VM serves in time after a pause of its host."""
    loads = [Load("a", CHAT, CAPACITY * 0.5, 0, 8)]
    replay = OverloadReplay(loads, pauses=[(3.0, length_s)], seed=seed)
    assert not replay.causes


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_one_long_pause(seed):
    """Guards against refusals that go on after the lag of a pause of the host."""
    loads = [Load("a", CHAT, CAPACITY * 0.5, 0, 18)]
    replay = OverloadReplay(loads, pauses=[(3.0, 5.0)], seed=seed)
    refusals = [at for call in replay.calls for at in call.refusals]
    assert all(8 <= at <= replay.late_until + 1 for at in refusals)
    assert replay.late_until < 13
    later = [call for call in replay.calls if call.started > 13]
    assert measure_on_time(later) == 1


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("load", [0.2, 0.5, 0.7])
def test_calm_vm(load, seed):
    """A calm VM refuses nothing and serves as without admission."""
    loads = [
        Load("a", CHAT, CAPACITY * load * 0.7),
        Load("b", TAG, CAPACITY * load * 0.3),
    ]
    replay = OverloadReplay(loads, seed=seed)
    without = OverloadReplay(loads, has_admission=False, seed=seed)
    assert not replay.causes
    assert [call.served for call in replay.calls] == [
        call.served for call in without.calls
    ]
