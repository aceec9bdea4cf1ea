"""A replicated group that follows the members' protocol during a partition.

The stand-in of `review/stage` lets a promoted member copy to the former primary
through a partition, counts entries instead of comparing them, and keeps what a
promotion rolls back. Here a partition cuts both directions, a replica has a
commit if its log holds that very entry, and replicas that were ahead are rolled
back and busy for a moment.
"""

import asyncio
import enum
import time
from dataclasses import dataclass, field

from stage.members import Connection, Group, Member

_REPLICATION_S = 0.002
_ROLLED_BACK_BUSY_S = 0.3

Entry = tuple[int, list[tuple[str, str, str]]]


@enum.unique
class Confirmation(enum.Enum):
    """When a replica confirms a commit of its primary.

    `content`: its log has that commit, as the members' protocol says.
    `length`: its log is as long, also with commits of an earlier term that
    are about to be rolled back.
    """

    content = 'content'
    length = 'length'


@dataclass(kw_only=True)
class Promotion:
    """A promotion, and the log that the promoted member had then.

    Parameters
    ----------
    followed_at
        When replicas begin to receive from the member, on the monotonic
        clock, in seconds.
    """

    member: Member
    log: list[Entry] = field(default_factory=list)
    followed_at: float = 0


class ReplicatedGroup(Group):
    """Members that replicate by content; see `stage.members.Group`.

    Attributes
    ----------
    promotions
        Promotions that took effect, in order.

    Parameters
    ----------
    confirmation
        When a replica confirms a commit.
    follow_s
        Time from a promotion until replicas receive from the promoted
        member, in seconds.
    """

    def __init__(
        self,
        *arguments: object,
        confirmation: Confirmation = Confirmation.content,
        follow_s: float = 0,
        **options: object,
    ) -> None:
        super().__init__(*arguments, **options)
        self._confirmation = confirmation
        self._follow_s = follow_s
        self.promotions: list[Promotion] = []
        self._busy_until: dict[str, float] = {}

    async def start(self) -> None:
        """Start all members, their heartbeats and the replication."""
        await super().start()
        self._tasks.append(asyncio.create_task(self._replicate()))

    def cut_off(
        self, member: Member, *, callers: list[str], replicas: list[str]
    ) -> None:
        """Cut a member off from callers and from replicas."""
        member.cut |= {*callers, *replicas}
        self.record.write(member.name, f'is cut off from {", ".join(replicas)}')

    def rejoin(self, member: Member) -> None:
        """End the partition of a member."""
        member.cut.clear()
        self.record.write(member.name, 'is reached again')

    def _reaches(self, member: Member, other: Member) -> bool:
        is_cut = other.name in member.cut or member.name in other.cut
        return not is_cut and member.server is not None

    async def _replicate(self) -> None:
        while True:
            await asyncio.sleep(_REPLICATION_S)
            for primary in self.members:
                if primary.is_primary and self._is_followed(primary):
                    self._send_entries(primary)

    def _is_followed(self, primary: Member) -> bool:
        return all(
            time.monotonic() >= promotion.followed_at
            for promotion in self.promotions
            if promotion.member is primary
        )

    def _send_entries(self, primary: Member) -> None:
        for replica in self.members:
            receives = (
                replica.server is not None
                and not (replica.is_primary or replica.paused)
                and replica.term <= primary.term
            )
            if receives and self._reaches(primary, replica):
                self._receive(replica, primary)

    def _receive(self, replica: Member, primary: Member) -> None:
        kept = len(replica.log)
        # Logs that agree on one entry agree on all before it.
        while kept and not (
            kept <= len(primary.log)
            and replica.log[kept - 1] is primary.log[kept - 1]
        ):
            kept -= 1
        if kept < len(replica.log):
            self.record.write(
                replica.name, f'rolls back {len(replica.log) - kept} commits'
            )
            del replica.log[kept:]
            self._busy_until[replica.name] = (
                time.monotonic() + _ROLLED_BACK_BUSY_S
            )
        replica.log.extend(primary.log[kept:])
        replica.term = primary.term

    async def _answer(
        self, member: Member, connection: Connection, request: str, text: str
    ) -> str:
        if time.monotonic() < self._busy_until.get(member.name, 0):
            return 'ERR BUSY rolling back'
        return await super()._answer(member, connection, request, text)

    async def _commit(
        self, member: Member, writes: list[tuple[str, str, str]]
    ) -> bool:
        if not member.is_primary:
            return False
        entry = (member.term, writes)
        index = len(member.log)
        member.log.append(entry)
        while member.is_primary:
            await asyncio.sleep(_REPLICATION_S)
            if any(
                self._confirms(replica, member, index, entry)
                for replica in self.members
                if replica is not member
            ):
                return True
        return _has(self.primary, index, entry)

    def _confirms(
        self, replica: Member, primary: Member, index: int, entry: Entry
    ) -> bool:
        match self._confirmation:
            case Confirmation.content:
                return _has(replica, index, entry)
            case Confirmation.length:
                is_receiving = replica.server is not None and not replica.paused
                return (
                    is_receiving
                    and self._reaches(primary, replica)
                    and index < len(replica.log)
                )

    async def _promote(
        self, fields: dict[str, str], body: dict[str, str]
    ) -> int:
        former = self.promoted
        status = await super()._promote(fields, body)
        if self.promoted is not None and self.promoted is not former:
            self.promotions.append(
                Promotion(
                    member=self.promoted,
                    log=list(self.promoted.log),
                    followed_at=time.monotonic() + self._follow_s,
                )
            )
        return status


def _has(member: Member, index: int, entry: Entry) -> bool:
    # The number of a commit is its place in each log that has it.
    return index < len(member.log) and member.log[index] is entry
