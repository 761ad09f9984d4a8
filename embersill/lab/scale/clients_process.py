"""The process that hosts the peers of a play's real gateways, a child of the scale command.

    python -m embersill.lab.scale.clients_process

It holds backends that answer after the service time that a request names, relays that count the calls and
bytes between a gateway and the list service or the counter, and clients that send generated requests by HTTP.
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

from embersill.lab.peers import HOST, Peer, response_bytes, read_message
from embersill.lab.scale.deployment import BUDGET_SECONDS, KEYED, Deployment, GeneratedRequest, customer_name
from embersill.lab.scale.hollow import RequestSource
from embersill.lab.scale.lines import CommandStream, send_answer
from embersill.lab.scale.messages import (
    BeginLoad, BeginMeasuring, ClientsReport, ClientsTask, Collect, Done, EndMeasuring, GatewayCounts,
    Listening, QuotaEvents, RealGatewayPorts,
)

CHUNK_BYTES = 65536
BODY = b"x" * 200  # of a keyed request
# customer and service time in the query of a request
WORK_QUERY = re.compile(r"client=([0-9a-f]+)&work_us=(\d+)")
ADD_CALL = b"CNT.ADD"
HEAD_END = b"\r\n\r\n"


@dataclass(slots=True)
class QuotaEventLog:
    """Requests sent on or refused by real gateways, as backends and clients see them."""

    events: QuotaEvents = field(default_factory=lambda: QuotaEvents([], [], []))

    def record(self, customer: int, sent: bool) -> None:
        """Records that a request arrived at a backend, or that a client got a refusal."""
        self.events.times.append(time.monotonic())
        self.events.customers.append(customer)
        self.events.sent.append(sent)


class Backends(Peer):
    """All backends of the fleet at one address; the body of an answer is the service time in seconds."""

    def __init__(self, log: QuotaEventLog) -> None:
        super().__init__()
        self.log = log

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            first, _, _ = await read_message(reader)
            started_at = time.monotonic()
            found = WORK_QUERY.search(first)
            if found is None:
                writer.write(response_bytes(400))
                continue
            self.log.record(int(found[1], 16), True)
            await asyncio.sleep(int(found[2]) / 1e6)
            writer.write(response_bytes(200, b"%.6f" % (time.monotonic() - started_at)))


class CallCounter:
    """Counts counter calls in the bytes that a gateway writes to one connection."""

    def __init__(self) -> None:
        self.reader = hiredis.Reader()

    def __call__(self, data: bytes) -> int:
        self.reader.feed(data)
        calls = 0
        while (words := self.reader.gets()) is not False:
            calls += isinstance(words, list) and words[:1] == [ADD_CALL]
        return calls


class RequestCounter:
    """Counts HTTP requests without a body in the bytes that a gateway writes to one connection."""

    def __init__(self) -> None:
        self.tail = b""  # the last bytes, in which the end of a head may have begun

    def __call__(self, data: bytes) -> int:
        text = self.tail + data
        self.tail = text[-(len(HEAD_END) - 1):]
        return text.count(HEAD_END)


@dataclass(slots=True)
class RelayFigures:
    """Calls and bytes that passed through the relays to one service."""

    calls: int = 0
    bytes_out: int = 0
    bytes_in: int = 0


class Relay(Peer):
    """Forwards connections to a service, and counts calls and bytes."""

    def __init__(
        self, target: str, make_call_counter: Callable[[], CallCounter | RequestCounter],
        figures: RelayFigures,
    ) -> None:
        super().__init__()
        host, _, port = target.rpartition(":")
        self.host, self.port = host, int(port)
        self.make_call_counter, self.figures = make_call_counter, figures

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        answers, calls = await asyncio.open_connection(self.host, self.port)
        answer_task = asyncio.create_task(self.relay_answers(answers, writer))
        count = self.make_call_counter()
        try:
            while data := await reader.read(CHUNK_BYTES):
                self.figures.bytes_out += len(data)
                self.figures.calls += count(data)
                calls.write(data)
        finally:
            answer_task.cancel()
            calls.close()

    async def relay_answers(self, answers: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await answers.read(CHUNK_BYTES):
            self.figures.bytes_in += len(data)
            writer.write(data)
        writer.close()


@dataclass(slots=True)
class AnswerCounts:
    """Requests of one gateway's clients, and their final answers."""

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
        """Starts the relays; the request source is started by BeginLoad."""
        for relay, port in self.relays:
            await relay.start(port)

    def on_arrival(self, generated: GeneratedRequest) -> None:
        self.answer_counts.requests += 1
        task = asyncio.create_task(self.send_request(generated))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send_request(self, generated: GeneratedRequest) -> None:
        """Sends a request on a connection of its own, and counts its answer."""
        started_at = time.monotonic()
        try:
            async with asyncio.timeout(BUDGET_SECONDS):
                status, body = await self.exchange(self.request_bytes(generated))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.answer_counts.failed += 1
            return
        if status == 200:
            self.answer_counts.served += 1
            if self.measuring:
                self.added_ms.append(1000.0 * (time.monotonic() - started_at - float(body)))
        elif status in (429, 503):
            self.answer_counts.refused += 1
            self.log.record(generated.customer, False)
        else:
            self.answer_counts.failed += 1

    async def exchange(self, text: bytes) -> tuple[int, bytes]:
        """Sends a request, and returns status and body of the answer.

        Raises OSError or IncompleteReadError where the connection ends before.
        """
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
        """An idle connection that is still open, or a new one."""
        while self.idle_connections:
            reader, writer = self.idle_connections.pop()
            if not (reader.at_eof() or writer.is_closing()):
                return reader, writer
        return await asyncio.open_connection(HOST, self.ports.gateway)

    def request_bytes(self, generated: GeneratedRequest) -> bytes:
        """The request as it is written to a connection."""
        name = f"{next(self.request_numbers):016x}"
        keyed = generated.request_class == KEYED
        body = BODY if keyed else b""
        query = (f"client={customer_name(generated.customer)}"
                 f"&work_us={round(1e6 * generated.service_seconds)}")
        first = int(self.deployment.first_gateways[generated.customer])
        lines = [
            f"{'POST' if keyed else 'GET'} /api?{query} HTTP/1.1", "Host: backend.local",
            f"X-Call-Id: {name}", f"X-Call-Class: {generated.request_class}",
            f"Plan: {self.deployment.plan_of(generated.customer).name}", f"X-Budget: {BUDGET_SECONDS:.3f}",
            f"Quota-Info: units=1,spread={self.deployment.size.spread},first={first}",
            *([f"Idempotency-Key: {name * 2}", f"Content-Length: {len(body)}"] if keyed else []), "", ""]
        return "\r\n".join(lines).encode() + body

    def counts(self) -> GatewayCounts:
        """The present counts as a part of a report."""
        answers, counter, list_service = self.answer_counts, self.counter_figures, self.list_figures
        return GatewayCounts(
            answers.requests, answers.served, answers.refused, answers.failed, counter.calls,
            counter.bytes_out, counter.bytes_in, list_service.calls,
            list_service.bytes_out, list_service.bytes_in)


