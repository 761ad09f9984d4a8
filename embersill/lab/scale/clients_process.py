"""What surrounds the real gateways of a play: python -m embersill.lab.scale.clients_process, as a child.

Backends that answer after the time that a request asks for, relays that count what a gateway exchanges with
the list service and the counter, and clients that send drawn requests over HTTP.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import re
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import hiredis
import uvloop

from embersill.lab.peers import HOST, Peer, message, read_message
from embersill.lab.scale.deployment import BUDGET_SECONDS, KEYED, Deployment, GeneratedRequest, customer_name
from embersill.lab.scale.hollow import RequestSource
from embersill.lab.scale.lines import CommandStream, send_answer
from embersill.lab.scale.messages import (
    BeginLoad, BeginMeasuring, ClientsReport, ClientsTask, Collect, Done, EndMeasuring, GatewayCounts,
    Listening, QuotaEvents, RealGatewayPorts,
)

CHUNK_BYTES = 65536
BODY = b"x" * 200  # of a keyed request
WORK_QUERY = re.compile(r"client=([0-9a-f]+)&work_us=(\d+)")
ADD_CALL = b"CNT.ADD"
HEAD_END = b"\r\n\r\n"


@dataclass(slots=True)
class QuotaEventLog:
    """Requests sent on or refused, as peers see them."""

    events: QuotaEvents = field(default_factory=lambda: QuotaEvents([], [], []))

    def record(self, customer: int, sent: bool) -> None:
        self.events.times.append(time.monotonic())
        self.events.customers.append(customer)
        self.events.sent.append(sent)


class Backends(Peer):
    """All backends of the fleet behind one address; each answer tells how long it took here."""

    def __init__(self, log: QuotaEventLog) -> None:
        super().__init__()
        self.log = log

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            first, _, _ = await read_message(reader)
            began = time.monotonic()
            found = WORK_QUERY.search(first)
            if found is None:
                writer.write(message(400))
                continue
            self.log.record(int(found[1], 16), True)
            await asyncio.sleep(int(found[2]) / 1e6)
            writer.write(message(200, b"%.6f" % (time.monotonic() - began)))


class CallCounter:
    """Counts calls of the counter in what a gateway writes on one connection."""

    def __init__(self) -> None:
        self.reader = hiredis.Reader()

    def __call__(self, data: bytes) -> int:
        self.reader.feed(data)
        calls = 0
        while (words := self.reader.gets()) is not False:
            calls += isinstance(words, list) and words[:1] == [ADD_CALL]
        return calls


class RequestCounter:
    """Counts HTTP requests without a body in what a gateway writes on one connection."""

    def __init__(self) -> None:
        self.tail = b""

    def __call__(self, data: bytes) -> int:
        text = self.tail + data
        self.tail = text[-(len(HEAD_END) - 1):]
        return text.count(HEAD_END)


@dataclass(slots=True)
class RelayFigures:
    """What went through a relay."""

    calls: int = 0
    bytes_out: int = 0
    bytes_in: int = 0


class Relay(Peer):
    """Passes connections on to a service and counts."""

    def __init__(
        self, target: str, make_counter: Callable[[], CallCounter | RequestCounter], figures: RelayFigures
    ) -> None:
        super().__init__()
        host, _, port = target.rpartition(":")
        self.host, self.port = host, int(port)
        self.make_call_counter, self.figures = make_counter, figures

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        answers, calls = await asyncio.open_connection(self.host, self.port)
        back = asyncio.create_task(self.relay_answers(answers, writer))
        count = self.make_call_counter()
        try:
            while data := await reader.read(CHUNK_BYTES):
                self.figures.bytes_out += len(data)
                self.figures.calls += count(data)
                calls.write(data)
        finally:
            back.cancel()
            calls.close()

    async def relay_answers(self, answers: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await answers.read(CHUNK_BYTES):
            self.figures.bytes_in += len(data)
            writer.write(data)
        writer.close()


@dataclass(slots=True)
class AnswerCounts:
    """Final answers, as clients of one gateway got them."""

    requests: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0


class RealGatewayClients:
    """Clients and relays of one real gateway."""

    def __init__(
        self, task: ClientsTask, deployment: Deployment, ports: RealGatewayPorts, log: QuotaEventLog
    ) -> None:
        self.deployment, self.ports, self.log = deployment, ports, log
        self.answer_counts, self.added_ms = AnswerCounts(), list[float]()
        self.counter_figures, self.list_figures = RelayFigures(), RelayFigures()
        self.relays = [
            (Relay(address, RequestCounter, self.list_figures), port)
            for address, port in zip(task.directories, ports.discovery_relays, strict=True)]
        self.relays.append((Relay(task.counter, CallCounter, self.counter_figures), ports.counter_relay))
        seed = random.Random(f"{task.seed} real {ports.number}").getrandbits(32)
        self.source = RequestSource(deployment, ports.number, seed, self.on_arrival)
        self.request_numbers = itertools.count(ports.number << 40)
        self.idle_connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.measuring = False

    async def start(self) -> None:
        for relay, port in self.relays:
            await relay.start(port)

    def on_arrival(self, drawn: GeneratedRequest) -> None:
        self.answer_counts.requests += 1
        task = asyncio.create_task(self.send_request(drawn))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send_request(self, drawn: GeneratedRequest) -> None:
        """One request, on a connection that no other uses meanwhile."""
        began = time.monotonic()
        try:
            async with asyncio.timeout(BUDGET_SECONDS):
                status, body = await self.exchange(self.request_bytes(drawn))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.answer_counts.failed += 1
            return
        if status == 200:
            self.answer_counts.served += 1
            if self.measuring:
                self.added_ms.append(1000.0 * (time.monotonic() - began - float(body)))
        elif status in (429, 503):
            self.answer_counts.refused += 1
            self.log.record(drawn.customer, False)
        else:
            self.answer_counts.failed += 1

    async def exchange(self, text: bytes) -> tuple[int, bytes]:
        reader, writer = await self.connection()
        try:
            writer.write(text)
            first, headers, body = await read_message(reader)
        except BaseException:
            writer.transport.abort()
            raise
        if headers.get("connection") == "close":
            writer.close()
        else:
            self.idle_connections.append((reader, writer))
        return int(first.split()[1]), body

    async def connection(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        while self.idle_connections:
            reader, writer = self.idle_connections.pop()
            if not (reader.at_eof() or writer.is_closing()):
                return reader, writer
        return await asyncio.open_connection(HOST, self.ports.gateway)

    def request_bytes(self, drawn: GeneratedRequest) -> bytes:
        name = f"{next(self.request_numbers):016x}"
        keyed = drawn.request_class == KEYED
        body = BODY if keyed else b""
        query = f"client={customer_name(drawn.customer)}&work_us={round(1e6 * drawn.service_seconds)}"
        first = int(self.deployment.first_gateways[drawn.customer])
        lines = [
            f"{'POST' if keyed else 'GET'} /api?{query} HTTP/1.1", "Host: backend.local",
            f"X-Call-Id: {name}", f"X-Call-Class: {drawn.request_class}",
            f"Plan: {self.deployment.plan_of(drawn.customer).name}", f"X-Budget: {BUDGET_SECONDS:.3f}",
            f"Quota-Info: units=1,spread={self.deployment.size.spread},first={first}",
            *([f"Idempotency-Key: {name * 2}", f"Content-Length: {len(body)}"] if keyed else []), "", ""]
        return "\r\n".join(lines).encode() + body

    def counts(self) -> GatewayCounts:
        tally, counter, listed = self.answer_counts, self.counter_figures, self.list_figures
        return GatewayCounts(
            tally.requests, tally.served, tally.refused, tally.failed, counter.calls, counter.bytes_out,
            counter.bytes_in, listed.calls, listed.bytes_out, listed.bytes_in)


class ClientsProcess:
    """All of this process."""

    def __init__(self, task: ClientsTask) -> None:
        deployment = Deployment(task.size, task.seed)
        self.port, self.log = task.backend_port, QuotaEventLog()
        self.backends = Backends(self.log)
        self.clients = [RealGatewayClients(task, deployment, ports, self.log) for ports in task.gateways]
        self.counts_at_start = self.counts_at_end = [made.counts() for made in self.clients]

    async def start(self) -> None:
        await self.backends.start(self.port)
        for made in self.clients:
            await made.start()

    def set_measuring(self, on: bool) -> list[GatewayCounts]:
        for made in self.clients:
            made.measuring = on
        return [made.counts() for made in self.clients]

    def report(self) -> ClientsReport:
        counts = [after.since(before) for before, after in zip(self.counts_at_start, self.counts_at_end, strict=True)]
        return ClientsReport(counts, [ms for made in self.clients for ms in made.added_ms], self.log.events)

    async def handle_commands(self, orders: CommandStream) -> None:
        while (order := await orders.read()) is not None:
            match order:
                case BeginLoad():
                    for made in self.clients:
                        made.source.start()
                case BeginMeasuring():
                    self.counts_at_start = self.set_measuring(True)
                case EndMeasuring():
                    self.counts_at_end = self.set_measuring(False)
                case Collect():
                    send_answer(self.report())
                    continue
            send_answer(Done())


async def serve() -> None:
    orders = await CommandStream.open()
    task = await orders.read()
    if not isinstance(task, ClientsTask):
        return
    process = ClientsProcess(task)
    await process.start()
    send_answer(Listening())
    await process.handle_commands(orders)


def main() -> None:
    uvloop.run(serve())


if __name__ == "__main__":
    main()
