"""The list service for tests, in the test's event loop or as a separate process, and a client for it."""

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
    """Runs a test in a new event loop, with a time limit."""

    async def bounded() -> None:
        async with asyncio.timeout(6 * SOON):
            await test()

    asyncio.run(bounded())


class ListClient:
    """Sends requests to one list service."""

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
        """Status, JSON body and headers (names in lower case) of the answer.

        `match` is the version for If-Match, `absent` sends If-None-Match: *.
        """
        all_headers = dict(headers or {})
        if match is not None:
            all_headers["If-Match"] = f'"{match}"'
        if absent:
            all_headers["If-None-Match"] = "*"
        data = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
        async with self.session.request(
            method,
            f"http://{self.address}{path}",
            data=data,
            headers=all_headers,
        ) as answer:
            content = await answer.read()
            result = json.loads(content) if content else None
            return answer.status, result, {k.lower(): v for k, v in answer.headers.items()}

    async def register(self, id: str, host_port: str = "127.0.0.1:80", process: str = "", **more: Any) -> int:
        """Registers an instance, or replaces the one of this id; the new version."""
        status, shown, _ = await self.call("GET", f"/v1/instances/{id}")
        condition = {"match": shown["version"]} if status == 200 else {"absent": True}
        body = {"hostPort": host_port, "process": process or f"p-{id}", **more}
        status, shown, _ = await self.call("PUT", f"/v1/instances/{id}", body, **condition)
        assert status in (200, 201), shown
        version: int = shown["version"]
        return version

    async def drain(self, id: str, by: str = "ann") -> int:
        """Sets an operator's drain; the new version."""
        _, shown, _ = await self.call("GET", f"/v1/instances/{id}")
        status, shown, _ = await self.call(
            "PUT", f"/v1/instances/{id}/drain", {"by": by}, match=shown["version"]
        )
        assert status == 200, shown
        version: int = shown["version"]
        return version

    async def list(self, since: int | None = None, wait_ms: int = 0) -> Any:
        """The list, or the changes since a generation, as JSON."""
        query = f"?since={since}&timeout_ms={wait_ms}" if since is not None else ""
        status, content, _ = await self.call("GET", f"/v1/endpoints{query}")
        assert status == 200, content
        return content

    async def wait_for_status(self, condition: Callable[[Any], bool]) -> Any:
        """Polls the service's status until it satisfies the condition, and returns it."""
        async with asyncio.timeout(SOON):
            while True:
                _, status, _ = await self.call("GET", "/v1/status")
                if condition(status):
                    return status
                await asyncio.sleep(0.01)


def client_session(address: str) -> aiohttp.ClientSession:
    """A session without a limit on connections."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0), timeout=aiohttp.ClientTimeout(total=3 * SOON)
    )


@asynccontextmanager
async def served(folder: pathlib.Path, **options: Any) -> AsyncIterator[tuple[Program, ListClient]]:
    """Runs the service in this loop; a new list is readable at once unless the options say otherwise."""
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
    """The service as a separate process; its log lines so far are in `lines`."""

    def __init__(self, folder: pathlib.Path, *options: str, port: int = 0) -> None:
        self.folder, self.options, self.port = folder, options, port
        self.lines: list[str] = []
        self.child: asyncio.subprocess.Process

    async def start(self) -> None:
        """Starts the process and waits until it listens."""
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

    async def wait_for_log(self, pattern: str) -> re.Match[str]:
        """Reads log lines up to one that matches the pattern; the match."""
        assert self.child.stderr is not None
        async with asyncio.timeout(SOON):
            while True:
                line = (await self.child.stderr.readline()).decode()
                assert line, f"ended without {pattern!r}: {self.lines}"
                self.lines.append(line)
                found = re.search(pattern, line)
                if found:
                    return found

    async def kill(self, number: int = signal.SIGKILL) -> int:
        """Ends the process with a signal, SIGKILL unless given, and returns its exit code."""
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
    """Runs the service as a process and kills it at the end."""
    service = Process(folder, *options, port=port)
    try:
        await service.start()
        async with client_session(service.address) as session:
            yield service, ListClient(session, service.address)
    finally:
        await service.kill()
