"""Measures the gateways of two checkouts in turns: `python -m tests.measure_gateway OTHER_CHECKOUT [ROUNDS]`.

Prints for each kind of request the least and the median processor time a request in microseconds, its time,
and the anonymous memory at rest. Run by hand; both checkouts have to be built.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import statistics
import sys
import tempfile
import time
from dataclasses import dataclass, field

from embersill.lab.peers import read_message, response_bytes
from embersill.lab.versions import REPO_ROOT, read_deploy_file
from tests.incident_bed import ScriptedBackends, anonymous_memory_mb, incident_bed
from tests.soak_bed import CHUNKED, SoakBed, signature_head

BLOCK = 16_384  # bytes of a chunk
CONNECTIONS = 4


@dataclass(frozen=True, slots=True)
class Kind:
    """Requests of one kind, sent one behind another on CONNECTIONS connections."""

    name: str
    requests: int
    body: int = 2  # bytes
    answer: int = 20  # bytes
    chunked: bool = False


KINDS = [
    Kind("small", 2_000), Kind("body of 60 kB", 800, body=60_000), Kind("body of 1 MB", 160, body=1_000_000),
    Kind("body of 1 MB, chunked", 160, body=1_000_000, chunked=True),
    Kind("answer of 60 kB", 800, answer=60_000), Kind("answer of 1 MB", 160, answer=1_000_000),
]


@dataclass(slots=True)
class Figures:
    """Of one kind in one checkout: a value for each round."""

    processor: list[float] = field(default_factory=list)  # microseconds a request
    elapsed: list[float] = field(default_factory=list)  # milliseconds a request


def request(kind: Kind, call_id: str) -> bytes:
    if not kind.chunked:
        return signature_head(call_id, f"Content-Length: {kind.body}") + b"x" * kind.body
    body = b"".join(b"%x\r\n%b\r\n" % (BLOCK, b"x" * BLOCK) for _ in range(kind.body // BLOCK))
    return signature_head(call_id, CHUNKED) + body + b"0\r\n\r\n"


async def send_all(bed: SoakBed, kind: Kind, connection: int) -> None:
    reader, writer = await bed.connect()
    for number in range(kind.requests // CONNECTIONS):
        writer.write(request(kind, f"m{connection}-{number}-{kind.body}-{kind.answer}"))
        first, _, body = await read_message(reader)
        assert first.split()[1] == "200" and len(body) >= kind.answer, first
    writer.close()


def processor_seconds(bed: SoakBed) -> float:
    """Processor time that the gateway has used, to the nanosecond."""
    assert bed.gateway.child is not None
    return int(pathlib.Path(f"/proc/{bed.gateway.child.pid}/schedstat").read_text().split()[0]) / 1e9


async def measure_kind(bed: SoakBed, kind: Kind, figures: Figures) -> None:
    used, begin = processor_seconds(bed), time.monotonic()
    await asyncio.gather(*(send_all(bed, kind, n) for n in range(CONNECTIONS)))
    figures.processor.append((processor_seconds(bed) - used) / kind.requests * 1e6)
    figures.elapsed.append((time.monotonic() - begin) / kind.requests * CONNECTIONS * 1e3)


async def measure_checkout(checkout: str, figures: dict[str, Figures], memory: list[float]) -> None:
    os.environ["EMBERSILL_RUN"] = f"cd {checkout} && {read_deploy_file(pathlib.Path(checkout))['run']}"
    answers = {kind: response_bytes(200, b"x" * kind.answer) for kind in KINDS}

    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        writer.write(answers[current[0]])

    current = [KINDS[0]]
    with tempfile.TemporaryDirectory() as folder:
        async with incident_bed(pathlib.Path(folder), ScriptedBackends(respond)) as bed:
            memory.append(anonymous_memory_mb(bed))
            for kind in KINDS:
                current[0] = kind
                await measure_kind(bed, kind, figures[kind.name])


def main() -> None:
    checkouts = {"other": sys.argv[1], "this": str(REPO_ROOT)}
    rounds = int(sys.argv[2]) if len(sys.argv) > 2 else 10
    figures = {name: {kind.name: Figures() for kind in KINDS} for name in checkouts}
    memory: dict[str, list[float]] = {name: [] for name in checkouts}
    for _ in range(rounds):
        for name, checkout in checkouts.items():
            asyncio.run(measure_checkout(checkout, figures[name], memory[name]))
    for kind in KINDS:
        for name in checkouts:
            measured = figures[name][kind.name]
            print(f"{kind.name:22} {name:6} processor {min(measured.processor):6.0f} "
                  f"({statistics.median(measured.processor):6.0f}) us, elapsed {min(measured.elapsed):6.2f} "
                  f"({statistics.median(measured.elapsed):6.2f}) ms")
    for name in checkouts:
        print(f"at rest {name:6} {min(memory[name]):.1f} ({statistics.median(memory[name]):.1f}) MB")


if __name__ == "__main__":
    main()
