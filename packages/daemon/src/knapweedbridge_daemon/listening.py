"""What all listeners have in common while memory and descriptors are scarce."""

import errno
import socket

RECEIVE_BUFFER_BYTES = 32768
"""Size of the kernel's receive buffer of a connection. What is received and not yet
read takes memory of the machine."""

RETRY_INTERVAL_S = 0.05
"""Interval until connections are accepted again when no descriptor was free."""

SCARCE_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""Errors of accepting that end when another connection is closed."""

CLOSED_ERRNOS = frozenset({errno.EBADF, errno.EINVAL, errno.ENOTSOCK})
"""Errors of the listening socket itself."""


def limit_receive_buffer(raw: socket.socket) -> None:
    """Limit the receive buffers of the connections that a socket accepts."""
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
