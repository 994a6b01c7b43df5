import hashlib
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lavendershift import configuration_state, verdicts
from lavendershift.configuration import Configuration
from lavendershift.errors import DecodeError
from lavendershift.nodes import ServiceSettings
from lavendershift.records import Change, Entry, Evict, Setting, TopUp, decode_entry
from lavendershift.verdicts import Status

KEYS = [hashlib.sha256(key.encode()).hexdigest() for key in ("k1", "k2")]
VALID = [
    ("", "weight", 3.0),
    ("", "budget", "shared"),
    ("desks/rennes", "budget", "rennes"),
    ("desks/rennes", "weight", 2),
    ("desks/rennes/plume", "budget", "plume"),
    ("desks/rennes/plume", "api_key_hashes", [KEYS[0]]),
    ("desks/rennes/plume/app", "api_key_hashes", KEYS),
    ("models/small", "alias_of", "large"),
    ("models/large", "alias_of", "largest"),
    ("vms/r1", "state", "leaving"),
]
INVALID = [
    ("desks/rennes", "wieght", 2.0),
    ("desks/rennes", "weight", "much"),
    ("desks/rennes", "capacity", 3),
    ("desk/rennes", "weight", 2.0),
    ("", "hold_share", 1.5),
]
ENGINE = [
    ("servers/e1", "address", "127.0.0.1:8001"),
    ("servers/e1", "failure_domain", "rennes"),
]


def make_change(change_id, base, places, author="ana"):
    return Change(change_id, base, author, [Setting(*place) for place in places])


def apply_all(records, configuration=None):
    configuration = configuration or Configuration()
    start = configuration.next_offset
    found = []
    for offset, record in enumerate(records, start):
        fault = "config@0: broken" if record is None else ""
        found.append(configuration.apply(Entry(offset, offset * 10, record, fault)))
    return configuration, found


setting_places = st.one_of(
    st.sampled_from(VALID),
    st.sampled_from(VALID).map(lambda place: (*place[:2], None)),
    st.sampled_from(INVALID),
)


@st.composite
def histories(draw):
    """Draw records, with many changes based on the newest offset or one just below."""
    records = draw(st.lists(st.one_of(changes, changes, top_ups, others), max_size=16))
    return [
        record._replace(base_offset=offset - record.base_offset)
        if isinstance(record, Change)
        else record
        for offset, record in enumerate(records)
    ]


changes = st.builds(
    make_change,
    st.sampled_from([f"c{number}" for number in range(30)]),
    st.sampled_from([0, 0, 0, 0, 1, 2, 5, -1]),
    st.one_of(
        st.sampled_from(VALID).map(lambda place: [place]),
        st.lists(setting_places, max_size=3),
        st.sampled_from([ENGINE, ENGINE[:1], [(*ENGINE[0][:2], None)]]),
    ),
)
others = st.sampled_from([None, Evict("r1/1", "r1", "ana")])
top_ups = st.builds(
    TopUp,
    st.sampled_from(["t1", "t2", "t3"]),
    st.sampled_from(["plume", "rennes", ""]),
    st.integers(0, 50),
    st.just("ben"),
)
deterministic = settings(
    derandomize=True, database=None, deadline=None, max_examples=200
)


def describe_state(configuration):
    """Return the active configuration as the public methods return it."""
    end = configuration.next_offset
    return (
        [configuration.find_caller(key) for key in ("k1", "k2", "k3")],
        configuration.servers(),
        configuration.services(),
        configuration.vms(),
        configuration.models(),
        configuration.budgets(),
        [configuration.prepaid("plume", offset) for offset in range(end + 1)],
        configuration.explain("desks/rennes/plume/app", "weight"),
    )


@deterministic
@given(histories())
def test_all_readers_have_the_same_verdicts_and_state(records):
    reader, found = apply_all(records)
    for cut in range(len(records) + 1):
        partial, partial_found = apply_all(records[:cut])
        restarted = Configuration.restore(partial.encode_state())
        describe_state(restarted)
        remaining_found = []
        for record in records[cut:]:
            remaining_found += apply_all([record], restarted)[1]
            describe_state(restarted)
        assert partial_found + remaining_found == found
        assert restarted.encode_state() == reader.encode_state()
        assert describe_state(restarted) == describe_state(
            Configuration.restore(reader.encode_state())
        )


@deterministic
@given(histories())
def test_accepted_configuration_never_reverts(records):
    """Compare with a model that keeps the newest accepted value of each key."""
    configuration = Configuration()
    active = {}
    accepted_ids = set()
    for offset, record in enumerate(records):
        before = configuration.encode_state()
        for wrong in {0, offset - 1, offset + 1} - {offset}:
            with pytest.raises(ValueError, match="expected"):
                configuration.apply(Entry(wrong, 0, record))
        assert configuration.encode_state() == before
        nodes = configuration.nodes()
        _, [verdict] = apply_all([record], configuration)
        assert configuration.next_offset == offset + 1
        touched = {(s.path, s.key): s.value for s in getattr(record, "settings", [])}
        if verdict.accepted and isinstance(record, Change):
            assert record.id not in accepted_ids
            accepted_ids.add(record.id)
            for place, value in touched.items():
                changed_at, _ = active.get(place, (-1, None))
                assert changed_at < record.base_offset
                active[place] = (offset, value)
        else:
            assert verdict.reason or verdict.accepted
            assert configuration.nodes() == nodes
        expected = {
            place: value for place, (_, value) in active.items() if value is not None
        }
        assert expected == {
            (path, key): value
            for path, values in configuration.nodes().items()
            for key, value in values.items()
        }


