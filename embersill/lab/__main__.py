"""The laboratory's command line: plays scenarios, compares versions and settings, and writes a report."""

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
from embersill.lab.experiments import Variant, format_table
from embersill.lab.plays import PlayStore, Play, Report, run_all
from embersill.lab.scenario import BadScenario, build_scenario, apply_setting, check_real, load
from embersill.lab.scale.arguments import add_parser as add_scale_parser
from embersill.lab.soak.command import add_parser as add_soak_parser
from embersill.lab.soak.command import run_command as run_soak
from embersill.lab.soak.growth import add_parser as add_growth_parser
from embersill.lab.soak.growth import run_command as run_growth
from embersill.lab.versions import BadVersion, policy_files

SHIPPED_SCENARIOS = pathlib.Path(__file__).parent / "scenarios"
DONE, FAILED, BAD_USE, RULE_BROKEN, STOPPED = 0, 1, 2, 3, 130
RESULT, PAGE = "result.json", "report.html"
MAX_SEEDS = 10_000


class BadUse(Exception):
    """Invalid arguments; the message is one line."""


def make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m embersill.lab",
        description="Plays whole deployments in virtual time.",
        epilog="Exits with 0: done, 1: a run is void as a gateway crashed, 2: bad use, 3: a rule was broken, "
               "130: stopped; the same command with the same --out goes on where it was.",
    )
    commands = parser.add_subparsers(dest="command", required=True)
    commands.add_parser("list", help="the scenarios that are shipped")
    run = add_play_arguments(commands.add_parser("run", help="play scenarios once for each seed"))
    run.add_argument("--version", metavar="PATH", default="", help="a checkout whose decisions play")
    compare = add_play_arguments(commands.add_parser("compare", help="A against B on the same seeds"))
    for side in "ab":
        compare.add_argument(f"--{side}", metavar="PATH", default="",
                             help=f"the checkout that is {side.upper()}")
        compare.add_argument(f"--set-{side}", metavar="KEY=VALUE", action="append", default=[],
                             help=f"a setting of {side.upper()} alone; may be repeated")
    sweep = add_play_arguments(commands.add_parser("sweep", help="one or more settings over several values"))
    sweep.add_argument("--over", metavar="KEY=V,V,...", action="append", required=True,
                       help="may be repeated: then each value with each")
    rank = add_play_arguments(commands.add_parser("rank", help="several versions, the best first"))
    rank.add_argument("--version", metavar="NAME=PATH", action="append", required=True,
                      help="a checkout whose decisions play; may be repeated")
    rank.add_argument("--recorded", metavar="FILE", type=pathlib.Path,
                      help="TOML: a figure for each name, to whose ranking this one is held")
    add_scale_parser(commands)
    add_soak_parser(commands)
    add_growth_parser(commands)
    report = commands.add_parser("report", help="write the page of an --out folder again")
    report.add_argument("folder", type=pathlib.Path)
    return parser


def add_play_arguments(parser: argparse.ArgumentParser) -> argparse.ArgumentParser:
    parser.add_argument("scenario", nargs="+", help="a file, or the name of one that is shipped")
    parser.add_argument("--seed", type=int, action="append", metavar="N", help="may be repeated (default 1)")
    parser.add_argument("--seeds", type=int, metavar="N", help="the seeds from 1 to N")
    parser.add_argument("--set", metavar="KEY=VALUE", action="append", default=[],
                      help="a setting of all that is played, like fleet.gateways=20; may be repeated")
    parser.add_argument("--out", type=pathlib.Path, metavar="DIR",
                      help=f"keep each play there as it ends, and write {RESULT} and {PAGE}")
    parser.add_argument("--real", action="store_true",
                      help="with processes started by the deploy file's run, in real time, one by one")
    parser.add_argument("--workers", type=int, metavar="N", default=len(os.sched_getaffinity(0)),
                      help="plays at a time (default: as many as there are cores)")
    return parser


def find_scenario(name: str) -> pathlib.Path:
    """The path of a shipped scenario, or else `name` as a path."""
    shipped = SHIPPED_SCENARIOS / f"{name}.toml"
    return shipped if shipped.exists() else pathlib.Path(name)


