"""RPC method that returns the history of the settings tree."""

from dataclasses import dataclass

from lavendergate.core.settings.history import HistoryEntry
from lavendergate.rpc.service import Method


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsHistoryRequest:
    """Asks a control host for the accepted changes of the settings tree.

    Parameters
    ----------
    limit
        Maximum number of changes to return; the newest are kept.
    """

    limit: int = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsHistoryReply:
    """Accepted changes, oldest first.

    Parameters
    ----------
    leader
        Address of the leader, if the receiver is not the leader and its
        history may be behind.
    """

    entries: tuple[HistoryEntry, ...]
    leader: str | None = None


SETTINGS_HISTORY = Method(
    path='/lavendergate.Control/SettingsHistory',
    request_type=SettingsHistoryRequest,
    reply_type=SettingsHistoryReply,
)
