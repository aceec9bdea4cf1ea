"""TLS contexts that are reloaded when certificates are renewed."""

import ssl
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, kw_only=True, slots=True)
class CertificateFiles:
    """Paths of a certificate chain and its private key, in PEM format.

    Parameters
    ----------
    authority
        Certificate authorities that verify the peer's certificate; None if
        the peer presents no certificate.
    """

    chain: Path
    key: Path
    authority: Path | None = None


class TlsContexts:
    """Server and client contexts that follow changes of certificate files.

    Parameters
    ----------
    certificate
        Files to load.

    Raises
    ------
    OSError, ssl.SSLError
        If a file cannot be read, or the key does not match the certificate.
    """

    def __init__(self, *, certificate: CertificateFiles) -> None:
        self._certificate = certificate
        self._server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        self._client = ssl.create_default_context(ssl.Purpose.SERVER_AUTH)
        # Hosts are addressed by IP address while certificates name the host,
        # so the name is not checked. Any certificate that the authority
        # signed is trusted.
        self._client.check_hostname = False
        if certificate.authority is not None:
            self._server.verify_mode = ssl.CERT_REQUIRED
        self._loaded_mtime_ns = self._latest_mtime_ns()
        self._load()

    @property
    def server(self) -> ssl.SSLContext:
        """Context for accepted connections."""
        return self._server

    @property
    def client(self) -> ssl.SSLContext:
        """Context for outgoing connections."""
        return self._client

    def reload_if_changed(self) -> bool:
        """Load renewed files; open connections are not affected.

        Returns
        -------
        bool
            Whether new files were loaded. Files that do not match, as in the
            middle of a renewal, are retried at the next call.
        """
        try:
            mtime_ns = self._latest_mtime_ns()
            if mtime_ns == self._loaded_mtime_ns:
                return False
            self._load()
        except (OSError, ssl.SSLError):
            return False
        self._loaded_mtime_ns = mtime_ns
        return True

    def _load(self) -> None:
        certificate = self._certificate
        for context in (self._server, self._client):
            # gRPC requires ALPN to select HTTP/2; MySQL drivers ignore ALPN.
            context.set_alpn_protocols(['h2'])
            context.load_cert_chain(certificate.chain, certificate.key)
            if certificate.authority is not None:
                context.load_verify_locations(certificate.authority)

    def _latest_mtime_ns(self) -> int:
        certificate = self._certificate
        files = (certificate.chain, certificate.key, certificate.authority)
        return max(
            path.stat().st_mtime_ns for path in files if path is not None
        )
