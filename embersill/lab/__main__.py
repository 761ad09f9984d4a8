"""The laboratory's command: plays scenarios, compares versions and settings, and writes a report."""

from __future__ import annotations

import argparse
import json
import os
import pathlib
import signal
import sys
import tempfile
import tomllib
from collections.abc import Sequence
from typing import Any

from tqdm import tqdm

from embersill.lab import experiments
from embersill.lab.experiments import Variant, as_text
from embersill.lab.plays import Book, Play, Report, run_all
from embersill.lab.scenario import BadScenario, build_scenario, change, check_real, load
from embersill.lab.scale.arguments import add_parser as add_scale_parser
from embersill.lab.soak.command import add_parser as add_soak_parser
from embersill.lab.soak.command import run_command as run_soak
from embersill.lab.soak.growth import add_parser as add_growth_parser
from embersill.lab.soak.growth import run_command as run_growth
from embersill.lab.versions import BadVersion, policy_files

SHIPPED = pathlib.Path(__file__).parent / "scenarios"
DONE, FAILED, BAD_USE, BROKEN, STOPPED = 0, 1, 2, 3, 130
RESULT, PAGE = "result.json", "report.html"
MOST_SEEDS = 10_000


class BadUse(Exception):
    """In one line."""


def parser() -> argparse.ArgumentParser:
    made = argparse.ArgumentParser(
        prog="python -m embersill.lab",
        description="Plays whole deployments in virtual time.",
        epilog="Exits with 0: done, 1: a run is void as a gateway crashed, 2: bad use, 3: a rule was broken, "
               "130: stopped; the same command with the same --out goes on where it was.",
    )
    commands = made.add_subparsers(dest="command", required=True)
    commands.add_parser("list", help="the scenarios that are shipped")
    run = with_plays(commands.add_parser("run", help="play scenarios once for each seed"))
    run.add_argument("--version", metavar="PATH", default="", help="a checkout whose decisions play")
    compare = with_plays(commands.add_parser("compare", help="A against B on the same seeds"))
    for side in "ab":
        compare.add_argument(f"--{side}", metavar="PATH", default="",
                             help=f"the checkout that is {side.upper()}")
        compare.add_argument(f"--set-{side}", metavar="KEY=VALUE", action="append", default=[],
                             help=f"a setting of {side.upper()} alone; may be repeated")
    sweep = with_plays(commands.add_parser("sweep", help="one or more settings over several values"))
    sweep.add_argument("--over", metavar="KEY=V,V,...", action="append", required=True,
                       help="may be repeated: then each value with each")
    rank = with_plays(commands.add_parser("rank", help="several versions, the best first"))
    rank.add_argument("--version", metavar="NAME=PATH", action="append", required=True,
                      help="a checkout whose decisions play; may be repeated")
    rank.add_argument("--recorded", metavar="FILE", type=pathlib.Path,
                      help="TOML: a figure for each name, to whose ranking this one is held")
    add_scale_parser(commands)
    add_soak_parser(commands)
    add_growth_parser(commands)
    report = commands.add_parser("report", help="write the page of an --out folder again")
    report.add_argument("folder", type=pathlib.Path)
    return made


def with_plays(made: argparse.ArgumentParser) -> argparse.ArgumentParser:
    made.add_argument("scenario", nargs="+", help="a file, or the name of one that is shipped")
    made.add_argument("--seed", type=int, action="append", metavar="N", help="may be repeated (default 1)")
    made.add_argument("--seeds", type=int, metavar="N", help="the seeds from 1 to N")
    made.add_argument("--set", metavar="KEY=VALUE", action="append", default=[],
                      help="a setting of all that is played, like fleet.gateways=20; may be repeated")
    made.add_argument("--out", type=pathlib.Path, metavar="DIR",
                      help=f"keep each play there as it ends, and write {RESULT} and {PAGE}")
    made.add_argument("--real", action="store_true",
                      help="with processes started by the deploy file's run, in real time, one by one")
    made.add_argument("--workers", type=int, metavar="N", default=len(os.sched_getaffinity(0)),
                      help="plays at a time (default: as many as there are cores)")
    return made


