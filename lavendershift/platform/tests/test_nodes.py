"""Router processes under failure, observed by callers, servers and the store."""

import contextlib
import json
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest

from lavendershift.platform.tests.conftest import make_configuration
from lavendershift.platform.tests.live_nodes import Platform, wait_for
from lavendershift_standins.platformserver import (
    announce_leaving,
    answer_complete,
    make_event,
    stream,
)

EVENTS = b"".join(make_event(number) for number in range(1, 9))


@pytest.fixture
def platform(tmp_path):
    platform = Platform(tmp_path)
    platform.start()
    yield platform
    platform.stop()


def exchange_raw(node, data):
    """Send raw bytes; return what is received until the connection is closed."""
    with socket.create_connection((node.ip, node.callers), timeout=5) as endpoint:
        endpoint.sendall(data)
        received = b""
        while chunk := endpoint.recv(65536):
            received += chunk
        return received


def test_requests_are_served_and_charged(platform):
    (node,) = platform.nodes
    reply = node.ask("r1")
    assert (reply.status, reply.body) == (200, EVENTS)
    assert reply.headers["X-Lavendershift-Response-Signature"] == "sign-r1"
    record = node.ask("r2", path="/record/x", tokens=None)
    assert record.body == b"done r2"
    received = platform.servers["ledger"][0].received + (
        platform.servers["ledger"][1].received
    )
    assert received[0].headers["x-lavendershift-tenant"] == "plume"
    assert "authorization" not in received[0].headers
    (line,) = node.find_log_lines("request_answered", request="r1")
    assert line["tokens"] == 100 + 40
    assert line["version"] == 7


def test_refused_requests_get_their_status_and_reach_no_server(platform):
    (node,) = platform.nodes
    assert node.ask("r1", path="/nowhere/").status == 404
    (refusal,) = node.find_log_lines("request_refused", request="r1")
    assert refusal["version"] == refusal["current_version"] == 7
    assert node.ask("r2", Authorization="Bearer other").status == 401
    too_much = node.ask("r3", tokens=(200_000, 10))
    assert too_much.status == 429
    assert float(too_much.headers["Retry-After"]) > 0
    assert [platform.count_runs(f"r{n}") for n in (1, 2, 3)] == [0, 0, 0]


def test_the_directory_and_the_metrics_are_served(platform):
    (node,) = platform.nodes
    path = "/resolve?name=books.example&region=bretagne&zone=rennes"
    wait_for(
        lambda: node.get(node.directory, path).status == 200, "the address of the VM"
    )
    answer = json.loads(node.get(node.directory, path).body)
    assert answer["addresses"] == [f"{node.ip}:{node.callers}"]
    assert 0 < answer["ttl_s"] <= 5
    node.ask("r1")
    text = node.get(9464, "/metrics").body.decode()
    assert "lavendershift_answers_total 1.0" in text
    assert 'lavendershift_tokens_free{customer="plume"}' in text


@pytest.fixture
def platform_with_places(tmp_path):
    platform = Platform(tmp_path)
    (node,) = platform.nodes
    text = node.settings.read_text() + "[servers]\nshares_places = true\n"
    node.settings.write_text(text)
    platform.start()
    yield platform
    platform.stop()


def test_plain_requests_take_places_and_give_them_back(platform_with_places):
    """A service of two servers with 8 slots has 18 places; none must stay taken."""
    (node,) = platform_with_places.nodes
    for number in range(40):
        reply = node.ask(f"r{number}", path="/record/x", tokens=None)
        assert reply.body == f"done r{number}".encode()
    text = node.get(9464, "/metrics").body.decode()
    assert 'lavendershift_places_total{outcome="granted"} 40.0' in text


def test_a_calm_vm_that_may_refuse_and_forward_serves_all_requests(tmp_path):
    """Both are off by default, so that other tests don't run their composition."""
    platform = Platform(tmp_path, nodes=2)
    for node in platform.nodes:
        text = node.settings.read_text()
        settings = "[overload]\nrefuses = true\nforwards_connections = true\n"
        node.settings.write_text(text + settings)
    try:
        platform.start()
        for number in range(20):
            for node in platform.nodes:
                assert node.ask(f"{node.name}-{number}").status == 200
        text = platform.nodes[0].get(9464, "/metrics").body.decode()
        assert "lavendershift_overload_excess 0.0" in text
    finally:
        platform.stop()


