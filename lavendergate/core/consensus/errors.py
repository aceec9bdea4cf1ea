"""Errors of the replicated log."""

from dataclasses import dataclass


class InvariantViolationError(Exception):
    """The node reached a state that the protocol rules out and must stop."""


@dataclass(frozen=True, kw_only=True, slots=True)
class NotLeader:
    """The command was not appended, because another node is the leader.

    Parameters
    ----------
    leader
        Address of the leader, ``ip:port``, if known.
    """

    leader: str | None

    def __str__(self) -> str:
        if self.leader is None:
            return (
                'no control leader is known; the request did not run: '
                'retry, and check that a majority of control hosts are running'
            )
        return (
            'this control host is not the leader; the request did not run: '
            f'send it to {self.leader}'
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class NoQuorum:
    """The leader did not reach a majority in time.

    Parameters
    ----------
    may_commit
        Whether the command is in the log and may still be committed.
    """

    may_commit: bool

    def __str__(self) -> str:
        if self.may_commit:
            return (
                'no majority of control hosts confirmed the command in time; '
                'it may still take effect: read the state, or resend it with '
                'the same operation id'
            )
        return (
            'no majority of control hosts answered in time; the request did '
            'not run: retry when a majority is reachable'
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeRefused:
    """A configuration change is refused."""

    problem: str

    def __str__(self) -> str:
        return self.problem


ConsensusFailure = NotLeader | NoQuorum | ChangeRefused
