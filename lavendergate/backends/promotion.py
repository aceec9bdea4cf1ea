"""Port to whoever carries out promotions."""

import abc
import enum

from lavendergate.core.types import GroupId, HostId, UpstreamId


@enum.unique
class OrderOutcome(enum.Enum):
    """How an order to promote ended.

    `done`: the member leads or will in a moment.
    `refused`: the token is too low, or the member does not run.
    `unclear`: the order may be carried out later.
    """

    done = 'done'
    refused = 'refused'
    unclear = 'unclear'


class PromotionOrders(abc.ABC):
    """Gives orders to promote members."""

    @abc.abstractmethod
    async def promote(
        self,
        *,
        service: GroupId,
        upstream_id: UpstreamId,
        holder: HostId,
        token: int,
    ) -> OrderOutcome:
        """Order that a member leads its service.

        Parameters
        ----------
        holder
            Host that gives the order.
        token
            Fencing token; an order with a lower one than seen is refused.
        """
