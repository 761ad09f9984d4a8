"""State that one process of a gateway hands over to its successor, as JSON-ready data, and its restoration.

The state may come from an older or newer version of the program. `embersill.control` decides when state is
exported and restored. All moments and durations are in seconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from itertools import islice
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from embersill.control import Gateway, Server, Throttle

MAX_REMOVED_HANDED_OVER = 4096  # removed backends, the latest, whose last start a successor gets

# key of the transferred state, which other versions read and write: attribute
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
# the keys above that hold moments by the predecessor's clock, which may differ from the successor's
MOMENTS = frozenset(
    ("born", "judged", "quiet_until", "stamp", "read_until", "fresh_until", "started", "touched"))


def export_state(gateway: Gateway) -> dict[str, Any]:
    """The state for a successor. The credit of the customers is handed over with it: it is zero here then."""
    return {
        "now": gateway.now,
        "gateway": read_fields(gateway, GATEWAY_STATE),
        "throttles": [export_throttle(throttle, gateway.now) for throttle in gateway.throttles.values()],
        "servers": [[address, server.backend.started_at, export_server(server)]
                    for address, server in gateway.servers.items() if has_learned_state(server, gateway)],
        "banned": sorted(gateway.suspended), "known": sorted(gateway.known_addresses),
        "greet": gateway.first_request_due,
        "usual": [[*key, value] for key, value in gateway.expected_times.items()],
        "kinds": gateway.machine_slowness,
        "work_times": gateway.work_times.state(),
        "runs": gateway.run_history.state(gateway.now),
        "granted": [[*key, value] for key, value in gateway.grant_rates.items()],
        "listed": [gateway.first_listed_at, gateway.last_listed_at],
        "removed": [[address, *starts] for address, starts in islice(
            reversed(gateway.removed_starts.items()), MAX_REMOVED_HANDED_OVER)],
    }


def has_learned_state(server: Server, gateway: Gateway) -> bool:
    """Whether a server's state differs from that of a new one; most of thousands were never used."""
    learned = (server.failure_score or server.in_flight or server.cold_sends or server.rejecting_until
               or server.started_at != server.backend.started_at)
    return bool(learned) or server.limit != gateway.initial_limit()


def export_server(server: Server) -> dict[str, Any]:
    rejecting = [[*key, until] for key, until in server.rejecting_until.items()]
    return {**read_fields(server, SERVER_STATE), **({"rejecting": rejecting} if rejecting else {})}


def read_fields(source: Gateway | Server | Throttle, attributes: Mapping[str, str]) -> dict[str, Any]:
    """The values of the attributes, under the keys of the transferred state."""
    return {key: getattr(source, attribute) for key, attribute in attributes.items()}


def export_throttle(throttle: Throttle, now: float) -> list[Any]:
    """The row of a customer, whose credit is removed here.

    Held requests are already charged to the level. They are also subtracted from the successor's part of the
    ceiling, and this process sends no more than those. The successor's part stays smaller by as much until
    this process has ended: otherwise it could be full again before they are sent.
    """
    throttle.refill(now)
    state = read_fields(throttle, THROTTLE_STATE)
    kept = throttle.held_units if throttle.lease is None else min(throttle.held_units, throttle.ceiling_level)
    state["cap"] -= kept
    state["cap_kept"] = kept
    throttle.quota_level = min(throttle.quota_level, 0.0)
    throttle.ceiling_level = min(throttle.ceiling_level, throttle.held_units)
    throttle.unreported_units = 0.0
    return [throttle.customer, throttle.plan.name, throttle.gateway_count, state]


