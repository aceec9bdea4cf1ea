"""Passes announcements that reach a proxy on to control."""

from collections.abc import Sequence

from lavendergate.rpc.messages import AnnounceReply, AnnounceRequest

# Twice the members of the target size; more can only be a fault or an attack.
MAX_HELD_ANNOUNCEMENTS = 4800


class AnnouncementRelay:
    """Holds announcements until the next heartbeat takes them.

    Parameters
    ----------
    hosts
        Control hosts, which upstreams may announce to directly.
    """

    def __init__(self, *, hosts: Sequence[str]) -> None:
        self._hosts = tuple(hosts)
        self._held: list[bytes] = []

    async def announce(self, request: AnnounceRequest) -> AnnounceReply:
        """Accept announcements; control verifies their signatures."""
        room = MAX_HELD_ANNOUNCEMENTS - len(self._held)
        self._held.extend(request.announcements[:room])
        return AnnounceReply(hosts=self._hosts)

    def take(self) -> tuple[bytes, ...]:
        """Return the announcements since the last call."""
        held = tuple(self._held)
        self._held.clear()
        return held
