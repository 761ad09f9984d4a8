"""Keeps an aggregator registered in a list service under a lease that heartbeats renew."""

from __future__ import annotations

import asyncio
import logging
import time
import uuid
from dataclasses import dataclass
from typing import Any

import aiohttp

LEASE_MS = 10_000
HEARTBEAT_INTERVAL = LEASE_MS / 3000.0  # seconds: a lease outlives two lost heartbeats
CALL_TIMEOUT = 2.0  # seconds, of a request to the list service
RETRY_DELAY = 1.0  # seconds after a failed request
MACHINE_TYPE = "aggregator"

log = logging.getLogger("embersill.aggregator")


@dataclass(frozen=True, slots=True)
class MembershipOptions:
    """The registration's content, and the list service that holds it."""

    list_service: str  # HOST:PORT
    instance_id: str
    host_port: str  # the address that gateways connect to
    zone: str = ""


class Superseded(Exception):
    """Another process has registered under this id."""


class Membership:
    """One registration. Failures are logged and retried; the server runs regardless of them."""

    def __init__(self, options: MembershipOptions) -> None:
        self.options = options
        self.url = f"http://{options.list_service}/v1/instances/{options.instance_id}"
        self.process_id = uuid.uuid4().hex
        self.started_at_ms = int(time.time() * 1000)
        self.session: aiohttp.ClientSession | None = None
        self.task: asyncio.Task[None] | None = None
        self.registered = False

    async def start(self) -> None:
        """Starts the task that registers and renews the lease."""
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT))
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def run(self) -> None:
        """Registers and renews until it is cancelled or superseded."""
        while True:
            try:
                await self.renew() if self.registered else await self.register()
                await asyncio.sleep(HEARTBEAT_INTERVAL if self.registered else RETRY_DELAY)
            except Superseded:
                log.error("another process is registered as %s: heartbeats stopped", self.options.instance_id)
                return
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                log.warning("request to the list service failed: %s", error or type(error).__name__)
                await asyncio.sleep(RETRY_DELAY)

    async def request(
        self,
        method: str,
        path: str = "",
        body: dict[str, Any] | None = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, str]:
        """Sends a request about this instance; returns the response's status and its ETag, or ""."""
        assert self.session is not None
        async with self.session.request(method, self.url + path, json=body, headers=headers) as response:
            await response.read()
            return response.status, response.headers.get("ETag", "")

    async def version_condition(self) -> dict[str, str]:
        """Reads the instance; returns the precondition header that a write to this version needs."""
        status, version = await self.request("GET")
        return {"If-Match": version} if status == 200 else {"If-None-Match": "*"}

    async def register(self) -> None:
        """Registers this process once, and logs whether it succeeded."""
        body = {
            "hostPort": self.options.host_port,
            "process": self.process_id,
            "zone": self.options.zone,
            "machineType": MACHINE_TYPE,
            "startedAtMs": self.started_at_ms,
            "leaseMs": LEASE_MS,
        }
        status, _ = await self.request("PUT", body=body, headers=await self.version_condition())
        self.registered = status in (200, 201)
        if self.registered:
            log.info("registered as %s at %s", self.options.instance_id, self.options.host_port)
        else:
            log.warning("registration failed with status %d", status)

    async def renew(self) -> None:
        """Renews the lease, or registers again if it has expired. Raises Superseded."""
        status, _ = await self.request("POST", "/lease", {"process": self.process_id})
        if status == 412:
            raise Superseded()
        if status == 404:
            self.registered = False
            await self.register()

    async def drain(self) -> None:
        """Marks the instance as draining, so that gateways choose other aggregators."""
        await self.write_once("PUT", "/lifecycle", {"process": self.process_id, "lifecycle": "DRAINING"})

    async def stop(self) -> None:
        """Stops the heartbeats and deletes the registration."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        await self.write_once("DELETE")
        if self.session is not None:
            await self.session.close()

    async def write_once(self, method: str, path: str = "", body: dict[str, Any] | None = None) -> None:
        """Writes without a retry: if it fails, the registration ends with its lease."""
        if not self.registered:
            return
        try:
            status, _ = await self.request(method, path, body, await self.version_condition())
            if status >= 400:
                log.warning("%s%s failed with status %d", method, path, status)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            log.warning("request to the list service failed: %s", error or type(error).__name__)
