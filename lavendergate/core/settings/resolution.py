"""Settings in force for groups and callers, inherited through the tree."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from lavendergate.core.settings.document import (
    ROOT_PATH,
    NodePath,
    SettingsDocument,
    SettingValue,
)
from lavendergate.core.settings.paths import NodeLevel, path_with_ancestors
from lavendergate.core.settings.schema import SCHEMA
from lavendergate.core.settings.values import has_kind
from lavendergate.core.types import (
    CallerId,
    GroupId,
    Region,
    SettingsVersion,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class EffectiveSettings:
    """Values in force for a caller of a group, one attribute per setting.

    Each value is described in `lavendergate.core.settings.schema` and in
    docs/settings.md. Units are part of the names.
    """

    statement_deadline_ms: int
    read_max_age_ms: int
    read_replica_wait_ms: int
    queue_limit: int
    queue_class: str | None
    caller_concurrency: int
    retry_budget_percent: int
    group_members: int
    failover_enabled: bool
    failover_announcement_timeout_ms: int
    failover_min_interval_s: int
    request_retention_s: int
    token_signing_key: str | None = field(repr=False)
    token_accepted_keys: tuple[str, ...] = field(repr=False)
    ejection_factor: float
    connection_idle_s: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Origin:
    """A value in force and the node that sets it.

    Parameters
    ----------
    path
        Path of the node that sets the value; None for the default.
    """

    key: str
    value: SettingValue | None
    path: NodePath | None


class SettingsTree:
    """Resolves the settings of one version and caches the results.

    Results are cached per nearest existing node, so the size of the cache is
    bounded by the number of nodes, whichever groups and callers are requested.

    Parameters
    ----------
    document
        Document of the version to resolve.
    """

    def __init__(self, document: SettingsDocument) -> None:
        self._document = document
        self._resolved: dict[NodePath, EffectiveSettings] = {}
        self._group_regions: dict[str, Region] | None = None

    @property
    def document(self) -> SettingsDocument:
        """Document that this tree resolves."""
        return self._document

    @property
    def version(self) -> SettingsVersion:
        """Version of the document."""
        return self._document.version

    def effective_settings(
        self,
        region: Region | None = None,
        group: GroupId | None = None,
        caller: CallerId | None = None,
    ) -> EffectiveSettings:
        """Return the settings of a caller, a group, a region or the root."""
        path = _nearest_node(self._document.nodes, region, group, caller)
        settings = self._resolved.get(path)
        if settings is None:
            settings = _resolve_at_node(self._document, path)
            self._resolved[path] = settings
        return settings

    def region_of(
        self, group: GroupId, member_regions: Sequence[Region]
    ) -> Region | None:
        """Return the region under which the settings of a group are looked up.

        If the tree has a node for the group, the region of that node is
        returned, so that the settings of a group with members in several
        regions do not depend on which members are announced. Otherwise it is
        the most frequent region of the members; ties go to the first by name.
        """
        if self._group_regions is None:
            self._group_regions = _group_regions(self._document.nodes)
        region = self._group_regions.get(group)
        if region is not None or not member_regions:
            return region
        return min(
            member_regions,
            key=lambda name: (-member_regions.count(name), name),
        )


def effective_settings(
    document: SettingsDocument,
    region: Region | None = None,
    group: GroupId | None = None,
    caller: CallerId | None = None,
) -> EffectiveSettings:
    """Resolve settings without a cache.

    `SettingsTree` caches the results for repeated use.
    """
    return _resolve_at_node(
        document, _nearest_node(document.nodes, region, group, caller)
    )


def explain(
    document: SettingsDocument,
    region: Region | None = None,
    group: GroupId | None = None,
    caller: CallerId | None = None,
) -> tuple[Origin, ...]:
    """Return each value in force and the node that sets it."""
    paths = path_with_ancestors(
        _nearest_node(document.nodes, region, group, caller)
    )
    return tuple(_find_origin(document, paths, key) for key in SCHEMA)


def origin_at(document: SettingsDocument, path: NodePath, key: str) -> Origin:
    """Return the value of one key at a node and the node that sets it."""
    return _find_origin(document, path_with_ancestors(path), key)


def _group_regions(nodes: Iterable[NodePath]) -> dict[str, Region]:
    names = (path.split('/') for path in nodes)
    return {
        parts[NodeLevel.group]: Region(parts[NodeLevel.region])
        for parts in names
        if len(parts) > NodeLevel.group
    }


def _nearest_node(
    nodes: Mapping[NodePath, object],
    region: Region | None,
    group: GroupId | None,
    caller: CallerId | None,
) -> NodePath:
    region_path = f'/{region}'
    group_path = f'{region_path}/{group}'
    caller_path = f'{group_path}/{caller}'
    if caller is not None and caller_path in nodes:
        return caller_path
    if group is not None and group_path in nodes:
        return group_path
    if region is not None and region_path in nodes:
        return region_path
    return ROOT_PATH


def _resolve_at_node(
    document: SettingsDocument, path: NodePath
) -> EffectiveSettings:
    paths = path_with_ancestors(path)
    values: dict[str, Any] = {
        spec.attribute: _find_origin(document, paths, key).value
        for key, spec in SCHEMA.items()
    }
    return EffectiveSettings(**values)


def _find_origin(
    document: SettingsDocument, paths: Sequence[NodePath], key: str
) -> Origin:
    # A process with older software than the control hosts may receive unknown
    # keys and values; a value of an unexpected type is treated as unset.
    spec = SCHEMA[key]
    for path in paths:
        value = document.nodes.get(path, {}).get(key)
        if value is not None and has_kind(spec, value):
            return Origin(key=key, value=value, path=path)
    return Origin(key=key, value=spec.default, path=None)
