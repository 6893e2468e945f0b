"""Blocks of ports that runs on one machine share out among themselves."""

import socket
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True)
class PortBlock:
    """A block of ports that no other run uses while its guard is open.

    Parameters
    ----------
    first : int
        First port of the block.
    size : int
        Number of ports, without that of the guard, which follows them.
    guard : socket
        Socket that is bound to the port after the block.
    """

    first: int
    size: int
    guard: socket.socket

    @property
    def ports(self) -> range:
        """The ports of the block."""
        return range(self.first, self.first + self.size)

    def close(self) -> None:
        """Give the block back."""
        self.guard.close()


def claim_block(first_ports: Iterable[int], size: int) -> PortBlock:
    """Claim the first block that no other run has claimed.

    A port that is probed and closed again may be another run's a moment later, and two
    runs on the same ports speak to each other's daemons.

    Parameters
    ----------
    first_ports : iterable of int
        First ports of the blocks, which are ``size`` + 1 apart at least.
    size : int
        Number of ports in a block.

    Raises
    ------
    RuntimeError
        If all blocks are claimed.
    """
    for first in first_ports:
        guard = socket.socket()
        try:
            guard.bind(("127.0.0.1", first + size))
        except OSError:
            guard.close()
            continue
        return PortBlock(first, size, guard)
    raise RuntimeError("every block of ports is in use")
