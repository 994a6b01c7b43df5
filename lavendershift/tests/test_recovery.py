import asyncio

from lavendershift.tools.recovery import SCENARIOS, measure_recovery

RECORDS = 100_000
CHECKPOINT_EVERY = 5_000  # number of records between two checkpoints by default
TARGET_S = 2.0  # longest time until a cold router serves requests


def test_a_cold_router_serves_within_two_seconds_on_100_000_records():
    cold = next(s for s in SCENARIOS if s.checkpoint and not s.relay_follows)
    cost = asyncio.run(measure_recovery(cold, RECORDS, CHECKPOINT_EVERY))
    assert cost.ready_s <= TARGET_S
    assert 0 < cost.from_relay <= cost.from_log


def test_a_checkpoint_saves_reads():
    costs = [asyncio.run(measure_recovery(s, 20_000, 1_000)) for s in SCENARIOS]
    full, tail, cached = costs
    assert tail.from_log < full.from_log
    assert cached.from_log < tail.from_log
