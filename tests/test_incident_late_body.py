"""Incident of 2026-12: long answers that a backend was still giving were cut off at the class's aim."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import time
from dataclasses import replace

import pytest

from embersill.lab.peers import read_message
from embersill.lab.soak.deployment import RequestClass
from tests.bed import run
from tests.incident_bed import ANSWER_LATENESS, LEAST_LIMITS, ScriptedBackends, incident_bed
from tests.soak_bed import SIGNATURE, SoakBed, signature_head

DEADLINE = 1.9  # seconds, and the requests' budget
HEAD_AFTER = 0.1  # seconds of work before the answer's head
RATE = 80_000  # bytes per second
STEP = 0.05  # seconds between pieces
AIMS = [0.15, 0.38, 2.0]  # seconds, each of a class
PAUSES = [0.0, 0.8, 1.9]  # seconds between an answer's head and its body
LONG, SHORT = 120_000, 20_000  # bytes of answers: above and below what is kept whole
HEADERS = {"length": f"Content-Length: {LONG}\r\n", "chunked": "Transfer-Encoding: chunked\r\n", "close": ""}
CLASSES = tuple(RequestClass(f"aim-{aim}", "by_key", aim, DEADLINE, "cell", 5.0) for aim in AIMS)
DEPLOYMENT = replace(LEAST_LIMITS, classes=CLASSES)


def pausing_backends(framing: str, size: int) -> ScriptedBackends:
    """Backends that give an answer's head, and its body after the pause that the call id names."""

    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        await asyncio.sleep(HEAD_AFTER)
        writer.write(f"HTTP/1.1 200 OK\r\n{HEADERS[framing]}\r\n".encode())
        await asyncio.sleep(float(headers["x-call-id"].partition("_")[0]))
        begin, given = time.monotonic(), 0
        while given < size and not writer.transport.is_closing():
            piece = b"x" * min(int(RATE * STEP), size - given)
            writer.write(b"%x\r\n%b\r\n" % (len(piece), piece) if framing == "chunked" else piece)
            given += len(piece)
            await asyncio.sleep(max(begin + given / RATE - time.monotonic(), 0.0))
        if framing == "chunked":
            writer.write(b"0\r\n\r\n")
        elif framing == "close":
            writer.close()

    return ScriptedBackends(respond)


async def ask(bed: SoakBed, aim: float, call_id: str) -> tuple[str, int]:
    """Sends a signature of the class with this aim; returns the answer's status and size."""
    reader, writer = await bed.connect()
    head = signature_head(call_id, "Content-Length: 2", DEADLINE)
    writer.write(head.replace(SIGNATURE.name.encode(), f"aim-{aim}".encode()) + b"xx")
    try:
        first, _, body = await read_message(reader)
    except asyncio.IncompleteReadError:
        return "cut off", 0
    writer.close()
    return first.split()[1], len(body)


@pytest.mark.parametrize(
    ("framing", "size"), [("length", LONG), ("chunked", LONG), ("close", LONG), ("chunked", SHORT)])
def test_an_answer_that_a_backend_has_begun_is_passed_on_whole(
    framing: str, size: int, tmp_path: pathlib.Path
) -> None:
    async def test() -> None:
        async with incident_bed(tmp_path, pausing_backends(framing, size), DEPLOYMENT) as bed:
            cases = list(itertools.product(AIMS, PAUSES))
            answers = await asyncio.gather(*(ask(bed, aim, f"{pause}_{aim}") for aim, pause in cases))
            assert dict(zip(cases, answers, strict=True)) == dict.fromkeys(cases, ("200", size))

    run(test)


def test_a_short_answer_that_never_ends_gets_its_final_answer_in_time(tmp_path: pathlib.Path) -> None:
    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\npart")
        await asyncio.sleep(3 * DEADLINE)

    async def test() -> None:
        async with incident_bed(tmp_path, ScriptedBackends(respond), DEPLOYMENT) as bed:
            async with asyncio.timeout(DEADLINE + ANSWER_LATENESS):
                assert (await ask(bed, AIMS[1], "short"))[0] == "502"

    run(test)
