"""The laboratory's command: plays a scenario and tells what came of it."""

from __future__ import annotations

import argparse
import json
import pathlib
import sys
import time
from typing import Any

from embersill.lab.scenario import BadScenario, Scenario, read_scenario
from embersill.lab.world import World

SHIPPED = pathlib.Path(__file__).parent / "scenarios"
DONE, FAILED, BAD_USE, BROKEN = 0, 1, 2, 3


def parser() -> argparse.ArgumentParser:
    made = argparse.ArgumentParser(
        prog="python -m embersill.lab",
        description="Plays whole deployments in virtual time.",
        epilog="Exits with 0: done, 1: a gateway's decisions crashed, 2: bad use, 3: a rule was broken.",
    )
    commands = made.add_subparsers(dest="command", required=True, metavar="run | list")
    run = commands.add_parser("run", help="play a scenario once for each seed")
    run.add_argument("scenario", help="a file, or the name of one that is shipped")
    run.add_argument("--seed", type=int, action="append", metavar="N", help="may be repeated (default 1)")
    run.add_argument("--json", type=pathlib.Path, metavar="FILE", help="write the figures of all runs there")
    commands.add_parser("list", help="the scenarios that are shipped")
    return made


def find(name: str) -> pathlib.Path:
    shipped = SHIPPED / f"{name}.toml"
    return shipped if shipped.exists() else pathlib.Path(name)


def show(told: dict[str, Any], took: float) -> str:
    ends = ", ".join(f"{how} {number}" for how, number in told["ends"].items())
    latency = told["latency_ms"]
    return (f"{told['scenario']} seed {told['seed']}: served {told['served']:.3f} of what quotas cover; "
            f"{told['requests']} requests: {ends}; p50 {latency['p50']} ms, p99 {latency['p99']} ms; "
            f"{told['handshakes']} handshakes; {took:.1f} s")


def play(scenario: Scenario, seeds: list[int], to: pathlib.Path | None) -> int:
    runs = []
    for seed in seeds:
        began = time.monotonic()
        world = World(scenario, seed)
        try:
            world.play()
        except Exception as error:  # the decisions' own failure: the run is void
            print(f"embersill.lab: {scenario.name} seed {seed} crashed at {world.clock.now:.3f}: {error!r}",
                  file=sys.stderr)
            return FAILED
        runs.append(world.report())
        print(show(runs[-1], time.monotonic() - began), flush=True)
        for breach in runs[-1]["first_breaches"]:
            print(f"  broken at {breach['at']:.3f} s, {breach['rule']}: {breach['what']}", flush=True)
    if to is not None:
        to.write_text(json.dumps(runs, indent=1) + "\n")
    return BROKEN if any(run["breaches"] for run in runs) else DONE


def main() -> int:
    told = parser().parse_args()
    if told.command == "list":
        for path in sorted(SHIPPED.glob("*.toml")):
            print(f"{path.stem:10} {path.read_text().partition(chr(10))[0].removeprefix('# ')}")
        return DONE
    try:
        return play(read_scenario(find(told.scenario)), told.seed or [1], told.json)
    except (BadScenario, OSError) as error:
        print(f"embersill.lab: {error}", file=sys.stderr)
        return BAD_USE


if __name__ == "__main__":
    sys.exit(main())