def find(name: str) -> pathlib.Path:
    shipped = SHIPPED / f"{name}.toml"
    return shipped if shipped.exists() else pathlib.Path(name)


def scenarios(told: argparse.Namespace) -> list[dict[str, Any]]:
    found = []
    for name in told.scenario:
        scenario = load(find(name))
        for setting in told.set:
            scenario = change(scenario, setting)
        found.append(scenario)
    return found


def seeds(told: argparse.Namespace) -> list[int]:
    if told.seeds is not None and not 1 <= told.seeds <= MOST_SEEDS:
        raise BadUse(f"--seeds is from 1 to {MOST_SEEDS}")
    if told.workers < 1:
        raise BadUse("--workers is at least 1")
    chosen = [*(told.seed or []), *range(1, (told.seeds or 0) + 1)] or [1]
    if min(chosen) < 0:
        raise BadUse("a seed is not below 0")
    return list(dict.fromkeys(chosen))


def variants(told: argparse.Namespace) -> list[Variant]:
    if told.command == "run":
        return [Variant("here" if not told.version else told.version, told.version)]
    if told.command == "sweep":
        return experiments.combinations(told.over)
    if told.command == "rank":
        named = [text.rpartition("=") for text in told.version]
        return [Variant(name or pathlib.Path(path).resolve().name, path) for name, _, path in named]
    sides = [Variant(" ".join([path or "here", *changed]), path, tuple(changed))
             for path, changed in ((told.a, told.set_a), (told.b, told.set_b))]
    if sides[0] == sides[1]:
        raise BadUse("A and B are the same: name --a, --b, --set-a or --set-b")
    return sides


def check(plays: Sequence[Play], chosen: Sequence[Variant]) -> None:
    """All that is wrong is told before anything is played."""
    if len({variant.name for variant in chosen}) < len(chosen):
        raise BadUse("two variants have the same name")
    names = [play.told.get("name") for play in plays if play.variant == plays[0].variant]
    if len(set(names)) * len({play.seed for play in plays}) < len(names):
        raise BadUse("two scenarios have the same name")
    for variant in chosen:
        if variant.version:
            policy_files(pathlib.Path(variant.version))
    for play in plays:
        try:
            scenario = build_scenario(play.told)
            if play.real:
                check_real(scenario)
        except BadScenario as error:
            raise BadScenario(f"{play.told.get('name')}, {play.variant}: {error}") from error


def read_record(path: pathlib.Path | None) -> dict[str, float]:
    if path is None:
        return {}
    try:
        told = tomllib.loads(path.read_text())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise BadUse(f"{path}: {error}") from error
    for name, figure in told.items():
        if isinstance(figure, bool) or not isinstance(figure, int | float):
            raise BadUse(f"{path}: {name} is no number")
    return told


def show(play: Play, report: Report, took: float) -> str:
    name = f"{report['scenario']} seed {report['seed']}"
    if "void" in report:
        where = "" if report["at"] is None else f" at {report['at']:.3f} s"
        return f"{name}, {play.variant}: void{where}, {report['void']}"
    ends = ", ".join(f"{how} {number}" for how, number in report["ends"].items())
    latency, served = report["latency_ms"], report["served"]
    broken = [f"\n  broken at {b['at']:.3f} s, {b['rule']}: {b['what']}" for b in report["first_breaches"]]
    worth = "nothing asked" if served is None else f"served {served:.3f} of what quotas cover"
    return (f"{name}, {play.variant}: {worth}; {report['requests']} requests: {ends}; "
            f"p50 {latency['p50']} ms, p99 {latency['p99']} ms; {report['handshakes']} handshakes; "
            f"{took:.1f} s" + "".join(broken))


