"""Promotions whose promoted member is lost right after it leads."""

from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import msgspec

from lavendergate.core.types import Term
from properties.promotion_schedule import PromotionSchedule
from standin.session_group import Member

_PROMOTION_LIMIT_S = 8.0
_WATCH_S = 0.01


class LostPrimarySchedule(PromotionSchedule):
    """One schedule in which promoted members crash and return later.

    Attributes
    ----------
    lost, replaced
        Number of promoted members that crashed, and of those that were
        replaced before they returned.
    """

    lost: int = 0
    replaced: int = 0

    def more_actions(
        self,
    ) -> tuple[Callable[[], Coroutine[Any, Any, None]], ...]:
        """Lose promoted members."""
        return (self._lose_promoted, self._lose_promoted, self._lose_promoted)

    async def _lose_promoted(self) -> None:
        """Crash the next member that is promoted, up to 0.3 s after that."""
        group = self.group
        former = group.promotions
        with anyio.move_on_after(_PROMOTION_LIMIT_S):
            while group.promotions == former:
                await anyio.sleep(_WATCH_S)
        if group.promotions == former:
            return
        promoted = group.primary
        await anyio.sleep(self._random.choice((0, 0.02, 0.1, 0.3)))
        if promoted.is_down:
            return
        promoted.is_down = True
        self.lost += 1
        self.steps.append(f'{anyio.current_time():.2f} the primary is lost')
        self._announce_roles()
        await anyio.sleep(self._random.choice((3.0, 6.0)))
        self.replaced += group.primary is not promoted
        self._return(promoted)

    def _return(self, member: Member) -> None:
        """Start a member again, with its log."""
        member.paused_term = Term(0)
        member.entry = msgspec.structs.replace(
            member.entry, born=member.entry.born + 1
        )
        member.is_down = False
        self._announce_roles()

    def _announce_roles(self) -> None:
        """Announce the role of each member that runs."""
        for member in self.group.members.values():
            if not member.is_down:
                member.entry = msgspec.structs.replace(
                    member.entry,
                    is_primary=member.is_primary,
                    sequence=member.entry.sequence + 1,
                )
        self.control.announce()
