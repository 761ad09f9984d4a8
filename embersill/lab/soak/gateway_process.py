"""One real gateway process: started by the deploy file's `run`, signalled and observed from outside."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
from collections.abc import Mapping
from typing import Any

from embersill.lab.peers import HOST, free_port, is_ready
from embersill.lab.versions import REPO_ROOT, read_deploy_file

READY_TIMEOUT = 20.0  # seconds from the start


class NotReady(Exception):
    """A gateway ended during its start, or was not ready in time."""


class GatewayProcess:
    """A process of a gateway; a restart creates a new object with the same number and port."""

    def __init__(
        self,
        number: int,
        folder: pathlib.Path,
        configuration: dict[str, Any],
        port: int = 0,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        """Prepares a process without starting it.

        Args:
            folder: for the configuration and the log; created at the start. Shared only with a predecessor.
            port: the port to listen on; 0 picks a free one.
            environment: variables added to this process's own.
        """
        self.number, self.folder = number, folder
        self.port = port or free_port()
        self.environment = dict(environment or {})
        self.configuration = {**configuration, "listen": f"{HOST}:{self.port}"}
        self.child: asyncio.subprocess.Process | None = None
        self.stop_requested = False  # SIGTERM or SIGKILL was sent
        self.log_path = folder / "log"

    async def start(self) -> None:
        """Starts the process and waits until it is ready. Raises NotReady with the last line of its log."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.write_configuration()
        command = os.environ.get("EMBERSILL_RUN") or read_deploy_file(REPO_ROOT)["run"]
        env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        env |= {"RELAY_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.folder)}
        with self.log_path.open("ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=REPO_ROOT, stdout=log, stderr=log, env=env | self.environment
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
            raise NotReady(
                f"gateway {self.number} exited with {self.child.returncode}: {self.last_log_line()}"
            )

    def write_configuration(self) -> None:
        """Replaces the file atomically, as the gateway may read it at any time."""
        new_file = self.folder / "config.json.new"
        new_file.write_text(json.dumps(self.configuration))
        new_file.replace(self.folder / "config.json")

    def last_log_line(self) -> str:
        lines = self.log_path.read_text(errors="replace").splitlines() if self.log_path.exists() else []
        return lines[-1] if lines else "its log is empty"

    def has_logged(self, text: str, offset: int) -> bool:
        """Whether the log contains `text` after its first `offset` bytes."""
        with self.log_path.open("rb") as log:
            log.seek(offset)
            return text.encode() in log.read()

    @property
    def running(self) -> bool:
        return self.child is not None and self.child.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process is running."""
        if self.child is not None and self.child.returncode is None:
            if number in (signal.SIGTERM, signal.SIGKILL):
                self.stop_requested = True
            self.child.send_signal(number)

    async def wait(self) -> int:
        """Waits for the end of the process and returns its exit code."""
        assert self.child is not None
        return await self.child.wait()

    def peak_memory_mb(self) -> float:
        """Peak resident memory (VmHWM); 0 if the process has ended."""
        return self.status_mb("VmHWM")

    def anonymous_memory_mb(self) -> float:
        """The memory without files and libraries (RssAnon), which the platform limits; 0 if it has ended."""
        return self.status_mb("RssAnon")

    def status_mb(self, name: str) -> float:
        """A size from /proc/PID/status; 0 if the process has not started or has ended."""
        if self.child is None:
            return 0.0
        try:
            status = pathlib.Path(f"/proc/{self.child.pid}/status").read_text()
        except OSError:
            return 0.0
        line = next((line for line in status.splitlines() if line.startswith(name)), f"{name}: 0 kB")
        return int(line.split()[1]) / 1024.0

    def processor_seconds(self) -> float:
        """Processor time used so far, user and system; 0 if the process has ended."""
        assert self.child is not None
        try:
            fields = pathlib.Path(f"/proc/{self.child.pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return 0.0
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def descriptors(self) -> int:
        """Number of open descriptors; 0 if the process has ended."""
        assert self.child is not None
        try:
            return len(os.listdir(f"/proc/{self.child.pid}/fd"))
        except OSError:
            return 0
