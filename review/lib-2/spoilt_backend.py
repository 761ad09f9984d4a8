"""A backend of its own process, some of whose answers are spoilt as the page of the full-size days names it.

Views: a share of them is turned away (503 with X-Rejected: 1), and that answer is written once more some
milliseconds later; the others are served. Signatures are never turned away: each takes some time and is served.
What was run is written to standard error, a line each: when it began, the X-Call-Id and the cell. It prints its
port, ends when its standard input does, and then prints how late the second answers were written.
The sockets have the system's defaults, or TCP_NODELAY where the last argument is 1.
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
    cell, no_delay = sys.argv[4], sys.argv[5] == "1"
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
                call = fields[b"x-call-id"].decode()
                signature = head[0].startswith(b"POST")
                if not signature and random.random() < share:
                    text = b"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
                    connection.sendall(text)
                    written = time.monotonic()
                    time.sleep(late)
                    connection.sendall(text)
                    delays.append(time.monotonic() - written)
                    continue
                if signature:
                    sys.stderr.write(f"{time.monotonic():.4f} {call} {cell}\n")
                    sys.stderr.flush()
                time.sleep(work * (0.5 + random.random()))
                body = f"served {call}".encode()
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        except OSError:
            pass  # the gateway has closed it
        finally:
            connection.close()

    def accept(listener: socket.socket) -> None:
        while True:
            connection, _ = listener.accept()
            if no_delay:
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
