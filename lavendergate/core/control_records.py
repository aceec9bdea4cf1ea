"""Records of the control state."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from lavendergate.core.bounds.ranges import Count
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

FindChangeProblem = Callable[
    [SettingsDocument, tuple[SettingChange, ...]], str | None
]


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of the state machine to a command.

    Parameters
    ----------
    accepted
        Whether the command was not refused. An accepted command may have had
        nothing to change. A resend of a change to the settings gets the answer
        to the first one.
    problem
        Why it was refused, and the remedy.
    index
        Index of the log entry of the command.
    settings_version
        Version of the settings after the command was applied.
    """

    accepted: bool
    problem: str | None = None
    index: int = 0
    settings_version: SettingsVersion = SettingsVersion(0)


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupRecord:
    """Committed state of a group, as kept and stored in the control state.

    `lavendergate.core.records.GroupRecord` is the form that failover and
    membership use.

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
    """An accepted change to the settings."""

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
        Digest of the command, which reveals reuse of its operation id for a
        different change.
    """

    operation_id: str
    digest: bytes
    answer: Answer


def empty_change_problem(
    document: SettingsDocument, changes: tuple[SettingChange, ...]
) -> str | None:
    """Return the problem of a change that names no key; None for any other.

    Control hosts use it when they apply a change. They validate the values
    before they propose the change, and not again, so that processes with
    different software versions compute the same document.
    """
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
        The table as the operator sent it, compressed.
    """

    version: RoutesVersion = NO_ROUTES
    content: bytes = b''


class PromotionRecord(msgspec.Struct, frozen=True, kw_only=True):
    """An order to promote a member, recorded before it is sent.

    Parameters
    ----------
    holder
        Host that sends the order.
    token
        Fencing token of the order.
    """

    upstream_id: UpstreamId
    holder: HostId
    token: Count