@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: 3\r\nContent-Length: 4\r\n",
        b"Transfer-Encoding: identity, chunked\r\n",
        b"X-Lavendershift-Attempt-Id: other\r\nContent-Length: 3\r\n",
    ],
)
def test_an_ambiguous_request_is_refused_and_its_connection_closed(platform, head):
    (node,) = platform.nodes
    reply = exchange_raw(
        node,
        b"POST /record/x HTTP/1.1\r\nHost: books.example\r\n"
        b"X-Lavendershift-Attempt-Id: r1\r\nAuthorization: Bearer key-1\r\n"
        + head
        + b"\r\nabcPOST /record/y HTTP/1.1\r\nHost: books.example\r\n"
        b"X-Lavendershift-Attempt-Id: r2\r\nContent-Length: 0\r\n\r\n",
    )
    assert reply.startswith(b"HTTP/1.1 400")
    assert platform.count_runs("r1") == platform.count_runs("r2") == 0


def test_a_body_over_the_limit_is_refused(platform):
    (node,) = platform.nodes
    reply = exchange_raw(
        node,
        b"POST /record/x HTTP/1.1\r\nHost: books.example\r\n"
        b"X-Lavendershift-Attempt-Id: r1\r\nContent-Length: 4300000\r\n\r\nabc",
    )
    assert reply.startswith(b"HTTP/1.1 413")


def test_a_newer_configuration_is_active_in_two_seconds_and_an_older_one_never(
    platform,
):
    (node,) = platform.nodes
    platform.configure(version=9, tenants=[{"name": "encre", "api_keys": ["key-2"]}])
    started = time.monotonic()
    wait_for(lambda: node.ask("r1").status == 401, "the new version")
    assert time.monotonic() - started < 2
    platform.configure(version=8)
    time.sleep(1.0)
    assert node.ask("r2").status == 401


def test_a_draining_server_gets_no_new_requests_after_two_seconds(platform):
    (node,) = platform.nodes
    platform.write_server_entries(i_ledger_0="draining")
    time.sleep(2.0)
    before = len(platform.servers["ledger"][0].received)
    for number in range(20):
        assert node.ask(f"r{number}", path="/record/x", tokens=None).status == 200
    assert len(platform.servers["ledger"][0].received) == before


def test_held_tokens_pay_while_the_store_is_unavailable(platform):
    (node,) = platform.nodes
    node.ask("r1")
    wait_for(lambda: platform.find_granted().get("plume", 0) > 10_000, "drawn tokens")
    platform.store.is_unavailable = True
    time.sleep(1.0)
    for number in range(10):
        assert node.ask(f"away-{number}").status == 200
    started = time.monotonic()
    assert node.ask("too-large", tokens=(90_000, 10)).status == 429
    assert time.monotonic() - started < 0.2
    (refusal,) = node.find_log_lines("request_refused", error="budget_pending")
    assert refusal["reason"].endswith("cause store_unreachable")
    cause = 'token_shortages_total{cause="store_unreachable"} 1.0'
    assert cause in node.get(9464, "/metrics").body.decode()
    platform.store.is_unavailable = False


def test_the_last_tokens_of_a_budget_pay_for_urgent_requests(platform):
    """Large requests drew the entire budget, and small urgent ones were refused."""
    (node,) = platform.nodes
    routes = json.loads(make_configuration())["routes"]
    urgent = routes[0] | {"name": "ask", "path_prefix": "/ask/", "priority": 0}
    tenant = {"name": "plume", "api_keys": ["key-1"], "prepaid": 100_000}
    ranked = [tenant | {"priority": 1}]
    platform.configure(version=9, routes=[*routes, urgent], tenants=ranked)
    wait_for(
        lambda: node.find_log_lines("configuration_changed", version=9), "the new route"
    )
    statuses = []
    for size in (4000, 1000, 300):
        while statuses[-3:] != [429] * 3:
            statuses.append(node.ask("r", tokens=(size, 40)).status)
        statuses.append(size)
    answers = [
        node.ask(f"u{n}", path="/ask/a", tokens=(300, 40)).status for n in range(9)
    ]
    assert answers.count(200) >= 100_000 * 0.02 // 340
    assert platform.find_granted()["plume"] <= 100_000


