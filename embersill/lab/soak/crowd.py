"""A crowd of costly peers of one gateway, which connect again soon after their connection has ended.

It is a process of its own, so that its work does not delay the peers that observe the gateway:
`python -m embersill.lab.soak.crowd PORT --forms stopped,leaving --peers 330 --seed 1 --seconds 20`.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import random
import socket
import sys
import time
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass
from math import inf

import uvloop

from embersill.lab.peers import HOST

CALL_PREFIX = "crowd"  # of the crowd's call ids, which also tell backends how long their answer is
RECONNECT_DELAY = 0.05  # seconds after the end of a peer's connection
MAX_STAY = 12.0  # seconds after which a peer leaves in any case
STEP = 0.1  # seconds between the writes or reads of a slow peer
READ_SIZE = 64 * 1024  # bytes
FIRST_CUSTOMER = 0x10000


def answer_size(call_id: str) -> int:
    """Bytes of the answer that a request of the crowd asks for; 0 for other requests."""
    words = call_id.split("-")
    return int(words[1]) if words[0] == CALL_PREFIX and len(words) > 1 else 0


@dataclass(frozen=True, slots=True)
class Form:
    """How the peers of one form use a connection; sizes in bytes, times in seconds.

    sizes: of the request's body, one of which is drawn
    written_share: fraction of the request that is written before the peer falls silent
    write_rate, read_rate: bytes a second; infinite without a limit
    stay: least and greatest time from the end of writing until the peer leaves; drawn
    answer: size of the answer; 0 for a short one
    receive_buffer: of the kernel; 0 for the system's default
    chunk: size of the chunks of the body; 0 for a body with a Content-Length
    repeat: requests that are written one behind another
    unsound: the requests name no class that there is
    raw: what is written in place of a request
    """

    sizes: tuple[int, ...] = (2,)
    written_share: float = 1.0
    write_rate: float = inf
    read_rate: float = inf
    stay: tuple[float, float] = (MAX_STAY, MAX_STAY)
    answer: int = 0
    receive_buffer: int = 0
    chunk: int = 0
    repeat: int = 1
    unsound: bool = False
    raw: bytes = b""


SHORT_FIELDS = b"GET / HTTP/1.1\r\n" + b"".join(b"%x:b\r\n" % number for number in range(3_500))
LONG_FIELD = b"GET / HTTP/1.1\r\ncontent-type: " + b"x" * 30_000
FORMS = {
    "stopped": Form(sizes=(60_000, 64_000, 200_000, 1_000_000), written_share=5 / 6),
    "stopped_unsound": Form(sizes=(60_000, 64_000, 200_000, 1_000_000), written_share=5 / 6, unsound=True),
    "large_unsound": Form(sizes=(1_000_000,), unsound=True),
    "stopped_chunked": Form(sizes=(60_000, 200_000), written_share=5 / 6, chunk=2_000),
    "leaving": Form(sizes=(20_000,), stay=(0.05, 0.25)),
    "leaving_large": Form(sizes=(60_000, 200_000), stay=(0.05, 0.25)),
    "slow_writer": Form(sizes=(60_000,), write_rate=16_000),
    "small_chunks": Form(sizes=(60_000,), write_rate=16_000, chunk=2),
    "short_fields": Form(raw=SHORT_FIELDS),
    "long_field": Form(raw=LONG_FIELD),
    "head_leaving": Form(raw=SHORT_FIELDS, stay=(0.05, 0.25)),
    "slow_reader": Form(answer=1_000_000, read_rate=40_000, receive_buffer=4_096),
    "kept_answer": Form(answer=60_000, read_rate=8_000, receive_buffer=4_096),
    "answer_leaving": Form(answer=60_000, read_rate=8_000, receive_buffer=4_096, stay=(0.05, 0.25)),
    "large_requests": Form(sizes=(60_000,)),
    "pipelined": Form(repeat=16, answer=60_000, read_rate=8_000, receive_buffer=4_096),
    "pipelined_leaving": Form(
        repeat=16, answer=60_000, read_rate=8_000, receive_buffer=4_096, stay=(0.05, 0.25)),
    "ahead": Form(repeat=400),
    "ahead_leaving": Form(repeat=400, stay=(0.05, 0.25)),
    "views_ahead": Form(raw=b"GET / HTTP/1.1\r\n\r\n" * 3_300),
    "blank_lines": Form(raw=b"\r\n" * 16_000),
    "not_http": Form(raw=b"\x16\x03\x01" * 20_000),
    "slow_reader_leaving": Form(answer=1_000_000, read_rate=400_000, receive_buffer=4_096, stay=(0.05, 0.5)),
    "answer_at_once": Form(answer=60_000),
    "answer_large_at_once": Form(answer=1_000_000),
    "idle": Form(raw=b"G"),
    "hasty": Form(raw=b"GET / HTTP/1.1\r\n", stay=(0.0, 0.02)),
}


@dataclass(frozen=True, slots=True)
class Target:
    """Where the crowd's requests go; the class has to be a keyed one."""

    port: int
    request_class: str
    plan: str
    spread: int  # gateways that share a customer's quota


