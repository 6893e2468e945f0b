"""How two daemons prove to each other that they share the secret.

Each proof names its direction, both hosts and both nonces. So a proof cannot be
sent back to who made it, nor passed on by a host that was dialled in the place
of another, as when an address went to a new host.
"""

import hashlib
import hmac
import secrets
from dataclasses import dataclass
from typing import Any

import anyio
import msgpack
from anyio.abc import ByteStream

from knapweedbridge_core.codec import unpacker
from knapweedbridge_daemon.errors import PeerError

NONCE_BYTES = 16
HANDSHAKE_BYTES = 1024


@dataclass(slots=True, frozen=True)
class Greeting:
    """Who dials, with which nonce, and the proof."""

    host: str
    incarnation: int
    nonce: bytes
    proof: bytes


class Handshake:
    """One daemon's part in handshakes.

    Parameters
    ----------
    host : str
        Name of this host.
    incarnation : int
        Number of its start.
    secret : bytes
        Secret that all daemons share.
    """

    def __init__(self, host: str, incarnation: int, secret: bytes) -> None:
        self._host = host
        self._incarnation = incarnation
        self._secret = secret

    async def greet(self, stream: ByteStream, dialled: str) -> None:
        """Prove this host to the one dialled, and have it prove itself.

        Raises
        ------
        PeerError
            If it does not know the secret or is another host.
        """
        theirs = _nonce(await _receive(stream))
        mine = secrets.token_bytes(NONCE_BYTES)
        own = (self._host, self._incarnation, dialled)
        proof = self._proof("dials", theirs, mine, *own)
        greeting = [self._host, self._incarnation, mine, proof]
        await stream.send(msgpack.packb(greeting))
        answer = await _receive(stream)
        expected = self._proof("answers", mine, theirs, *own)
        if not isinstance(answer, bytes) or not hmac.compare_digest(answer, expected):
            raise PeerError(f"{dialled} does not prove that it knows the secret")

    async def welcome(self, stream: ByteStream) -> Greeting:
        """Have the dialling host prove itself, and prove this one.

        Raises
        ------
        PeerError
            If it does not know the secret or dialled another host.
        """
        mine = secrets.token_bytes(NONCE_BYTES)
        await stream.send(msgpack.packb(mine))
        greeting = _greeting(await _receive(stream))
        theirs = _nonce(greeting.nonce)
        names = (greeting.host, greeting.incarnation, self._host)
        expected = self._proof("dials", mine, theirs, *names)
        if not hmac.compare_digest(greeting.proof, expected):
            raise PeerError(f"{greeting.host} does not prove that it knows the secret")
        await stream.send(msgpack.packb(self._proof("answers", theirs, mine, *names)))
        return greeting

    def _proof(self, *parts: str | bytes | int) -> bytes:
        return hmac.new(self._secret, msgpack.packb(parts), hashlib.sha256).digest()


async def _receive(stream: ByteStream) -> Any:
    reader = unpacker(HANDSHAKE_BYTES)
    try:
        while True:
            for value in reader:
                return value
            reader.feed(await stream.receive(HANDSHAKE_BYTES))
    except (msgpack.UnpackException, ValueError) as error:
        raise PeerError(f"no handshake of ours: {error!r}") from error
    except (anyio.EndOfStream, anyio.BrokenResourceError) as error:
        raise PeerError("the stream ended in the handshake") from error


def _nonce(value: Any) -> bytes:
    if not isinstance(value, bytes) or len(value) != NONCE_BYTES:
        raise PeerError("no nonce of ours")
    return value


def _greeting(value: Any) -> Greeting:
    kinds = (str, int, bytes, bytes)
    fits = isinstance(value, list) and len(value) == len(kinds)
    if not fits or not all(map(isinstance, value, kinds)):
        raise PeerError("no greeting of ours")
    return Greeting(*value)