def test_the_tokens_of_a_killed_process_are_adopted_and_not_spent_twice(platform):
    (node,) = platform.nodes
    node.ask("r1")
    wait_for(lambda: platform.find_granted().get("plume", 0) > 10_000, "drawn tokens")
    time.sleep(1.5)
    node.kill()
    node.start()
    wait_for(lambda: node.find_log_lines("tokens_adopted"), "adopted tokens")
    (line,) = node.find_log_lines("tokens_adopted")
    assert 0 < line["tokens"] < platform.find_granted()["plume"]
    used = 0
    for number in range(400):
        reply = node.ask(f"after-{number}", tokens=(900, 40))
        used += 940 if reply.status == 200 else 0
    assert 40_000 < used <= 100_000 - 140


def test_a_stop_completes_requests_in_flight_and_returns_tokens(platform):
    (node,) = platform.nodes
    for server in platform.servers["pool"]:
        server.default = stream(8, pause_s=0.25)
    replies = []
    caller = threading.Thread(target=lambda: replies.append(node.ask("r1")))
    caller.start()
    wait_for(lambda: platform.count_runs("r1") == 1, "the request")
    node.signal(signal.SIGTERM)
    caller.join()
    assert (replies[0].status, replies[0].body) == (200, EVENTS)
    assert node.wait_end() == 0
    assert platform.find_granted()["plume"] == 140
    assert node.find_log_lines("process_stopped")


def test_a_stop_interrupts_no_request_on_a_persistent_connection(platform):
    """A request arrived on an idle connection just before the process ended.

    Found by a randomly drawn day.
    """
    (node,) = platform.nodes
    for server in platform.servers["pool"]:
        server.default = stream(6, pause_s=0.04)
    head = (
        "POST /index/x HTTP/1.1\r\nHost: books.example\r\nContent-Length: 0\r\n"
        "Authorization: Bearer key-1\r\nX-Lavendershift-Attempt-Id: {id}\r\n\r\n"
    )
    idle = [
        socket.create_connection((node.ip, node.callers), timeout=5) for _ in range(60)
    ]
    answers = {}

    def call(number):
        with contextlib.suppress(OSError):
            idle[number].sendall(head.format(id=f"k{number}").encode())
            received = b""
            while chunk := idle[number].recv(65536):
                received += chunk
            answers[number] = received

    node.signal(signal.SIGTERM)
    callers = []
    time.sleep(2.2)
    for number in range(60):
        callers.append(threading.Thread(target=call, args=(number,)))
        callers[-1].start()
        time.sleep(0.05)
    for caller in callers:
        caller.join()
    assert node.wait_end() == 0
    complete = [n for n, answer in answers.items() if answer.endswith(b"0\r\n\r\n")]
    interrupted = [
        n for n in range(60) if n not in complete and platform.count_runs(f"k{n}")
    ]
    assert len(complete) >= 10
    assert interrupted == []


def test_a_request_long_after_the_stop_signal_is_refused(platform):
    """A request on a persistent connection, 6.8 s after the signal, was interrupted.

    The process couldn't close idle connections while another caller's stream was in
    flight, and interrupted the late request at its end. Found by a randomly drawn day.
    """
    (node,) = platform.nodes
    for server in platform.servers["pool"]:
        server.default = stream(15, pause_s=0.3)
    head = (
        "POST /index/x HTTP/1.1\r\nHost: books.example\r\nContent-Length: 0\r\n"
        "Authorization: Bearer key-1\r\nX-Lavendershift-Attempt-Id: {id}\r\n\r\n"
    )
    running, idle = (
        socket.create_connection((node.ip, node.callers), timeout=9) for _ in range(2)
    )
    node.signal(signal.SIGTERM)
    time.sleep(2.5)
    running.sendall(head.format(id="running").encode())
    time.sleep(1.5)
    idle.sendall(head.format(id="late").encode())
    answers = []
    for connection in (idle, running):
        received = b""
        while chunk := connection.recv(65536):
            received += chunk
        answers.append(received)
    assert answers[0].startswith(b"HTTP/1.1 503")
    assert b"Retry-After" in answers[0]
    assert platform.count_runs("late") == 0
    assert answers[1].endswith(b"0\r\n\r\n")
    assert node.wait_end() == 0