def restore_state(gateway: Gateway, state: Mapping[str, Any]) -> None:
    """Applies the state of `export_state`. Attempts in flight at the predecessor count until it has ended.

    `clock_ahead` in the state: seconds by which this process's clock is ahead of the predecessor's; older
    versions do not send it.
    """
    ahead = float(state.get("clock_ahead", 0.0))
    restore_fields(gateway, gateway, GATEWAY_STATE, to_local_clock(state["gateway"], ahead), "flight")
    for address, started_at, values in state["servers"]:
        server = gateway.servers.get(address)
        if server is not None and server.backend.started_at == started_at:
            rejecting = values.get("rejecting", ())  # older versions do not send it
            server.rejecting_until = {(name, plan): until + ahead for name, plan, until in rejecting}
            learned = {key: value for key, value in values.items() if key != "rejecting"}
            restore_fields(gateway, server, SERVER_STATE, to_local_clock(learned, ahead), "flight")
    restore_list_history(gateway, state, ahead)
    for customer, plan, gateway_count, values in state["throttles"]:
        if plan in gateway.plans:
            restore_throttle(gateway, customer, plan, gateway_count, to_local_clock(values, ahead))
    gateway.first_request_due = {address: due + ahead for address, due in state["greet"].items()}
    gateway.machine_slowness = dict(state["kinds"])
    gateway.expected_times = {
        (request_class, units): value for request_class, units, value in state["usual"]}
    gateway.work_times.restore(state.get("work_times", ()), gateway.now)  # older versions do not send it
    gateway.run_history.restore(state.get("runs", ()), ahead, gateway.now)  # nor this
    gateway.grant_rates.update({(plan, covered): value for plan, covered, value in state["granted"]})


def restore_list_history(gateway: Gateway, state: Mapping[str, Any], ahead: float) -> None:
    """Applies since when the list is followed, and the last starts of removed backends.

    By these, a backend that is listed from now on counts as cold or warm as at the predecessor; as cold in
    doubt.
    """
    first, last = state.get("listed", (None, None))  # older versions do not send it
    if first is not None:
        gateway.first_listed_at = min(first + ahead, gateway.first_listed_at or gateway.now)
        gateway.last_listed_at = max(last + ahead, gateway.last_listed_at)
    for address, listed, assumed in reversed(state.get("removed", ())):  # the one removed last is first
        started_at, server = None if assumed is None else assumed + ahead, gateway.servers.get(address)
        if server is None:
            gateway.removed_starts.setdefault(address, (listed, started_at))
        elif listed is not None and server.backend.started_at == listed:
            server.started_at = started_at


def to_local_clock(values: Mapping[str, Any], ahead: float) -> dict[str, Any]:
    """Converts the predecessor's moments to a clock that is `ahead` seconds ahead of the predecessor's."""
    converted = {key: value + ahead if key in MOMENTS and value is not None else value
                 for key, value in values.items()}
    if "calls" in converted:
        converted["calls"] = [at + ahead for at in converted["calls"]]
    if "second" in converted:  # the number of a period of one second
        converted["second"] += round(ahead)
    return converted


def restore_throttle(
    gateway: Gateway, customer: str, plan: str, gateway_count: int, values: Mapping[str, Any]
) -> None:
    """Creates the throttle of a customer from the values of its row."""
    first_gateway = values.get("first_gateway")  # older versions do not send it
    throttle = gateway.new_throttle(customer, gateway.plans[plan], gateway_count, first_gateway)
    gateway.throttles[customer] = throttle
    gateway.idle_scan.append(customer)
    kept = values.get("cap_kept", 0.0)  # older versions do not send it
    values = {key: value for key, value in values.items() if key != "cap_kept"}
    restore_fields(gateway, throttle, THROTTLE_STATE, values, "open")
    throttle.ceiling_depth -= kept
    gateway.predecessor_counts.append((throttle, "ceiling_depth", -kept))
    throttle.rate, throttle.bank = throttle.plan.rate * throttle.share, throttle.plan.burst * throttle.share
    gateway.schedule_count(throttle)


def restore_fields(
    gateway: Gateway, target: Gateway | Server | Throttle, attributes: Mapping[str, str],
    values: Mapping[str, Any], in_flight_key: str,
) -> None:
    """Sets attributes of `target` from transferred values.

    `in_flight_key`: key of the count that includes the predecessor's attempts.
    """
    for key, value in values.items():
        setattr(target, attributes.get(key, key), value)
    gateway.predecessor_counts.append((target, attributes[in_flight_key], values[in_flight_key]))


def end_predecessor(gateway: Gateway) -> None:
    """Subtracts what the predecessor had in flight: it has ended."""
    for target, name, number in gateway.predecessor_counts:
        setattr(target, name, getattr(target, name) - number)
    gateway.predecessor_counts = []
    gateway.shares_runs = False
