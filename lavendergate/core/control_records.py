"""Records that make up the control state."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from lavendergate.core.commands import SettingChange
from lavendergate.core.routes import NO_ROUTES, RoutesVersion
from lavendergate.core.settings.document import SettingsDocument
from lavendergate.core.types import (
    NO_TERM,
    FailureDomain,
    GroupId,
    HostId,
    Region,
    SettingsVersion,
    Term,
    TermStart,
    UpstreamId,
)

ValidateChange = Callable[
    [SettingsDocument, tuple[SettingChange, ...]], str | None
]


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of the state machine to a command.

    Parameters
    ----------
    accepted
        Whether the command took effect, now or when it was first sent.
    problem
        Why it was refused, with the remedy.
    index
        Index of the entry that the answer belongs to.
    settings_version
        Version of the settings after the command.
    """

    accepted: bool
    problem: str | None = None
    index: int = 0
    settings_version: SettingsVersion = SettingsVersion(0)


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupRecord:
    """Committed state of a group.

    Parameters
    ----------
    member_ids
        Members that count for majorities.
    begun_term
        Last begun term.
    confirmed_term
        Term of the last confirmed primary; below `begun_term` while a
        promotion is running.
    primary
        Primary of `confirmed_term`.
    term_history
        First position of each recent confirmed term, oldest first.
    """

    group_id: GroupId
    member_ids: frozenset[UpstreamId] = frozenset()
    begun_term: Term = NO_TERM
    confirmed_term: Term = NO_TERM
    primary: UpstreamId | None = None
    term_history: tuple[TermStart, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class HostRecord:
    """A registered proxy host."""

    host_id: HostId
    incarnation: str
    region: Region
    failure_domain: FailureDomain
    address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class AcceptedChange:
    """An accepted change of the settings."""

    version: SettingsVersion
    author: str
    operation_id: str
    changes: tuple[SettingChange, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class OperationRecord:
    """First answer to an operation.

    Parameters
    ----------
    digest
        Digest of the command, to detect a reuse of its operation id.
    """

    operation_id: str
    digest: bytes
    answer: Answer


def permit_change(
    document: SettingsDocument, changes: tuple[SettingChange, ...]
) -> str | None:
    """Accept every change that names a key; for use without a schema."""
    if changes:
        return None
    return 'the change names no key: name at least one'


class RoutesRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The route table in force.

    Parameters
    ----------
    version
        Version that `content` carries; 0 before the first publication.
    content
        The table as its operator sent it, packed.
    """

    version: RoutesVersion = NO_ROUTES
    content: bytes = b''


class PromotionRecord(msgspec.Struct, frozen=True, kw_only=True):
    """An announced order to promote a member.

    Parameters
    ----------
    holder
        Host that gives the order.
    token
        Fencing token of the order.
    """

    upstream_id: UpstreamId
    holder: HostId
    token: int
