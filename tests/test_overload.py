"""The overload manager: what it does as the memory that the kernel counts nears the limit."""

from __future__ import annotations

import asyncio
import gc
import mmap
from collections import Counter
from collections.abc import Awaitable, Callable

import pytest

from embersill.net.memory import MAX_PIPELINED, MB, UNCHARGED_SIZE, Account, MemoryBudget
from embersill.net.overload import CHARGE_PER_CHECK, MIN_CONNECTIONS, OverloadManager
from embersill.net.process_memory import PAGE_SIZE, ProcessMemory
from tests.bed import run

LIMIT = 64 * MB
CALM, SHRINKING, SHEDDING, FROZEN = 40 * MB, 48 * MB, 56 * MB, 60 * MB


class FakeMemory:
    """A process with a given memory, of which `free` can be returned."""

    def __init__(self) -> None:
        self.used, self.free, self.reads = CALM, 0, 0

    def anonymous_bytes(self) -> int:
        self.reads += 1
        return self.used + self.free

    def give_back(self) -> None:
        self.free = 0


class FakeFront:
    """A server that records what it was asked to free."""

    def __init__(self) -> None:
        self.freed: list[int] = []

    def connection_count(self) -> int:
        return 100

    def shed(self, size: int) -> None:
        self.freed.append(size)


class Parts:
    """An overload manager with its parts."""

    def __init__(self) -> None:
        self.memory, self.front, self.figures = FakeMemory(), FakeFront(), Counter[str]()
        self.budget = MemoryBudget(16 * MB, 4 * MB)
        self.manager = OverloadManager(self.budget, LIMIT, self.front, self.figures, self.memory)

    async def measure(self, used: int, free: int = 0) -> None:
        self.memory.used, self.memory.free = used, free
        self.manager.measure()
        await asyncio.sleep(0)
        await asyncio.sleep(0)


def with_parts(test: Callable[[Parts], Awaitable[None]]) -> None:
    async def inside() -> None:
        await test(Parts())

    run(inside)


def test_a_process_far_below_its_limit_is_left_alone() -> None:
    async def test(parts: Parts) -> None:
        await parts.measure(CALM)
        assert parts.budget.limit == 16 * MB and not parts.figures and not parts.front.freed
        assert parts.manager.connection_limit is None

    with_parts(test)


def test_the_budget_shrinks_with_the_memory_that_is_left_and_grows_again() -> None:
    async def test(parts: Parts) -> None:
        limits = []
        for used in range(CALM, FROZEN, MB):
            await parts.measure(used)
            limits.append(parts.budget.limit)
        assert limits == sorted(limits, reverse=True) and limits[0] == 16 * MB and limits[-1] == 0
        assert parts.budget.peer_buffer == UNCHARGED_SIZE and parts.budget.max_pipelined == 1
        await parts.measure(CALM)
        assert parts.budget.limit == 16 * MB and parts.budget.max_pipelined == MAX_PIPELINED

    with_parts(test)


def test_free_memory_is_returned_before_peers_give_way() -> None:
    async def test(parts: Parts) -> None:
        await parts.measure(CALM, SHEDDING - CALM)
        assert parts.figures["memory returned"] == 1 and not parts.front.freed

    with_parts(test)


def test_peers_give_way_and_connections_are_frozen_near_the_limit() -> None:
    async def test(parts: Parts) -> None:
        await parts.measure(SHRINKING)
        assert not parts.front.freed
        await parts.measure(SHEDDING)
        assert parts.front.freed[0] >= SHEDDING - SHRINKING and parts.manager.connection_limit is None
        await parts.measure(FROZEN)
        assert parts.manager.connection_limit == 100 >= MIN_CONNECTIONS
        await parts.measure(CALM)
        assert parts.manager.connection_limit is None

    with_parts(test)


def test_another_process_takes_its_memory_from_the_same_limit() -> None:
    async def test(parts: Parts) -> None:
        await parts.measure(CALM)
        parts.manager.set_other(16 * MB)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert parts.budget.limit < 16 * MB
        parts.manager.set_other(0)
        assert parts.budget.limit == 16 * MB

    with_parts(test)


def test_memory_is_read_after_much_was_charged_and_not_for_each_charge() -> None:
    async def test(parts: Parts) -> None:
        account, reads = Account(parts.budget), parts.memory.reads
        for held in range(0, 4 * CHARGE_PER_CHECK + 1, 4096):
            account.charge(held)
        assert parts.memory.reads - reads == 4

    with_parts(test)


def test_the_anonymous_memory_is_the_kernels_figure() -> None:
    memory = ProcessMemory()
    gc.collect()  # nothing else is given back between the two readings
    before = memory.anonymous_bytes()
    with mmap.mmap(-1, 8 * MB, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS) as pages:
        for start in range(0, 8 * MB, PAGE_SIZE):
            pages[start] = 1
        assert 8 * MB <= memory.anonymous_bytes() - before <= 20 * MB
    memory.give_back()
    memory.close()
    assert memory.anonymous_bytes() == 0


@pytest.mark.parametrize("share", [-1.0, 0.0])
def test_without_a_budget_small_requests_still_have_room(share: float) -> None:
    budget = MemoryBudget(16 * MB, 4 * MB)
    budget.set_share(share)
    assert budget.has_room(UNCHARGED_SIZE) and not budget.has_room(UNCHARGED_SIZE + 1)
