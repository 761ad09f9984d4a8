"""The calls of the procedures: the list service over HTTP, and the gateways' consoles."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Iterable
from types import TracebackType
from typing import Any

import aiohttp

from embersill.ops.fleet import ADDRESS, Fleet
from embersill.ops.guards import List, Listed
from embersill.ops.procedure import Ask, Call, Conflict, Failed, Mark, Pause, ReadList, ReadLoad, Unmark

CONSOLE_WITHIN = 2.0  # seconds for a console's answer, which is owed in one
LIST_WITHIN = 3.0  # seconds for the list service's: a write waits for a disk
LOAD_OVER = 2.0  # seconds over which the load is counted: the figures may lag by half of one
AT_ONCE = 50  # consoles asked at a time
MOST_ANSWER = 64 * 1024  # bytes of a console's answer
FORMS: dict[str, dict[str, type | tuple[type, ...]]] = {
    "OUT": {"state": str, "out": int, "list": int},
    "PHASE": {"phase": str, "open": int, "ready": bool, "started": (int, float)},
}
FORMS["DRAIN"] = FORMS["SERVE"] = FORMS["PHASE"]


class OutOfForm(Exception):
    """An answer that is not what the call's page says."""


class Wire:
    """Carries out calls, each with its time limit, and words what went wrong."""

    def __init__(self, fleet: Fleet, by: str, reason: str) -> None:
        self.fleet, self.by, self.reason = fleet, by, reason
        self.consoles = {g.name: g.console for g in fleet.gateways}
        self.room = asyncio.Semaphore(AT_ONCE)
        self.session: aiohttp.ClientSession

    async def __aenter__(self) -> Wire:
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=LIST_WITHIN))
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.session.close()

    async def all(self, calls: Iterable[Call]) -> list[Any]:
        return list(await asyncio.gather(*(self.one(call) for call in calls)))

    async def one(self, call: Call) -> Any:
        if isinstance(call, Pause):
            return await asyncio.sleep(call.seconds)
        if isinstance(call, ReadLoad):
            return await self.load()
        try:
            if isinstance(call, ReadList):
                return await self.read_list()
            if isinstance(call, Mark):
                return await self.mark(call)
            if isinstance(call, Unmark):
                return await self.unmark(call)
            return await self.ask(call)
        except ConnectionRefusedError as error:
            return Failed(f"nothing listens there ({error.strerror or error})", refused=True)
        except TimeoutError:
            return Failed("no answer in time")
        except (OSError, aiohttp.ClientError, OutOfForm) as error:
            return Failed(" ".join(f"{type(error).__name__}: {error}".split())[:200])

    # consoles

    async def console(self, at: str, line: str) -> str:
        host, _, port = at.rpartition(":")
        async with self.room, asyncio.timeout(CONSOLE_WITHIN):
            reader, writer = await asyncio.open_connection(host.strip("[]"), int(port))
            try:
                writer.write(f"{line}\n".encode())
                answer = b""
                while len(answer) <= MOST_ANSWER and (piece := await reader.read(MOST_ANSWER)):
                    answer += piece
            finally:
                writer.close()
        return answer.decode(errors="replace")

    async def ask(self, call: Ask) -> dict[str, Any] | Failed:
        text = (await self.console(call.at or self.consoles[call.gateway], call.line)).strip()
        word, _, rest = text.partition(" ")
        if word == "error":
            return Failed(rest[:200])
        told = read_object(rest if word == "done" else "", text)
        for key, kind in FORMS[call.line.partition(" ")[0]].items():
            if not isinstance(told.get(key), kind) or isinstance(told[key], bool) != (kind is bool):
                raise OutOfForm(f"the console's answer has no {key} in its form: {text[:80]!r}")
        successor = told.get("successor")
        if successor is not None and not (isinstance(successor, str) and ADDRESS.fullmatch(successor)):
            raise OutOfForm(f"the console names no successor's address: {text[:80]!r}")
        return told

    async def load(self) -> float | None:
        """Of those that tell, and as much for each that does not."""
        first, began = await self.calls_made(), time.monotonic()
        await asyncio.sleep(LOAD_OVER)
        second, took = await self.calls_made(), time.monotonic() - began
        rates = [max(second[g] - first[g], 0) / took for g in first.keys() & second.keys()]
        return sum(rates) * len(self.consoles) / len(rates) if rates else None

    async def calls_made(self) -> dict[str, int]:
        made = {}
        for name, told in zip(
            self.consoles, await asyncio.gather(*map(self.metrics, self.consoles)), strict=True
        ):
            calls = told.get("backend_calls")
            if isinstance(calls, int):
                made[name] = calls
        return made

    async def metrics(self, gateway: str) -> dict[str, Any]:
        try:
            text = await self.console(self.consoles[gateway], "METRICS")
            return read_object(text.partition("\n")[0], text)
        except (OSError, TimeoutError, OutOfForm):
            return {}

    # the list service

    async def read_list(self) -> List | Failed:
        """From the first address that answers: a copy does, as the guard's word is checked with the write."""
        instances = await self.call("GET", "/v1/instances")
        drains = await self.call("GET", "/v1/drains")
        if isinstance(instances, Failed) or isinstance(drains, Failed):
            return Failed(next(told.why for told in (instances, drains) if isinstance(told, Failed)))
        try:
            backends = {
                i["instanceId"]: Listed(
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
            return List(min(int(instances["generation"]), int(drains["generation"])), backends, marks)
        except (KeyError, TypeError, ValueError) as error:
            raise OutOfForm(f"the list: {error!r}") from error

    async def mark(self, call: Mark) -> int | Conflict | Failed:
        rests = {"If-None-Match": "*"} if call.version is None else {"If-Match": f'"{call.version}"'}
        told = await self.call(
            "PUT",
            f"/v1/instances/{call.id}/drain",
            {"by": self.by, "reason": self.reason},
            {**rests, "List-Match": f'"{call.generation}"'},
        )
        return told if isinstance(told, Conflict | Failed) else int(told["version"])

    async def unmark(self, call: Unmark) -> Any:
        return await self.call(
            "DELETE", f"/v1/instances/{call.id}/drain", None, {"If-Match": f'"{call.version}"'}
        )

    async def call(
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
                return read_object(text, text)
            if answer.status == 412:
                return Conflict(error_of(text))
            why.append(f"{where}: {answer.status} {error_of(text)}")
        return Failed("; ".join(why))


def read_object(text: str, shown: str) -> dict[str, Any]:
    try:
        told = json.loads(text)
    except ValueError:
        told = None
    if not isinstance(told, dict):
        raise OutOfForm(f"an answer out of form: {shown[:80]!r}")
    return told


def error_of(text: str) -> str:
    try:
        return str(json.loads(text)["error"])
    except (ValueError, KeyError, TypeError):
        return text[:80]
