"""Database proxy with session consistency, failover and a settings tree."""

# Type checkers take this constant for true. `typing` is not imported for it,
# because each process imports this module before it handles signals.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from lavendergate.core.types import (
        CallerId,
        FailureDomain,
        GroupId,
        GroupView,
        HostId,
        LogPosition,
        MemberRole,
        MemberStatus,
        MemberView,
        Region,
        SettingsVersion,
        Term,
        UpstreamId,
    )

__all__ = (
    'CallerId',
    'FailureDomain',
    'GroupId',
    'GroupView',
    'HostId',
    'LogPosition',
    'MemberRole',
    'MemberStatus',
    'MemberView',
    'Region',
    'SettingsVersion',
    'Term',
    'UpstreamId',
)


def __getattr__(name: str) -> object:  # noqa: WPS413
    """Import a public name on its first use."""
    if name not in __all__:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    from importlib import import_module  # noqa: WPS433

    return getattr(import_module('lavendergate.core.types'), name)