def load_scenarios(arguments: argparse.Namespace) -> list[dict[str, Any]]:
    """The named scenarios with the settings of --set. Raises BadScenario."""
    found = []
    for name in arguments.scenario:
        scenario = load(find_scenario(name))
        for setting in arguments.set:
            scenario = apply_setting(scenario, setting)
        found.append(scenario)
    return found


def read_seeds(arguments: argparse.Namespace) -> list[int]:
    """The seeds in order, without duplicates; checks --workers too. Raises BadUse."""
    if arguments.seeds is not None and not 1 <= arguments.seeds <= MAX_SEEDS:
        raise BadUse(f"--seeds is from 1 to {MAX_SEEDS}")
    if arguments.workers < 1:
        raise BadUse("--workers is at least 1")
    chosen = [*(arguments.seed or []), *range(1, (arguments.seeds or 0) + 1)] or [1]
    if min(chosen) < 0:
        raise BadUse("a seed is not below 0")
    return list(dict.fromkeys(chosen))


def read_variants(arguments: argparse.Namespace) -> list[Variant]:
    """What the command compares. Raises BadUse or BadScenario."""
    if arguments.command == "run":
        return [Variant("here" if not arguments.version else arguments.version, arguments.version)]
    if arguments.command == "sweep":
        return experiments.combinations(arguments.over)
    if arguments.command == "rank":
        named = [text.rpartition("=") for text in arguments.version]
        return [Variant(name or pathlib.Path(path).resolve().name, path) for name, _, path in named]
    sides = [Variant(" ".join([path or "here", *changed]), path, tuple(changed))
             for path, changed in ((arguments.a, arguments.set_a), (arguments.b, arguments.set_b))]
    if sides[0] == sides[1]:
        raise BadUse("A and B are the same: name --a, --b, --set-a or --set-b")
    return sides


def check_plays(plays: Sequence[Play], chosen: Sequence[Variant]) -> None:
    """Checks everything before the first play. Raises BadUse, BadVersion or BadScenario."""
    if len({variant.name for variant in chosen}) < len(chosen):
        raise BadUse("two variants have the same name")
    names = [play.scenario.get("name") for play in plays if play.variant == plays[0].variant]
    if len(set(names)) * len({play.seed for play in plays}) < len(names):
        raise BadUse("two scenarios have the same name")
    for variant in chosen:
        if variant.version:
            policy_files(pathlib.Path(variant.version))
    for play in plays:
        try:
            scenario = build_scenario(play.scenario)
            if play.real_logs:
                check_real(scenario)
        except BadScenario as error:
            raise BadScenario(f"{play.scenario.get('name')}, {play.variant}: {error}") from error


def read_record(path: pathlib.Path | None) -> dict[str, float]:
    """The recorded figure of each version. Raises BadUse."""
    if path is None:
        return {}
    try:
        recorded = tomllib.loads(path.read_text())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise BadUse(f"{path}: {error}") from error
    for name, figure in recorded.items():
        if isinstance(figure, bool) or not isinstance(figure, int | float):
            raise BadUse(f"{path}: {name} is no number")
    return recorded


def format_play(play: Play, report: Report, seconds: float) -> str:
    """A line on the play, and one for each reported breach."""
    name = f"{report['scenario']} seed {report['seed']}"
    if "void" in report:
        where = "" if report["at"] is None else f" at {report['at']:.3f} s"
        return f"{name}, {play.variant}: void{where}, {report['void']}"
    ends = ", ".join(f"{end} {number}" for end, number in report["ends"].items())
    latency, served = report["latency_ms"], report["served"]
    broken = [f"\n  broken at {b['at']:.3f} s, {b['rule']}: {b['what']}" for b in report["first_breaches"]]
    worth = "nothing asked" if served is None else f"served {served:.3f} of what quotas cover"
    return (f"{name}, {play.variant}: {worth}; {report['requests']} requests: {ends}; "
            f"p50 {latency['p50']} ms, p99 {latency['p99']} ms; {report['handshakes']} handshakes; "
            f"{seconds:.1f} s" + "".join(broken))


