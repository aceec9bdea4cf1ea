"""Changes of the route table and of promotion orders in the control state."""

from lavendergate.core.commands import OrderPromotion, PublishRoutes
from lavendergate.core.control_records import PromotionRecord, RoutesRecord


def publish_routes(
    record: RoutesRecord, command: PublishRoutes
) -> RoutesRecord:
    """Return the record after a publication; the highest version wins."""
    if command.version <= record.version:
        return record
    return RoutesRecord(version=command.version, content=command.content)


def promotion_record(command: OrderPromotion, index: int) -> PromotionRecord:
    """Return the record of an order whose entry has an index."""
    return PromotionRecord(
        upstream_id=command.upstream_id, holder=command.holder, token=index
    )
