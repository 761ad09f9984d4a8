"""What one process of a gateway hands to its successor, as JSON-ready data, and how that goes on with it.

Nothing is decided here: `embersill/control.py` says when state is taken and restored.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from embersill.control import Gateway, Server, Throttle

# stored key: attribute
GATEWAY_STATE = {
    "born": "started_at", "fleet_fails": "fleet_failure_rate", "retry_credit": "retry_credit",
    "passed": "admitted_fraction", "judged": "last_adjusted_at", "limit": "limit", "flight": "in_flight",
    "quiet_until": "counter_backoff_until", "count_fails": "counter_failures",
    "counted_part": "counted_fraction",
}
THROTTLE_STATE = {
    "share": "share", "level": "quota_level", "stamp": "refilled_at", "cap": "ceiling_level",
    "second": "demand_period", "asked": "period_demand", "last_asked": "last_period_demand",
    "own": "local_demand", "total": "total_demand", "read_until": "reading_valid_until",
    "fresh_until": "reading_fresh_until", "uncounted": "unreported_units", "open": "in_flight",
    "first_gateway": "first_gateway",
}
SERVER_STATE = {
    "started": "started_at", "bad": "failure_score", "touched": "decayed_at", "limit": "limit",
    "flight": "in_flight", "calls": "cold_sends",
}
# of these, the moments by the clock of the process that hands over, which may be another than the successor's
MOMENTS = frozenset(
    ("born", "judged", "quiet_until", "stamp", "read_until", "fresh_until", "started", "touched"))


def take_state(gateway: Gateway) -> dict[str, Any]:
    """All that a successor must know. The customers' credit goes with it and is no longer the gateway's."""
    return {
        "now": gateway.now,
        "gateway": fields_of(gateway, GATEWAY_STATE),
        "throttles": [take_throttle(throttle, gateway.now) for throttle in gateway.throttles.values()],
        "servers": [[address, server.backend.started_at, fields_of(server, SERVER_STATE)]
                    for address, server in gateway.servers.items() if is_known(server, gateway)],
        "banned": sorted(gateway.suspended), "known": sorted(gateway.known_addresses),
        "greet": gateway.first_request_due,
        "usual": [[*key, value] for key, value in gateway.expected_times.items()],
        "kinds": gateway.machine_slowness,
        "work_times": gateway.work_times.state(),
        "granted": [[*key, value] for key, value in gateway.grant_rates.items()],
    }


def is_known(server: Server, gateway: Gateway) -> bool:
    """True where something was learned of a backend: of thousands most have not been used."""
    learned = (server.failure_score or server.in_flight or server.cold_sends
               or server.started_at != server.backend.started_at)
    return bool(learned) or server.limit != gateway.initial_limit()


def fields_of(source: Gateway | Server | Throttle, attributes: Mapping[str, str]) -> dict[str, Any]:
    return {key: getattr(source, attribute) for key, attribute in attributes.items()}


def take_throttle(throttle: Throttle, now: float) -> list[Any]:
    """Held requests are charged to the level already, and are taken off the ceiling's store in advance.

    This process sends no more than those. Until it has ended the successor's part is smaller by as much: it
    would else be full again before they are sent.
    """
    throttle.refill(now)
    state = fields_of(throttle, THROTTLE_STATE)
    kept = throttle.held_units if throttle.lease is None else min(throttle.held_units, throttle.ceiling_level)
    state["cap"] -= kept
    state["cap_kept"] = kept
    throttle.quota_level = min(throttle.quota_level, 0.0)
    throttle.ceiling_level = min(throttle.ceiling_level, throttle.held_units)
    throttle.unreported_units = 0.0
    return [throttle.customer, throttle.plan.name, throttle.gateway_count, state]


def restore_state(gateway: Gateway, state: Mapping[str, Any]) -> None:
    """Takes over what `take_state` told; what the process before has out counts until it has ended.

    `clock_ahead`: seconds by which this process's clock is ahead of the other's; older versions tell none.
    """
    ahead = float(state.get("clock_ahead", 0.0))
    restore_fields(gateway, gateway, GATEWAY_STATE, by_own_clock(state["gateway"], ahead), "flight")
    for address, listed, figures in state["servers"]:
        server = gateway.servers.get(address)
        if server is not None and server.backend.started_at == listed:
            restore_fields(gateway, server, SERVER_STATE, by_own_clock(figures, ahead), "flight")
    for customer, plan, width, figures in state["throttles"]:
        if plan in gateway.plans:
            restore_throttle(gateway, customer, plan, width, by_own_clock(figures, ahead))
    gateway.first_request_due = {address: due + ahead for address, due in state["greet"].items()}
    gateway.machine_slowness = dict(state["kinds"])
    gateway.expected_times = {(klass, units): value for klass, units, value in state["usual"]}
    gateway.work_times.restore(state.get("work_times", ()), gateway.now)  # older versions tell none
    gateway.grant_rates.update({(name, sure): value for name, sure, value in state["granted"]})


def by_own_clock(figures: Mapping[str, Any], ahead: float) -> dict[str, Any]:
    """Another process's moments as those of a clock that is so many seconds ahead of its own."""
    moved = {name: value + ahead if name in MOMENTS and value is not None else value
             for name, value in figures.items()}
    if "calls" in moved:
        moved["calls"] = [at + ahead for at in moved["calls"]]
    if "second" in moved:  # the number of a period
        moved["second"] += round(ahead)
    return moved


def restore_throttle(
    gateway: Gateway, customer: str, plan: str, width: int, figures: Mapping[str, Any]
) -> None:
    first_gateway = figures.get("first_gateway")  # older versions tell none
    made = gateway.new_throttle(customer, gateway.plans[plan], width, first_gateway)
    gateway.throttles[customer] = made
    gateway.idle_scan.append(customer)
    kept = figures.get("cap_kept", 0.0)  # older versions tell none
    figures = {n: v for n, v in figures.items() if n != "cap_kept"}
    restore_fields(gateway, made, THROTTLE_STATE, figures, "open")
    made.ceiling_depth -= kept
    gateway.predecessor_counts.append((made, "ceiling_depth", -kept))
    made.rate, made.bank = made.plan.rate * made.share, made.plan.burst * made.share
    gateway.schedule_count(made)


def restore_fields(
    gateway: Gateway, target: Gateway | Server | Throttle, attributes: Mapping[str, str],
    figures: Mapping[str, Any], out: str,
) -> None:
    """`out`: the key of the field that counts what the process before still has out."""
    for key, value in figures.items():
        setattr(target, attributes.get(key, key), value)
    gateway.predecessor_counts.append((target, attributes[out], figures[out]))


def end_predecessor(gateway: Gateway) -> None:
    """The process before has ended: nothing of it is out any more."""
    for target, name, number in gateway.predecessor_counts:
        setattr(target, name, getattr(target, name) - number)
    gateway.predecessor_counts = []
