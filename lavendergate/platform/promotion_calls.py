"""Client for the platform's call that promotes a member."""

import msgspec

from lavendergate.backends.promotion import OrderOutcome, PromotionOrders
from lavendergate.core.types import GroupId, HostId, UpstreamId
from lavendergate.rpc.http import HttpCallError, HttpRequest, call_http

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
            )
        except HttpCallError:
            return OrderOutcome.unclear
        return _OUTCOMES.get(response.status, OrderOutcome.unclear)
