"""Values set on the nodes of the settings tree.

``TreeValues`` holds the values set on each node and the offsets of their last
changes, resolves values through inheritance, and checks that a set of updates
leaves the tree valid.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from lavendershift.configuration_state import NodeState
from lavendershift.tree import (
    ROWS,
    NodeKind,
    TreeRow,
    find_node_kind,
    format_place,
    list_ancestors,
)

API_KEY_HASHES = "api_key_hashes"
ALIAS_OF = "alias_of"

Updates = Mapping[str, Mapping[str, Any]]


class ResolvedValue(NamedTuple):
    """An active value and the path it is set at; ``None`` for the default."""

    value: Any
    path: str | None


class TreeValues:
    """Values of the tree, by path and key.

    ``nodes`` holds only the values set on a node itself. ``changed_at`` holds
    the offset of each key's last change, also for removed keys. Each change
    replaces a node's dict in both and never modifies it in place, so that a shallow
    copy of either does not change.
    """

    def __init__(self) -> None:
        self.nodes: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, dict[str, int]] = {}
        self._key_owners: dict[str, str] = {}
        self._aliases_by_target: dict[str, set[str]] = {}

    def apply(self, updates: Updates, offset: int) -> None:
        """Set the values in ``updates``; ``None`` removes a value."""
        for path, values in updates.items():
            self._unindex(path)
            node = self.preview(path, updates)
            if node:
                self.nodes[path] = node
            else:
                self.nodes.pop(path, None)
            changed = dict.fromkeys(values, offset)
            self.changed_at[path] = {**self.changed_at.get(path, {}), **changed}
        for path in updates:
            self._index(path)

    def find_last_change(self, path: str, key: str) -> int:
        """Return the offset of a key's last change, -1 if there was none."""
        return self.changed_at.get(path, {}).get(key, -1)

    def copy_states(self) -> Iterator[NodeState]:
        """Return the current state of all nodes, in the order of first change."""
        nodes = dict(self.nodes)
        changed_at = dict(self.changed_at)
        return (
            NodeState(path, nodes.get(path, {}), changed)
            for path, changed in changed_at.items()
        )

    def restore(self, states: Iterable[NodeState]) -> None:
        """Add the nodes of a checkpoint to an empty tree."""
        for state in states:
            self.changed_at[state.path] = state.changed_at
            if state.values:
                self.nodes[state.path] = state.values
                self._index(state.path)

    def preview(self, path: str, updates: Updates) -> dict[str, Any]:
        """Return the values that ``path`` would have after ``updates``."""
        node = {**self.nodes.get(path, {}), **updates.get(path, {})}
        return {key: value for key, value in node.items() if value is not None}

    def resolve(self, path: str, key: str, row: TreeRow) -> ResolvedValue:
        """Return the active value of ``key`` at ``path``."""
        for place in list_ancestors(path) if row.inherited else [path]:
            value = self.nodes.get(place, {}).get(key)
            if value is not None:
                return ResolvedValue(value, place)
        return ResolvedValue(row.default, None)

    def resolve_all(self, path: str) -> dict[str, Any]:
        """Return all active values at ``path`` by key."""
        kind = find_node_kind(path)
        assert kind is not None, path
        rows = ROWS[kind]
        values = {key: row.default for key, row in rows.items()}
        for place in reversed(list_ancestors(path)):
            for key, value in self.nodes.get(place, {}).items():
                if place == path or (key in rows and rows[key].inherited):
                    values[key] = value
        return values

    def find_key_owner(self, digest: str) -> str | None:
        """Return the path of the caller that owns an API key's hash."""
        return self._key_owners.get(digest)

    def list_names(self, family: str) -> list[str]:
        """Return the names of the nodes ``family/NAME``, sorted."""
        prefix = f"{family}/"
        paths = sorted(path for path in self.nodes if path.startswith(prefix))
        return [path.removeprefix(prefix) for path in paths]

    def find_defect(self, updates: Updates) -> str:
        """Return why the tree would be invalid after ``updates``, or ``""``."""
        for path in sorted(updates):
            node = self.preview(path, updates)
            defect = find_missing_key(path, node) or self._find_alias_chain(
                path, node, updates
            )
            if defect:
                return defect
        return self._find_shared_key(updates)

    def _find_alias_chain(
        self, path: str, node: dict[str, Any], updates: Updates
    ) -> str:
        """Return why an alias would point to another alias, or ``""``."""
        target = node.get(ALIAS_OF)
        if find_node_kind(path) is not NodeKind.MODEL or not target:
            return ""
        if self.preview(f"models/{target}", updates).get(ALIAS_OF):
            return f"{format_place(path, ALIAS_OF)}: {target!r} is itself an alias"
        name = path.removeprefix("models/")
        for other in sorted(self._aliases_by_target.get(name, ())):
            if self.preview(other, updates).get(ALIAS_OF) == name:
                return f"{format_place(path, ALIAS_OF)}: {other} is an alias of it"
        return ""

    def _find_shared_key(self, updates: Updates) -> str:
        """Return why an API key would belong to two callers, or ``""``."""
        owners: dict[str, str] = {}
        for path in sorted(updates):
            for digest in self.preview(path, updates).get(API_KEY_HASHES, ()):
                owner = owners.get(digest) or self._key_owners.get(digest) or path
                owned = self.preview(owner, updates).get(API_KEY_HASHES, ())
                if owner != path and digest in owned:
                    place = format_place(path, API_KEY_HASHES)
                    return f"{place}: {digest[:8]}... belongs to {owner}"
                owners[digest] = path
        return ""

    def _index(self, path: str) -> None:
        """Add the API keys and the alias set at ``path`` to the indexes."""
        node = self.nodes.get(path, {})
        for digest in node.get(API_KEY_HASHES, ()):
            self._key_owners[digest] = path
        if node.get(ALIAS_OF):
            self._aliases_by_target.setdefault(node[ALIAS_OF], set()).add(path)

    def _unindex(self, path: str) -> None:
        """Remove the entries of ``path`` from the indexes before it changes."""
        node = self.nodes.get(path, {})
        for digest in node.get(API_KEY_HASHES, ()):
            if self._key_owners.get(digest) == path:
                del self._key_owners[digest]
        if node.get(ALIAS_OF):
            self._aliases_by_target[node[ALIAS_OF]].discard(path)


def find_missing_key(path: str, node: Mapping[str, Any]) -> str:
    """Return why a non-empty node lacks a required key, or ``""``."""
    kind = find_node_kind(path)
    if not node or kind is None:
        return ""
    for row in ROWS[kind].values():
        if row.default is None and row.key not in node:
            return f"{format_place(path, row.key)}: is required"
    return ""


def sort_values(nodes: Mapping[str, dict[str, Any]]) -> dict[str, dict[str, Any]]:
    """Return the values sorted by path and key."""
    return {path: dict(sorted(nodes[path].items())) for path in sorted(nodes)}
