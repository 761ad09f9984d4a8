"""The operators' command line: drain, undrain and status of the fleet that a file describes."""

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

from embersill.ops.fleet import Fleet, InvalidFleetFile, read_fleet
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

DEFAULT_TIMEOUT = 120.0  # seconds; the longest requests take some ten, and a machine has several processes


def build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m embersill.ops",
        description="Takes parts of the fleet out of service and puts them back.",
        epilog="Exits with 0: done, 1: failed, 2: bad use, 3: refused by a guard, 4: timed out, 5: no fleet.",
    )
    parser.add_argument(
        "--fleet",
        type=pathlib.Path,
        required=True,
        metavar="FILE",
        help="the TOML file that describes the fleet",
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="drain | undrain | status")
    for name, description in (
        ("drain", "take out of service without losing requests"),
        ("undrain", "put back into service"),
    ):
        command = commands.add_parser(name, help=description, description=description)
        command.add_argument("kind", choices=("backend", "gateway", "machine"))
        command.add_argument("target", metavar="ID", help="the backend's id, the gateway's or machine's name")
        command.add_argument("--dry-run", action="store_true", help="check the guards and change nothing")
        command.add_argument("--json", action="store_true", help="one JSON object on standard output")
        command.add_argument(
            "--by",
            type=parse_remark,
            default=current_user(),
            help="the operator's name (default %(default)s)",
        )
        command.add_argument(
            "--state",
            type=pathlib.Path,
            metavar="DIR",
            default=default_state_directory(),
            help="directory for the last answers of gateways (default %(default)s)",
        )
        if name == "drain":
            command.add_argument("--wait", action="store_true", help="wait until it is empty")
            command.add_argument(
                "--timeout",
                type=parse_timeout,
                default=DEFAULT_TIMEOUT,
                metavar="S",
                help="of --wait, in seconds; the drain goes on after it (default %(default)s)",
            )
            command.add_argument("--force", action="store_true", help="drain even if a guard refuses")
            command.add_argument("--reason", type=parse_remark, default="", help="stored with the drain mark")
    status = commands.add_parser("status", help="show what serves, drains, or can't be asked")
    status.add_argument("--json", action="store_true", help="one JSON object on standard output")
    return parser


def parse_remark(text: str) -> str:
    """Checks a text that is stored with a drain mark against the limits of the list service."""
    if len(text) > 150 or not text.isprintable():
        raise argparse.ArgumentTypeError(f"{text[:40]!r} is not a line of up to 150 printable characters")
    return text


