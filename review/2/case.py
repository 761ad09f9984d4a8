"""Many signatures at once, written in small pieces: does the gateway stay below its memory limit?"""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

from bed import HOST, Answer, Bed, CannotRun, play, read_message  # noqa: E402
from settings import CAMPAIGN, SIGN  # noqa: E402

BUDGET = 10.0  # seconds: a client gives up a try of this class after 5 to 10
MEMORY_MB, SOCKETS = 80, 384  # limits of a gateway, those of the days in the page of reports
AT_ONCE = 64  # connections, all to the gateway n0; a third of its descriptors would be 128
SIZE = 60_000  # bytes of each body
RATE = 64_000  # bytes of body a second
PIECE = 2  # bytes in a chunk of the body; without the disruption 4,000
WATCH = 0.02  # seconds between looks at a gateway's memory
AFTER = 2.0  # seconds for which the clients keep their connections, idle, after the last answer


async def sign(bed: Bed, number: int, all_done: asyncio.Event) -> Answer:
    """Sends a signature in chunks of PIECE bytes, and keeps the connection until all have their answers."""
    answer, piece = bed.new_answer(0, BUDGET), PIECE if bed.trouble else 4000
    reader, writer = await asyncio.open_connection(HOST, bed.ports[0])
    head = bed.head(answer.call, SIGN, CAMPAIGN, 1001 + number, BUDGET, 0)
    writer.write(head.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked"))
    answer.begun, sent = bed.record.now(), 0
    batch = (b"%x\r\n%b\r\n" % (piece, b"x" * piece)) * (4000 // piece)
    try:
        while sent < SIZE:
            writer.write(batch)
            await writer.drain()
            sent += 4000
            await asyncio.sleep(max(answer.begun + sent / RATE - bed.record.now(), 0.0))
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        answer.written = bed.record.now()
        async with asyncio.timeout(BUDGET + 1.0):
            first, _, answer.body = await read_message(reader)
        answer.status, answer.end = int(first.split()[1]), "answered"
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        answer.end = type(error).__name__
    answer.ended = bed.record.now()
    await all_done.wait()
    writer.transport.abort()
    return answer


async def scene(bed: Bed) -> bool:
    process = bed.current[0]
    before = bed.anonymous_mb(process)
    peak, killed = before, False
    all_done = asyncio.Event()

    async def platform() -> None:
        """Kills the gateway once it is over its limit, as the platform does."""
        nonlocal peak, killed
        while not killed:
            memory = bed.anonymous_mb(process)
            peak = max(peak, memory)
            if memory > MEMORY_MB:
                bed.record.note(f"n0 has {memory:.1f} MB of anonymous memory, over its limit of {MEMORY_MB} MB: "
                                "the platform kills it")
                process.send_signal(signal.SIGKILL)
                killed = True
            await asyncio.sleep(WATCH)

    watching = asyncio.create_task(platform())
    begin = bed.record.now()
    bed.record.note(f"n0 has {before:.1f} MB; {AT_ONCE} signatures begin there, bodies of {SIZE} bytes at {RATE} "
                    f"bytes a second, in chunks of {PIECE if bed.trouble else 4000} bytes")
    tasks = [asyncio.create_task(sign(bed, n, all_done)) for n in range(AT_ONCE)]
    while bed.record.now() < begin + 40.0 and not killed:
        await asyncio.sleep(0.05)
        if all(a.ended is not None for a in bed.answers) and len(bed.answers) == AT_ONCE:
            break
    await asyncio.sleep(AFTER)
    all_done.set()
    answers = await asyncio.gather(*tasks)
    watching.cancel()
    for a in sorted(answers, key=lambda a: a.begun):
        written = "never" if a.written is None else f"{a.written:.3f}"
        bed.record.note(f"{a.call[-6:]}: last byte {written}, {a.end} {a.status} at {a.ended:.3f}", a.begun)
    served, ended = sum(a.status == 200 for a in answers), sum(a.status is not None for a in answers)
    if not bed.trouble and ended < AT_ONCE:
        raise CannotRun(f"only {ended} answered")
    text = (f"anonymous memory of n0 {before:.1f} MB before, at most {peak:.1f} MB, limit {MEMORY_MB} MB; "
            f"of {len(answers)} {ended} answered, {served} served; {'killed for memory' if killed else 'not killed'}")
    bed.record.note(text)
    print(text)
    return not killed


if __name__ == "__main__":
    sys.exit(play(__file__, lambda case: Bed(
        case, gateways=3, backends=10, work=0.3, memory_mb=MEMORY_MB, sockets=SOCKETS), scene))