def request_bytes(form: Form, target: Target, rng: random.Random, customer: int, number: int) -> bytes:
    """A whole request; `number` makes its id a new one."""
    size = rng.choice(form.sizes)
    call_id = f"{CALL_PREFIX}-{form.answer}-{number}"
    request_class = "unknown" if form.unsound else target.request_class
    framing = "Transfer-Encoding: chunked" if form.chunk else f"Content-Length: {size}"
    lines = [
        f"POST /api?client={customer:016x} HTTP/1.1", "Host: backend.local", f"X-Call-Id: {call_id}",
        f"X-Call-Class: {request_class}", f"Plan: {target.plan}", "X-Budget: 3.000",
        f"Idempotency-Key: {call_id}", f"Quota-Info: units=1,spread={target.spread},first=0", framing, "", ""]
    head = "\r\n".join(lines).encode()
    if not form.chunk:
        return head + b"x" * size
    chunk = b"%x\r\n%b\r\n" % (form.chunk, b"x" * form.chunk)
    return head + chunk * (size // form.chunk) + b"0\r\n\r\n"


class Crowd:
    """Peers of some forms at one gateway, each a customer."""

    def __init__(self, target: Target, forms: Sequence[Form], seed: str) -> None:
        self.target, self.forms = target, forms
        self.rng = random.Random(f"crowd {seed}")
        self.call_numbers = itertools.count(self.rng.randrange(1 << 40))

    async def run(self, peers: int, until: float) -> None:
        """Lets `peers` act until this time of the monotonic clock."""
        await asyncio.gather(*(
            self.act_again(self.forms[n % len(self.forms)], FIRST_CUSTOMER + n, until) for n in range(peers)))

    async def act_again(self, form: Form, customer: int, until: float) -> None:
        while time.monotonic() < until:
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(min(2 * MAX_STAY, until - time.monotonic())):
                    await self.act(form, customer)
            await asyncio.sleep(RECONNECT_DELAY)

    async def act(self, form: Form, customer: int) -> None:
        """Uses one connection."""
        loop, sock = asyncio.get_running_loop(), socket.socket()
        try:
            if form.receive_buffer:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, form.receive_buffer)
            sock.setblocking(False)
            await loop.sock_connect(sock, (HOST, self.target.port))
            writing = asyncio.ensure_future(self.write(sock, form, customer))
            reading = asyncio.ensure_future(self.read(sock, form))
            await asyncio.wait({writing, reading}, return_when=asyncio.FIRST_COMPLETED)
            if not reading.done():
                await asyncio.wait({reading}, timeout=self.rng.uniform(*form.stay))
            for task in (writing, reading):
                task.cancel()
                with suppress(OSError, asyncio.CancelledError):
                    await task
        finally:
            sock.close()

    def text(self, form: Form, customer: int) -> bytes:
        """What a peer writes on one connection."""
        requests = form.raw or b"".join(
            request_bytes(form, self.target, self.rng, customer, next(self.call_numbers))
            for _ in range(form.repeat))
        return requests[: int(len(requests) * form.written_share)]

    async def write(self, sock: socket.socket, form: Form, customer: int) -> None:
        loop, text = asyncio.get_running_loop(), self.text(form, customer)
        if form.write_rate == inf:
            return await loop.sock_sendall(sock, text)
        step = int(form.write_rate * STEP)
        for offset in range(0, len(text), step):
            await loop.sock_sendall(sock, text[offset : offset + step])
            await asyncio.sleep(STEP)
        return None

    async def read(self, sock: socket.socket, form: Form) -> None:
        """Reads until the gateway closes, or the end of a short answer."""
        loop = asyncio.get_running_loop()
        received = 0
        while True:
            if form.read_rate < inf:
                data = await loop.sock_recv(sock, int(form.read_rate * STEP))
                await asyncio.sleep(STEP)
            else:
                data = await loop.sock_recv(sock, READ_SIZE)
            received += len(data)
            if not data or not form.answer and received:
                return


def main(words: Sequence[str]) -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("port", type=int)
    parser.add_argument("--forms", default="stopped", help=f"of {', '.join(FORMS)}, divided by commas")
    parser.add_argument("--peers", type=int, default=330)
    parser.add_argument("--seed", default="1")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--request-class", default="signature", help="a keyed one")
    parser.add_argument("--plan", default="basis")
    parser.add_argument("--spread", type=int, default=1, help="gateways that share a quota")
    options = parser.parse_args(words)
    target = Target(options.port, options.request_class, options.plan, options.spread)
    crowd = Crowd(target, [FORMS[name] for name in options.forms.split(",")], options.seed)
    uvloop.run(crowd.run(options.peers, time.monotonic() + options.seconds))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