def test_a_paused_process_continues_its_streams(platform):
    """After a pause, data and its timeout are due in the same event loop turn.

    Found by the soak test, seeds 8 and 10.
    """
    (node,) = platform.nodes
    for server in platform.servers["pool"]:
        server.default = stream(30, pause_s=0.05)
    replies = []
    callers = [
        threading.Thread(target=lambda n=n: replies.append(node.ask(f"r{n}")))
        for n in range(8)
    ]
    for caller in callers:
        caller.start()
    wait_for(
        lambda: all(platform.count_runs(f"r{n}") for n in range(8)), "all requests"
    )
    time.sleep(0.2)
    node.signal(signal.SIGSTOP)
    time.sleep(1.1)
    node.signal(signal.SIGCONT)
    for caller in callers:
        caller.join()
    complete = b"".join(make_event(number) for number in range(1, 31))
    assert [reply.body == complete for reply in replies] == [True] * 8
    assert node.find_log_lines("library_message") == []


def test_a_disconnected_caller_ends_the_server_request_within_half_a_second(platform):
    (node,) = platform.nodes
    for server in platform.servers["pool"]:
        server.default = stream(50, pause_s=0.2)
    with socket.create_connection((node.ip, node.callers)) as endpoint:
        endpoint.sendall(
            b"POST /index/x HTTP/1.1\r\nHost: books.example\r\n"
            b"X-Lavendershift-Attempt-Id: r1\r\nAuthorization: Bearer key-1\r\n"
            b"X-Lavendershift-Token-Usage: 100,400\r\nContent-Length: 0\r\n\r\n"
        )
        wait_for(lambda: platform.count_runs("r1") == 1, "the request")
        time.sleep(0.3)
    time.sleep(0.5)
    assert sum(server.closed for server in platform.servers["pool"]) == 1
    assert node.find_log_lines("request_abandoned", request="r1")


def test_a_process_without_the_store_is_not_ready(tmp_path):
    platform = Platform(tmp_path)
    (node,) = platform.nodes
    platform.store.is_unavailable = True
    try:
        starting = threading.Thread(target=node.start)
        starting.start()
        wait_for(lambda: node.get(node.ready, "/readyz").status == 503, "a response")
        assert node.ask("r1").status == 503
        platform.store.is_unavailable = False
        starting.join()
        assert node.ask("r2").status == 200
    finally:
        platform.stop()


def test_a_process_with_a_late_configuration_is_ready_once_it_can_pay(tmp_path):
    """A round of draws before any budget was known made the process ready."""
    platform = Platform(tmp_path, is_configured=False)
    (node,) = platform.nodes
    try:
        node.launch()
        wait_for(lambda: node.get(node.ready, "/readyz").status == 503, "a response")
        deadline = time.monotonic() + 2
        while not platform.count_lease_snapshots() and time.monotonic() < deadline:
            time.sleep(0.005)
        platform.configure()
        node.wait_ready()
        assert node.ask("r1").status == 200
    finally:
        platform.stop()


def test_idle_connections_are_closed_after_the_configured_timeout(platform):
    (node,) = platform.nodes
    platform.configure(version=9, limits={"idle_timeout_ms": 1000})
    wait_for(
        lambda: node.find_log_lines("configuration_changed", version=9),
        "the new limits",
    )
    request = (
        b"POST /record/x HTTP/1.1\r\nHost: books.example\r\nContent-Length: 0\r\n"
        b"X-Lavendershift-Attempt-Id: r1\r\nAuthorization: Bearer key-1\r\n\r\n"
    )
    with socket.create_connection((node.ip, node.callers), timeout=5) as endpoint:
        for _ in range(3):
            endpoint.sendall(request)
            assert endpoint.recv(65536).startswith(b"HTTP/1.1 200")
            time.sleep(0.8)
        assert endpoint.recv(65536) == b""


def test_settings_are_reloaded_and_invalid_ones_are_ignored(platform):
    (node,) = platform.nodes
    node.signal(signal.SIGHUP)
    wait_for(lambda: node.find_log_lines("settings_reloaded"), "the reload")
    node.settings.write_text("node = 7\n")
    node.signal(signal.SIGHUP)
    wait_for(
        lambda: node.find_log_lines("entry_skipped", name="settings"),
        "the skipped settings",
    )
    assert node.ask("r1").status == 200


def test_a_reload_during_the_start_does_not_end_a_process(tmp_path):
    """Found by the soak test, seed 77: a reload just after a start."""
    platform = Platform(tmp_path)
    (node,) = platform.nodes
    try:
        node.launch()
        wait_for(lambda: node.handles(signal.SIGHUP), "the signal handler")
        for _ in range(20):
            node.signal(signal.SIGHUP)
            time.sleep(0.02)
        node.wait_ready()
        assert node.process.poll() is None
    finally:
        platform.stop()


