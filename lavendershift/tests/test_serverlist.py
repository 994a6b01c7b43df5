"""Tests of server selection with the load patterns that it is designed for."""

import random
from collections import Counter
from datetime import timedelta

from lavendershift.clocks import ManualClock
from lavendershift.serverlist import ServerList
from lavendershift.serverstates import (
    NO_PROMPT,
    PromptPart,
    PromptShape,
    ServerEntry,
    ServerLoad,
)


def make_entry(number, service="index", **changes):
    entry = ServerEntry(
        id=f"i-{number}",
        service=service,
        address=f"10.0.0.{number}:80",
        failure_domain="rennes",
        slots=64,
        is_leaving=False,
        born=1000 + number,
        sequence=1,
    )
    return entry._replace(**changes)


def make_servers(count=6, seed=1, clock=None):
    servers = ServerList(clock or ManualClock(), random.Random(seed))
    for number in range(count):
        servers.update(make_entry(number))
    return servers


def make_prompt(shared_part, own=1000, shared=5000, request="r"):
    parts = (PromptPart(shared_part, shared), PromptPart(request, own))
    return PromptShape(parts, shared + own, 400)


def test_draining_server_gets_no_new_request():
    servers = make_servers(2)
    servers.update(make_entry(0, is_leaving=True, sequence=2))
    assert {servers.choose("index", NO_PROMPT, ()).entry.id for _ in range(9)} == {
        "i-1"
    }


def test_older_entry_is_ignored():
    servers = make_servers(1)
    servers.update(make_entry(0, is_leaving=True, sequence=7))
    servers.update(make_entry(0, is_leaving=False, sequence=6))
    assert servers.choose("index", NO_PROMPT, ()) is None


def test_new_incarnation_of_a_server_starts_with_empty_state():
    servers = make_servers(1)
    prompt = make_prompt("book")
    servers.start(servers.find("i-0"), prompt)
    servers.update(make_entry(0, is_leaving=True, sequence=9))
    servers.update(make_entry(0, born=5000, sequence=0))
    restarted = servers.choose("index", prompt, ())
    assert restarted.in_flight == 0
    assert restarted.count_unread(prompt) == 6000


def test_tried_servers_and_those_of_other_services_are_excluded():
    servers = make_servers(2)
    servers.update(make_entry(5, service="ledger"))
    assert servers.choose("index", NO_PROMPT, ["i-0", "i-1"]) is None
    assert servers.choose("ledger", NO_PROMPT, ()).entry.id == "i-5"


def test_isolated_vms_send_a_shared_prompt_to_the_same_server():
    affinity_servers = {
        make_servers(seed=seed).choose("index", make_prompt("book-7"), ()).entry.id
        for seed in range(8)
    }
    assert len(affinity_servers) == 1


def test_shared_prompts_spread_over_the_servers():
    servers = make_servers()
    affinity_servers = Counter(
        servers.choose("index", make_prompt(f"book-{n}"), ()).entry.id
        for n in range(300)
    )
    assert len(affinity_servers) == 6
    assert max(affinity_servers.values()) < 2 * 300 / 6


def test_burst_of_one_shared_prompt_spills_to_other_servers():
    servers = make_servers()
    prompts = [make_prompt("hot", own=3000, request=f"r{n}") for n in range(30)]
    used = Counter()
    for prompt in prompts:
        server = servers.choose("index", prompt, ())
        servers.start(server, prompt)
        used[server.entry.id] += 1
    assert len(used) > 1
    assert max(used.values()) < 30


def test_short_prompts_avoid_a_server_reading_a_long_prompt():
    servers = make_servers()
    short = make_prompt("small", own=300, shared=200)
    affinity_server = servers.choose("index", short, ())
    servers.record_peer_load(
        "vm-2", affinity_server.entry.id, ServerLoad(1, 54_000), ["long"]
    )
    assert servers.choose("index", short, ()) is not affinity_server


def test_reported_peer_load_expires():
    clock = ManualClock()
    servers = make_servers(clock=clock)
    short = make_prompt("small", own=300, shared=200)
    affinity_server = servers.choose("index", short, ())
    servers.record_peer_load(
        "vm-2", affinity_server.entry.id, ServerLoad(1, 54_000), []
    )
    clock.advance(timedelta(seconds=3))
    assert servers.choose("index", short, ()) is affinity_server


def test_prompt_parts_sent_by_peers_count_as_cached():
    servers = make_servers()
    prompt = make_prompt("book")
    affinity_server = servers.choose("index", prompt, ())
    other = next(
        e.id for e in servers.list_entries() if e.id != affinity_server.entry.id
    )
    servers.record_peer_load("vm-2", other, ServerLoad(0, 0), ["book"])
    assert servers.find(other).count_unread(prompt) == 1000


def test_plain_requests_go_to_the_least_loaded_server():
    servers = make_servers(3)
    for _ in range(30):
        servers.start(servers.choose("index", NO_PROMPT, ()), NO_PROMPT)
    loads = [servers.find(f"i-{n}").in_flight for n in range(3)]
    assert loads == [10, 10, 10]


def test_unreachable_server_is_avoided_until_its_backoff_ends():
    clock = ManualClock()
    servers = make_servers(2, clock=clock)
    servers.note_unreachable(servers.find("i-0"))
    assert servers.choose("index", NO_PROMPT, ()).entry.id == "i-1"
    clock.advance(timedelta(seconds=1))
    chosen = {servers.choose("index", NO_PROMPT, ()).entry.id for _ in range(40)}
    assert chosen == {"i-0", "i-1"}


