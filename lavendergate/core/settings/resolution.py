"""Effective settings of a group or caller: inheritance through the tree."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from lavendergate.core.settings.document import (
    ROOT_PATH,
    NodePath,
    SettingsDocument,
    SettingValue,
)
from lavendergate.core.settings.paths import NodeLevel, lineage
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

    The meaning of each value is in `lavendergate.core.settings.schema` and
    on the page docs/settings.md. Units are part of the names.
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
    """A value in force and where it comes from.

    Parameters
    ----------
    path
        Node that sets the value, or None for the default.
    """

    key: str
    value: SettingValue | None
    path: NodePath | None


class SettingsTree:
    """Resolves the settings of one version and remembers the results.

    Results are kept per nearest node that exists, so their number is bounded
    by the number of nodes, whatever groups and callers are asked for.

    Parameters
    ----------
    document
        The version to resolve.
    """

    def __init__(self, document: SettingsDocument) -> None:
        self._document = document
        self._resolved: dict[NodePath, EffectiveSettings] = {}
        self._group_regions: dict[str, Region] | None = None

    @property
    def document(self) -> SettingsDocument:
        """The version that this tree resolves."""
        return self._document

    @property
    def version(self) -> SettingsVersion:
        """Number of the version."""
        return self._document.version

    def effective(
        self,
        region: Region | None = None,
        group: GroupId | None = None,
        caller: CallerId | None = None,
    ) -> EffectiveSettings:
        """Return the settings of a caller, a group, a region or the root."""
        path = _nearest(self._document.nodes, region, group, caller)
        settings = self._resolved.get(path)
        if settings is None:
            settings = _resolve(self._document, path)
            self._resolved[path] = settings
        return settings

    def region_of(
        self, group: GroupId, member_regions: Sequence[Region]
    ) -> Region | None:
        """Return the region below which the settings of a group are found.

        A group that has a node belongs to the region of that node, so that
        the settings of a group with members in several regions do not depend
        on which of them are announced. Otherwise the most frequent region
        of the members counts, the first by name among equals.
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


def effective(
    document: SettingsDocument,
    region: Region | None = None,
    group: GroupId | None = None,
    caller: CallerId | None = None,
) -> EffectiveSettings:
    """Resolve the settings of one place once; `SettingsTree` keeps results."""
    return _resolve(document, _nearest(document.nodes, region, group, caller))


def explain(
    document: SettingsDocument,
    region: Region | None = None,
    group: GroupId | None = None,
    caller: CallerId | None = None,
) -> tuple[Origin, ...]:
    """Return each value in force and the node that it comes from."""
    paths = lineage(_nearest(document.nodes, region, group, caller))
    return tuple(_origin(document, paths, key) for key in SCHEMA)


def origin_at(document: SettingsDocument, path: NodePath, key: str) -> Origin:
    """Return the value of one key at a node and where it comes from."""
    return _origin(document, lineage(path), key)


def _group_regions(nodes: Iterable[NodePath]) -> dict[str, Region]:
    names = (path.split('/') for path in nodes)
    return {
        parts[NodeLevel.group]: Region(parts[NodeLevel.region])
        for parts in names
        if len(parts) > NodeLevel.group
    }


def _nearest(
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


def _resolve(document: SettingsDocument, path: NodePath) -> EffectiveSettings:
    paths = lineage(path)
    values: dict[str, Any] = {
        spec.attribute: _origin(document, paths, key).value
        for key, spec in SCHEMA.items()
    }
    return EffectiveSettings(**values)


def _origin(
    document: SettingsDocument, paths: Sequence[NodePath], key: str
) -> Origin:
    # A process that is older than the control hosts may meet keys and values
    # that it does not know; values of a foreign type count as not set.
    spec = SCHEMA[key]
    for path in paths:
        value = document.nodes.get(path, {}).get(key)
        if value is not None and has_kind(spec, value):
            return Origin(key=key, value=value, path=path)
    return Origin(key=key, value=spec.default, path=None)
