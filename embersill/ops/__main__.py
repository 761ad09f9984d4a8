"""Operators' commands: drain, undrain and status, over the fleet that a file describes."""

from __future__ import annotations

import argparse
import asyncio
import getpass
import json
import os
import pathlib
import sys
import time
from typing import Any

from embersill.ops.fleet import InvalidFleetFile, Fleet, read_fleet
from embersill.ops.guards import GATEWAY_PREFIX, InstanceList
from embersill.ops.procedure import (
    CallFailed,
    ConsoleCommand,
    Drain,
    Job,
    Procedure,
    ProcedureEnded,
    ReadList,
    Result,
    Undrain,
)
from embersill.ops.wire import FleetClient

DEFAULT_TIMEOUT = 120.0  # seconds; the longest work is some ten, and a machine has several processes


def build_parser() -> argparse.ArgumentParser:
    made = argparse.ArgumentParser(
        prog="python -m embersill.ops",
        description="Takes parts of the fleet out of service and puts them back.",
        epilog="Exits with 0: done, 1: failed, 2: bad use, 3: refused by a guard, 4: timed out, 5: no fleet.",
    )
    made.add_argument(
        "--fleet", type=pathlib.Path, required=True, metavar="FILE", help="what the fleet is, in TOML"
    )
    commands = made.add_subparsers(dest="command", required=True, metavar="drain | undrain | status")
    for name, what in (
        ("drain", "take out of service, losing nothing"),
        ("undrain", "put back into service"),
    ):
        command = commands.add_parser(name, help=what, description=what)
        command.add_argument("kind", choices=("backend", "gateway", "machine"))
        command.add_argument("target", metavar="ID", help="the backend's id, the gateway's or machine's name")
        command.add_argument("--dry-run", action="store_true", help="check and tell, change nothing")
        command.add_argument("--json", action="store_true", help="one JSON object on standard output")
        command.add_argument(
            "--by", type=parse_remark, default=current_user(), help="who does it (default %(default)s)"
        )
        command.add_argument(
            "--state",
            type=pathlib.Path,
            metavar="DIR",
            default=default_state_directory(),
            help="where the last words of gateways are kept (default %(default)s)",
        )
        if name == "drain":
            command.add_argument("--wait", action="store_true", help="until it is empty")
            command.add_argument(
                "--timeout",
                type=parse_timeout,
                default=DEFAULT_TIMEOUT,
                metavar="S",
                help="of --wait; all stays as it is then (default %(default)s)",
            )
            command.add_argument("--force", action="store_true", help="also where a guard refuses")
            command.add_argument("--reason", type=parse_remark, default="", help="kept with the mark")
    status = commands.add_parser("status", help="what serves, drains, or can't be asked")
    status.add_argument("--json", action="store_true", help="one JSON object on standard output")
    return made


def parse_remark(text: str) -> str:
    """What goes with a mark: the list service takes no more than this."""
    if len(text) > 150 or not text.isprintable():
        raise argparse.ArgumentTypeError(f"{text[:40]!r} is no line of up to 150 printable characters")
    return text


def current_user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):  # a user without a name, as in a bare container
        return f"uid {os.getuid()}"