def test_servers_are_tried_if_all_of_them_are_unreachable():
    servers = make_servers(2)
    for number in range(2):
        servers.note_unreachable(servers.find(f"i-{number}"))
    assert servers.choose("index", NO_PROMPT, ()) is not None


def test_server_with_consecutive_failures_is_ejected():
    servers = make_servers(6)
    for _ in range(3):
        servers.note_failure(servers.find("i-0"))
    chosen = {servers.choose("index", NO_PROMPT, ()).entry.id for _ in range(60)}
    assert "i-0" not in chosen


def test_loads_return_to_zero_when_requests_finish():
    servers = make_servers()
    assignments = [
        servers.start(servers.choose("index", prompt, ()), prompt)
        for prompt in (make_prompt(f"b{n}") for n in range(20))
    ]
    for assignment in assignments:
        servers.record_prompt_read(assignment)
        servers.finish(assignment)
    for number in range(6):
        assert servers.measure_own_load(f"i-{number}") == ServerLoad(0, 0)


def test_server_with_all_slots_in_use_is_passed_over():
    """Streams at servers with few slots: prompts are read, but slots run out."""
    servers = ServerList(ManualClock(), random.Random(1))
    for number in range(4):
        servers.update(make_entry(number, slots=6))
    used = Counter()
    for number in range(24):
        prompt = make_prompt("hot", own=500, shared=2000, request=f"r{number}")
        server = servers.choose("index", prompt, ())
        servers.record_prompt_read(servers.start(server, prompt))
        used[server.entry.id] += 1
    # All slots of the fleet are in use before many requests queue for one.
    assert max(used.values()) <= 6 + 2
    assert len(used) == 4


def fail(servers, server, times=3):
    for _ in range(times):
        servers.note_failure(server)


def is_chosen(servers, name):
    return any(
        servers.choose("index", NO_PROMPT, ()).entry.id == name for _ in range(60)
    )


def test_ejection_does_not_carry_over_to_a_new_incarnation():
    servers = make_servers(3)
    fail(servers, servers.find("i-0"))
    assert not is_chosen(servers, "i-0")
    servers.update(make_entry(0, born=2000))
    assert is_chosen(servers, "i-0")


def test_failures_of_the_previous_incarnation_are_not_counted():
    servers = make_servers(3)
    previous = servers.find("i-0")
    servers.update(make_entry(0, born=2000))
    fail(servers, previous)
    assert is_chosen(servers, "i-0")


def test_successes_of_the_previous_incarnation_are_not_counted():
    servers = make_servers(3)
    previous = servers.find("i-0")
    servers.update(make_entry(0, born=2000))
    for _ in range(3):
        servers.note_success(previous)
        fail(servers, servers.find("i-0"), times=1)
    assert not is_chosen(servers, "i-0")


def limit_server(servers, number, rate=1.2):
    listed = servers.find(f"i-{number}")
    servers.limits.note_response(listed.incarnation, rate, None)
    return listed


def test_new_shared_parts_are_not_read_at_a_server_with_a_limit():
    """Load: prompts with many shared parts, one of six servers has a limit.

    It would get a request for each of its shared parts, and then refuse the next
    ones, whose shared parts another server would read again.
    """
    servers = make_servers(6)
    limited = limit_server(servers, 0)
    chosen = Counter()
    for number in range(60):
        prompt = make_prompt(f"book-{number}", request=f"r{number}")
        server = servers.choose("index", prompt, ())
        assignment = servers.start(server, prompt)
        servers.record_prompt_read(assignment)
        servers.finish(assignment)
        chosen[server.entry.id] += 1
    assert chosen[limited.entry.id] == 0
    assert len(chosen) == 5


def test_a_server_with_a_limit_gets_prompts_that_it_has_cached():
    servers = make_servers(3)
    prompt = make_prompt("book")
    limited = limit_server(servers, 0, rate=20.0)
    assignment = servers.start(limited, prompt)
    servers.record_prompt_read(assignment)
    servers.finish(assignment)
    for number in (1, 2):
        servers.start(servers.find(f"i-{number}"), make_prompt(f"other-{number}"))
    assert servers.choose("index", make_prompt("book", request="r2"), ()) is limited


def test_a_server_is_left_out_until_its_next_permit_is_due():
    clock = ManualClock()
    servers = make_servers(2, clock=clock)
    limited = limit_server(servers, 0)
    servers.limits.note_refusal(limited.incarnation, 1, timedelta(milliseconds=400))
    names = {servers.choose("index", NO_PROMPT, (), 1).entry.id for _ in range(20)}
    assert names == {"i-1"}
    assert servers.choose("index", NO_PROMPT, ["i-1"], 1) is None
    assert servers.choose("index", NO_PROMPT, ["i-1"], 0) is limited
    clock.advance(timedelta(milliseconds=401))
    assert servers.choose("index", NO_PROMPT, ["i-1"], 1) is limited


def test_the_delay_of_a_return_counts_the_servers_that_wait_for_permits():
    servers = make_servers(2)
    for number, wait_ms in enumerate((400, 700)):
        listed = limit_server(servers, number, rate=2.0)
        wait = timedelta(milliseconds=wait_ms)
        servers.limits.note_refusal(listed.incarnation, 0, wait)
    servers.count_vms = lambda: 2
    delays = [servers.find_permit_delay("index", 0) for _ in range(3)]
    assert [delay / timedelta(milliseconds=1) for delay in delays] == [400, 900, 1400]


def test_a_service_without_limits_has_no_delay_for_permits():
    assert make_servers(2).find_permit_delay("index", 0) is None
