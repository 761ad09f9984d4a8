"""Opens listening sockets, with retries after transient errors.

The event loop is not used for this: uvloop's server starts without a socket if none could be created.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket

LISTEN_TIMEOUT = 5.0  # seconds of retries for an address: the gateway must be ready within 10
LISTEN_RETRY_INTERVAL = 0.05  # seconds
TRANSIENT_ERRORS = frozenset(
    (
        errno.ENFILE,
        errno.EMFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EINTR,
        errno.EAGAIN,
    )
)

log = logging.getLogger("embersill")


def bind_listener(address: tuple[str, int], backlog: int, share_port: bool) -> socket.socket:
    """Opens a listening socket in a single try; raises OSError."""
    listener = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if share_port:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listener.bind(address)
        listener.listen(backlog)
    except OSError:
        listener.close()
        raise
    return listener


async def open_listener(address: tuple[str, int], backlog: int, share_port: bool = False) -> socket.socket:
    """Opens a listening socket, and retries transient errors for LISTEN_TIMEOUT; raises OSError.

    With `share_port`, a successor can bind its own socket if this process hangs and cannot pass this one.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + LISTEN_TIMEOUT
    while True:
        try:
            return bind_listener(address, backlog, share_port)
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS or loop.time() >= deadline:
                raise
            log.warning("could not listen on %s:%d, retrying: %s", *address, error)
        await asyncio.sleep(LISTEN_RETRY_INTERVAL)
