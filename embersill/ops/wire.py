"""The calls of the procedures: the list service over HTTP, and the gateways' consoles."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Iterable
from types import TracebackType
from typing import Any

import aiohttp

from embersill.ops.fleet import ADDRESS_PATTERN, Fleet
from embersill.ops.guards import InstanceList, ListedBackend
from embersill.ops.procedure import (
    Call,
    CallFailed,
    ClearDrainMark,
    Conflict,
    ConsoleCommand,
    Pause,
    ReadList,
    ReadLoad,
    SetDrainMark,
)

CONSOLE_TIMEOUT = 2.0  # seconds for a console's answer, which is owed in one
LIST_TIMEOUT = 3.0  # seconds for the list service's: a write waits for a disk
LOAD_WINDOW = 2.0  # seconds over which the load is counted: the figures may lag by half of one
MAX_CONCURRENT_CONSOLES = 50  # consoles asked at a time
MAX_ANSWER_BYTES = 64 * 1024  # bytes of a console's answer
ANSWER_FIELDS: dict[str, dict[str, type | tuple[type, ...]]] = {
    "OUT": {"state": str, "out": int, "list": int},
    "PHASE": {"phase": str, "open": int, "ready": bool, "started": (int, float)},
}
ANSWER_FIELDS["DRAIN"] = ANSWER_FIELDS["SERVE"] = ANSWER_FIELDS["PHASE"]


class OutOfForm(Exception):
    """An answer that is not what the call's page says."""


