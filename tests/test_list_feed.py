"""Long lists: parsed and delivered in slices, draining backends first, and only the changes of a full one."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from embersill.interface import ListKind, BackendStatus
from embersill.net.discovery import Discovery
from embersill.net.list_feed import SLICE_ENTRIES, SLICED_FROM_BYTES, ListFeed, ListReader
from embersill.net.listing import InvalidList, Listing, parse_listing
from tests.bed import run
from tests.peers import SOON, DiscoveryPeer, entry

MANY = 3200


def text_of(
    entries: list[dict[str, Any]], generation: int = 7, whole: bool = True, indent: int | None = None
) -> bytes:
    listing = {"generation": generation, "reset": whole, "instances": entries}
    return json.dumps(listing, indent=indent).encode()


def long_list() -> list[dict[str, Any]]:
    return [entry(f"backend-{n}", f"127.1.{n // 250}.{n % 250 + 1}:80") for n in range(MANY)]


@pytest.mark.parametrize("indent", [None, 2])
@pytest.mark.parametrize("whole", [True, False])
def test_a_long_list_is_parsed_like_a_short_one(whole: bool, indent: int | None) -> None:
    entries = long_list()
    entries[5] |= {"weight": None, "zone": None, "startedAtMs": 1_790_000_000_123.5, "more": {"a": [1]}}
    entries[6] |= {"lifecycle": "DELETED", "hostPort": None}
    entries[7] |= {"zone": 'Zürich \\ " \u0001', "lifecycle": "RESTING"}
    body = text_of(entries, whole=whole, indent=indent)
    assert len(body) > SLICED_FROM_BYTES

    async def test() -> None:
        reader = ListReader()
        for _ in range(2):  # the second time its entries are cached
            assert await reader.read(body) == parse_listing(body)

    run(test)


@pytest.mark.parametrize(
    "wrong",
    [
        lambda body: body[:-1],
        lambda body: body.replace(b'"weight": 1.0', b'"weight": 1e999', 1),
        lambda body: body.replace(b'"zone": "z"', b'"zone": "\xff"', 1),
        lambda body: body.replace(b'"zone": "z"', b'"zone": "\\q"', 1),
        lambda body: body.replace(b'"weight": 1.0', b'"weight": NaN', 1),
        lambda body: body.replace(b'"cell": 0', b'"cell": "x"', 1),
        lambda body: body.replace(b"generation", b"g", 1),
        lambda body: body.replace(b'"generation": 7', b'"generation": []', 1),
        lambda body: body.replace(b"127.1.3.7:80", b"nowhere", 1),
        lambda body: b"[" * len(body),
        lambda body: body.replace(b"instanceId", b"id", 1),
    ],
)
def test_a_malformed_long_list_is_rejected_completely(wrong: Any) -> None:
    body = wrong(text_of(long_list()))

    async def test() -> None:
        with pytest.raises(InvalidList):
            await ListReader().read(body)

    run(test)


def test_the_event_loop_runs_while_a_long_list_is_parsed_and_delivered() -> None:
    async def test() -> None:
        turns, at_slices = 0, []

        async def count() -> None:
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        counter = asyncio.create_task(count())
        await asyncio.sleep(0)
        feed = ListFeed(lambda listing: at_slices.append((turns, len(listing.entries))))
        listing = await ListReader().read(text_of(long_list()))
        read_after = turns
        await feed.deliver(listing)
        counter.cancel()
        assert read_after >= MANY / SLICE_ENTRIES
        assert max(size for _, size in at_slices) <= SLICE_ENTRIES
        assert len({turn for turn, _ in at_slices}) == len(at_slices) >= MANY / SLICE_ENTRIES

    run(test)


def test_of_a_full_list_only_changes_are_delivered_and_draining_backends_first() -> None:
    delivered: list[Listing] = []

    async def test() -> None:
        feed, entries = ListFeed(delivered.append), long_list()
        await feed.deliver(parse_listing(text_of(entries, 1)))
        delivered.clear()
        entries[0] |= {"startedAtMs": 5.0}
        entries[-1] |= {"lifecycle": "DRAINING"}
        del entries[10]
        entries.append(entries[20] | {"lifecycle": "DRAINING"})  # a second entry, which counts
        await feed.deliver(parse_listing(text_of(entries, 2)))

    run(test)
    assert [(part.kind, part.generation) for part in delivered] == [(ListKind.CHANGES, 2)]
    states = [(e.backend.address, e.backend.status) for e in delivered[0].entries]
    assert states[-1] == ("backend-0", BackendStatus.SERVING)
    assert sorted(states[:-1], key=str) == [
        ("backend-10", BackendStatus.REMOVED),
        ("backend-21", BackendStatus.DRAINING),
        (f"backend-{MANY - 1}", BackendStatus.DRAINING),
    ]


def test_short_lists_are_delivered_unchanged() -> None:
    delivered: list[Listing] = []

    async def test() -> None:
        listing = parse_listing(text_of(long_list()[:SLICE_ENTRIES]))
        await ListFeed(delivered.append).deliver(listing)
        assert delivered == [listing]

    run(test)


def test_after_a_failed_delivery_the_full_list_is_requested_and_delivered() -> None:
    async def test() -> None:
        peer, delivered, failures = DiscoveryPeer(), list[Listing](), [True]
        peer.entries = {e["instanceId"]: e for e in long_list()}
        await peer.start()
        host, _, port = peer.address.rpartition(":")

        def apply_list(listing: Listing) -> None:
            if failures.pop() if failures else False:
                raise KeyError("a fault while applying it")
            delivered.append(listing)

        following = asyncio.create_task(Discovery([(host, int(port))], 1.0, apply_list, grace=1.0).run())
        async with asyncio.timeout(SOON):
            while not delivered:
                await asyncio.sleep(0.005)
        assert delivered[0].is_full and len(delivered[0].entries) == MANY
        following.cancel()
        await peer.stop()

    run(test)
