"""Replayed load on servers that differ in speed, compared with a choice by load alone.

Bounds are between what was measured with and without estimates over seeds 1 to 5.
"""

import statistics

from lavendershift.tests.capacityreplay import Load, ModelledServer, Replay

SPEEDS = (0.7, 0.7, 1.7, 0.7, 0.7, 1.7)
PROMPTS = Load(large=12, small=19)
SEEDS = range(1, 4)
SETTLED_S = 4  # time after which estimates have been made


def make_engines(factors=(1.0,) * 6, noise=True):
    return [ModelledServer(factor, noise=noise) for factor in factors]


def make_plain(factors=(1.0,) * 3):
    return [ModelledServer(f, slots=6, queue=24, noise=True) for f in factors]


def measure(make, load, learns, share=None, seconds=20):
    """Return the mean over seeds of the mean delay, or of a quantile."""
    results = []
    for seed in SEEDS:
        replay = Replay(make(), seed, learns).run(load, seconds)
        if share is None:
            results.append(replay.find_mean(SETTLED_S))
        else:
            results.append(replay.find_quantile(share, SETTLED_S))
    return statistics.mean(results)


def compare(make, load, share=None):
    """Return the delay with estimates, relative to that of a choice by load alone."""
    return measure(make, load, True, share) / measure(make, load, False, share)


def test_prompts_are_read_sooner_where_servers_have_two_speeds():
    assert compare(lambda: make_engines(SPEEDS, noise=False), PROMPTS) < 0.87


def test_two_speeds_are_found_in_spite_of_noise():
    """Load: times of 2.5 times on 15 % of the time, 600 ms at a time."""
    assert compare(lambda: make_engines(SPEEDS), PROMPTS) < 0.9


def test_equal_servers_with_noise_are_served_as_without_estimates():
    assert compare(make_engines, PROMPTS) < 1.02
    assert compare(make_plain, Load(plain=120)) < 1.02


def test_equal_servers_without_noise_get_the_same_requests():
    """Plain work at equal servers: each choice is the same as without estimates."""
    logs = []
    for learns in (True, False):
        servers = [ModelledServer(slots=6, queue=24) for _ in range(3)]
        logs.append(Replay(servers, 1, learns).run(Load(plain=120), 20).log)
    assert logs[0] == logs[1]


def test_plain_work_avoids_slow_servers():
    def share_of_slow(learns):
        replay = Replay(make_plain((0.7, 0.7, 1.7)), 1, learns)
        return replay.run(Load(plain=100), 20).find_share("s2", SETTLED_S)

    assert share_of_slow(learns=True) < 0.7 * share_of_slow(learns=False)


def test_a_server_that_slows_down_at_a_third_of_its_slots_gets_less():
    def make():
        servers = [ModelledServer(slots=64) for _ in SPEEDS]
        servers[0].knee = 5
        return servers

    assert compare(make, Load(plain=800), share=0.99) < 0.7

    def make_engines_with_knee():
        engines = make_engines()
        engines[0].knee = 21
        return engines

    assert compare(make_engines_with_knee, Load(small=150, large=4), share=0.99) < 0.9


def test_a_server_that_becomes_slow_is_avoided_within_seconds_until_it_recovers():
    shares, delays = [], []
    for learns in (True, False):
        engines = make_engines()
        replay = Replay(engines, 1, learns)
        replay.at(10, lambda e=engines[0]: setattr(e, "factor", 4.0))
        replay.at(20, lambda e=engines[0]: setattr(e, "factor", 1.0))
        replay.run(PROMPTS, 32)
        delays.append(replay.find_quantile(0.99, 13, 20))
        shares.append([replay.find_share("s0", *t) for t in ((5, 10), (25, 32))])
    assert delays[0] < 0.75 * delays[1]
    before, after = shares[0]
    assert after > before / 2


def test_a_new_incarnation_starts_with_the_usual_speed():
    engines = make_engines((4.0, *SPEEDS[:1] * 5))
    replay = Replay(engines, 1)
    replay.at(10, lambda: replay.put("s0", ModelledServer(0.7), born=2))
    replay.run(PROMPTS, 16)
    assert replay.find_share("s0", 5, 10) < 0.05
    assert replay.find_share("s0", 10, 13) > 0.1


def test_a_server_that_refuses_at_once_gets_few_requests():
    """Load: one of the servers refuses everything in 2 ms and so never seems busy."""

    def count(make, load, learns):
        servers = make()
        servers[0].fails = 1.0
        return Replay(servers, 1, learns).run(load, 20).rejections

    for make, load in ((make_engines, PROMPTS), (make_plain, Load(plain=60))):
        assert count(make, load, True) < 0.1 * count(make, load, False)


def test_a_server_that_claims_too_many_slots_gets_no_more_than_its_peers():
    """Load: plain work; one server announces 60 slots, and has 6."""
    results = []
    for learns in (True, False):
        servers = make_plain()
        replay = Replay(servers, 1, learns)
        entry = replay.list.find("s0").entry
        replay.list.update(entry._replace(slots=60, sequence=2))
        replay.run(Load(plain=120), 20)
        results.append((replay.find_mean(SETTLED_S), replay.rejections))
    assert results[0][0] < 0.8 * results[1][0]
    assert results[0][1] < 0.3 * results[1][1]


def test_an_operator_is_told_when_a_server_becomes_slow_and_when_it_recovers():
    engines = make_engines(noise=False)
    replay = Replay(engines, 1)
    changes = []
    replay.list.speeds.on_change = lambda entry, state, text: changes.append(
        (entry.id, state, text)
    )
    replay.at(8, lambda e=engines[0]: setattr(e, "factor", 4.0))
    replay.at(16, lambda e=engines[0]: setattr(e, "factor", 1.0))
    replay.run(PROMPTS, 30)
    states = [state for name, state, _ in changes if name == "s0"]
    assert states[0] == "slow"
    assert states[-1] == "usual"
    assert "prompt" in changes[0][2] and "/64" in changes[0][2]
    assert {name for name, _, _ in changes} == {"s0"}


def test_shared_parts_are_not_read_again_for_small_differences():
    """Each further server that reads one of the 24 large shared parts costs time."""

    def count_reads(factors, learns):
        replay = Replay(make_engines(factors), 1, learns).run(PROMPTS, 20)
        caches = [server.cached for server in replay.servers.values()]
        return sum(part.startswith("large") for cache in caches for part in cache)

    equal = (1.0,) * 6
    assert count_reads(equal, True) <= 1.05 * count_reads(equal, False)
    assert count_reads(SPEEDS, True) <= 1.3 * count_reads(SPEEDS, False)