def current_user() -> str:
    """Returns the user's name, or the user id if it has none."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):  # as in a container without an entry for the user
        return f"uid {os.getuid()}"


def parse_timeout(text: str) -> float:
    """Parses a timeout in seconds, at most a day."""
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 < value <= 86_400:
        raise argparse.ArgumentTypeError(f"{text!r} is not a number of seconds between 0 and 86400")
    return value


def default_state_directory() -> pathlib.Path:
    base = os.environ.get("XDG_STATE_HOME") or pathlib.Path.home() / ".local" / "state"
    return pathlib.Path(base) / "embersill-ops"


def resolve_target(fleet: Fleet, kind: str, target: str) -> tuple[list[str], list[str]]:
    """Returns the ids of the target's backends and gateways; raises ProcedureEnded if there are none."""
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
    """The state that procedures resume from: gateways' last answers, in a file that is replaced atomically.

    Raises ProcedureEnded if the file exists but cannot be read.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        self.path = directory / "gateways.json"
        self.state: dict[str, Any] = {}
        try:
            self.state = json.loads(self.path.read_text())
        except FileNotFoundError:
            pass
        except (OSError, ValueError) as error:
            raise ProcedureEnded(Result.BAD_USE, f"{self.path}: {error}") from error
        self.stored_text = json.dumps(self.state)

    def store(self) -> None:
        """Writes the state if it has changed."""
        text = json.dumps(self.state)
        if text == self.stored_text:
            return
        self.path.parent.mkdir(parents=True, exist_ok=True)
        new = self.path.with_suffix(".new")
        new.write_text(text)
        os.replace(new, self.path)
        self.stored_text = text


async def execute(procedure: Procedure, client: FleetClient, state_file: StateFile) -> None:
    """Runs a procedure, storing its state after each round; raises ProcedureEnded if it does not complete."""
    rounds = procedure.run()
    try:
        calls = next(rounds)
        while True:
            results = await client.perform_all(calls)
            try:
                calls = rounds.send((time.monotonic(), results))
            finally:
                state_file.store()
    except StopIteration:
        return


async def run_command(options: argparse.Namespace, fleet: Fleet) -> tuple[Result, list[str], list[str]]:
    """Runs drain or undrain; returns the result, its reasons and the lines reported to standard error."""
    lines: list[str] = []

    def report(text: str) -> None:
        if not lines or lines[-1] != text:
            lines.append(text)
            print(text, file=sys.stderr, flush=True)

    try:
        backends, gateways = resolve_target(fleet, options.kind, options.target)
        state_file = StateFile(options.state)
        job = Job(
            fleet, backends, gateways, dry_run=options.dry_run, report=report, saved_state=state_file.state
        )
        reason = ""
        if options.command == "drain":
            job.force, job.wait, job.timeout = options.force, options.wait, options.timeout
            reason = f"{'forced: ' if options.force else ''}{options.reason}"
        procedure_class = Drain if options.command == "drain" else Undrain
        async with FleetClient(fleet, options.by, reason) as client:
            await execute(procedure_class(job, time.monotonic()), client, state_file)
    except ProcedureEnded as end:
        return end.result, end.reasons, lines
    return Result.DONE, [], lines


async def read_status(fleet: Fleet) -> tuple[Result, dict[str, Any]]:
    """Asks the list service and all gateways; returns the object that `status --json` prints."""
    async with FleetClient(fleet, "", "") as client:
        listed, *answers = await client.perform_all(
            [ReadList(), *(ConsoleCommand(g.name, "PHASE") for g in fleet.gateways)]
        )
    marks = listed.drain_marks if isinstance(listed, InstanceList) else {}
    gateways = {
        g.name: {"machine": g.machine, "marked_by": marks.get(GATEWAY_PREFIX + g.name, (None, 0))[0]}
        | ({"unreachable": answer.reason} if isinstance(answer, CallFailed) else answer)
        for g, answer in zip(fleet.gateways, answers, strict=True)
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


def print_status(status: dict[str, Any]) -> None:
    print(f"list      {status['list']}")
    for name, g in status["gateways"].items():
        state = (
            f"can't be asked: {g['unreachable']}" if "unreachable" in g else f"{g['phase']}, {g['open']} open"
        )
        successor = f", goes on at {g['successor']}" if "successor" in g else ""
        print(f"gateway   {name}  {state}{successor}{marked_by(g)}")
    for name, b in status["backends"].items():
        print(f"backend   {name}  {b['lifecycle']}, zone {b['zone'] or '-'}, cell {b['cell']}{marked_by(b)}")


def marked_by(member: dict[str, Any]) -> str:
    """Returns the end of a status line: who set the drain mark, empty without a mark."""
    return f", marked by {member['marked_by']}" if member["marked_by"] else ""


def main() -> int:
    options = build_parser().parse_args()
    try:
        fleet = read_fleet(options.fleet)
    except InvalidFleetFile as error:
        print(f"embersill.ops: {error}", file=sys.stderr)
        return Result.BAD_USE.value
    if options.command == "status":
        result, status = asyncio.run(read_status(fleet))
        print(json.dumps(status, indent=2)) if options.json else print_status(status)
        return result.value
    result, reasons, lines = asyncio.run(run_command(options, fleet))
    if options.json:
        print(json.dumps({"result": result.name.lower(), "why": reasons, "said": lines}))
    for reason in reasons:
        print(f"embersill.ops: {result.name.lower().replace('_', ' ')}: {reason}", file=sys.stderr)
    return result.value


if __name__ == "__main__":
    sys.exit(main())