class ClientsProcess:
    """The backends, and the clients and relays of all real gateways."""

    def __init__(self, task: ClientsTask) -> None:
        deployment = Deployment(task.size, task.seed)
        self.port, self.log = task.backend_port, QuotaEventLog()
        self.backends = Backends(self.log)
        self.clients = [RealGatewayClients(task, deployment, ports, self.log) for ports in task.gateways]
        self.counts_at_start = self.counts_at_end = [clients.counts() for clients in self.clients]

    async def start(self) -> None:
        await self.backends.start(self.port)
        for clients in self.clients:
            await clients.start()

    def set_measuring(self, on: bool) -> list[GatewayCounts]:
        """Starts or ends measuring of latencies; returns the present counts of each gateway."""
        for clients in self.clients:
            clients.measuring = on
        return [clients.counts() for clients in self.clients]

    def report(self) -> ClientsReport:
        """Counts and latencies of the measured time, and all quota events."""
        counts = [after.since(before) for before, after in
                  zip(self.counts_at_start, self.counts_at_end, strict=True)]
        return ClientsReport(
            counts, [ms for clients in self.clients for ms in clients.added_ms], self.log.events)

    async def handle_commands(self, commands: CommandStream) -> None:
        """Carries out commands until the stream ends."""
        while (command := await commands.read()) is not None:
            match command:
                case BeginLoad():
                    for clients in self.clients:
                        clients.source.start()
                case BeginMeasuring():
                    self.counts_at_start = self.set_measuring(True)
                case EndMeasuring():
                    self.counts_at_end = self.set_measuring(False)
                case Collect():
                    send_answer(self.report())
                    continue
            send_answer(Done())


async def serve() -> None:
    """Runs the process from its task to the end of its commands."""
    commands = await CommandStream.open()
    task = await commands.read()
    if not isinstance(task, ClientsTask):
        return
    process = ClientsProcess(task)
    await process.start()
    send_answer(Listening())
    await process.handle_commands(commands)


def main() -> None:
    uvloop.run(serve())


if __name__ == "__main__":
    main()
