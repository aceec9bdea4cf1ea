"""Database proxy with session consistency, failover and a settings tree."""

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
