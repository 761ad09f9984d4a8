"""Scripted peers of the gateway on loopback: backends, discovery and the counter."""

from __future__ import annotations

import asyncio
import json
import pathlib
import re
from collections.abc import Awaitable, Callable
from typing import Any

from embersill.lab.peers import (
    HttpMessage, Peer, counter_reply, read_counter_call, read_message, response_bytes,
)

SOON = 10.0  # seconds after which a test that waits for an event fails; events come long before
Step = Callable[[asyncio.StreamWriter, HttpMessage], Awaitable[None] | None]


def serve(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
    writer.write(response_bytes(200, b"served " + asked[1]["x-call-id"].encode(), "Billed-Units: 2"))


class BackendPeer(Peer):
    """Answers each request by the next step of `script`, without one with status 200 and the request's id."""

    def __init__(self) -> None:
        super().__init__()
        self.seen: list[HttpMessage] = []
        self.script: list[Step] = []
        self.arrived = asyncio.Condition()
        self.ended = 0  # connections that the gateway closed

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            try:
                asked = await read_message(reader)
            except asyncio.IncompleteReadError:
                async with self.arrived:
                    self.ended += 1
                    self.arrived.notify_all()
                return
            async with self.arrived:
                self.seen.append(asked)
                self.arrived.notify_all()
            if self.script:
                step = self.script.pop(0)(writer, asked)
                if step is not None:
                    await step
            else:
                serve(writer, asked)

    async def until(self, done: Callable[[], bool]) -> None:
        async with asyncio.timeout(SOON), self.arrived:
            await self.arrived.wait_for(done)


def entry(name: str, address: str, state: str = "SERVING", started: float = 0) -> dict[str, Any]:
    """Returns an entry of discovery's list."""
    return {"instanceId": name, "hostPort": address, "zone": "z", "machineType": "k", "cell": 0,
            "lifecycle": state, "weight": 1.0, "startedAtMs": started}


class DiscoveryPeer(Peer):
    """Sends the full list, and then answers each watch when `change` is called or its time is up."""

    def __init__(self) -> None:
        super().__init__()
        self.generation = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed = asyncio.Condition()
        self.changes: list[dict[str, Any]] = []
        self.asked: list[str] = []
        self.headers: list[str] = []  # added to every answer
        self.silent = self.endless = False
        self.empty_watches = False  # watches are answered at once, without changes
        self.answers_to_omit = 0  # number of the next requests that get no answer
        self.full_list_generation: int | None = None  # that the next request for the full list brings

    entry = staticmethod(entry)

    def listing(self, full: bool, entries: list[dict[str, Any]]) -> bytes:
        return json.dumps({"generation": self.generation, "reset": full, "instances": entries}).encode()

    async def change(self, *entries: dict[str, Any]) -> None:
        async with self.changed:
            self.generation += 1
            self.changes = list(entries)
            self.entries.update({e["instanceId"]: e for e in entries})
            self.changed.notify_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            first, _, _ = await read_message(reader)
            self.asked.append(first)
            since = re.search(r"since=(\d+)", first)
            async with self.changed:
                self.changed.notify_all()
                if since is None:
                    self.generation = self.full_list_generation or self.generation
                    body = self.listing(True, list(self.entries.values()))
                else:
                    wait = re.search(r"timeout_ms=(\d+)", first)
                    body = await self.news(int(since[1]), int(wait[1]) / 1000.0 if wait else 0.0)
            if self.endless:
                writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")
                while self.endless:
                    writer.write(b"400\r\n" + b" " * 1024 + b"\r\n")
                    await asyncio.sleep(0.001)
            if self.answers_to_omit:
                self.answers_to_omit -= 1
            elif not self.silent:
                writer.write(response_bytes(200, body, *self.headers))

    async def news(self, since: int, wait: float) -> bytes:
        try:
            async with asyncio.timeout(0.0 if self.empty_watches else wait):
                await self.changed.wait_for(lambda: self.generation > since)
        except TimeoutError:
            return self.listing(False, [])
        return self.listing(False, self.changes)

    async def until_asked(self, times: int) -> None:
        async with asyncio.timeout(SOON), self.changed:
            await self.changed.wait_for(lambda: len(self.asked) >= times)


class CounterPeer(Peer):
    """Adds up the amounts of each name.

    Answers are held back while `may_answer` is not set, and replaced by those in `scripted_answers`.
    """

    def __init__(self) -> None:
        super().__init__()
        self.sums: dict[str, float] = {}
        self.calls: list[tuple[str, float]] = []
        self.scripted_answers: list[bytes] = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            arguments = await read_counter_call(reader)
            name, amount = arguments[1], float(arguments[2])
            self.calls.append((name, amount))
            self.sums[name] = self.sums.get(name, 0.0) + amount
            answer = counter_reply(self.sums[name])
            await self.may_answer.wait()
            writer.write(self.scripted_answers.pop(0) if self.scripted_answers else answer)


def settings_text(**limits: Any) -> dict[str, Any]:
    """Returns the settings object of tests/batch.txt, which the adapter's tests use as well."""
    text = (pathlib.Path(__file__).parent / "batch.txt").read_text()
    line = next(x for x in text.splitlines() if x.startswith("up\t"))
    loaded: dict[str, Any] = json.loads(line.split("\t", 2)[2])
    loaded["limits"].update(limits)
    return loaded
