"""Client for the platform's call that promotes a member."""

from collections.abc import Callable

import msgspec

from lavendergate.backends.promotion import OrderOutcome, PromotionOrders
from lavendergate.core.types import GroupId, HostId, UpstreamId
from lavendergate.rpc.http import (
    HttpCallError,
    HttpNotSentError,
    HttpRequest,
    call_http,
)

# Maximum time from sending an order until the platform has it, in seconds. An
# order that a partition held up for longer must not arrive after those of the
# next leader, which waits for a lease.
_DELIVERY_LIMIT_S = 0.4
# The platform answers once the member is primary, which takes up to 1 s.
_CALL_TIMEOUT_S = 2.5
_OUTCOMES = {200: OrderOutcome.done, 409: OrderOutcome.refused}


class PlatformPromotions(PromotionOrders):
    """Orders promotions from the platform over HTTP.

    Parameters
    ----------
    address
        Address of the platform, ``ip:port``.
    """

    def __init__(self, *, address: str) -> None:
        self._address = address

    async def promote(
        self,
        *,
        service: GroupId,
        upstream_id: UpstreamId,
        holder: HostId,
        token: int,
        may_send: Callable[[], bool],
    ) -> OrderOutcome:
        """Order the promotion of a member; see the base class."""
        body = msgspec.json.encode({'service': service, 'id': upstream_id})
        request = HttpRequest(method='POST', path='/promote', body=body)
        headers = {'X-Lease-Holder': holder, 'X-Fencing-Token': str(token)}
        try:
            response = await call_http(
                self._address,
                request,
                headers=headers,
                timeout_s=_CALL_TIMEOUT_S,
                delivery_limit_s=_DELIVERY_LIMIT_S,
                may_send=may_send,
            )
        except HttpNotSentError:
            return OrderOutcome.not_sent
        except HttpCallError:
            return OrderOutcome.unclear
        return _OUTCOMES.get(response.status, OrderOutcome.unclear)
