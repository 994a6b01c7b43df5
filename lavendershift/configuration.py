"""The settings tree and top-ups, replayed from the configuration stream.

All readers apply the same entries in offset order and reach the same verdict on
each. When two operators publish conflicting changes, one is accepted and the
other is rejected with a reason. The configuration never reverts to a lower
offset::

    configuration = Configuration()
    verdict = configuration.apply(entry)
    if not verdict.accepted:
        print(verdict.reason)
    caller = configuration.find_caller("sk-rennes-1")

A change is rejected when a key it touches was changed by an accepted change
at or after its base offset, or when it would leave the tree invalid. An invalid
record has no effect, and its verdict gives the reason.
"""

import hashlib
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, TypeVar

from returns.result import Failure, Success

from lavendershift.changes import check_form, check_id, group_updates
from lavendershift.configuration_state import decode_state, encode_slices
from lavendershift.nodes import (
    CallerSettings,
    ModelSettings,
    ServerSettings,
    ServiceSettings,
    VmSettings,
    build_caller,
    build_node,
)
from lavendershift.records import Change, Entry, TopUp
from lavendershift.topups import TopUpEntry, TopUpHistory
from lavendershift.tree import MAX_TOKENS, find_row, format_place
from lavendershift.tree_values import ResolvedValue, TreeValues, sort_values
from lavendershift.values import ValueRule, check_value
from lavendershift.verdicts import Status, Verdict, VerdictHistory, make_verdict

BUDGET_NAME = ValueRule("name")

Node = TypeVar("Node", ServerSettings, ServiceSettings, VmSettings, ModelSettings)


