"""Idle clients: requests that meet a close, all descriptors in use while discovery is down, and restarts."""

from __future__ import annotations

import asyncio
import os
import pathlib
import socket
import time

import pytest

from embersill.lab.peers import HOST, free_port
from embersill.net.clients import REQUEST_TIMEOUT
from embersill.net.counter import Counter
from tests.bed import READY, Bed, request, run, with_bed
from tests.test_program import ROOT, RUN, process, send_command, until_ready

READY_WITHIN = 10.0  # seconds within which a restarted gateway must be ready


def test_a_request_that_comes_as_a_silent_connection_is_closed_is_served() -> None:
    async def test(bed: Bed) -> None:
        front, clock = bed.program.front, bed.program.front.clock
        client = await bed.client()
        while not front.connections:
            await asyncio.sleep(0)
        front.clock = lambda: clock() + REQUEST_TIMEOUT
        client.put(request(1))
        front.check_connections()
        front.clock = clock
        assert (await client.answer())[0] == 200

    with_bed(test)


def test_a_request_that_comes_as_its_idle_connection_makes_way_is_served() -> None:
    async def test(bed: Bed) -> None:
        front, clock = bed.program.front, bed.program.front.clock
        client = await bed.client()
        assert (await client.ask(request(1)))[0] == 200
        front.clock = lambda: clock() + 60.0
        client.put(request(2))
        front.evict_idle()
        front.clock = clock
        assert (await client.answer())[0] == 200
        front.clock = lambda: clock() + 60.0
        front.evict_idle()  # closes it, as no request is under way
        assert await client.closed()

    with_bed(test)


def test_every_socket_sends_small_writes_at_once() -> None:
    # Data that the kernel holds back is lost if the connection is closed with unread data.
    async def test(bed: Bed) -> None:
        client = await bed.client()
        assert (await client.ask(request(1)))[0] == 200
        assert isinstance(bed.program.driver.counter, Counter)
        bed.program.driver.counter.add("c.1", 1.0, 1.0)
        await asyncio.sleep(0.02)
        transports = [c.transport for c in bed.program.front.connections]
        transports += [getattr(link, "transport", None) for link in bed.program.dialer.pool.connections]
        transports += [line.transport for line in bed.program.driver.counter.connections if line is not None]
        assert bed.program.discovery.connection is not None
        transports.append(bed.program.discovery.connection.transport)
        assert len(transports) >= 4
        for transport in transports:
            assert transport is not None
            sock = transport.get_extra_info("socket")
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    with_bed(test)


@pytest.mark.parametrize("way", ["stopped", "silent"])
def test_idle_clients_may_fill_the_descriptors_while_discovery_is_down(
    way: str, tmp_path: pathlib.Path
) -> None:
    """Descriptors are left for discovery, the counter, the console, new clients and their attempts."""
    async def test() -> None:
        console, limit = free_port(), 96
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": limit}
        async with process(tmp_path, limit, console=f"{HOST}:{console}", limits=limits) as (bed, child):
            host, port = bed.discovery.address.split(":")
            if way == "stopped":
                await bed.discovery.stop()
            else:
                bed.discovery.silent = True
                for writer in list(bed.discovery.writers):
                    writer.transport.abort()
            idle = []
            for number in range(3 * limit):  # later ones replace earlier ones
                client = await bed.client()
                assert (await client.ask(request(number, customer=f"{number:016x}")))[0] == 200
                idle.append(client)
            held = len(os.listdir(f"/proc/{child.pid}/fd"))
            assert held <= limit
            assert (await send_command(console, b"PHASE\n"))["phase"] == "serving"
            bed.discovery.silent = False
            if way == "stopped":
                await bed.discovery.start(int(port))
            bed.discovery.generation += 1
            bed.discovery.entries["b0"]["lifecycle"] = "DRAINING"
            bed.discovery.changes = [bed.discovery.entries["b0"]]
            ready, began = 200, time.monotonic()
            while ready == 200:
                client = await bed.client()
                ready = (await client.ask(READY))[0]
                await asyncio.sleep(0.05)
            assert ready == 503 and time.monotonic() - began < 6.0 and child.returncode is None

    run(test)


@pytest.mark.parametrize("way", ["answers", "silent", "refuses"])
def test_a_restarted_gateway_is_ready_in_time_whatever_discovery_does(
    way: str, tmp_path: pathlib.Path
) -> None:
    async def test() -> None:
        async with process(tmp_path) as (bed, child):
            if way == "refuses":
                await bed.discovery.stop()
            bed.discovery.silent = way == "silent"
            child.kill()
            await child.wait()
            began = time.monotonic()
            second = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", RUN, cwd=ROOT, stderr=asyncio.subprocess.DEVNULL,
                env={**os.environ, "RELAY_CONFIG": str(tmp_path / "config.json")})
            try:
                await until_ready(bed)
                assert time.monotonic() - began < READY_WITHIN / 2 and second.returncode is None
            finally:
                second.kill()
                await second.wait()

    run(test)
