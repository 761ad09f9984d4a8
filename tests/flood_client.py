"""A client process that sends requests on one connection at full speed: `flood_client.py PORT KIND SECONDS`.

It prints how many requests it wrote.
"""

from __future__ import annotations

import itertools
import socket
import sys
import threading
import time

HOST = "127.0.0.1"
BATCH = 50  # requests written at a time
RECEIVE_SIZE = 65536  # bytes
CHUNKS_PER_BATCH = 2_000
BLANK_LINES_PER_BATCH = 4_000


def view(number: int, customer: int, request_class: str = "lookup") -> bytes:
    """A request without a body."""
    return (
        f"GET /api?client={customer:016x} HTTP/1.1\r\nHost: h\r\nX-Call-Id: flood-{number}\r\n"
        f"X-Call-Class: {request_class}\r\nPlan: basis\r\nX-Budget: 3.000\r\n"
        "Quota-Info: units=1,spread=1,first=0\r\n\r\n"
    ).encode()


def batch(kind: str, first: int) -> bytes:
    """What is written at a time; `first` numbers the requests."""
    numbers = range(first, first + BATCH)
    match kind:
        case "one customer":
            return b"".join(view(n, 7) for n in numbers)
        case "new customers":
            return b"".join(view(n, 0x10000 + n) for n in numbers)
        case "unknown class":
            return b"".join(view(n, 7, "unknown") for n in numbers)
        case "no path":
            return b"GET / HTTP/1.1\r\n\r\n" * BATCH
        case "chunks":
            return b"1\r\nx\r\n" * CHUNKS_PER_BATCH
        case "blank lines":
            return b"\r\n" * BLANK_LINES_PER_BATCH
    raise ValueError(kind)


def read_all(sock: socket.socket) -> None:
    """Reads and drops the answers."""
    try:
        while sock.recv(RECEIVE_SIZE):
            pass
    except OSError:
        pass


def main() -> None:
    port, kind, seconds = int(sys.argv[1]), sys.argv[2], float(sys.argv[3])
    batches = [batch(kind, number * BATCH) for number in range(2_000)]
    sock = socket.create_connection((HOST, port))
    threading.Thread(target=read_all, args=(sock,), daemon=True).start()
    if kind == "chunks":
        sock.sendall(
            b"POST /api?client=0000000000000007 HTTP/1.1\r\nHost: h\r\nX-Call-Id: flood\r\n"
            b"X-Call-Class: signature\r\nPlan: basis\r\nX-Budget: 3.000\r\nIdempotency-Key: k\r\n"
            b"Quota-Info: units=1,spread=1,first=0\r\nTransfer-Encoding: chunked\r\n\r\n")
    end, written = time.monotonic() + seconds, 0
    try:
        for data in itertools.cycle(batches):
            if time.monotonic() >= end:
                break
            sock.sendall(data)
            written += BATCH
    except OSError:
        pass
    print(written)
    sock.close()


if __name__ == "__main__":
    main()
