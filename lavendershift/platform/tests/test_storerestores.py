"""Real router processes beside a store that is restored from an older copy."""

import time

import pytest

from lavendershift.platform import names
from lavendershift.platform.tests.live_nodes import Platform, wait_for
from lavendershift.tests.processes import find_port
from lavendershift_standins.platformstore import StoreServer

GROWTH = 30  # records by which the restored log outgrows the offsets of its readers


@pytest.fixture
def platform(tmp_path):
    platform = Platform(tmp_path)
    platform.start()
    yield platform
    platform.stop()


def take_copy(platform):
    return platform.thread.call(platform.store.state.copy)


def restore(platform, copy, *appends):
    """Restore ``copy``, then append records before any reader sees the new log."""

    def change():
        platform.store.restore(copy)
        for topic, records in appends:
            platform.store.state.append(topic, 0, records)

    platform.thread.call(change)


def make_filler():
    return [(b"other", b"1")] * GROWTH


def list_versions(platform):
    return [
        line["version"]
        for line in platform.nodes[0].find_log_lines("configuration_changed")
    ]


def test_a_configuration_below_the_old_offset_takes_effect(platform):
    """The reader's offset lay above the record, so that it was never read."""
    copy = take_copy(platform)
    platform.append(names.OPERATOR_TOPIC, make_filler())
    time.sleep(1.0)
    newer = (names.CONFIGURATION_KEY, platform.make_configuration(version=9))
    filler = make_filler() + make_filler()
    restore(platform, copy, (names.OPERATOR_TOPIC, [newer, *filler]))
    wait_for(lambda: 9 in list_versions(platform), "version 9")


def test_a_configuration_newer_than_the_copy_stays_in_force(platform):
    copy = take_copy(platform)
    platform.configure(version=9)
    wait_for(lambda: 9 in list_versions(platform), "version 9")
    for _ in range(3):
        restore(platform, copy)
        time.sleep(0.5)
    assert list_versions(platform)[-1] == 9
    platform.configure(version=10)
    wait_for(lambda: 10 in list_versions(platform), "version 10")


def test_a_server_that_drains_since_the_restore_gets_nothing_new(platform):
    copy = take_copy(platform)
    platform.append(names.SERVERS_TOPIC, make_filler())
    time.sleep(1.0)
    entries = platform.make_server_entries(i_ledger_0="draining")
    filler = make_filler() + make_filler()
    restore(platform, copy, (names.SERVERS_TOPIC, [*entries, *filler]))
    time.sleep(2.0)
    drained = platform.servers["ledger"][0]
    before = len(drained.received)
    for number in range(10):
        platform.nodes[0].ask(f"r-{number}", "/read/a", tokens=())
    assert len(drained.received) == before


def test_servers_that_the_copy_lacks_are_kept_until_they_write_again(platform):
    restore(platform, platform.empty_copy())
    time.sleep(0.8)
    reply = platform.nodes[0].ask("r-1", "/read/a", tokens=())
    assert reply.status == 200
    platform.write_server_entries()
    time.sleep(3.0)
    assert not platform.nodes[0].find_log_lines("server_changed", result="gone")


def test_grants_that_the_copy_lacks_are_recorded_again(platform):
    copy = take_copy(platform)
    node = platform.nodes[0]
    assert node.ask("r-1").status == 200
    wait_for(platform.find_granted, "a grant")
    time.sleep(1.5)
    for _ in range(3):
        granted = dict(platform.find_granted())
        restore(platform, copy)
        wait_for(
            lambda before=granted: all(
                platform.find_granted().get(name, 0) >= tokens
                for name, tokens in before.items()
            ),
            "the grants to be recorded again",
        )


def test_a_lease_snapshot_of_the_copy_is_not_adopted(platform):
    """Tokens that the copy counts as unspent may have been spent since."""
    node = platform.nodes[0]
    assert node.ask("r-1").status == 200
    wait_for(lambda: platform.count_lease_snapshots() > 1, "a lease snapshot")
    time.sleep(3.0)
    copy = take_copy(platform)
    node.kill()
    restore(platform, copy)
    node.start()
    wait_for(lambda: node.ask("r-2").status == 200, "a request that is served again")
    assert not node.find_log_lines("tokens_adopted")


def test_rows_are_written_again(platform):
    name = platform.nodes[0].name.encode()
    restore(platform, platform.empty_copy())

    def is_listed():
        rows = platform.store.state.list_newest(names.VMS_TOPIC, 0)
        return name in {key for key, _, _ in rows}

    wait_for(is_listed, "the row of the VM")


def test_restores_without_the_header_change_nothing_else(platform):
    """Older stores send no era; a newer configuration is read as before."""
    platform.store.has_era = False
    platform.configure(version=9)
    wait_for(lambda: 9 in list_versions(platform), "version 9")


@pytest.mark.parametrize("is_signalled", [True, False])
def test_the_new_address_of_the_store_is_followed(platform, is_signalled):
    node = platform.nodes[0]
    moved, port = StoreServer(platform.store.rng), find_port()
    moved.state = platform.store.state.copy()
    platform.thread.call(moved.listen, port)
    platform.thread.call(platform.store.stop)
    platform.store = moved
    settings = node.settings.read_text()
    node.settings.write_text(settings.replace(str(platform.store_port), str(port)))
    if is_signalled:
        node.reload()
    platform.configure(version=9)
    wait_for(lambda: 9 in list_versions(platform), "version 9 at the new address")