@deterministic
@given(histories())
def test_a_top_up_counts_once_from_its_first_valid_offset(records):
    configuration, _ = apply_all(records)
    first = {}
    for offset, record in enumerate(records):
        if isinstance(record, TopUp) and record.tokens and record.budget:
            first.setdefault(record.id, (offset, record))
    for budget in ("plume", "rennes"):
        for config_offset in range(len(records) + 1):
            expected = sum(
                record.tokens
                for offset, record in first.values()
                if record.budget == budget and offset < config_offset
            )
            assert configuration.prepaid(budget, config_offset) == expected


def test_one_of_two_conflicting_changes_is_rejected_with_a_reason():
    first = make_change("a", 0, [("", "weight", 2.0)], "ana")
    second = make_change("b", 0, [("", "weight", 3.0)], "ben")
    other = make_change("c", 0, [("desks/rennes", "weight", 3.0)], "ben")
    rebased = make_change("d", 1, [("", "weight", 3.0)], "ben")
    configuration, found = apply_all([first, second, other, first, rebased])
    assert [verdict.status for verdict in found] == [
        Status.ACCEPTED,
        Status.REJECTED,
        Status.ACCEPTED,
        Status.DUPLICATE,
        Status.ACCEPTED,
    ]
    assert "changed at offset 0, after the base offset 0" in found[1].reason
    assert configuration.find_verdict("a") == found[0]
    assert configuration.resolve("desks/brest", "weight") == 3.0


def test_duplicate_of_a_change_without_retained_verdict_has_no_effect(monkeypatch):
    monkeypatch.setattr(verdicts, "MAX_VERDICTS", 2)
    first = make_change("a", 0, [("", "weight", 2.0)])
    others = [TopUp(f"t{number}", "plume", 1, "ana") for number in range(3)]
    removal = make_change("b", 4, [("", "weight", None)])
    records = [first, *others, removal, *[None] * 3, first, others[0]]
    configuration, found = apply_all(records)
    assert configuration.find_verdict("a") is not None
    assert not found[-2].accepted
    assert found[-1].status is Status.DUPLICATE
    assert configuration.resolve("", "weight") == 1.0
    assert len(configuration.verdicts()) == 2


@pytest.mark.parametrize(
    ("records", "reason"),
    [
        ([make_change("a", 0, [INVALID[0]])], "did you mean 'weight'?"),
        ([make_change("a", 0, [INVALID[1]])], "should be a valid number"),
        ([make_change("a", 0, [INVALID[2]])], "only at servers/NAME"),
        ([make_change("a", 0, [INVALID[3]])], "is no path of the tree"),
        ([make_change("a", 0, [INVALID[4]])], "less than or equal to 1"),
        ([make_change("a", 0, [VALID[0], VALID[0]])], "set twice"),
        ([make_change("a", 0, [])], "has none"),
        ([make_change("a", 1, [VALID[0]])], "base_offset: 1 is not from 0 to 0"),
        ([make_change("a", -1, [VALID[0]])], "base_offset: -1"),
        ([make_change("", 0, [VALID[0]])], "id: expected"),
        ([make_change("a", 0, ENGINE[:1])], "failure_domain: is required"),
        ([make_change("a", 0, [VALID[5], VALID[6]])], "belongs to desks/rennes/plume"),
        ([make_change("a", 0, [VALID[7], VALID[8]])], "'large' is itself an alias"),
        (
            [make_change("a", 0, [VALID[7]]), make_change("b", 1, [VALID[8]])],
            "models/small is an alias of it",
        ),
        (
            [make_change("a", 0, [VALID[8]]), make_change("b", 1, [VALID[7]])],
            "'large' is itself an alias",
        ),
        ([TopUp("t", "plume", 0, "ana")], "must be positive"),
        ([TopUp("t", "", 5, "ana")], "budget: "),
        ([TopUp("t", "plume", 10**15 + 1, "ana")], "would exceed"),
        ([Evict("r1/1", "r1", "ana")], "no record of the configuration stream"),
        ([None], "config@0: broken"),
    ],
)
def test_invalid_records_are_rejected_with_a_reason(records, reason):
    _, found = apply_all(records)
    assert found[-1].status is Status.REJECTED
    assert reason in found[-1].reason


@deterministic
@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
        lambda item: st.lists(item, max_size=4),
        max_leaves=8,
    ),
    st.sampled_from(["change", "top_up", "evict", "nonsense"]),
)
def test_any_json_is_applied_without_an_exception(data, kind):
    fields = data if isinstance(data, list) else [data]
    for record in (data, [kind, *fields], [kind, "id", 0, "ana", [[*fields]]]):
        entry = decode_entry("config", 0, 5, record)
        verdict = Configuration().apply(entry)
        assert verdict.accepted or verdict.reason


