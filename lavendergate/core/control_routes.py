"""Application of the commands that change routes and promotion orders."""

import zlib

from lavendergate.core.commands import OrderPromotion, PublishRoutes
from lavendergate.core.control_records import PromotionRecord, RoutesRecord


def pack_routes(content: bytes) -> bytes:
    """Compress a route table for the log and for transfer to other hosts.

    Tables repeat the same fields for each route, so they shrink to a tenth.
    This matters most for traffic between regions.
    """
    return zlib.compress(content)


def unpack_routes(packed: bytes) -> bytes:
    """Decompress a route table, giving it as the operator sent it."""
    return zlib.decompress(packed) if packed else b''


def publish_routes(
    record: RoutesRecord, command: PublishRoutes
) -> RoutesRecord:
    """Return the record after a publication, keeping the higher version."""
    if command.version <= record.version:
        return record
    return RoutesRecord(version=command.version, content=command.content)


def promotion_record(command: OrderPromotion, index: int) -> PromotionRecord:
    """Return the record of an order whose log entry has this index."""
    return PromotionRecord(
        upstream_id=command.upstream_id, holder=command.holder, token=index
    )