@pytest.mark.parametrize("delay_s", [0.0, 0.02, 0.05, 0.1, 0.2])
def test_a_stop_during_the_start_ends_a_process_cleanly(tmp_path, delay_s):
    """Found by the soak test, seeds 1 and 2: a stop within a second of a start."""
    platform = Platform(tmp_path)
    (node,) = platform.nodes
    try:
        node.launch()
        wait_for(lambda: node.handles(signal.SIGTERM), "the signal handler")
        assert not node.log_path.read_text()
        time.sleep(delay_s)
        node.signal(signal.SIGTERM)
        assert node.wait_end() == 0
        assert "Traceback" not in node.log_path.read_text()
    finally:
        platform.stop()


def test_a_stop_during_the_start_is_not_lost_where_exceptions_are_ignored():
    """The handler may run in a destructor, which swallows what it raises."""
    check = (
        "import signal, sys, lavendershift.tools.node as node\n"
        "class Module:\n"
        "    def __del__(self):\n"
        "        signal.signal(signal.SIGTERM, node.exit_while_starting)\n"
        "        signal.raise_signal(signal.SIGTERM)\n"
        "Module()\n"
        "sys.exit('the start went on')"
    )
    assert subprocess.run([sys.executable, "-c", check], check=False).returncode == 0


def test_signal_handlers_are_installed_before_slow_imports():
    check = (
        "import sys, lavendershift.tools.node as node;"
        "sys.exit('lavendershift.platform.application' in sys.modules"
        " or 'asyncio' in sys.modules)"
    )
    assert subprocess.run([sys.executable, "-c", check], check=False).returncode == 0


def test_vms_list_each_other_until_one_leaves(tmp_path):
    platform = Platform(tmp_path, nodes=2)
    platform.start()
    try:
        first, second = platform.nodes
        path = "/resolve?name=books.example&zone=rennes"

        def count():
            body = json.loads(first.get(first.directory, path).body)
            return len(body.get("addresses", ()))

        wait_for(lambda: count() == 2, "the other VM")
        second.signal(signal.SIGTERM)
        wait_for(lambda: count() == 1, "the other VM to leave")
        assert second.wait_end() == 0
    finally:
        platform.stop()


def test_connections_in_the_backlog_at_a_stop_are_served_or_not_executed(platform):
    """The kernel completes connections that the stopping process never accepts."""
    (node,) = platform.nodes
    node.signal(signal.SIGTERM)
    time.sleep(2.7)
    node.signal(signal.SIGSTOP)
    results = {}

    def call(number):
        try:
            reply = node.ask(f"b{number}", path="/record/x", tokens=None)
            results[number] = reply.status if reply.is_whole else "truncated"
        except OSError:
            results[number] = "not read"

    callers = [threading.Thread(target=call, args=(n,)) for n in range(40)]
    for caller in callers:
        caller.start()
    time.sleep(0.6)  # ends after the time at which the process stops listening
    node.signal(signal.SIGCONT)
    for caller in callers:
        caller.join()
    assert node.wait_end() == 0
    runs = {n: platform.count_runs(f"b{n}") for n in range(40)}
    for number, result in results.items():
        assert result in (200, 503, "not read"), number
        assert runs[number] == (result == 200), number


def test_vms_report_leaving_servers_to_each_other_without_the_store(tmp_path):
    """Only one VM sees the server's response that announces its shutdown.

    No entry can be read while the store is unavailable.
    """
    platform = Platform(tmp_path, nodes=2)
    try:
        platform.start()
        first, second = platform.nodes
        wait_for(
            lambda: (
                first.find_log_lines("vm_changed")
                and second.find_log_lines("vm_changed")
            ),
            "the VMs to know each other",
        )
        platform.store.is_unavailable = True
        leaving = platform.servers["ledger"][0]
        leaving.default = announce_leaving(answer_complete)
        number = 0
        while not leaving.received:
            number += 1
            assert first.ask(f"a{number}", "/record/a", tokens=None).status == 200
        for node in (first, second):
            wait_for(
                lambda node=node: node.find_log_lines(
                    "server_changed", server=leaving.name, result="leaving"
                ),
                "the departure of the server",
            )
        before = len(leaving.received)
        for number in range(20):
            for node in (first, second):
                reply = node.ask(f"{node.name}-{number}", "/record/a", tokens=None)
                assert reply.status == 200
        assert len(leaving.received) == before
    finally:
        platform.stop()
