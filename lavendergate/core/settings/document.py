"""The settings tree as one immutable, versioned document."""

from dataclasses import dataclass, field

from lavendergate.core.types import SettingsVersion

SettingValue = bool | int | float | str | tuple[str, ...]
NodePath = str

ROOT_PATH: NodePath = '/'


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsDocument:
    """Values that are set explicitly at each node of the settings tree.

    Parameters
    ----------
    version
        Number of the last accepted change; 0 before the first one.
    nodes
        Maps the path of a node to the values set there. Paths are ``/``,
        ``/<region>``, ``/<region>/<group>`` and
        ``/<region>/<group>/<caller>``.
    """

    version: SettingsVersion = SettingsVersion(0)
    nodes: dict[NodePath, dict[str, SettingValue]] = field(default_factory=dict)
