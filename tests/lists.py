"""The list service for tests: in the test's own loop, or as a process of its own."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import re
import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import aiohttp

from embersill.directory.__main__ import Program
from embersill.directory.service import Options
from embersill.lab.peers import HOST
from tests.peers import SOON

ROOT = pathlib.Path(__file__).parent.parent


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(6 * SOON):
            await test()

    asyncio.run(bounded())


class ListClient:
    """Calls one list service."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self.session, self.address = session, address

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        match: int | str | None = None,
        absent: bool = False,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, Any, dict[str, str]]:
        sent = dict(headers or {})
        if match is not None:
            sent["If-Match"] = f'"{match}"'
        if absent:
            sent["If-None-Match"] = "*"
        data = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
        async with self.session.request(
            method,
            f"http://{self.address}{path}",
            data=data,
            headers=sent,
        ) as answer:
            content = await answer.read()
            told = json.loads(content) if content else None
            return answer.status, told, {k.lower(): v for k, v in answer.headers.items()}

    async def register(self, id: str, host_port: str = "127.0.0.1:80", process: str = "", **more: Any) -> int:
        """Registers, in the place of what is there if anything is; the version."""
        status, shown, _ = await self.call("GET", f"/v1/instances/{id}")
        at = {"match": shown["version"]} if status == 200 else {"absent": True}
        body = {"hostPort": host_port, "process": process or f"p-{id}", **more}
        status, shown, _ = await self.call("PUT", f"/v1/instances/{id}", body, **at)
        assert status in (200, 201), shown
        version: int = shown["version"]
        return version

    async def drain(self, id: str, by: str = "ann") -> int:
        _, shown, _ = await self.call("GET", f"/v1/instances/{id}")
        status, shown, _ = await self.call(
            "PUT", f"/v1/instances/{id}/drain", {"by": by}, match=shown["version"]
        )
        assert status == 200, shown
        version: int = shown["version"]
        return version

    async def list(self, since: int | None = None, wait_ms: int = 0) -> Any:
        query = f"?since={since}&timeout_ms={wait_ms}" if since is not None else ""
        status, told, _ = await self.call("GET", f"/v1/endpoints{query}")
        assert status == 200, told
        return told

    async def wait_for_status(self, done: Callable[[Any], bool]) -> Any:
        """The status, once it is as wanted."""
        async with asyncio.timeout(SOON):
            while True:
                _, status, _ = await self.call("GET", "/v1/status")
                if done(status):
                    return status
                await asyncio.sleep(0.01)


def client_session(address: str) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0), timeout=aiohttp.ClientTimeout(total=3 * SOON)
    )


@asynccontextmanager
async def served(folder: pathlib.Path, **options: Any) -> AsyncIterator[tuple[Program, ListClient]]:
    """The service in this loop; a list begun anew is told at once unless the test asks otherwise."""
    program = Program((HOST, 0), Options(folder, **{"fill": 0.0, **options}))
    try:
        await program.start()
        assert program.server is not None
        address = f"{HOST}:{program.server.sockets[0].getsockname()[1]}"
        async with client_session(address) as session:
            yield program, ListClient(session, address)
    finally:
        await program.stop()


class Process:
    """The service as a process of its own, its log kept as it comes."""

    def __init__(self, folder: pathlib.Path, *options: str, port: int = 0) -> None:
        self.folder, self.options, self.port = folder, options, port
        self.lines: list[str] = []
        self.child: asyncio.subprocess.Process

    async def start(self) -> None:
        self.child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "embersill.directory",
            "--listen",
            f"{HOST}:{self.port}",
            "--data",
            str(self.folder),
            "--fill",
            "0",
            *self.options,
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env={k: v for k, v in os.environ.items() if not k.startswith("RELAY_")},
        )
        line = await self.wait_for_log(r"listening on (\S+):(\d+)")
        self.port = int(line[2])

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    async def wait_for_log(self, form: str) -> re.Match[str]:
        """The next line of the log that has this in it."""
        assert self.child.stderr is not None
        async with asyncio.timeout(SOON):
            while True:
                line = (await self.child.stderr.readline()).decode()
                assert line, f"ended without {form!r}: {self.lines}"
                self.lines.append(line)
                found = re.search(form, line)
                if found:
                    return found

    async def kill(self, number: int = signal.SIGKILL) -> int:
        if self.child.returncode is None:
            self.child.send_signal(number)
        _, rest = await self.child.communicate()
        self.lines += rest.decode().splitlines()
        assert self.child.returncode is not None
        return self.child.returncode


@asynccontextmanager
async def process(
    folder: pathlib.Path, *options: str, port: int = 0
) -> AsyncIterator[tuple[Process, ListClient]]:
    made = Process(folder, *options, port=port)
    try:
        await made.start()
        async with client_session(made.address) as session:
            yield made, ListClient(session, made.address)
    finally:
        await made.kill()
