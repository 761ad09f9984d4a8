"""Drains by a change, by a full list or by absence from it: from then on nothing new is sent there."""

from __future__ import annotations

import asyncio

import pytest

from embersill.lab.peers import HttpMessage, response_bytes
from embersill.net.listing import read_listing
from embersill.net.pool import PooledConnection
from tests.bed import Bed, request, roomy_settings, run, running
from tests.peers import SOON, serve

HOW = ("change", "whole", "absent")


def drain(bed: Bed, names: list[str], how: str) -> None:
    """Delivers a list in which these backends drain or are absent, and the others serve."""
    entries = dict(bed.discovery.entries)
    for name in names:
        entries[name] = {**entries[name], "lifecycle": "DRAINING"}
        if how == "absent":
            del entries[name]
    listing = {"generation": 2, "reset": how != "change", "instances": list(entries.values())}
    bed.program.driver.on_list(read_listing(listing))


def others(bed: Bed, name: str) -> list[str]:
    return [other for other in bed.discovery.entries if other != name]


@pytest.mark.parametrize("how", HOW)
def test_a_request_held_for_its_quota_goes_to_a_serving_backend(how: str) -> None:
    async def test() -> None:
        env = roomy_settings()
        # here a bank of 8 units, and 50 units per second
        env["packages"][0].update(peak_units=16.0, units_per_s=100.0)
        async with running(backends=3, env=env) as bed:
            client, second = await bed.client(), await bed.client()
            assert (await client.ask(request(1, units="8")))[0] == 200
            second.send(request(2, units="8"))
            throttles = bed.program.driver.gateway.throttles
            async with asyncio.timeout(SOON):
                while not any(throttle.queue for throttle in throttles.values()):
                    await asyncio.sleep(0)
            drain(bed, ["b0", "b1"], how)
            assert (await second.answer())[0] == 200
            assert any("0000000000000002" == asked[1]["x-call-id"] for asked in bed.backends[2].seen)

    run(test)


@pytest.mark.parametrize("how", HOW)
def test_a_partly_written_request_is_completed_at_its_draining_backend(how: str) -> None:
    async def test() -> None:
        async with running(backends=3) as bed:
            client, body = await bed.client(), b"x" * 200_000
            text = request(1, "report", body=body)
            client.send(text[:-100_000])
            async with asyncio.timeout(SOON):
                while not any(
                    a.was_assigned for p in bed.program.driver.pending.values() for a in p.attempts
                ):
                    await asyncio.sleep(0.001)
            pending, = bed.program.driver.pending.values()
            name = pending.attempts[0].backend
            drain(bed, [name], how)
            client.send(text[-100_000:])
            assert (await client.answer())[0] == 200
            seen = bed.seen()
            assert len(seen) == 1 and seen[0] in bed.backends[int(name[1:])].seen and seen[0][2] == body
            for number in range(2, 10):
                assert (await client.ask(request(number)))[0] == 200
            assert len(bed.backends[int(name[1:])].seen) == 1

    run(test)


@pytest.mark.parametrize("how", HOW)
def test_a_retry_right_after_the_drain_goes_to_a_serving_backend(how: str) -> None:
    async def test() -> None:
        async with running(backends=4) as bed:
            drained: list[str] = []

            def rejects(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
                """Delivers the list just before the rejection that causes a retry; one other still serves."""
                if drained:
                    return serve(writer, asked)
                here = next(f"b{n}" for n, b in enumerate(bed.backends) if asked in b.seen)
                drained.extend([here, *others(bed, here)[:2]])
                drain(bed, drained, how)
                writer.write(response_bytes(503, b"", "X-Rejected: 1"))
                return None

            for backend in bed.backends:
                backend.script = [rejects]
            client = await bed.client()
            assert (await client.ask(request(1)))[0] == 200
            remaining, = set(bed.discovery.entries) - set(drained)
            assert len(bed.backends[int(remaining[1:])].seen) == 1 and len(bed.seen()) == 2

    run(test)


@pytest.mark.parametrize("how", HOW)
def test_idle_connections_to_a_draining_backend_are_closed_and_none_is_opened(how: str) -> None:
    async def test() -> None:
        async with running(backends=3) as bed:
            client = await bed.client()
            for number in range(20):
                assert (await client.ask(request(number)))[0] == 200
            pool, draining = bed.program.dialer.pool, bed.backends[0]
            assert pool.backends["b0"].idle
            seen, opened = len(draining.seen), draining.connections
            drain(bed, ["b0"], how)
            pool.preconnect("b0", 1)  # as if the decision module had asked for it just before
            await draining.until(lambda: draining.ended == opened)
            for number in range(20, 40):
                assert (await client.ask(request(number)))[0] == 200
            assert (len(draining.seen), draining.connections) == (seen, opened)

    run(test)


@pytest.mark.parametrize("how", HOW)
def test_a_request_waiting_for_a_connection_goes_to_a_serving_backend(how: str) -> None:
    """Thirteen of fourteen drain at once: a list applied entry by entry would send it to another of them."""

    class NeverOpening(PooledConnection):
        """A connection that is never opened."""

        def abort(self) -> None:
            pass

    async def test() -> None:
        async with running(backends=14) as bed:
            pool, peers = bed.program.dialer.pool, bed.backends
            names = [f"b{n}" for n in range(14)]
            opener = pool.opener
            pool.opener = lambda backend, address: NeverOpening(backend)
            client = await bed.client()
            client.send(request(1))
            async with asyncio.timeout(SOON):
                while not any(backend.waiting for backend in pool.backends.values()):
                    await asyncio.sleep(0.001)
            waits = next(name for name, backend in pool.backends.items() if backend.waiting)
            pool.opener = opener
            serving = next(name for name in names if name != waits)
            drain(bed, [name for name in names if name != serving], how)
            assert (await client.answer())[0] == 200
            assert bed.program.driver.figures.other_counts["attempt no connection"] == 1
            assert len(peers[int(serving[1:])].seen) == 1 and len(bed.seen()) == 1
            assert bed.program.driver.serving == {serving}

    run(test)
