"""TLS contexts, and their reload when certificates were renewed."""

import ssl
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, kw_only=True, slots=True)
class Certificate:
    """Files of a certificate chain and its key, in PEM format.

    Parameters
    ----------
    authority
        Certificates that sign the other side's certificate; None if the
        other side shows none.
    """

    chain: Path
    key: Path
    authority: Path | None = None


class TlsContexts:
    """Contexts of a process that follow its certificate files.

    Parameters
    ----------
    certificate
        Files to load.

    Raises
    ------
    OSError, ssl.SSLError
        If a file cannot be read or does not fit.
    """

    def __init__(self, *, certificate: Certificate) -> None:
        self._certificate = certificate
        self._server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        self._client = ssl.create_default_context(ssl.Purpose.SERVER_AUTH)
        # Hosts are addressed by IP number, and the certificate names the
        # host; the authority decides who belongs to the system.
        self._client.check_hostname = False
        if certificate.authority is not None:
            self._server.verify_mode = ssl.CERT_REQUIRED
        self._loaded_at = self._newest_change()
        self._load()

    @property
    def server(self) -> ssl.SSLContext:
        """Context of the accepting side."""
        return self._server

    @property
    def client(self) -> ssl.SSLContext:
        """Context of the connecting side."""
        return self._client

    def reload_if_changed(self) -> bool:
        """Load files that were renewed; open connections go on.

        Returns
        -------
        bool
            Whether new files were loaded. Files that do not fit together,
            as in the middle of a renewal, are tried again at the next call.
        """
        try:
            changed_at = self._newest_change()
            if changed_at == self._loaded_at:
                return False
            self._load()
        except (OSError, ssl.SSLError):
            return False
        self._loaded_at = changed_at
        return True

    def _load(self) -> None:
        certificate = self._certificate
        for context in (self._server, self._client):
            # gRPC requires HTTP/2; MySQL drivers do not look at it.
            context.set_alpn_protocols(['h2'])
            context.load_cert_chain(certificate.chain, certificate.key)
            if certificate.authority is not None:
                context.load_verify_locations(certificate.authority)

    def _newest_change(self) -> int:
        certificate = self._certificate
        files = (certificate.chain, certificate.key, certificate.authority)
        return max(
            path.stat().st_mtime_ns for path in files if path is not None
        )
