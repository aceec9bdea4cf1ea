"""Changes of the route table and of promotion orders in the control state."""

import zlib

from lavendergate.core.commands import OrderPromotion, PublishRoutes
from lavendergate.core.control_records import PromotionRecord, RoutesRecord


def pack_routes(content: bytes) -> bytes:
    """Return a route table for the log and for other hosts.

    Tables repeat the same fields for each route and shrink to a tenth,
    which counts most between regions.
    """
    return zlib.compress(content)


def unpack_routes(packed: bytes) -> bytes:
    """Return a packed route table as its operator sent it."""
    return zlib.decompress(packed) if packed else b''


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