def play_all(told: argparse.Namespace, plays: Sequence[Play]) -> list[Report]:
    """A line as each ends: on the output for `run`, else on the errors', where the tables stay alone."""
    to = sys.stdout if told.command == "run" else sys.stderr
    now: list[Play] = []
    with tqdm(total=len(plays), unit="play", disable=None) as bar:  # none where the errors' is no terminal
        def ended(play: Play, report: Report, took: float) -> None:
            now.append(play)
            bar.update()
            tqdm.write(show(play, report, took), file=to)
            to.flush()

        reports = run_all(plays, Book(told.out), told.workers, ended)
    if len(now) < len(plays):
        print(f"embersill.lab: {len(plays) - len(now)} plays were kept in {told.out}", file=sys.stderr)
    return reports


def tell(told: argparse.Namespace, plays: Sequence[Play], reports: Sequence[Report],
         chosen: Sequence[Variant], recorded: dict[str, float]) -> list[experiments.Table]:
    if told.command == "compare":
        return experiments.compared(plays, reports, chosen[0].name, chosen[1].name)
    if told.command == "sweep":
        return experiments.swept(plays, reports)
    if told.command == "rank":
        return [experiments.ranked(plays, reports, recorded)[0]]
    return []


def save(folder: pathlib.Path, result: dict[str, Any]) -> None:
    from embersill.lab import report  # takes a second to load, which a run without --out is spared

    (folder / RESULT).write_text(json.dumps(result, indent=1) + "\n")
    report.write(folder / PAGE, result)
    for play in result["plays"]:
        if play["report"].get("log"):
            name = f"void-{play['report']['scenario']}-{play['report']['seed']}.log"
            (folder / name).write_text(play["report"]["log"])


def experiment(told: argparse.Namespace) -> int:
    recorded = read_record(told.recorded) if told.command == "rank" else {}
    chosen = variants(told)
    with tempfile.TemporaryDirectory(prefix="embersill-lab-") as folder:
        logs = pathlib.Path(folder if told.out is None else told.out / "logs") if told.real else None
        plays = experiments.plan(scenarios(told), chosen, seeds(told), logs)
        check(plays, chosen)
        reports = play_all(told, plays)
    tables = tell(told, plays, reports, chosen, recorded)
    for table in tables:
        print(as_text(table), flush=True)
    if told.out is not None:
        rows = [{"variant": p.variant, "report": r} for p, r in zip(plays, reports, strict=True)]
        title = f"{told.command} {' '.join(told.scenario)}"
        save(told.out, {"title": title, "tables": tables, "plays": rows})
    if any("void" in report for report in reports):
        return FAILED
    return BROKEN if any(report["breaches"] for report in reports) else DONE


def write_again(folder: pathlib.Path) -> int:
    from embersill.lab import report

    try:
        result = json.loads((folder / RESULT).read_text())
        report.write(folder / PAGE, result)
    except (ValueError, KeyError, TypeError) as error:
        raise BadUse(f"{folder / RESULT} is no result of this laboratory: {error!r}") from error
    return DONE


def show_list() -> int:
    for path in sorted(SHIPPED.glob("*.toml")):
        print(f"{path.stem:10} {path.read_text().partition(chr(10))[0].removeprefix('# ')}")
    return DONE


def main() -> int:
    told = parser().parse_args()
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        if told.command == "list":
            return show_list()
        if told.command == "soak":
            return run_soak(told)
        if told.command == "growth":
            return run_growth(told)
        if told.command == "scale":
            from embersill.lab.scale.command import run_command  # needs the list service's packages too

            return run_command(told)
        return write_again(told.folder) if told.command == "report" else experiment(told)
    except KeyboardInterrupt:
        kept = "" if getattr(told, "out", None) is None else f"; what was played is kept in {told.out}"
        print(f"embersill.lab: stopped{kept}", file=sys.stderr)
        return STOPPED
    except (BadScenario, BadVersion, BadUse, OSError) as error:
        print(f"embersill.lab: {error}", file=sys.stderr)
        return BAD_USE


if __name__ == "__main__":
    sys.exit(main())
