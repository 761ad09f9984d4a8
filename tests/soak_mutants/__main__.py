"""python -m tests.soak_mutants [NAME ...]: mutation test of the soak's checks.

Runs real gateways with one planted fault each. Each mutant has to be caught within ten seeds by one of the
rules listed for it. Run by hand, as it takes some minutes.
"""

from __future__ import annotations

import pathlib
import sys
import tempfile
from dataclasses import replace

from embersill.lab.soak.backends import Behaviour
from embersill.lab.soak.plan import Fault, ScheduledFault, SoakPlan, draw_plan
from embersill.lab.soak.play import build_shim, play_plan

MAX_SEEDS, SECONDS, BACKENDS = 10, 10.0, 200  # SECONDS: length of a day
# Rules that count as catching each mutant.
MUTANTS = {
    "sends to what drains": {"drain"},
    "stops following the list": {"drain"},
    "goes on for clients that left": {"lost"},
    "tells backends more time": {"deadline"},
    "sends two copies": {"duplicate", "repeat"},
    "takes every failure for harmless": {"repeat"},
    "repeats keyed requests anywhere": {"repeat"},
    "changes answers": {"lost"},
    "forgets to answer": {"lost"},
    "closes without an answer": {"lost"},
    "crashes": {"crash"},
    "takes cold backends for warm": {"failback"},
    "passes ceilings": {"ceiling"},
    "leaks descriptors": {"descriptors", "lost", "crash", "bad input", "ready"},
    "leaks memory": {"memory"},
    "waits for half requests for ever": {"bad input"},
    "drops all at SIGTERM": {"lost", "crash"},
    "serves nobody": {"served"},
}


def plan_for(name: str, seed: int) -> SoakPlan:
    """The day of a seed, changed for mutants that need more load or a certain fault to show."""
    plan = draw_plan(seed, SECONDS, BACKENDS)
    if name == "goes on for clients that left":
        rejecting = ScheduledFault(1.0, Fault.MISBEHAVE, SECONDS, 0, 0.6, Behaviour.REJECT)
        return replace(plan, mean_work_time=0.4, faults=(rejecting,))
    if name == "drops all at SIGTERM":
        return replace(
            plan,
            mean_work_time=0.4,
            faults=(ScheduledFault(3.0, Fault.TERMINATE, 0.0, 0, 0.0, Behaviour.SERVE),),
        )
    if name != "takes cold backends for warm":
        return plan
    release = ScheduledFault(2.0, Fault.REPLACE, 0.0, 0, 0.2, Behaviour.SERVE)
    deployment = replace(plan.deployment, cold_from=0.15, warm_within=18.0, rate=1000.0, burst=1000.0)
    rate = 300.0 / plan.deployment.gateways
    return replace(plan, backends=14, rate=rate, deployment=deployment, faults=(release,))


def find_catching_seed(name: str, folder: pathlib.Path, shim: pathlib.Path) -> tuple[int, str]:
    """The first seed at which a mutant is caught, or 0, and the violation found."""
    environment = {"PYTHONPATH": str(pathlib.Path(__file__).parent), "SOAK_MUTANT": name}
    for seed in range(1, MAX_SEEDS + 1):
        plan = plan_for(name, seed)
        result, _ = play_plan(plan, folder / f"{name.replace(' ', '-')}-{seed}", shim, environment)
        found = [v for v in result.violations if v.rule in MUTANTS[name]]
        if found:
            return seed, str(found[0])
    return 0, "not caught"


def main(names: list[str]) -> int:
    """Returns 0 if every mutant was caught, else 1."""
    missed = 0
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(temporary)
        shim = build_shim(folder)
        for name in names or list(MUTANTS):
            seed, violation = find_catching_seed(name, folder, shim)
            missed += not seed
            print(f"{name}: seed {seed or '-'}: {violation}", flush=True)
    print(f"{len(names or MUTANTS) - missed} caught, {missed} not caught")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
