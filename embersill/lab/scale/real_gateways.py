"""Real gateways beside the hollow ones: processes started by the deploy file's `run`."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import os
import pathlib

from embersill.lab.peers import HOST, free_port, is_ready
from embersill.lab.scale.children import Child, Children, ChildNotStarted
from embersill.lab.scale.deployment import Deployment
from embersill.lab.scale.messages import RealGatewayPorts
from embersill.lab.versions import HERE, deployed

READY_POLL_SECONDS = 0.05
MEMORY_MB, SOCKETS = 192, 1024  # as on the platform
RUN_VARIABLE = "EMBERSILL_RUN"  # environment: a command in place of the deploy file's run


def choose_ports(number: int, directories: int) -> RealGatewayPorts:
    return RealGatewayPorts(number, free_port(), [free_port() for _ in range(directories)], free_port())


def gateway_config(
    deployment: Deployment, ports: RealGatewayPorts, seed: int, aggregator_list: str = ""
) -> dict[str, object]:
    """A gateway that starts with no list, as hollow ones do."""
    told: dict[str, object] = {
        "name": f"n{ports.number}", "listen": f"{HOST}:{ports.gateway}",
        "discovery": [f"{HOST}:{port}" for port in ports.discovery_relays],
        "counter": f"{HOST}:{ports.counter_relay}", "seed": f"{seed:016x}",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "known": {"generation": 0, "reset": True, "instances": []},
        "settings": deployment.raw_settings(ports.number),
    }
    aggregation = deployment.aggregation(aggregator_list)
    if aggregation is not None:
        told["aggregation"] = dataclasses.asdict(aggregation)
    return told


async def start_gateway(
    children: Children, folder: pathlib.Path, deployment: Deployment, ports: RealGatewayPorts, seed: int,
    aggregator_list: str = "",
) -> Child:
    home = folder / f"gateway-{ports.number}"
    home.mkdir()
    path = home / "config.json"
    path.write_text(json.dumps(gateway_config(deployment, ports, seed, aggregator_list)))
    command = os.environ.get(RUN_VARIABLE) or str(deployed(HERE)["run"])
    return await children.start(
        f"gateway-{ports.number}", ["/bin/sh", "-c", command],
        {"RELAY_CONFIG": str(path), "TMPDIR": str(home)})


async def wait_ready(child: Child, ports: RealGatewayPorts, within: float) -> None:
    """ChildNotStarted where it does not get ready."""
    try:
        async with asyncio.timeout(within):
            while not await is_ready(ports.gateway):
                await asyncio.sleep(READY_POLL_SECONDS)
    except TimeoutError:
        raise ChildNotStarted(
            f"{child.name} did not get ready within {within:.0f} s{child.last_log_line()}") from None
