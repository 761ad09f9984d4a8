"""Incident of 2026-12: an upgrade in an outage of discovery forgot the list that the gateway had been told.

The successor went by the list of its configuration, which may be out of date, and sent to backends that its
predecessor knew to drain or to be gone. The first list of each test is that of the configuration.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal
from collections.abc import Awaitable, Callable

import pytest

from embersill.lab.soak.discovery_agent import DiscoveryAgent
from tests.bed import run
from tests.upgrade_bed import UpgradeBed, unused_entry, upgrade_bed

Tell = Callable[[UpgradeBed], Awaitable[None]]


async def drain(bed: UpgradeBed) -> None:
    await bed.tell(bed.entry(0, "DRAINING"))


async def remove(bed: UpgradeBed) -> None:
    await bed.tell(bed.entry(0, "DELETED"))


async def leave_out(bed: UpgradeBed) -> None:
    """A whole list without a backend that drains."""
    bed.bed.agent.faults.full_lists = True
    await bed.tell(bed.entry(0, "DRAINING"))
    bed.bed.agent.faults.full_lists = False


async def move(bed: UpgradeBed) -> None:
    """The same id comes back at the address of backend 3."""
    await bed.tell(bed.entry(0, "DELETED"))
    await bed.tell(bed.entry(0, at=3))


async def restart_with_lower_generation(bed: UpgradeBed) -> None:
    """Discovery has lost its generations, and counts from 1 again."""
    agent = bed.bed.agent
    agent.generation = 0
    agent.entries = {name: (1, entry) for name, (_, entry) in agent.entries.items()}
    agent.break_watches()
    await bed.tell(bed.entry(0, "DRAINING"))


TOLD: dict[str, tuple[Tell, set[int]]] = {  # what is told, and the backends that may be used then
    "draining": (drain, {1, 2}),
    "removed": (remove, {1, 2}),
    "left out of a whole list": (leave_out, {1, 2}),
    "moved to another address": (move, {1, 2, 3}),
    "lower generation": (restart_with_lower_generation, {1, 2}),
}


@pytest.mark.parametrize("told", list(TOLD))
def test_a_successor_in_an_outage_goes_by_what_its_predecessor_was_told(
    told: str, tmp_path: pathlib.Path
) -> None:
    async def test() -> None:
        tell, allowed = TOLD[told]
        async with upgrade_bed(tmp_path) as bed:
            await tell(bed)
            bed.bed.agent.set_down(True)
            await bed.upgrade()
            await bed.check_use(allowed)
            bed.bed.agent.set_down(False)
            await bed.until_told()
            await bed.check_use(allowed)

    run(test)


def test_a_replica_that_has_not_been_told_takes_nothing_back(tmp_path: pathlib.Path) -> None:
    """The successor reaches only a replica that is behind the discovery of its predecessor."""

    async def test() -> None:
        async with upgrade_bed(tmp_path) as bed:
            replica = DiscoveryAgent(bed.known["instances"])
            replica.generation = bed.known["generation"]
            await replica.start()
            await drain(bed)
            bed.bed.agent.set_down(True)
            await bed.upgrade(discovery=[replica.address, bed.bed.agent.address])
            await bed.check_use({1, 2})
            await bed.upgrade(discovery=[replica.address, bed.bed.agent.address])
            await bed.check_use({1, 2})
            await replica.stop()

    run(test)


def test_a_chain_of_upgrades_in_one_outage_passes_the_list_on(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with upgrade_bed(tmp_path) as bed:
            await drain(bed)
            await bed.tell(bed.entry(4))
            bed.bed.agent.set_down(True)
            for _ in range(3):
                await bed.upgrade()
                await bed.check_use({1, 2, 4})

    run(test)


@pytest.mark.parametrize("length", [3200, 8500])
def test_a_long_list_is_passed_on_whole(length: int, tmp_path: pathlib.Path) -> None:
    """Of the coming size, and more than half of it told after the configuration was written."""

    async def test() -> None:
        async with upgrade_bed(tmp_path) as bed:
            await bed.tell(*(unused_entry(number) for number in range(length // 2)))
            bed.known = {**bed.known, "instances": [
                *bed.known["instances"], *(unused_entry(number) for number in range(length // 2))]}
            await bed.upgrade()
            await bed.tell(bed.entry(0, "DRAINING"), *(unused_entry(n) for n in range(100, length)))
            await bed.tell(*({**unused_entry(n), "lifecycle": "DELETED"} for n in range(200)))
            listed = (await bed.metrics())["hosts_listed"]
            assert listed == 3 + length - 200
            bed.bed.agent.set_down(True)
            for _ in range(2):
                await bed.upgrade()
                assert (await bed.metrics())["hosts_listed"] == listed
                await bed.check_use({1, 2})

    run(test)


def test_a_configuration_that_is_newer_than_all_that_was_told_is_used(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with upgrade_bed(tmp_path) as bed:
            await drain(bed)
            bed.bed.agent.set_down(True)
            instances = [bed.entry(n) for n in (1, 2, 4)]
            generation = bed.bed.agent.generation + 1
            await bed.upgrade(known={"generation": generation, "reset": True, "instances": instances})
            await bed.check_use({1, 2, 4})

    run(test)


def test_a_list_from_the_discovery_that_sighup_named_is_passed_on(tmp_path: pathlib.Path) -> None:
    """The environment of the successor still names the discovery before, which is gone."""

    async def test() -> None:
        async with upgrade_bed(tmp_path) as bed:
            old = bed.newest
            before = {"RELAY_DISCOVERY": bed.bed.agent.address}
            await asyncio.sleep(1.0)
            await bed.move_discovery(old)
            await drain(bed)
            bed.bed.agent.set_down(True)
            await bed.start_successor(before)
            old.signal(signal.SIGTERM)
            await old.wait()
            await bed.check_use({1, 2})
            bed.bed.agent.set_down(False)
            await bed.tell(bed.entry(1, "DRAINING"))
            await bed.check_use({2})

    run(test)


@pytest.mark.parametrize("signalled", ["predecessor", "successor"])
def test_sighup_to_one_process_of_an_upgrade_moves_both(signalled: str, tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with upgrade_bed(tmp_path) as bed:
            old = bed.newest
            successor = await bed.start_successor()
            await asyncio.sleep(1.0)
            await bed.move_discovery(old if signalled == "predecessor" else successor)
            bed.bed.agent.break_watches()  # those at the old address
            await drain(bed)
            old.signal(signal.SIGTERM)
            await old.wait()
            await bed.check_use({1, 2})

    run(test)


@pytest.mark.parametrize("ending", [signal.SIGKILL, signal.SIGSTOP, signal.SIGTERM])
def test_a_predecessor_that_hands_nothing_over_leaves_its_list(
    ending: signal.Signals, tmp_path: pathlib.Path
) -> None:
    async def test() -> None:
        async with upgrade_bed(tmp_path) as bed:
            await drain(bed)
            bed.bed.agent.set_down(True)
            old = bed.newest
            old.signal(ending)
            if ending is signal.SIGSTOP:
                await bed.start_beside_stopped(old)
            else:
                await old.wait()
                await bed.start_successor()
            await bed.check_use({1, 2})

    run(test)


def test_news_of_an_outage_that_ends_between_two_upgrades_are_passed_on(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with upgrade_bed(tmp_path) as bed:
            await drain(bed)
            bed.bed.agent.set_down(True)
            await bed.upgrade()
            bed.bed.agent.set_down(False)
            await bed.tell(bed.entry(1, "DRAINING"), bed.entry(0))
            bed.bed.agent.set_down(True)
            await bed.upgrade()
            await bed.check_use({0, 2})

    run(test)


def test_a_suspension_holds_whatever_the_predecessors_list_says(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with upgrade_bed(tmp_path) as bed:
            assert (await bed.console("SUSPEND b1")).startswith("done")
            await bed.tell(bed.entry(1, "DELETED"))
            await bed.tell(bed.entry(1, at=3))
            await drain(bed)
            bed.bed.agent.set_down(True)
            for _ in range(2):
                await bed.upgrade()
                await bed.check_use({2})
            bed.bed.agent.set_down(False)
            await bed.until_told()
            await bed.check_use({2})

    run(test)
