"""Interface to the service that carries out promotions."""

import abc
import enum
from collections.abc import Callable

from lavendergate.core.types import GroupId, HostId, UpstreamId


@enum.unique
class OrderOutcome(enum.Enum):
    """Result of an order to promote a member.

    `done`: the order was accepted; the member is primary or becomes primary
    shortly.
    `refused`: the token is too low, or the member is not running.
    `unclear`: the order may still be carried out later.
    `not_sent`: the right to send the order ended before it was sent.
    """

    done = 'done'
    refused = 'refused'
    unclear = 'unclear'
    not_sent = 'not_sent'


class PromotionOrders(abc.ABC):
    """Orders promotions of members."""

    @abc.abstractmethod
    async def promote(
        self,
        *,
        service: GroupId,
        upstream_id: UpstreamId,
        holder: HostId,
        token: int,
        may_send: Callable[[], bool],
    ) -> OrderOutcome:
        """Order that a member becomes the primary of its service.

        Parameters
        ----------
        holder
            Control host that issues the order.
        token
            Fencing token. Orders with a lower token than a previous one are
            refused.
        may_send
            Asked right before the order is sent, since connecting takes time.
        """
