"""Real gateways next to the hollow ones: processes started by the deploy file's `run` command."""

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
from embersill.lab.versions import REPO_ROOT, read_deploy_file

READY_POLL_SECONDS = 0.05
MEMORY_MB, SOCKETS = 192, 1024  # as on the platform
RUN_VARIABLE = "EMBERSILL_RUN"  # environment variable: a command that replaces the deploy file's


def choose_ports(number: int, directories: int) -> RealGatewayPorts:
    """Free ports for a gateway and its relays, with one relay for each replica of the list service."""
    return RealGatewayPorts(number, free_port(), [free_port() for _ in range(directories)], free_port())


def gateway_config(
    deployment: Deployment, ports: RealGatewayPorts, seed: int, aggregator_list: str = ""
) -> dict[str, object]:
    """A real gateway's configuration, without a list of backends, as hollow gateways start."""
    config: dict[str, object] = {
        "name": f"n{ports.number}", "listen": f"{HOST}:{ports.gateway}",
        "discovery": [f"{HOST}:{port}" for port in ports.discovery_relays],
        "counter": f"{HOST}:{ports.counter_relay}", "seed": f"{seed:016x}",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "known": {"generation": 0, "reset": True, "instances": []},
        "settings": deployment.raw_settings(ports.number),
    }
    aggregation = deployment.aggregation(aggregator_list)
    if aggregation is not None:
        config["aggregation"] = dataclasses.asdict(aggregation)
    return config


async def start_gateway(
    children: Children, folder: pathlib.Path, deployment: Deployment, ports: RealGatewayPorts, seed: int,
    aggregator_list: str = "",
) -> Child:
    """Starts a real gateway with its files in a folder of its own. Raises ChildNotStarted."""
    home = folder / f"gateway-{ports.number}"
    home.mkdir()
    path = home / "config.json"
    path.write_text(json.dumps(gateway_config(deployment, ports, seed, aggregator_list)))
    command = os.environ.get(RUN_VARIABLE) or str(read_deploy_file(REPO_ROOT)["run"])
    return await children.start(
        f"gateway-{ports.number}", ["/bin/sh", "-c", command],
        {"RELAY_CONFIG": str(path), "TMPDIR": str(home)})


async def wait_ready(child: Child, ports: RealGatewayPorts, timeout: float) -> None:
    """Waits until a gateway is ready; `timeout` is seconds. Raises ChildNotStarted."""
    try:
        async with asyncio.timeout(timeout):
            while not await is_ready(ports.gateway):
                await asyncio.sleep(READY_POLL_SECONDS)
    except TimeoutError:
        raise ChildNotStarted(
            f"{child.name} did not get ready within {timeout:.0f} s{child.last_log_line()}") from None
