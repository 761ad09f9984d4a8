"""A backend of its own process whose answers are timed to a fraction of a millisecond.

It answers each request with the request's id. A share of the answers is spoilt in the way that the page of
the full-size days names: the same answer is written once more, some milliseconds later. It prints its port,
ends when its standard input does, and then prints how late the second answers were.
"""

from __future__ import annotations

import json
import random
import socket
import sys
import threading
import time


def main() -> None:
    share, late, work = (float(word) for word in sys.argv[1:4])
    delays: list[float] = []

    def serve(connection: socket.socket) -> None:
        reader = connection.makefile("rb")
        try:
            while True:
                head = []
                while (line := reader.readline()) not in (b"\r\n", b""):
                    head.append(line)
                if not line:
                    return
                fields = {k.strip().lower(): v.strip() for k, _, v in (x.partition(b":") for x in head[1:])}
                reader.read(int(fields.get(b"content-length", b"0")))
                time.sleep(work * (0.5 + random.random()))
                body = b"served " + fields[b"x-call-id"]
                text = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
                connection.sendall(text)
                written = time.monotonic()
                if random.random() < share:
                    time.sleep(late)
                    connection.sendall(text)
                    delays.append(time.monotonic() - written)
        except OSError:
            pass  # the gateway has closed it
        finally:
            connection.close()

    def accept(listener: socket.socket) -> None:
        while True:
            connection, _ = listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=serve, args=(connection,), daemon=True).start()

    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(512)
    print(listener.getsockname()[1], flush=True)
    threading.Thread(target=accept, args=(listener,), daemon=True).start()
    sys.stdin.read()
    print(json.dumps(sorted(round(1000 * delay, 2) for delay in delays)), flush=True)


main()
