"""Commands of the replicated log.

Commands are encoded with a tag, by which a decoder distinguishes them.
"""

import msgspec

from lavendergate.core.routes import RoutesVersion
from lavendergate.core.settings.document import NodePath, SettingValue
from lavendergate.core.types import (
    FailureDomain,
    GroupId,
    HostId,
    Region,
    SettingsVersion,
    Term,
    UpstreamId,
)


class _Command(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of all commands."""


class NoOperation(_Command, frozen=True, kw_only=True, tag=True):
    """First entry of a consensus leader; commits entries of earlier terms."""


class RegisterMember(_Command, frozen=True, kw_only=True, tag=True):
    """Makes an announced upstream count for the majorities of its group."""

    group_id: GroupId
    upstream_id: UpstreamId


class RemoveMember(_Command, frozen=True, kw_only=True, tag=True):
    """Removes an upstream from its group."""

    group_id: GroupId
    upstream_id: UpstreamId


class BeginTerm(_Command, frozen=True, kw_only=True, tag=True):
    """Begins a term of a group; from then on its primary is unconfirmed.

    Refused unless `term` is the group's last begun term plus one.
    """

    group_id: GroupId
    term: Term
    reason: str


class ConfirmPrimary(_Command, frozen=True, kw_only=True, tag=True):
    """Confirms the primary of the last begun term.

    Parameters
    ----------
    first_position
        First position that the primary writes in this term.
    """

    group_id: GroupId
    term: Term
    upstream_id: UpstreamId
    first_position: int


class SettingChange(msgspec.Struct, frozen=True, kw_only=True):
    """Sets a key of a node, or removes its override if `value` is None."""

    path: NodePath
    key: str
    value: SettingValue | None


class ChangeSettings(_Command, frozen=True, kw_only=True, tag=True):
    """Changes the settings tree if its version is still `base_version`.

    Parameters
    ----------
    operation_id
        Id of the operator's change. A resend with the same id returns the
        first answer.
    """

    operation_id: str
    base_version: SettingsVersion
    author: str
    changes: tuple[SettingChange, ...]


class RegisterHost(_Command, frozen=True, kw_only=True, tag=True):
    """Registers a proxy host."""

    host_id: HostId
    incarnation: str
    region: Region
    failure_domain: FailureDomain
    address: str


class RemoveHost(_Command, frozen=True, kw_only=True, tag=True):
    """Removes a proxy host whose connections are known to be closed."""

    host_id: HostId
    incarnation: str


class ChangeVoters(_Command, frozen=True, kw_only=True, tag=True):
    """Replaces the configuration of the replicated log.

    Consecutive configurations differ in at most one voter, so that each
    majority of one shares a voter with each majority of the other.

    Parameters
    ----------
    incarnations
        Incarnation of each voter and learner. A host that lost its disk has
        a new incarnation, so it does not count as its former voter.
    """

    voters: frozenset[HostId]
    learners: frozenset[HostId]
    addresses: dict[HostId, str]
    incarnations: dict[HostId, str] = msgspec.field(default_factory=dict)


class PublishRoutes(_Command, frozen=True, kw_only=True, tag=True):
    """Replaces the route table if its version is higher.

    Otherwise the command is accepted without effect, so that a resend and a
    superseded change get the same answer.

    Parameters
    ----------
    content
        The table as the operator sent it, compressed.
    """

    version: RoutesVersion
    content: bytes


class OrderPromotion(_Command, frozen=True, kw_only=True, tag=True):
    """Records an order to promote a member before the order is sent.

    The index of the log entry is the fencing token of the order: it is unique,
    and a later order has a higher one.
    """

    service: GroupId
    upstream_id: UpstreamId
    holder: HostId


Command = (
    NoOperation
    | RegisterMember
    | RemoveMember
    | BeginTerm
    | ConfirmPrimary
    | ChangeSettings
    | RegisterHost
    | RemoveHost
    | ChangeVoters
    | PublishRoutes
    | OrderPromotion
)
