"""TLS of the faces: certificates that change without cutting a stream."""

import os
import signal
import ssl
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio
from hypercorn.config import Config

from knapweedbridge_daemon.errors import CertificateError

HANDSHAKE_TIMEOUT_S = 10.0

_Signature = tuple[tuple[int, int, int], ...]
Record = Callable[..., None]
Count = Callable[[str], None]


@dataclass(slots=True, frozen=True)
class CertificateFiles:
    """Where the certificate and its private key are, in PEM."""

    certificate_file: str
    key_file: str


class Certificates:
    """The certificate in force, and the one that replaces it.

    The listener keeps one context for its whole life. It hands each new
    handshake to the context loaded last; a connection that stands keeps the
    context it began with, so a change cuts nothing. Changing the listener's
    own context in place would not do: a new certificate beside an old key
    leaves that context with neither.

    Parameters
    ----------
    files : CertificateFiles
        Files of the certificate and the key.

    Raises
    ------
    CertificateError
        If they cannot be used.
    """

    def __init__(self, files: CertificateFiles) -> None:
        self._files = files
        self._signature = self._sign()
        self._current = self._load()
        self.listening = self._load()
        self.listening.sni_callback = self._choose

    def _choose(
        self, connection: ssl.SSLObject, name: str | None, context: ssl.SSLContext
    ) -> None:
        # OpenSSL asks for each handshake, with or without a server name.
        connection.context = self._current

    def reload(self) -> None:
        """Use what the files hold now for new handshakes.

        Raises
        ------
        CertificateError
            If it cannot be used; what was in force stays in force.
        """
        self._signature = self._sign()
        self._current = self._load()

    def changed(self) -> bool:
        """Tell whether the files changed since they were last read."""
        return self._sign() != self._signature

    def _load(self) -> ssl.SSLContext:
        config = Config()
        config.certfile = self._files.certificate_file
        config.keyfile = self._files.key_file
        # Without a password OpenSSL would ask for one on the terminal, and the
        # daemon would stand still; an encrypted key is refused instead.
        config.keyfile_password = ""
        try:
            context = config.create_ssl_context()
        except (OSError, ValueError) as error:
            raise CertificateError(f"{config.certfile}: {error}") from error
        assert context is not None
        return context

    def _sign(self) -> _Signature:
        signed = []
        for name in (self._files.certificate_file, self._files.key_file):
            try:
                found = os.stat(name)
            except OSError:
                signed.append((0, 0, 0))
            else:
                signed.append((found.st_ino, found.st_mtime_ns, found.st_size))
        return tuple(signed)


class TlsConfig(Config):
    """Settings of a listener that speaks TLS.

    Parameters
    ----------
    certificates : Certificates
        What it shows.
    """

    ssl_handshake_timeout = HANDSHAKE_TIMEOUT_S

    def __init__(self, certificates: Certificates) -> None:
        super().__init__()
        self._certificates = certificates

    @property
    def ssl_enabled(self) -> bool:
        """Whether the listener speaks TLS: always."""
        return True

    def create_ssl_context(self) -> ssl.SSLContext:
        """Return the context that chooses the certificate in force."""
        return self._certificates.listening


class CertificateKeeper:
    """Reloads certificates on a hang-up signal, and when their files change.

    Parameters
    ----------
    certificates : Certificates or None
        What to reload; None where the faces speak no TLS.
    poll_s : float
        Pause between two looks at the files, in seconds.
    record, count : callable
        Take changes of state, and counters.
    """

    def __init__(
        self,
        certificates: Certificates | None,
        poll_s: float,
        record: Record,
        count: Count,
    ) -> None:
        self._certificates = certificates
        self._poll_s = poll_s
        self._record = record
        self._count = count

    async def run(self) -> None:
        """Watch until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._take_signals)
            if self._certificates is not None:
                tasks.start_soon(self._poll, self._certificates)

    async def _take_signals(self) -> None:
        # Taken without TLS too: untaken, the signal would end the process and
        # cut every stream.
        with anyio.open_signal_receiver(signal.SIGHUP) as signals:
            async for _ in signals:
                if self._certificates is not None:
                    self._reload(self._certificates)

    async def _poll(self, certificates: Certificates) -> None:
        while True:
            await anyio.sleep(self._poll_s)
            if certificates.changed():
                self._reload(certificates)

    def _reload(self, certificates: Certificates) -> None:
        # Certificate and key are two files, written one after the other: a
        # look between the two fails, and the next change is looked at again.
        try:
            certificates.reload()
        except CertificateError as error:
            self._count("tls.reload_failed")
            self._record("tls.reload_failed", detail=str(error))
        else:
            self._count("tls.reloaded")
            self._record("tls.reloaded")


def open_certificates(listen: dict[str, Any]) -> Certificates | None:
    """Load what the section ``[listen]`` names, or None where it names none.

    Raises
    ------
    CertificateError
        If it cannot be used.
    """
    if not listen["certificate_file"]:
        return None
    files = CertificateFiles(listen["certificate_file"], listen["key_file"])
    return Certificates(files)
