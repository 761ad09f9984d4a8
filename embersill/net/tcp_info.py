"""State of a TCP connection from the kernel: TCP_INFO and FIONREAD, as in tcp(7) and linux/tcp.h."""

from __future__ import annotations

import fcntl
import socket
import struct
import sys
import termios

# tcpi_last_data_recv, in milliseconds: eight bytes and eleven 32-bit integers precede it
LAST_DATA_RECEIVED = struct.Struct("=52xI")


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