def play_all(arguments: argparse.Namespace, plays: Sequence[Play]) -> list[Report]:
    """Plays all and prints a line as each ends: to stdout for `run`, else to stderr, as tables use stdout."""
    output = sys.stdout if arguments.command == "run" else sys.stderr
    played: list[Play] = []
    with tqdm(total=len(plays), unit="play", disable=None) as bar:  # no bar if stderr is no terminal
        def ended(play: Play, report: Report, seconds: float) -> None:
            played.append(play)
            bar.update()
            tqdm.write(format_play(play, report, seconds), file=output)
            output.flush()

        reports = run_all(plays, PlayStore(arguments.out), arguments.workers, ended)
    if len(played) < len(plays):
        print(f"embersill.lab: {len(plays) - len(played)} plays were kept in {arguments.out}",
              file=sys.stderr)
    return reports


def make_tables(arguments: argparse.Namespace, plays: Sequence[Play], reports: Sequence[Report],
                chosen: Sequence[Variant], recorded: dict[str, float]) -> list[experiments.Table]:
    if arguments.command == "compare":
        return experiments.comparison_tables(plays, reports, chosen[0].name, chosen[1].name)
    if arguments.command == "sweep":
        return experiments.sweep_tables(plays, reports)
    if arguments.command == "rank":
        return [experiments.ranking_table(plays, reports, recorded)[0]]
    return []


def save(folder: pathlib.Path, result: dict[str, Any]) -> None:
    """Writes the result, its page and the logs of void plays."""
    from embersill.lab import report  # imported only with --out, as it takes a second to load

    (folder / RESULT).write_text(json.dumps(result, indent=1) + "\n")
    report.write_page(folder / PAGE, result)
    for play in result["plays"]:
        if play["report"].get("log"):
            name = f"void-{play['report']['scenario']}-{play['report']['seed']}.log"
            (folder / name).write_text(play["report"]["log"])


def run_experiment(arguments: argparse.Namespace) -> int:
    recorded = read_record(arguments.recorded) if arguments.command == "rank" else {}
    chosen = read_variants(arguments)
    with tempfile.TemporaryDirectory(prefix="embersill-lab-") as folder:
        logs = (pathlib.Path(folder if arguments.out is None else arguments.out / "logs")
                if arguments.real else None)
        plays = experiments.plan_plays(load_scenarios(arguments), chosen, read_seeds(arguments), logs)
        check_plays(plays, chosen)
        reports = play_all(arguments, plays)
    tables = make_tables(arguments, plays, reports, chosen, recorded)
    for table in tables:
        print(format_table(table), flush=True)
    if arguments.out is not None:
        rows = [{"variant": p.variant, "report": r} for p, r in zip(plays, reports, strict=True)]
        title = f"{arguments.command} {' '.join(arguments.scenario)}"
        save(arguments.out, {"title": title, "tables": tables, "plays": rows})
    if any("void" in report for report in reports):
        return FAILED
    return RULE_BROKEN if any(report["breaches"] for report in reports) else DONE


def rewrite_page(folder: pathlib.Path) -> int:
    """Writes the page of an earlier experiment again. Raises BadUse."""
    from embersill.lab import report

    try:
        result = json.loads((folder / RESULT).read_text())
        report.write_page(folder / PAGE, result)
    except (ValueError, KeyError, TypeError) as error:
        raise BadUse(f"{folder / RESULT} is no result of this laboratory: {error!r}") from error
    return DONE


def show_list() -> int:
    for path in sorted(SHIPPED_SCENARIOS.glob("*.toml")):
        print(f"{path.stem:10} {path.read_text().partition(chr(10))[0].removeprefix('# ')}")
    return DONE


def main() -> int:
    arguments = make_parser().parse_args()
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        if arguments.command == "list":
            return show_list()
        if arguments.command == "soak":
            return run_soak(arguments)
        if arguments.command == "growth":
            return run_growth(arguments)
        if arguments.command == "scale":
            from embersill.lab.scale.command import run_command  # needs the list service's packages

            return run_command(arguments)
        return rewrite_page(arguments.folder) if arguments.command == "report" else run_experiment(arguments)
    except KeyboardInterrupt:
        kept = ("" if getattr(arguments, "out", None) is None
                else f"; what was played is kept in {arguments.out}")
        print(f"embersill.lab: stopped{kept}", file=sys.stderr)
        return STOPPED
    except (BadScenario, BadVersion, BadUse, OSError) as error:
        print(f"embersill.lab: {error}", file=sys.stderr)
        return BAD_USE


if __name__ == "__main__":
    sys.exit(main())