class FleetClient:
    """Carries out calls, each with its time limit, and words what went wrong."""

    def __init__(self, fleet: Fleet, by: str, reason: str) -> None:
        self.fleet, self.by, self.reason = fleet, by, reason
        self.consoles = {g.name: g.console for g in fleet.gateways}
        self.console_slots = asyncio.Semaphore(MAX_CONCURRENT_CONSOLES)
        self.session: aiohttp.ClientSession

    async def __aenter__(self) -> FleetClient:
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=LIST_TIMEOUT))
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.session.close()

    async def perform_all(self, calls: Iterable[Call]) -> list[Any]:
        return list(await asyncio.gather(*(self.perform(call) for call in calls)))

    async def perform(self, call: Call) -> Any:
        if isinstance(call, Pause):
            return await asyncio.sleep(call.seconds)
        if isinstance(call, ReadLoad):
            return await self.measure_load()
        try:
            if isinstance(call, ReadList):
                return await self.read_list()
            if isinstance(call, SetDrainMark):
                return await self.set_drain_mark(call)
            if isinstance(call, ClearDrainMark):
                return await self.clear_drain_mark(call)
            return await self.send_command(call)
        except ConnectionRefusedError as error:
            return CallFailed(f"nothing listens there ({error.strerror or error})", connection_refused=True)
        except TimeoutError:
            return CallFailed("no answer in time")
        except (OSError, aiohttp.ClientError, OutOfForm) as error:
            return CallFailed(" ".join(f"{type(error).__name__}: {error}".split())[:200])

    # consoles

    async def send_line(self, at: str, line: str) -> str:
        host, _, port = at.rpartition(":")
        async with self.console_slots, asyncio.timeout(CONSOLE_TIMEOUT):
            reader, writer = await asyncio.open_connection(host.strip("[]"), int(port))
            try:
                writer.write(f"{line}\n".encode())
                answer = b""
                while len(answer) <= MAX_ANSWER_BYTES and (piece := await reader.read(MAX_ANSWER_BYTES)):
                    answer += piece
            finally:
                writer.close()
        return answer.decode(errors="replace")

    async def send_command(self, call: ConsoleCommand) -> dict[str, Any] | CallFailed:
        text = (await self.send_line(call.address or self.consoles[call.gateway], call.line)).strip()
        word, _, rest = text.partition(" ")
        if word == "error":
            return CallFailed(rest[:200])
        told = parse_object(rest if word == "done" else "", text)
        for key, kind in ANSWER_FIELDS[call.line.partition(" ")[0]].items():
            if not isinstance(told.get(key), kind) or isinstance(told[key], bool) != (kind is bool):
                raise OutOfForm(f"the console's answer has no {key} in its form: {text[:80]!r}")
        successor = told.get("successor")
        if successor is not None and not (
            isinstance(successor, str) and ADDRESS_PATTERN.fullmatch(successor)
        ):
            raise OutOfForm(f"the console names no successor's address: {text[:80]!r}")
        return told

    async def measure_load(self) -> float | None:
        """Of those that tell, and as much for each that does not."""
        first, began = await self.read_call_counts(), time.monotonic()
        await asyncio.sleep(LOAD_WINDOW)
        second, took = await self.read_call_counts(), time.monotonic() - began
        rates = [max(second[g] - first[g], 0) / took for g in first.keys() & second.keys()]
        return sum(rates) * len(self.consoles) / len(rates) if rates else None

    async def read_call_counts(self) -> dict[str, int]:
        made = {}
        for name, told in zip(
            self.consoles, await asyncio.gather(*map(self.read_metrics, self.consoles)), strict=True
        ):
            calls = told.get("backend_calls")
            if isinstance(calls, int):
                made[name] = calls
        return made

    async def read_metrics(self, gateway: str) -> dict[str, Any]:
        try:
            text = await self.send_line(self.consoles[gateway], "METRICS")
            return parse_object(text.partition("\n")[0], text)
        except (OSError, TimeoutError, OutOfForm):
            return {}

    # the list service

    async def read_list(self) -> InstanceList | CallFailed:
        """From the first address that answers: a copy does, as the guard's word is checked with the write."""
        instances = await self.request("GET", "/v1/instances")
        drains = await self.request("GET", "/v1/drains")
        if isinstance(instances, CallFailed) or isinstance(drains, CallFailed):
            return CallFailed(
                next(told.reason for told in (instances, drains) if isinstance(told, CallFailed))
            )
        try:
            backends = {
                i["instanceId"]: ListedBackend(
                    str(i["lifecycle"]),
                    str(i["zone"]),
                    int(i["cell"]),
                    float(i["weight"]),
                    int(i["version"]),
                    i["drain"]["by"] if "drain" in i else None,
                )
                for i in instances["instances"]
            }
            marks = {d["instanceId"]: (str(d["drain"]["by"]), int(d["version"])) for d in drains["drains"]}
            # what changed between the two reads must not pass for having been seen
            return InstanceList(min(int(instances["generation"]), int(drains["generation"])), backends, marks)
        except (KeyError, TypeError, ValueError) as error:
            raise OutOfForm(f"the list: {error!r}") from error

    async def set_drain_mark(self, call: SetDrainMark) -> int | Conflict | CallFailed:
        rests = {"If-None-Match": "*"} if call.version is None else {"If-Match": f'"{call.version}"'}
        told = await self.request(
            "PUT",
            f"/v1/instances/{call.id}/drain",
            {"by": self.by, "reason": self.reason},
            {**rests, "List-Match": f'"{call.generation}"'},
        )
        return told if isinstance(told, Conflict | CallFailed) else int(told["version"])

    async def clear_drain_mark(self, call: ClearDrainMark) -> Any:
        return await self.request(
            "DELETE", f"/v1/instances/{call.id}/drain", None, {"If-Match": f'"{call.version}"'}
        )

    async def request(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        headers: dict[str, str] | None = None,
    ) -> Any:
        """At one address after the other: some may be down, or copies that take no writes."""
        why = []
        for where in self.fleet.directory:
            try:
                async with self.session.request(
                    method, f"http://{where}{path}", json=body, headers=headers
                ) as answer:
                    text = (await answer.read()).decode(errors="replace")
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                why.append(f"{where}: {' '.join(str(error).split()) or 'no answer in time'}")
                continue
            if answer.status in (200, 201):
                return parse_object(text, text)
            if answer.status == 412:
                return Conflict(error_text(text))
            why.append(f"{where}: {answer.status} {error_text(text)}")
        return CallFailed("; ".join(why))


def parse_object(text: str, shown: str) -> dict[str, Any]:
    try:
        told = json.loads(text)
    except ValueError:
        told = None
    if not isinstance(told, dict):
        raise OutOfForm(f"an answer out of form: {shown[:80]!r}")
    return told


def error_text(text: str) -> str:
    try:
        return str(json.loads(text)["error"])
    except (ValueError, KeyError, TypeError):
        return text[:80]
