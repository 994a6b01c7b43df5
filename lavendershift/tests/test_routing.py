import random
from datetime import timedelta

import pytest
from returns.result import Failure

from lavendershift.errors import ErrorKind
from lavendershift.plugins import (  # noqa: F401
    routing_affinity,
    routing_least_in_flight,
    routing_round_robin,
    routing_two_choices,
)
from lavendershift.prefixes import BLOCK_TOKENS
from lavendershift.routing import ROUTING_POLICIES, RouteRequest, choose_server
from lavendershift.tests.test_servers import make_pool, make_settings

PREFIX = tuple(f"block{i}" for i in range(8))
REQUEST = RouteRequest("plume", prefix=PREFIX, prompt_tokens=8 * BLOCK_TOKENS)


def make_policy(name):
    return ROUTING_POLICIES[name](random.Random(1))


@pytest.mark.parametrize("name", sorted(ROUTING_POLICIES))
def test_no_policy_chooses_a_leaving_tried_or_busy_server(name):
    _, pool = make_pool(4)
    pool.update_membership({"e0": "leaving", "e1": "live", "e2": "live"})
    policy = make_policy(name)
    for number in range(20):
        request = REQUEST._replace(excluded=frozenset({"e1"}))
        choice = choose_server(policy, pool, request)
        if choice == Failure(ErrorKind.OVERLOADED):
            break
        pool.start(choice.unwrap().server, f"a{number}", 10)
        assert choice.unwrap().server in {"e2", "e3"}
    assert number == 16


@pytest.mark.parametrize("name", sorted(ROUTING_POLICIES))
def test_routing_without_an_available_server_fails_with_no_server(name):
    _, pool = make_pool(2)
    policy = make_policy(name)
    unknown_model = choose_server(policy, pool, RouteRequest("other"))
    assert unknown_model == Failure(ErrorKind.NO_SERVER)
    tried = REQUEST._replace(excluded=frozenset({"e0", "e1"}))
    assert choose_server(policy, pool, tried) == Failure(ErrorKind.NO_SERVER)


def test_affinity_follows_the_cached_prefix_and_spills_over_under_load():
    clock, pool = make_pool(4)
    policy = make_policy("affinity")
    first = choose_server(policy, pool, REQUEST).unwrap().server
    pool.start(first, "a0", REQUEST.prompt_tokens, PREFIX)
    clock.advance(timedelta(milliseconds=100))
    pool.note_first_token("a0")
    assert choose_server(policy, pool, REQUEST).unwrap().server == first
    pool.start(first, "long", 100 * BLOCK_TOKENS)
    assert choose_server(policy, pool, REQUEST).unwrap().server != first


def test_affinity_prefers_its_own_failure_domain_on_ties():
    _, pool = make_pool(4, failure_domain="brest")
    servers = {f"e{i}": make_settings(f"e{i}") for i in range(4)}
    servers["e2"] = servers["e2"]._replace(failure_domain="brest")
    pool.update_settings(servers)
    choice = choose_server(make_policy("affinity"), pool, RouteRequest("plume"))
    assert choice.unwrap().server == "e2"


def test_batch_requests_leave_capacity_for_interactive_ones():
    _, pool = make_pool(1)
    batch = RouteRequest("plume", priority="batch")
    policy = make_policy("two_choices")
    for number in range(6):
        pool.start("e0", f"a{number}", 10)
    assert choose_server(policy, pool, batch) == Failure(ErrorKind.OVERLOADED)
    choice = choose_server(policy, pool, batch._replace(priority="interactive"))
    assert choice.unwrap().server == "e0"
