"""The list service of a play: its data, written before the start, its processes, and the writes to it."""

from __future__ import annotations

import asyncio
import pathlib
import time
from dataclasses import dataclass

import aiohttp
import msgspec

from embersill.directory.form import Entry, Record
from embersill.directory.logfile import Log
from embersill.lab.peers import HOST
from embersill.lab.scale.children import Child, Children
from embersill.lab.scale.deployment import ZONE, backend_name

LEASE_MS = 600_000  # longer than a play, as backends do not renew their leases
MACHINE = "standard-3core"
STARTED_MS = 1  # Unix time so long ago that backends are warm
FIRST_GENERATION = 1
SPARE_WATCHES = 100  # beyond one for each gateway
OPERATOR = "scale"


class ListServiceFailed(Exception):
    """A call of the list service failed; the message is one line."""


@dataclass(frozen=True, slots=True)
class Write:
    """A write to the list: the generation that it created, and the monotonic time of its answer."""

    generation: int
    answered_at: float


class ServiceFigures(msgspec.Struct, frozen=True):
    """The fields of the service's status that are used here."""

    generation: int
    watchers: int
    figures: dict[str, int]


def write_list(folder: pathlib.Path, backends: int, host_port: str) -> None:
    """Writes a list of this number of backends to a folder, in the service's own format.

    All backends have the same address, `host_port`.
    """
    log = Log(folder)
    records = []
    for number in range(backends):
        entry = Entry(host_port, ZONE, MACHINE, 0, "SERVING", 1.0, STARTED_MS, f"p{number}", LEASE_MS)
        records.append(Record(FIRST_GENERATION + number, backend_name(number), entry, None))
    log.append(records)
    log.store.apply(records)
    log.close()


async def start_list_service(
    children: Children, folder: pathlib.Path, port: int, watches: int, leader: str = "",
    name: str = "directory",
) -> Child:
    """Starts a leader, or a follower of the leader at an address; `watches` is the number of gateways."""
    role = "follower" if leader else "leader"
    follow = ["--follow", leader] if leader else []
    return await children.start_module(
        f"{name}-{role}", "embersill.directory", "--listen", f"{HOST}:{port}", "--data", str(folder),
        "--fill", "0", "--watchers", str(watches + SPARE_WATCHES), *follow)


class ListWriter:
    """Writes to the list: drains backends as an operator does, one at a time, and ends each drain."""

    def __init__(self, session: aiohttp.ClientSession, address: str, backends: int) -> None:
        self.session, self.address, self.backends = session, address, backends
        self.versions = [FIRST_GENERATION + number for number in range(backends)]
        self.write_count = 0
        self.writes: list[Write] = []

    async def write_once(self) -> None:
        """Drains a backend, or ends the drain by the previous write. Raises ListServiceFailed."""
        number = self.write_count // 2 % self.backends
        drains = self.write_count % 2 == 0
        self.write_count += 1
        body = {"by": OPERATOR, "reason": "scale"} if drains else None
        url = f"http://{self.address}/v1/instances/{backend_name(number)}/drain"
        headers = {"If-Match": f'"{self.versions[number]}"'}
        method = "PUT" if drains else "DELETE"
        async with self.session.request(method, url, json=body, headers=headers) as answer:
            result = await answer.json()
            if answer.status != 200:
                raise ListServiceFailed(f"a write to the list got {answer.status}: {result}")
            self.versions[number] = int(result["version"])
            self.writes.append(Write(self.versions[number], time.monotonic()))

    async def write_for(self, seconds: float, per_second: float) -> None:
        """Makes evenly spaced writes, the first after half an interval. Raises ListServiceFailed."""
        started_at = time.monotonic()
        for number in range(int(seconds * per_second)):
            due = started_at + (number + 0.5) / per_second
            await asyncio.sleep(max(due - time.monotonic(), 0.0))
            await self.write_once()

    async def status(self, address: str) -> ServiceFigures:
        """Reads the status of the replica at an address."""
        async with self.session.get(f"http://{address}/v1/status") as answer:
            return msgspec.json.decode(await answer.read(), type=ServiceFigures)
