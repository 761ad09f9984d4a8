"""The client of discovery: watches, recovery from failures, several addresses, and drains."""

from __future__ import annotations

import asyncio

import pytest

from embersill.interface import ListKind, BackendStatus
from embersill.lab.peers import response_bytes
from embersill.net.discovery import EARLY_EMPTY_PAUSE, Discovery, Overloaded
from embersill.net.listing import InvalidList, Listing, read_address, read_addresses, read_listing
from tests.bed import READY, Bed, Client, make_program, no_descriptors, request, roomy_settings, run, running
from tests.peers import SOON, BackendPeer, DiscoveryPeer


async def follow(
    peer: DiscoveryPeer, known: int | None = None, grace: float | None = None
) -> tuple[asyncio.Task[None], asyncio.Queue[Listing]]:
    lists: asyncio.Queue[Listing] = asyncio.Queue()
    host, _, port = peer.address.rpartition(":")
    discovery = Discovery([(host, int(port))], 5.0, lists.put_nowait, known, grace=grace)
    return asyncio.get_running_loop().create_task(discovery.run()), lists


def test_one_connection_carries_the_full_list_and_then_watches() -> None:
    async def test() -> None:
        peer = DiscoveryPeer()
        await peer.start()
        peer.entries = {"a": peer.entry("a", "127.0.0.1:9")}
        task, lists = await follow(peer)
        first = await lists.get()
        assert first.is_full and first.entries[0].address == ("127.0.0.1", 9)
        await peer.until_asked(2)
        await peer.change(peer.entry("a", "127.0.0.1:9", "DRAINING"))
        second = await lists.get()
        assert second.kind is ListKind.CHANGES and second.entries[0].backend.status is BackendStatus.DRAINING
        await peer.until_asked(3)
        assert "since=2&" in peer.asked[2] and peer.connections == 1
        task.cancel()
        await peer.stop()

    run(test)


def test_an_agent_is_called_again_right_after_each_answer() -> None:
    """A change that the agent gets while no call is pending would be missed if an outage began then."""
    changes, each_within = 30, 0.02

    async def test() -> None:
        peer = DiscoveryPeer()
        await peer.start()
        peer.entries = {"a": peer.entry("a", "127.0.0.1:9")}
        task, lists = await follow(peer, grace=1.0)
        await lists.get()
        began = asyncio.get_running_loop().time()
        for number in range(changes):
            await peer.until_asked(number + 2)
            await peer.change(peer.entry("a", "127.0.0.1:9", ("SERVING", "DRAINING")[number % 2]))
            await lists.get()
        await peer.until_asked(changes + 2)
        assert asyncio.get_running_loop().time() - began < changes * each_within
        task.cancel()
        await peer.stop()

    run(test)


@pytest.mark.parametrize("grace", [1.0, None])
def test_empty_answers_before_the_end_of_a_watch_do_not_cause_a_busy_loop(grace: float | None) -> None:
    async def test() -> None:
        peer = DiscoveryPeer()
        await peer.start()
        peer.entries, peer.empty_watches = {"a": peer.entry("a", "127.0.0.1:9")}, True
        task, lists = await follow(peer, grace=grace)
        assert (await lists.get()).is_full
        await asyncio.sleep(0.5)
        assert 2 < len(peer.asked) <= 2 + 0.5 / EARLY_EMPTY_PAUSE
        task.cancel()
        await peer.stop()

    run(test)


def test_the_list_is_fetched_once_a_descriptor_is_available() -> None:
    async def test() -> None:
        peer = DiscoveryPeer()
        await peer.start()
        peer.entries = {"a": peer.entry("a", "127.0.0.1:9")}
        with no_descriptors():
            task, lists = await follow(peer)
            await asyncio.sleep(0.05)
            assert lists.empty() and not peer.asked
        assert (await lists.get()).is_full
        task.cancel()
        await peer.stop()

    run(test)


