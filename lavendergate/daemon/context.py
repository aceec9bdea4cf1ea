"""State shared by the roles of one process."""

import ssl
from dataclasses import dataclass

from lavendergate.daemon.options import DaemonOptions
from lavendergate.observability.log import EventLog
from lavendergate.observability.metrics import Metrics
from lavendergate.observability.process_clock import ProcessClock
from lavendergate.rpc.tls import TlsContexts
from lavendergate.supervision.boundary import Boundary


@dataclass(frozen=True, kw_only=True, slots=True)
class ProcessContext:
    """Options, identity and observability of a process.

    Parameters
    ----------
    start_id
        Random identifier of this start of the process.
    caller_tls, peer_tls
        TLS contexts for callers and for connections between hosts; None for
        unencrypted connections.
    """

    options: DaemonOptions
    start_id: str
    clock: ProcessClock
    events: EventLog
    metrics: Metrics
    boundary: Boundary
    caller_tls: TlsContexts | None = None
    peer_tls: TlsContexts | None = None

    @property
    def peer_client(self) -> ssl.SSLContext | None:
        """TLS context for connections to other hosts."""
        return None if self.peer_tls is None else self.peer_tls.client

    @property
    def peer_server(self) -> ssl.SSLContext | None:
        """TLS context for connections from other hosts."""
        return None if self.peer_tls is None else self.peer_tls.server

    def reload_certificates(self) -> None:
        """Load certificate files again if they have changed."""
        for contexts in (self.caller_tls, self.peer_tls):
            if contexts is not None:
                contexts.reload_if_changed()