def parse_timeout(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 < value <= 86_400:
        raise argparse.ArgumentTypeError(f"{text!r} is no number of seconds up to a day")
    return value


def default_state_directory() -> pathlib.Path:
    base = os.environ.get("XDG_STATE_HOME") or pathlib.Path.home() / ".local" / "state"
    return pathlib.Path(base) / "embersill-ops"


def resolve_target(fleet: Fleet, kind: str, target: str) -> tuple[list[str], list[str]]:
    """The backends and gateways that are meant; Ended where there are none."""
    if kind == "backend":
        return [target], []
    if kind == "gateway":
        if fleet.find_gateway(target) is None:
            raise ProcedureEnded(Result.BAD_USE, f"the fleet file has no gateway {target}")
        return [], [target]
    backends = [b.name for b in fleet.backends if b.machine == target]
    gateways = [g.name for g in fleet.gateways if g.machine == target]
    if not backends and not gateways:
        raise ProcedureEnded(Result.BAD_USE, f"the fleet file has nothing on machine {target}")
    return backends, gateways


class StateFile:
    """The last words of gateways, in a file that is whole at any moment."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.path = folder / "gateways.json"
        self.state: dict[str, Any] = {}
        try:
            self.state = json.loads(self.path.read_text())
        except FileNotFoundError:
            pass
        except (OSError, ValueError) as error:
            raise ProcedureEnded(Result.BAD_USE, f"{self.path}: {error}") from error
        self.stored_text = json.dumps(self.state)

    def store(self) -> None:
        text = json.dumps(self.state)
        if text == self.stored_text:
            return
        self.path.parent.mkdir(parents=True, exist_ok=True)
        new = self.path.with_suffix(".new")
        new.write_text(text)
        os.replace(new, self.path)
        self.stored_text = text


async def execute(procedure: Procedure, wire: FleetClient, store: StateFile) -> None:
    """Plays a procedure to its end; Ended where that is not simply done."""
    rounds = procedure.run()
    try:
        calls = next(rounds)
        while True:
            results = await wire.perform_all(calls)
            try:
                calls = rounds.send((time.monotonic(), results))
            finally:
                store.store()
    except StopIteration:
        return


async def run_command(told: argparse.Namespace, fleet: Fleet) -> tuple[Result, list[str], list[str]]:
    said: list[str] = []

    def say(text: str) -> None:
        if not said or said[-1] != text:
            said.append(text)
            print(text, file=sys.stderr, flush=True)

    try:
        backends, gateways = resolve_target(fleet, told.kind, told.target)
        memory = StateFile(told.state)
        job = Job(fleet, backends, gateways, dry_run=told.dry_run, report=say, saved_state=memory.state)
        reason = ""
        if told.command == "drain":
            job.force, job.wait, job.timeout = told.force, told.wait, told.timeout
            reason = f"{'forced: ' if told.force else ''}{told.reason}"
        kind = Drain if told.command == "drain" else Undrain
        async with FleetClient(fleet, told.by, reason) as wire:
            await execute(kind(job, time.monotonic()), wire, memory)
    except ProcedureEnded as end:
        return end.result, end.reasons, said
    return Result.DONE, [], said


async def read_status(fleet: Fleet) -> tuple[Result, dict[str, Any]]:
    async with FleetClient(fleet, "", "") as wire:
        listed, *told = await wire.perform_all(
            [ReadList(), *(ConsoleCommand(g.name, "PHASE") for g in fleet.gateways)]
        )
    marks = listed.drain_marks if isinstance(listed, InstanceList) else {}
    gateways = {
        g.name: {"machine": g.machine, "marked_by": marks.get(GATEWAY_PREFIX + g.name, (None, 0))[0]}
        | ({"unreachable": w.reason} if isinstance(w, CallFailed) else w)
        for g, w in zip(fleet.gateways, told, strict=True)
    }
    if isinstance(listed, CallFailed):
        return Result.UNREACHABLE, {"list": listed.reason, "gateways": gateways, "backends": {}}
    machines = {b.name: b.machine for b in fleet.backends}
    backends = {
        id: {
            "lifecycle": b.lifecycle,
            "zone": b.zone,
            "cell": b.cell,
            "marked_by": b.drained_by,
            "machine": machines.get(id),
        }
        for id, b in listed.backends.items()
    }
    return Result.DONE, {"list": listed.generation, "gateways": gateways, "backends": backends}


def print_status(told: dict[str, Any]) -> None:
    print(f"list      {told['list']}")
    for name, g in told["gateways"].items():
        state = (
            f"can't be asked: {g['unreachable']}" if "unreachable" in g else f"{g['phase']}, {g['open']} open"
        )
        successor = f", goes on at {g['successor']}" if "successor" in g else ""
        print(f"gateway   {name}  {state}{successor}{marked_by(g)}")
    for name, b in told["backends"].items():
        print(f"backend   {name}  {b['lifecycle']}, zone {b['zone'] or '-'}, cell {b['cell']}{marked_by(b)}")


def marked_by(thing: dict[str, Any]) -> str:
    return f", marked by {thing['marked_by']}" if thing["marked_by"] else ""


def main() -> int:
    told = build_parser().parse_args()
    try:
        fleet = read_fleet(told.fleet)
    except InvalidFleetFile as error:
        print(f"embersill.ops: {error}", file=sys.stderr)
        return Result.BAD_USE.value
    if told.command == "status":
        result, found = asyncio.run(read_status(fleet))
        print(json.dumps(found, indent=2)) if told.json else print_status(found)
        return result.value
    result, why, said = asyncio.run(run_command(told, fleet))
    if told.json:
        print(json.dumps({"result": result.name.lower(), "why": why, "said": said}))
    for line in why:
        print(f"embersill.ops: {result.name.lower().replace('_', ' ')}: {line}", file=sys.stderr)
    return result.value


if __name__ == "__main__":
    sys.exit(main())
