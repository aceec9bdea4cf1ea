"""Buffers announcements that a proxy forwards to the control hosts."""

from collections.abc import Sequence

from lavendergate.rpc.messages import AnnounceReply, AnnounceRequest

# Twice the number of members that the system is designed for; more can only
# come from a fault or an attack.
MAX_BUFFERED_ANNOUNCEMENTS = 4800


class AnnouncementRelay:
    """Buffers announcements until the next heartbeat sends them.

    Parameters
    ----------
    hosts
        Addresses of the control hosts, ``ip:port``, which upstreams may
        announce to directly.
    """

    def __init__(self, *, hosts: Sequence[str]) -> None:
        self._hosts = tuple(hosts)
        self._buffered: list[bytes] = []

    async def announce(self, request: AnnounceRequest) -> AnnounceReply:
        """Buffer announcements; the control hosts verify their signatures."""
        room = MAX_BUFFERED_ANNOUNCEMENTS - len(self._buffered)
        self._buffered.extend(request.announcements[:room])
        return AnnounceReply(hosts=self._hosts)

    def pop_all(self) -> tuple[bytes, ...]:
        """Remove and return the buffered announcements."""
        held = tuple(self._buffered)
        self._buffered.clear()
        return held