class Configuration:
    """The settings tree and prepaid budgets after all entries below ``next_offset``."""

    def __init__(self) -> None:
        self._next_offset = 0
        self._values = TreeValues()
        self._top_ups = TopUpHistory()
        self._verdicts = VerdictHistory()
        self._callers: dict[str, CallerSettings] = {}
        self._families: dict[str, Mapping[str, Any]] = {}
        self._budgets: list[str] | None = None

    @property
    def next_offset(self) -> int:
        """Offset after that of the last applied entry; it never decreases."""
        return self._next_offset

    def apply(self, entry: Entry) -> Verdict:
        """Apply the next entry of the stream and return the verdict on it.

        Raises ``ValueError`` for an entry at any other offset than
        ``next_offset``.
        """
        if entry.offset != self._next_offset:
            raise ValueError(f"expected {self._next_offset}, got {entry.offset}")
        verdict = self._apply_entry(entry)
        self._verdicts.add(verdict)
        self._next_offset += 1
        return verdict

    def check(self, change: Change) -> str:
        """Return why ``change`` would be rejected as the next entry, or ``""``."""
        return self._find_rejection(change, self._next_offset)

    def resolve(self, path: str, key: str) -> Any:
        """Return the active value; raises ``KeyError`` for an unknown key."""
        return self.explain(path, key).value

    def explain(self, path: str, key: str) -> ResolvedValue:
        """Return the active value and the node that it is set on.

        Raises ``KeyError`` when the tree has no such key at ``path``.
        """
        match find_row(path, key):
            case Success(row):
                return self._values.resolve(path, key, row)
            case Failure(reason):
                raise KeyError(reason)
        raise AssertionError("a result is a success or a failure")

    def find_caller(self, api_key: str) -> CallerSettings | None:
        """Return the settings of the owner of ``api_key``, ``None`` if unknown."""
        digest = hashlib.sha256(api_key.encode("utf-8", "replace")).hexdigest()
        path = self._values.find_key_owner(digest)
        if path is None:
            return None
        caller = self._callers.get(path)
        if caller is None:
            caller = build_caller(path, self._values.resolve_all(path))
            self._callers[path] = caller
        return caller

    def servers(self) -> Mapping[str, ServerSettings]:
        """Return the backend servers by name."""
        return self._build_nodes("servers", ServerSettings)

    def services(self) -> Mapping[str, ServiceSettings]:
        """Return the plain services by name."""
        return self._build_nodes("services", ServiceSettings)

    def vms(self) -> Mapping[str, VmSettings]:
        """Return the VMs that run routers by name."""
        return self._build_nodes("vms", VmSettings)

    def models(self) -> Mapping[str, ModelSettings]:
        """Return the models and aliases by name."""
        return self._build_nodes("models", ModelSettings)

    def resolve_model(self, name: str) -> str:
        """Return the target of the alias ``name``, or ``name`` if it is no alias."""
        model = self.models().get(name)
        return model.alias_of if model and model.alias_of else name

    def prepaid(self, budget: str, config_offset: int) -> int:
        """Return the tokens topped up for ``budget`` below ``config_offset``."""
        return self._top_ups.count_prepaid(budget, config_offset)

    def budgets(self) -> list[str]:
        """Return the sorted names of budgets topped up or named in the tree."""
        if self._budgets is None:
            named = {node.get("budget") for node in self._values.nodes.values()}
            topped_up = self._top_ups.list_budgets()
            self._budgets = sorted({name for name in named if name} | {*topped_up})
        return self._budgets

    def nodes(self) -> dict[str, dict[str, Any]]:
        """Return the values set on each node, without inherited ones."""
        return sort_values(self._values.nodes)

    def find_verdict(self, record_id: str) -> Verdict | None:
        """Return the verdict on the change or top-up with this id.

        Only the latest verdicts are retained, so ``None`` does not mean that
        the id never occurred.
        """
        change = self._verdicts.find("change", record_id)
        return change or self._verdicts.find("top_up", record_id)

    def verdicts(self) -> list[Verdict]:
        """Return the latest verdicts, oldest first."""
        return self._verdicts.list_verdicts()

    def top_ups(self) -> list[TopUpEntry]:
        """Return all accepted top-ups, oldest first."""
        return self._top_ups.list_entries()

    def encode_state(self) -> str:
        """Return the state as text, which is equal on all readers at this offset."""
        return "".join(self.encode_slices())

    def encode_slices(self) -> Iterator[str]:
        """Return the slices of ``encode_state``, as of the time of the call.

        Entries applied before all slices are taken don't change the slices.
        """
        return encode_slices(
            self._next_offset,
            self._values.copy_states(),
            self._top_ups.list_entries(),
            self._verdicts.list_verdicts(),
        )

    @classmethod
    def restore(cls, state: str) -> "Configuration":
        """Return the configuration of a checkpoint; raises ``DecodeError``."""
        decoded = decode_state(state)
        configuration = cls()
        configuration._next_offset = decoded.next_offset
        configuration._values.restore(decoded.nodes)
        configuration._top_ups = TopUpHistory(decoded.top_ups)
        configuration._verdicts = VerdictHistory(decoded.verdicts)
        return configuration

    def _build_nodes(self, family: str, node_type: type[Node]) -> Mapping[str, Node]:
        """Return the typed nodes ``family/NAME`` by name."""
        nodes = self._families.get(family)
        if nodes is None:
            names = self._values.list_names(family)
            nodes = {
                name: build_node(
                    node_type, name, self._values.resolve_all(f"{family}/{name}")
                )
                for name in names
            }
            self._families[family] = nodes
        return nodes

    def _apply_entry(self, entry: Entry) -> Verdict:
        """Apply an entry if it is valid, and return the verdict on it."""
        record = entry.record
        if isinstance(record, Change):
            status, reason = self._apply_change(record, entry.offset)
        elif isinstance(record, TopUp):
            status, reason = self._apply_top_up(record, entry.offset)
        elif record is None:
            return make_verdict(entry, Status.REJECTED, entry.fault or "no record")
        else:
            reason = "no record of the configuration stream"
            return make_verdict(entry, Status.REJECTED, reason)
        return make_verdict(entry, status, reason)

    def _apply_change(self, change: Change, offset: int) -> tuple[Status, str]:
        """Apply a change; return its status and why it has no effect, or ``""``."""
        earlier = self._verdicts.find("change", change.id)
        if earlier is not None:
            return Status.DUPLICATE, f"repeats offset {earlier.offset}"
        reason = self._find_rejection(change, offset)
        if reason:
            return Status.REJECTED, reason
        updates = group_updates(change)
        self._values.apply(updates, offset)
        self._invalidate_caches(updates)
        return Status.ACCEPTED, ""

    def _find_rejection(self, change: Change, offset: int) -> str:
        """Return why ``change`` can't be accepted at ``offset``, or ``""``."""
        return (
            check_id(change.id)
            or check_form(change, offset)
            or self._find_conflict(change)
            or self._values.find_defect(group_updates(change))
        )

    def _find_conflict(self, change: Change) -> str:
        """Return which key changed at or after the base offset, or ``""``."""
        for setting in change.settings:
            changed_at = self._values.find_last_change(setting.path, setting.key)
            if changed_at >= change.base_offset:
                place = format_place(setting.path, setting.key)
                return (
                    f"{place}: changed at offset {changed_at}, "
                    f"after the base offset {change.base_offset}"
                )
        return ""

    def _apply_top_up(self, top_up: TopUp, offset: int) -> tuple[Status, str]:
        """Add a top-up; return its status and why it has no effect, or ``""``."""
        earlier = self._top_ups.find_offset(top_up.id)
        if earlier is not None:
            return Status.DUPLICATE, f"repeats offset {earlier}"
        reason = self.check_top_up(top_up)
        if reason:
            return Status.REJECTED, reason
        self._top_ups.add(TopUpEntry(offset, top_up.budget, top_up.tokens, top_up.id))
        self._budgets = None
        return Status.ACCEPTED, ""

    def check_top_up(self, top_up: TopUp) -> str:
        """Return why ``top_up`` would be rejected, or ``""``."""
        total = self.prepaid(top_up.budget, self._next_offset) + top_up.tokens
        if top_up.tokens <= 0:
            return "tokens: must be positive"
        if total > MAX_TOKENS:
            return f"tokens: the budget would exceed {MAX_TOKENS:,}"
        match check_value(BUDGET_NAME, top_up.budget):
            case Failure(reason):
                return f"budget: {reason}"
        return check_id(top_up.id)

    def _invalidate_caches(self, paths: Iterable[str]) -> None:
        """Invalidate the cached views that depend on the nodes at ``paths``."""
        for path in paths:
            family = path.partition("/")[0]
            self._families.pop(family, None)
            if family in ("", "desks"):
                self._callers.clear()
                self._budgets = None
