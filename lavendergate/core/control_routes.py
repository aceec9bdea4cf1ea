"""Application of the commands that change routes and promotion orders."""

import zlib
from typing import Final

from lavendergate.core.bounds.decoding import InvalidValueError
from lavendergate.core.commands import OrderPromotion, PublishRoutes
from lavendergate.core.control_records import PromotionRecord, RoutesRecord

# Several times the longest body of a request, in bytes.
_MAX_ROUTES_BYTES: Final = 16 * 1024 * 1024


def pack_routes(content: bytes) -> bytes:
    """Compress a route table for the log and for transfer to other hosts.

    Tables repeat the same fields for each route, so they shrink to a tenth.
    This matters most for traffic between regions.
    """
    return zlib.compress(content)


def unpack_routes(packed: bytes) -> bytes:
    """Decompress a route table, giving it as the operator sent it.

    Raises
    ------
    InvalidValueError
        If the content is no compressed table, or too long.
    """
    if not packed:
        return b''
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(packed, _MAX_ROUTES_BYTES)
    except zlib.error as error:
        raise InvalidValueError(
            f'the compressed route table is damaged: {error}'
        ) from error
    if not decompressor.eof:
        raise InvalidValueError(
            'the compressed route table is cut off, or longer than '
            f'{_MAX_ROUTES_BYTES} bytes'
        )
    return content


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