@pytest.mark.parametrize("way", ["refused", "rubbish"])
def test_a_malformed_or_refused_watch_is_followed_by_a_request_for_the_full_list(way: str) -> None:
    # a watch from the old generation would wait for another change, or be refused again and again
    async def test() -> None:
        peer = DiscoveryPeer()
        await peer.start()
        task, lists = await follow(peer)
        await lists.get()
        await peer.until_asked(2)
        for writer in list(peer.writers):
            writer.write(response_bytes(410) if way == "refused" else response_bytes(200, b"rubbish"))
        listing = await lists.get()
        assert listing.is_full and "since" not in peer.asked[2]
        await peer.until_asked(4)
        await peer.change({"instanceId": "a", "lifecycle": "DELETED"})
        assert (await lists.get()).entries[0].backend.status is BackendStatus.REMOVED
        task.cancel()
        await peer.stop()

    run(test)


@pytest.mark.parametrize("way", ["full", "broken"])
def test_a_call_after_overload_or_a_broken_connection_asks_for_changes_only(
    way: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # requests for the full list, repeated by ten gateways every second, would keep discovery overloaded
    async def test() -> None:
        monkeypatch.setattr("embersill.net.discovery.OVERLOAD_BACKOFF", 0.01)
        peer = DiscoveryPeer()
        await peer.start()
        task, lists = await follow(peer, 1)
        assert not (await lists.get()).entries and "since=1&timeout_ms=1 " in peer.asked[0]
        await peer.until_asked(2)
        for writer in list(peer.writers):
            if way == "full":
                writer.write(response_bytes(503))
            else:
                writer.transport.abort()
        await peer.until_asked(3)
        assert "since=1&" in peer.asked[2]
        await lists.get()
        await peer.change({"instanceId": "a", "lifecycle": "DELETED"})
        assert (await lists.get()).entries[0].backend.status is BackendStatus.REMOVED
        task.cancel()
        await peer.stop()

    run(test)


def test_failed_calls_back_off_with_jitter(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        pauses: list[float] = []

        async def pause(discovery: Discovery, seconds: float) -> None:
            pauses.append(seconds)
            if len(pauses) % 8 == 0:
                raise asyncio.CancelledError

        monkeypatch.setattr(Discovery, "pause", pause)
        for seed in (1, 2):
            discovery = Discovery([("127.0.0.1", 9)], 5.0, lambda listing: None, 1, seed)

            async def overloaded() -> Listing:
                raise Overloaded("status 503")

            monkeypatch.setattr(discovery, "call", overloaded)
            with pytest.raises(asyncio.CancelledError):
                await discovery.run()
        first, second = pauses[:8], pauses[8:]
        assert 0.25 <= first[0] <= 0.75 and 2.0 <= first[7] <= 6.0 and first != second

    run(test)


def max_in_one_second(times: list[float]) -> int:
    return max(sum(t <= other < t + 1.0 for other in times) for t in times)


def test_many_gateways_spread_their_calls_after_an_overload_but_not_the_first_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After a joint restart of 40 gateways, 24 retried together and discovery stayed overloaded."""
    pauses: list[float] = []
    is_large_fleet = True

    async def pause(discovery: Discovery, seconds: float) -> None:
        pauses.append(seconds)
        raise asyncio.CancelledError

    async def overloaded() -> Listing:
        assert not pauses  # the first call must not be delayed
        raise Overloaded("status 503")

    def first_pauses(seed: int) -> list[float]:
        async def test() -> None:
            discovery = Discovery(
                [("127.0.0.1", 9)], 5.0, lambda listing: None, 1, seed, 40 if is_large_fleet else 3)
            monkeypatch.setattr(discovery, "call", overloaded)
            with pytest.raises(asyncio.CancelledError):
                await discovery.run()

        pauses.clear()
        asyncio.run(test())
        return list(pauses)

    monkeypatch.setattr(Discovery, "pause", pause)
    again = [first_pauses(seed)[0] for seed in range(40)]
    assert max_in_one_second(again) <= 16
    is_large_fleet = False  # a few gateways do not take turns
    assert first_pauses(1)[0] < 1.0


def test_an_older_generation_causes_a_request_for_the_full_list() -> None:
    async def test() -> None:
        peer = DiscoveryPeer()
        await peer.start()
        task, lists = await follow(peer, 9)
        assert (await lists.get()).is_full and "since" not in peer.asked[1]
        task.cancel()
        await peer.stop()

    run(test)


@pytest.mark.parametrize("wrong", [
    {}, [], {"generation": 1, "reset": True}, {"generation": 1, "reset": True, "instances": [{}]},
    {"generation": 1, "reset": True, "instances": [{"instanceId": "a", "lifecycle": ["SERVING"]}]},
    {"generation": 1, "reset": True, "instances": [
        {"instanceId": "a", "lifecycle": "SERVING", "hostPort": "nowhere"}]},
])
def test_a_malformed_list_is_rejected(wrong: object) -> None:
    with pytest.raises(InvalidList):
        read_listing(wrong)


async def assert_nothing_is_sent_to(draining: BackendPeer, other: BackendPeer, client: Client) -> None:
    seen = len(draining.seen)
    for number in range(8, 20):
        assert (await client.ask(request(number)))[0] == 200
    assert len(draining.seen) == seen and len(other.seen) >= 12


def test_nothing_is_sent_to_a_draining_backend() -> None:
    async def test() -> None:
        async with running(backends=2) as bed:
            client = await bed.client()
            for number in range(8):
                assert (await client.ask(request(number)))[0] == 200
            draining, other = bed.backends
            asked = len(bed.discovery.asked)
            await bed.discovery.change(bed.discovery.entry("b0", draining.address, "DRAINING"))
            await bed.discovery.until_asked(asked + 1)  # the next watch: the change was received
            await assert_nothing_is_sent_to(draining, other, client)

    run(test)


@pytest.mark.parametrize("calls", [1, 2])
def test_nothing_is_sent_to_a_backend_whose_drain_a_silent_watch_missed(
    calls: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("embersill.net.discovery.MAX_WATCH_MS", 400)

    async def test() -> None:
        async with running(backends=2) as bed:
            client = await bed.client()
            for number in range(8):
                assert (await client.ask(request(number)))[0] == 200
            draining, other = bed.backends
            asked = len(bed.discovery.asked)
            bed.discovery.answers_to_omit = calls  # the watch, and the call after it
            await bed.discovery.change(bed.discovery.entry("b0", draining.address, "DRAINING"))
            await bed.discovery.until_asked(asked + calls + 1)  # one answered call, and the watch after it
            assert bed.discovery.answers_to_omit == 0
            await assert_nothing_is_sent_to(draining, other, client)
            assert bed.discovery.connections == calls + 1

    run(test)


# several addresses


async def follow_all(
    peers: list[DiscoveryPeer], known: int | None = None, more: tuple[tuple[str, int], ...] = (),
) -> tuple[Discovery, asyncio.Task[None], asyncio.Queue[Listing]]:
    lists: asyncio.Queue[Listing] = asyncio.Queue()
    addresses = [*more, *(read_address(peer.address) for peer in peers)]
    discovery = Discovery(addresses, 5.0, lists.put_nowait, known)
    return discovery, asyncio.get_running_loop().create_task(discovery.run()), lists


async def two_peers() -> tuple[DiscoveryPeer, DiscoveryPeer]:
    peers = DiscoveryPeer(), DiscoveryPeer()
    for peer in peers:
        peer.entries = {"a": peer.entry("a", "127.0.0.1:9")}
        await peer.start()
    return peers


def test_the_second_address_takes_over_from_the_current_generation() -> None:
    async def test() -> None:
        first, second = await two_peers()
        discovery, task, lists = await follow_all([first, second])
        assert (await lists.get()).is_full and not second.asked
        await first.until_asked(2)
        await first.stop()
        await second.until_asked(1)
        assert "since=1&" in second.asked[0] and not (await lists.get()).entries
        await second.change({"instanceId": "a", "lifecycle": "DELETED"})
        assert (await lists.get()).entries[0].backend.status is BackendStatus.REMOVED
        task.cancel()
        await second.stop()

    run(test)


def test_an_older_list_of_a_lagging_replica_is_never_accepted() -> None:
    async def test() -> None:
        first, second = await two_peers()
        first.generation = 9
        discovery, task, lists = await follow_all([first, second])
        assert (await lists.get()).generation == 9
        await first.until_asked(2)
        for writer in list(first.writers):
            # the next call names no generation and could get any list
            writer.write(response_bytes(200, b"{"))
        await first.stop()
        await second.until_asked(3)
        assert lists.empty() and "since" not in second.asked[0]
        second.generation = 10
        assert (await lists.get()).generation == 10
        task.cancel()
        await second.stop()

    run(test)


def test_a_leader_that_restarts_its_generations_is_accepted() -> None:
    async def test() -> None:
        first, second = await two_peers()
        first.generation = 9
        first.headers = ["Directory-Role: leader"]
        discovery, task, lists = await follow_all([first, second])
        assert (await lists.get()).generation == 9
        await first.until_asked(2)
        first.generation, first.entries = 4, {}
        for writer in list(first.writers):
            writer.transport.abort()
        while (listing := await lists.get()).generation != 4 or not listing.is_full:
            pass
        assert not listing.entries
        task.cancel()
        await first.stop()
        await second.stop()

    run(test)


@pytest.mark.parametrize("wrong", [
    b"HTTP/1.1 200 X\r\nContent-Length: 900\r\n\r\n{\"generation\":1", b"HTTP/1.1 200 X\r\nContent-Le",
    response_bytes(200, b"[]"), response_bytes(200, b'{"generation":"x","reset":true,"instances":[]}'),
    b"\0" * 100, response_bytes(302), response_bytes(200),
])
def test_malformed_answers_keep_the_list_and_switch_to_the_next_address(wrong: bytes) -> None:
    async def test() -> None:
        first, second = await two_peers()
        discovery, task, lists = await follow_all([first, second])
        assert (await lists.get()).is_full
        await first.until_asked(2)
        for writer in list(first.writers):
            writer.write(wrong)
            writer.close()
        await second.until_asked(1)
        next_list = await lists.get()
        assert [e.backend.status for e in next_list.entries] in ([], [BackendStatus.SERVING])
        task.cancel()
        await first.stop()
        await second.stop()

    run(test)


def test_an_endless_answer_is_cancelled(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr("embersill.net.discovery.MAX_ANSWER_TIME", 0.05)
        monkeypatch.setattr("embersill.net.discovery.ANSWER_MARGIN", 0.05)
        monkeypatch.setattr("embersill.net.discovery.MAX_WATCH_MS", 1)
        monkeypatch.setattr("embersill.net.discovery.OVERLOAD_BACKOFF", 0.01)
        monkeypatch.setattr("embersill.net.discovery.MAX_LIST_BYTES", 4096)
        first, second = await two_peers()
        discovery, task, lists = await follow_all([first, second])
        await lists.get()
        first.silent = True
        await second.until_asked(1)
        second.endless = True
        await first.until_asked(3)  # back at the first, after more bytes than a list may have
        task.cancel()
        await first.stop()
        await second.stop()

    run(test)


def test_discovery_fails_back_to_the_first_address(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr("embersill.net.discovery.FAILBACK_DELAY", 0.0)
        monkeypatch.setattr("embersill.net.discovery.MAX_WATCH_MS", 1)
        first, second = await two_peers()
        port = int(first.address.rpartition(":")[2])
        discovery, task, lists = await follow_all([first, second])
        await lists.get()
        await first.stop()
        await second.until_asked(3)  # while it is down the watch continues at the second
        asked = len(first.asked)
        discovery.failback_delay = discovery.failback_at = 0.0
        await first.start(port)
        await first.until_asked(asked + 2)
        assert discovery.address_index == 0
        task.cancel()
        await first.stop()
        await second.stop()

    run(test)


def test_gateways_do_not_switch_addresses_together(monkeypatch: pytest.MonkeyPatch) -> None:
    pauses: list[float] = []

    async def pause(discovery: Discovery, seconds: float) -> None:
        pauses.append(seconds)
        raise asyncio.CancelledError

    async def broken() -> Listing:
        raise ConnectionError("the leader is gone")

    async def one(seed: int) -> None:
        discovery = Discovery([("127.0.0.1", 9), ("127.0.0.1", 10)], 5.0, lambda listing: None, 1, seed, 200)
        monkeypatch.setattr(discovery, "call", broken)
        with pytest.raises(asyncio.CancelledError):
            await discovery.run()

    monkeypatch.setattr(Discovery, "pause", pause)
    for seed in range(200):
        asyncio.run(one(seed))
    assert max_in_one_second(pauses) <= 130 and max(pauses) <= 3.0


def test_the_age_of_the_list_includes_the_lag_of_the_replica(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        first, second = await two_peers()
        first.headers = ["Directory-Role: follower", "Directory-Lag: 41.5"]
        discovery, task, lists = await follow_all([first, second])
        await lists.get()
        assert 41.0 < discovery.list_age() < 41.5 + SOON
        task.cancel()
        await first.stop()
        await second.stop()

    run(test)


def test_an_entry_in_an_unknown_state_counts_as_draining(caplog: pytest.LogCaptureFixture) -> None:
    peer = DiscoveryPeer()
    entries = [peer.entry("a", "127.0.0.1:9"), peer.entry("b", "127.0.0.1:9", "RESTING"),
               {"instanceId": "c", "lifecycle": "ODD"}]
    listing = read_listing({"generation": 1, "reset": True, "instances": entries})
    assert [e.backend.status for e in listing.entries] == [
        BackendStatus.SERVING, BackendStatus.DRAINING, BackendStatus.DRAINING]
    assert caplog.messages == ["2 entries in an unknown state are set aside: b c"]


@pytest.mark.parametrize(("raw", "addresses"), [
    ("a:1", [("a", 1)]), ("a:1,b:2", [("a", 1), ("b", 2)]), (["a:1", " b:2", "a:1"], [("a", 1), ("b", 2)]),
])
def test_one_or_several_addresses_are_parsed(raw: object, addresses: list[tuple[str, int]]) -> None:
    assert list(read_addresses(raw)) == addresses


@pytest.mark.parametrize("wrong", ["", "a:1,", [], [5], 5, None, "a", ["a:0"]])
def test_malformed_addresses_are_rejected(wrong: object) -> None:
    with pytest.raises((ValueError, TypeError, AttributeError)):
        read_addresses(wrong)


@pytest.mark.parametrize(("memory_mb", "limit_mb"), [(16, 1), (32, 2), (64, 4), (192, 4)])
def test_the_list_size_limit_follows_the_memory_and_allows_1024_backends(
    memory_mb: int, limit_mb: int
) -> None:
    async def test() -> None:
        bed = Bed(0)
        for peer in (bed.discovery, bed.counter):
            await peer.start()
        configuration = bed.configuration({**roomy_settings(), "balancers": 1024}, 1024)
        configuration["limits"]["memory_mb"] = memory_mb
        program = make_program(configuration, {})
        await bed.discovery.change(
            *(bed.discovery.entry(f"s-{n:08x}", "127.0.0.1:9") for n in range(1024)))
        following = asyncio.get_running_loop().create_task(program.discovery.run())
        await bed.discovery.until_asked(2)
        assert (
            program.discovery.max_list_bytes == limit_mb * 1024 * 1024
            and len(program.driver.serving) == 1024)
        following.cancel()
        program.driver.report_timer.cancel()
        program.dialer.close()
        for peer in (bed.discovery, bed.counter):
            await peer.stop()

    run(test)


@pytest.mark.parametrize("way", ["refused", "silent"])
def test_a_gateway_keeps_serving_with_its_last_list_while_discovery_is_down(way: str) -> None:
    # an outdated list is kept: an outage of discovery must not become an outage of the gateway
    async def test() -> None:
        async with running() as bed:
            discovery = bed.program.discovery
            await bed.discovery.until_asked(2)
            if way == "silent":
                bed.discovery.silent = True
                async with bed.discovery.changed:
                    bed.discovery.generation += 1
                    bed.discovery.changed.notify_all()
            else:
                await bed.discovery.stop()
            while not discovery.failing:
                await asyncio.sleep(0.01)
            clock = discovery.loop.time()
            discovery.current_at = clock - 60.0
            client = await bed.client()
            assert (await client.ask(READY))[0] == 200 and (await client.ask(request(1)))[0] == 200

    run(test)
