"""One real gateway: started by the deploy file's `run`, signalled, and looked at from outside."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
from collections.abc import Mapping
from typing import Any

from embersill.lab.peers import HOST, free_port, is_ready
from embersill.lab.versions import HERE, deployed

READY_TIMEOUT = 20.0  # seconds


class NotReady(Exception):
    """A gateway ended, or never said that it is ready."""


class GatewayProcess:
    """A process of a gateway; a restart makes another one with the same number and port."""

    def __init__(
        self,
        number: int,
        folder: pathlib.Path,
        configuration: dict[str, Any],
        port: int = 0,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        """`folder` is the process's own, and new; the port is found where none is given."""
        self.number, self.folder = number, folder
        self.port = port or free_port()
        self.environment = dict(environment or {})
        self.configuration = {**configuration, "listen": f"{HOST}:{self.port}"}
        self.child: asyncio.subprocess.Process | None = None
        self.stop_requested = False  # by a signal of ours
        self.log_path = folder / "log"

    async def start(self) -> None:
        """Starts it, and waits until it is ready; NotReady tells the last line of its log."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.write_configuration()
        command = os.environ.get("EMBERSILL_RUN") or deployed(HERE)["run"]
        env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        env |= {"RELAY_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.folder)}
        with self.log_path.open("ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=HERE, stdout=log, stderr=log, env=env | self.environment
            )
        try:
            async with asyncio.timeout(READY_TIMEOUT):
                while not await is_ready(self.port):
                    if self.child.returncode is not None or self.stop_requested:
                        break
                    await asyncio.sleep(0.02)
        except TimeoutError:
            raise NotReady(f"gateway {self.number}: {self.last_log_line()}") from None
        if self.child.returncode is not None and not self.stop_requested:
            raise NotReady(f"gateway {self.number} ended with {self.child.returncode}: {self.last_log_line()}")

    def write_configuration(self) -> None:
        """Whole or not at all, as the gateway may read it at any time."""
        new = self.folder / "config.json.new"
        new.write_text(json.dumps(self.configuration))
        new.replace(self.folder / "config.json")

    def last_log_line(self) -> str:
        lines = self.log_path.read_text(errors="replace").splitlines() if self.log_path.exists() else []
        return lines[-1] if lines else "its log is empty"

    def has_logged(self, text: str, since: int) -> bool:
        """Whether the log holds this behind so many bytes."""
        with self.log_path.open("rb") as log:
            log.seek(since)
            return text.encode() in log.read()

    @property
    def running(self) -> bool:
        return self.child is not None and self.child.returncode is None

    def signal(self, number: signal.Signals) -> None:
        if self.child is not None and self.child.returncode is None:
            if number in (signal.SIGTERM, signal.SIGKILL):
                self.stop_requested = True
            self.child.send_signal(number)

    async def wait(self) -> int:
        assert self.child is not None
        return await self.child.wait()

    def peak_memory_mb(self) -> float:
        """VmHWM; 0 where the process is gone."""
        assert self.child is not None
        try:
            status = pathlib.Path(f"/proc/{self.child.pid}/status").read_text()
        except OSError:
            return 0.0
        line = next((x for x in status.splitlines() if x.startswith("VmHWM")), "VmHWM: 0 kB")
        return int(line.split()[1]) / 1024.0

    def processor_seconds(self) -> float:
        assert self.child is not None
        try:
            fields = pathlib.Path(f"/proc/{self.child.pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return 0.0
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def descriptors(self) -> int:
        assert self.child is not None
        try:
            return len(os.listdir(f"/proc/{self.child.pid}/fd"))
        except OSError:
            return 0