def test_values_are_inherited_and_name_their_source():
    configuration, found = apply_all([make_change("a", 0, VALID[:6])])
    assert found[0].accepted, found[0].reason
    path = "desks/rennes/plume/app"
    assert configuration.explain(path, "weight") == (2.0, "desks/rennes")
    assert configuration.explain(path, "hold_share") == (0.005, None)
    assert configuration.explain("desks/brest", "weight") == (3.0, "")
    caller = configuration.find_caller("k1")
    assert caller.customer == "desks/rennes/plume"
    assert (caller.budget, caller.weight) == ("plume", 2.0)
    assert caller.deadline == timedelta(seconds=120)
    assert configuration.find_caller("k1") is caller
    assert configuration.find_caller("unknown") is None
    with pytest.raises(KeyError, match="did you mean 'weight'"):
        configuration.resolve("", "wieght")


def test_changes_reach_cached_callers_and_survive_a_restart():
    path = "desks/rennes/plume"
    configuration, _ = apply_all([make_change("a", 0, [VALID[5], VALID[7]])])
    for offset, place in enumerate(["", "desks/rennes", path], 1):
        assert configuration.find_caller("k1").weight != offset + 1
        assert configuration.resolve_model("small") == "large"
        change = make_change(f"w{offset}", offset, [(place, "weight", offset + 1)])
        apply_all([change], configuration)
        for reader in (
            configuration,
            Configuration.restore(configuration.encode_state()),
        ):
            assert reader.find_caller("k1").weight == offset + 1
            late = make_change("late", offset, [(place, "weight", 9.0)])
            assert f"changed at offset {offset}" in reader.check(late)
            assert "is an alias of it" in reader.check(
                make_change("x", offset, [VALID[8]])
            )
            taken = make_change("y", offset, [VALID[6]])
            assert f"belongs to {path}" in reader.check(taken)


def test_conflicts_refer_to_the_latest_change_of_a_key():
    records = [make_change(f"c{n}", n, [("", "weight", n + 1)]) for n in range(3)]
    configuration, _ = apply_all(records)
    late = make_change("late", 1, [("", "weight", 9.0)])
    assert "changed at offset 2" in configuration.check(late)


def test_an_api_key_may_move_to_another_caller_in_one_change():
    moved = [(*VALID[5][:2], None), VALID[6]]
    records = [make_change("a", 0, [VALID[5]]), make_change("b", 1, moved)]
    configuration, found = apply_all(records)
    assert found[1].accepted, found[1].reason
    assert configuration.find_caller("k1").application == "app"


def test_aliases_resolve_and_servers_have_defaults():
    places = [VALID[7], *ENGINE, ("servers/e1", "models", ["large"])]
    configuration, _ = apply_all([make_change("a", 0, places)])
    assert configuration.resolve_model("small") == "large"
    assert configuration.resolve_model("large") == "large"
    server = configuration.servers()["e1"]
    assert (server.capacity, server.models) == (16, ("large",))


def test_non_repeatable_prefixes_match_complete_segments():
    service = ServiceSettings("desk", ("POST /proofs", "PUT /"), 0)
    assert not service.is_repeatable("POST", "/proofs/7")
    assert not service.is_repeatable("POST", "/proofs?x=1")
    assert service.is_repeatable("POST", "/proofsheets")
    assert service.is_repeatable("GET", "/proofs")
    assert not service.is_repeatable("PUT", "/anything")


@deterministic
@given(histories(), st.integers(1, 3), st.data())
def test_slices_keep_their_offset_while_entries_are_applied(records, items, data):
    cut = data.draw(st.integers(0, len(records)))
    configuration, _ = apply_all(records[:cut])
    state = configuration.encode_state()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(configuration_state, "SLICE_ITEMS", items)
        slices = configuration.encode_slices()
        taken = [next(slices)]
        for record in records[cut:]:
            apply_all([record], configuration)
            taken.append(next(slices, ""))
        assert "".join([*taken, *slices]) == state


def test_slices_hold_values_of_one_offset(monkeypatch):
    monkeypatch.setattr(configuration_state, "SLICE_ITEMS", 1)
    paths = ["desks/rennes", "desks/brest", "desks/quimper"]
    places = [(path, "weight", 2.0) for path in paths]
    configuration, _ = apply_all([make_change("a", 0, places)])
    state = configuration.encode_state()
    slices = configuration.encode_slices()
    taken = [next(slices), next(slices)]
    later = [
        (path, "weight", value)
        for path, value in zip(paths, (3.0, None, 4.0), strict=True)
    ]
    apply_all(
        [make_change("b", 1, later), TopUp("t", "plume", 5, "ana")], configuration
    )
    assert configuration.resolve("desks/quimper", "weight") == 4.0
    assert "".join([*taken, *slices]) == state


@pytest.mark.parametrize("state", ["", "{}", "[1]", "[3,0,[],[],[]]", "[2,0,[],[]]"])
def test_a_damaged_checkpoint_is_an_error(state):
    with pytest.raises(DecodeError):
        Configuration.restore(state)
