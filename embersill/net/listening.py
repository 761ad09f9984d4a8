"""Listening sockets, opened again for a while where that fails for a moment.

They are made here and not by the loop: uvloop's server comes up without a socket where none was to be had.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket

LISTEN_TIMEOUT = 5.0  # seconds for which an address is tried: ready is owed within 10
LISTEN_RETRY_INTERVAL = 0.05  # seconds between tries
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
    """A listening socket at once; OSError says why there is none."""
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
    """A listening socket, tried again for LISTEN_WITHIN after failures that may pass; else OSError.

    `share_port`: a successor that can't be given this socket, as this process hangs, can still bind its own.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + LISTEN_TIMEOUT
    while True:
        try:
            return bind_listener(address, backlog, share_port)
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS or loop.time() >= end:
                raise
            log.warning("%s:%d is tried again: %s", *address, error)
        await asyncio.sleep(LISTEN_RETRY_INTERVAL)
