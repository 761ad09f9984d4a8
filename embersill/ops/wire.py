"""Performs the calls of the procedures: HTTP requests to the list service, commands to gateways' consoles."""

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

CONSOLE_TIMEOUT = 2.0  # seconds; a console has to answer within one
LIST_TIMEOUT = 3.0  # seconds for the list service: a write waits for its disk
LOAD_WINDOW = 2.0  # seconds over which attempts are counted; the figures may lag by half a second
MAX_CONCURRENT_CONSOLES = 50
MAX_ANSWER_BYTES = 64 * 1024  # of a console
# Required fields of the answer to each console command, and their types.
ANSWER_FIELDS: dict[str, dict[str, type | tuple[type, ...]]] = {
    "OUT": {"state": str, "out": int, "list": int},
    "PHASE": {"phase": str, "open": int, "ready": bool, "started": (int, float)},
}
ANSWER_FIELDS["DRAIN"] = ANSWER_FIELDS["SERVE"] = ANSWER_FIELDS["PHASE"]


class OutOfForm(Exception):
    """An answer that is not in the documented form. The class's name appears in the printed reason."""


class FleetClient:
    """Performs calls, each with a timeout, and turns errors into CallFailed.

    `by` and `reason` are stored with the drain marks that it sets.
    """

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
        """Performs the calls concurrently and returns their results in the same order."""
        return list(await asyncio.gather(*(self.perform(call) for call in calls)))

    async def perform(self, call: Call) -> Any:
        """Performs one call; the result is what its class documents."""
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

    async def send_line(self, address: str, line: str) -> str:
        """Sends one line to a console and returns the answer, which ends when the console closes."""
        host, _, port = address.rpartition(":")
        async with self.console_slots, asyncio.timeout(CONSOLE_TIMEOUT):
            reader, writer = await asyncio.open_connection(host.strip("[]"), int(port))
            try:
                writer.write(f"{line}\n".encode())
                answer = b""
                while len(answer) <= MAX_ANSWER_BYTES and (received := await reader.read(MAX_ANSWER_BYTES)):
                    answer += received
            finally:
                writer.close()
        return answer.decode(errors="replace")

    async def send_command(self, call: ConsoleCommand) -> dict[str, Any] | CallFailed:
        """Sends a command and returns the answer's checked fields; raises OutOfForm if they are not valid."""
        text = (await self.send_line(call.address or self.consoles[call.gateway], call.line)).strip()
        status, _, rest = text.partition(" ")
        if status == "error":
            return CallFailed(rest[:200])
        fields = parse_object(rest if status == "done" else "", text)
        for key, expected in ANSWER_FIELDS[call.line.partition(" ")[0]].items():
            if not isinstance(fields.get(key), expected) or isinstance(fields[key], bool) != (
                expected is bool
            ):
                raise OutOfForm(f"the console's answer has no {key} in its form: {text[:80]!r}")
        successor = fields.get("successor")
        if successor is not None and not (
            isinstance(successor, str) and ADDRESS_PATTERN.fullmatch(successor)
        ):
            raise OutOfForm(f"the console names no successor's address: {text[:80]!r}")
        return fields

    async def measure_load(self) -> float | None:
        """Returns the attempts per second of all gateways, None if none reports its figures.

        A gateway that does not report is assumed to have the average rate of those that do.
        """
        first, started_at = await self.read_call_counts(), time.monotonic()
        await asyncio.sleep(LOAD_WINDOW)
        second, elapsed = await self.read_call_counts(), time.monotonic() - started_at
        rates = [max(second[g] - first[g], 0) / elapsed for g in first.keys() & second.keys()]
        return sum(rates) * len(self.consoles) / len(rates) if rates else None

    async def read_call_counts(self) -> dict[str, int]:
        """Returns the number of attempts so far by gateway, without the gateways that do not report it."""
        counts = {}
        for name, figures in zip(
            self.consoles, await asyncio.gather(*map(self.read_metrics, self.consoles)), strict=True
        ):
            calls = figures.get("backend_calls")
            if isinstance(calls, int):
                counts[name] = calls
        return counts

    async def read_metrics(self, gateway: str) -> dict[str, Any]:
        """Returns a gateway's figures, empty if they cannot be read."""
        try:
            text = await self.send_line(self.consoles[gateway], "METRICS")
            return parse_object(text.partition("\n")[0], text)
        except (OSError, TimeoutError, OutOfForm):
            return {}

    # the list service

    async def read_list(self) -> InstanceList | CallFailed:
        """Reads instances and drain marks from the first address that answers, leader or follower.

        A follower's list may be old: a mark is written only if the leader's list is still at that generation.
        """
        instances = await self.request("GET", "/v1/instances")
        drains = await self.request("GET", "/v1/drains")
        if isinstance(instances, CallFailed) or isinstance(drains, CallFailed):
            return CallFailed(
                next(answer.reason for answer in (instances, drains) if isinstance(answer, CallFailed))
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
            # The lower generation, as a change between the two reads may be missing from the first.
            return InstanceList(min(int(instances["generation"]), int(drains["generation"])), backends, marks)
        except (KeyError, TypeError, ValueError) as error:
            raise OutOfForm(f"the list: {error!r}") from error

    async def set_drain_mark(self, call: SetDrainMark) -> int | Conflict | CallFailed:
        """Sets a drain mark, conditional on the instance's version and the list's generation."""
        condition = {"If-None-Match": "*"} if call.version is None else {"If-Match": f'"{call.version}"'}
        answer = await self.request(
            "PUT",
            f"/v1/instances/{call.id}/drain",
            {"by": self.by, "reason": self.reason},
            {**condition, "List-Match": f'"{call.generation}"'},
        )
        return answer if isinstance(answer, Conflict | CallFailed) else int(answer["version"])

    async def clear_drain_mark(self, call: ClearDrainMark) -> Any:
        """Clears a drain mark, conditional on its version."""
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
        """Tries the list service's addresses in order; some may be down, or followers, which reject writes.

        Returns the answer's JSON object, Conflict if a condition of the request is not met, or CallFailed.
        """
        failures = []
        for address in self.fleet.directory:
            try:
                async with self.session.request(
                    method, f"http://{address}{path}", json=body, headers=headers
                ) as answer:
                    text = (await answer.read()).decode(errors="replace")
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                failures.append(f"{address}: {' '.join(str(error).split()) or 'no answer in time'}")
                continue
            if answer.status in (200, 201):
                return parse_object(text, text)
            if answer.status == 412:
                return Conflict(error_text(text))
            failures.append(f"{address}: {answer.status} {error_text(text)}")
        return CallFailed("; ".join(failures))


def parse_object(text: str, shown: str) -> dict[str, Any]:
    """Parses a JSON object; raises OutOfForm, which quotes the start of `shown`."""
    try:
        parsed = json.loads(text)
    except ValueError:
        parsed = None
    if not isinstance(parsed, dict):
        raise OutOfForm(f"an answer out of form: {shown[:80]!r}")
    return parsed


def error_text(text: str) -> str:
    """Returns the "error" field of a JSON answer, or the start of an answer of another form."""
    try:
        return str(json.loads(text)["error"])
    except (ValueError, KeyError, TypeError):
        return text[:80]
