"""What one process of a gateway hands to its successor, as JSON-ready data, and how that goes on with it.

Nothing is decided here: `embersill/control.py` says when state is taken and restored.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from embersill.control import Gateway, Server, Throttle

GATEWAY_STATE = ("born", "fleet_fails", "retry_credit", "passed", "judged", "limit", "flight", "quiet_until",
                 "count_fails", "counted_part")
THROTTLE_STATE = ("share", "level", "stamp", "cap", "second", "asked", "last_asked", "own", "total",
                  "read_until", "fresh_until", "uncounted", "open", "first_gateway")
SERVER_STATE = ("started", "bad", "touched", "limit", "flight", "calls")
# of these, the moments by the clock of the process that hands over, which may be another than the successor's
MOMENTS = frozenset(
    ("born", "judged", "quiet_until", "stamp", "read_until", "fresh_until", "started", "touched"))


def export_state(gateway: Gateway) -> dict[str, Any]:
    """All that a successor must know. The customers' credit goes with it and is no longer the gateway's."""
    return {
        "now": gateway.now,
        "gateway": read_fields(gateway, GATEWAY_STATE),
        "throttles": [export_throttle(throttle, gateway.now) for throttle in gateway.throttles.values()],
        "servers": [[address, server.backend.started_at, read_fields(server, SERVER_STATE)]
                    for address, server in gateway.servers.items() if has_learned_state(server, gateway)],
        "banned": sorted(gateway.banned), "known": sorted(gateway.known), "greet": gateway.greet,
        "usual": [[*key, value] for key, value in gateway.usual.items()], "kinds": gateway.kinds,
        "work_times": gateway.work_times.state(),
        "granted": [[*key, value] for key, value in gateway.granted.items()],
    }


def has_learned_state(server: Server, gateway: Gateway) -> bool:
    """True where something was learned of a backend: of thousands most have not been used."""
    learned = server.bad or server.flight or server.calls or server.started != server.backend.started_at
    return bool(learned) or server.limit != gateway.start_limit()


def read_fields(source: Gateway | Server | Throttle, names: tuple[str, ...]) -> dict[str, Any]:
    return {name: getattr(source, name) for name in names}


def export_throttle(throttle: Throttle, now: float) -> list[Any]:
    """Held requests are charged to the level already, and are taken off the ceiling's store in advance.

    This process sends no more than those. Until it has ended the successor's part is smaller by as much: it
    would else be full again before they are sent.
    """
    throttle.refill(now)
    state = read_fields(throttle, THROTTLE_STATE)
    kept = throttle.held if throttle.lease is None else min(throttle.held, throttle.cap)
    state["cap"] -= kept
    state["cap_kept"] = kept
    throttle.level, throttle.cap = min(throttle.level, 0.0), min(throttle.cap, throttle.held)
    throttle.uncounted = 0.0
    return [throttle.customer, throttle.plan.name, throttle.width, state]


def restore_state(gateway: Gateway, state: Mapping[str, Any]) -> None:
    """Takes over what `take_state` told; what the process before has out counts until it has ended.

    `clock_ahead`: seconds by which this process's clock is ahead of the other's; older versions tell none.
    """
    ahead = float(state.get("clock_ahead", 0.0))
    restore_fields(gateway, gateway, to_local_clock(state["gateway"], ahead), "flight")
    for address, listed, figures in state["servers"]:
        server = gateway.servers.get(address)
        if server is not None and server.backend.started_at == listed:
            restore_fields(gateway, server, to_local_clock(figures, ahead), "flight")
    for customer, plan, width, figures in state["throttles"]:
        if plan in gateway.plans:
            restore_throttle(gateway, customer, plan, width, to_local_clock(figures, ahead))
    gateway.greet = {address: due + ahead for address, due in state["greet"].items()}
    gateway.kinds = dict(state["kinds"])
    gateway.usual = {(klass, units): value for klass, units, value in state["usual"]}
    gateway.work_times.restore(state.get("work_times", ()), gateway.now)  # older versions tell none
    gateway.granted.update({(name, sure): value for name, sure, value in state["granted"]})


def to_local_clock(figures: Mapping[str, Any], ahead: float) -> dict[str, Any]:
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
    gateway.sweep.append(customer)
    kept = figures.get("cap_kept", 0.0)  # older versions tell none
    restore_fields(gateway, made, {n: v for n, v in figures.items() if n != "cap_kept"}, "open")
    made.cap_depth -= kept
    gateway.before.append((made, "cap_depth", -kept))
    made.rate, made.bank = made.plan.rate * made.share, made.plan.burst * made.share
    gateway.start_counting(made)


def restore_fields(
    gateway: Gateway, target: Gateway | Server | Throttle, figures: Mapping[str, Any], out: str
) -> None:
    """`out`: the field that counts what the process before still has out."""
    for name, value in figures.items():
        setattr(target, name, value)
    gateway.before.append((target, out, figures[out]))


def end_predecessor(gateway: Gateway) -> None:
    """The process before has ended: nothing of it is out any more."""
    for target, name, number in gateway.before:
        setattr(target, name, getattr(target, name) - number)
    gateway.before = []
