"""`python -m embersill.lab soak`: runs days drawn from seeds and reports the rules that were violated."""

from __future__ import annotations

import argparse
import pathlib
import tempfile

from embersill.lab.soak.plan import SIZES, draw_plan
from embersill.lab.soak.play import build_shim, play_plan

EXIT_OK, EXIT_BROKEN, EXIT_VOID = 0, 3, 1
MAX_PRINTED_VIOLATIONS = 5  # of each day


class InvalidSeeds(argparse.ArgumentTypeError):
    """The text given for seeds is neither a number nor a range."""


def parse_seeds(text: str) -> range:
    """Parses a seed or a range of them: 7, 1-50. Raises InvalidSeeds."""
    first, _, last = text.partition("-")
    try:
        seeds = range(int(first), int(last or first) + 1)
    except ValueError:
        raise InvalidSeeds(f"no seed, and no range like 1-50: {text!r}") from None
    if not seeds:
        raise InvalidSeeds(f"no seed in {text!r}")
    return seeds


def parse_seed_list(text: str) -> list[int]:
    """Parses seeds and ranges separated by commas, or none: 1-4,10. Raises InvalidSeeds."""
    return [seed for part in text.split(",") if part for seed in parse_seeds(part)]


def add_parser(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Adds the `soak` command."""
    parser = commands.add_parser("soak", help="real gateways on loopback under faults drawn by a seed")
    parser.add_argument(
        "--seeds", type=parse_seed_list, default=[1], metavar="N[-N],...", help="default 1"
    )
    parser.add_argument("--seconds", type=float, help="of each day; drawn from 20 to 60 where not told")
    parser.add_argument("--backends", type=int, default=SIZES[-1], help="at most (default %(default)s)")
    parser.add_argument("--out", type=pathlib.Path, metavar="DIR", help="keep logs and results there")
    parser.add_argument("--known", type=parse_seed_list, default=[], metavar="N,N",
                      help="days known to be broken: told, and passed over")
    parser.add_argument("--no-shim", action="store_true", help="no system call is made to fail")


def run_command(options: argparse.Namespace) -> int:
    """Runs the days one after the other.

    Returns EXIT_BROKEN if a day that is not known to fail broke a rule, EXIT_VOID if the machine was too
    busy for all days, else EXIT_OK.
    """
    with tempfile.TemporaryDirectory() as temporary:
        folder = options.out or pathlib.Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        shim = None if options.no_shim else build_shim(folder)
        broken: list[int] = []
        void: list[int] = []
        for seed in options.seeds:
            plan = draw_plan(seed, options.seconds, options.backends)
            result, lines = play_plan(plan, folder / f"seed-{seed}", shim)
            state = "void" if result.void else "broken" if result.violations else "kept"
            print(
                f"seed {seed}: {state}; {result.served} of {result.requests} served, peers late "
                f"{1000 * result.max_lateness:.0f} ms, {result.peak_memory_mb:.0f} MB, "
                f"{result.peak_anonymous_mb:.1f} MB anonymous, "
                f"{result.max_descriptors} descriptors; {plan.describe()}",
                flush=True,
            )
            for violation in result.violations[:MAX_PRINTED_VIOLATIONS]:
                print(f"  {violation}")
            for line in lines[:40] if result.violations else []:
                print(f"    {line}")
            if result.violations:
                print(
                    f"  again: python -m embersill.lab soak --seeds {seed}"
                    + (f" --seconds {options.seconds:g}" if options.seconds else "")
                )
            if result.violations and seed in options.known:
                print(f"  known to be red: soak {seed}")
                continue
            (void if result.void else broken if result.violations else []).append(seed)
    print(f"{len(options.seeds)} days: {len(broken)} with a broken rule {broken}, {len(void)} void {void}")
    return EXIT_BROKEN if broken else EXIT_VOID if len(void) == len(options.seeds) else EXIT_OK
