"""State of a TCP connection from the kernel: TCP_INFO, FIONREAD and SO_MEMINFO.

As in tcp(7), linux/tcp.h and linux/sock_diag.h.
"""

from __future__ import annotations

import fcntl
import socket
import struct
import sys
import termios

# tcpi_last_data_recv, in milliseconds: eight bytes and eleven 32-bit integers precede it
LAST_DATA_RECEIVED = struct.Struct("=52xI")

SO_MEMINFO = 55  # option of asm-generic/socket.h; the socket module does not name it
RECEIVE_MEMORY = struct.Struct("=II")  # SK_MEMINFO_RMEM_ALLOC and SK_MEMINFO_RCVBUF
# Fraction of the receive buffer in use from which on the kernel may accept no more, not even a close.
FULL_SHARE = 0.25


def seconds_since_data(connection: socket.socket) -> float:
    """Seconds since the last data of a connection arrived here; 0 if the kernel does not report it."""
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size)
    except OSError:
        return 0.0
    if len(info) < LAST_DATA_RECEIVED.size:
        return 0.0
    (milliseconds,) = LAST_DATA_RECEIVED.unpack(info)
    return float(milliseconds) / 1000.0


def unread_bytes(descriptor: int) -> int:
    """Bytes that have arrived and are not read yet; 0 if the kernel does not report them."""
    try:
        return int.from_bytes(fcntl.ioctl(descriptor, termios.FIONREAD, bytes(4)), sys.byteorder)
    except OSError:
        return 0


def may_hide_close(connection: socket.socket) -> bool:
    """True if the kernel may hold so much unread data that it would not accept the peer's close behind it."""
    try:
        used, size = RECEIVE_MEMORY.unpack(
            connection.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, RECEIVE_MEMORY.size))
    except (OSError, struct.error):
        return False
    return bool(used >= FULL_SHARE * size)
