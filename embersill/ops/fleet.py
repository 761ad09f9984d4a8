"""The fleet file: addresses of the list service and the consoles, machines, and limits of the guards.

The fields of Guards have the names of the keys of its TOML table.
"""

from __future__ import annotations

import pathlib
import re
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

NAME_PATTERN = re.compile(r"[A-Za-z0-9._@-]{1,100}")
ADDRESS_PATTERN = re.compile(r"(\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9.-]+):([0-9]{1,5})")


class InvalidFleetFile(Exception):
    """The fleet file cannot be read or is not valid; the text is one line."""


@dataclass(frozen=True, slots=True)
class Member:
    """A gateway or a backend, and the machine that it runs on."""

    name: str
    machine: str
    console: str = ""  # host:port of a gateway's console; empty for a backend


@dataclass(frozen=True, slots=True)
class Guards:
    """What has to remain in service after a drain."""

    backend_rate: float  # requests per second that a backend of weight 1 sustains
    headroom: float = 0.8  # fraction of the remaining capacity that the load may use
    least_serving: int = 1  # backends
    least_cell: int = 1  # backends in each cell that loses one
    least_zone: int = 1  # backends in each zone that loses one
    least_gateways: int = 1  # ready gateways


@dataclass(frozen=True, slots=True)
class Fleet:
    """The list service's addresses, the members of the fleet and the guards' limits."""

    directory: tuple[str, ...]
    gateways: tuple[Member, ...]
    backends: tuple[Member, ...]
    guards: Guards

    def find_gateway(self, name: str) -> Member | None:
        return next((g for g in self.gateways if g.name == name), None)

    def console_address(self, name: str) -> str:
        return next(g.console for g in self.gateways if g.name == name)

    def machines(self) -> set[str]:
        return {m.machine for m in (*self.gateways, *self.backends)}


def read_fleet(path: pathlib.Path) -> Fleet:
    """Reads and checks the file; raises InvalidFleetFile with its path."""
    try:
        with path.open("rb") as file:
            return build_fleet(tomllib.load(file))
    except OSError as error:
        raise InvalidFleetFile(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, InvalidFleetFile) as error:
        raise InvalidFleetFile(f"{path}: {error}") from error


def build_fleet(raw: Mapping[str, Any]) -> Fleet:
    """Checks the parsed file; raises InvalidFleetFile."""
    reject_unknown_keys(raw, "the file", "directory", "gateway", "backend", "guards")
    directory = raw.get("directory")
    if not isinstance(directory, list) or not directory:
        raise InvalidFleetFile("directory holds no address of the list service")
    gateways = tuple(read_member(g, "gateway", True) for g in read_tables(raw, "gateway"))
    if not gateways:
        raise InvalidFleetFile("there is no [[gateway]]")
    backends = tuple(read_member(b, "backend", False) for b in read_tables(raw, "backend"))
    for what, names in (
        ("gateway", [g.name for g in gateways]),
        ("backend", [b.name for b in backends]),
        ("console", [g.console for g in gateways]),
    ):
        duplicates = sorted({n for n in names if names.count(n) > 1})
        if duplicates:
            raise InvalidFleetFile(f"{what} {duplicates[0]} stands twice")
    return Fleet(tuple(read_address(d, "directory") for d in directory), gateways, backends, read_guards(raw))


def reject_unknown_keys(raw: Mapping[str, Any], where: str, *known: str) -> None:
    for key in raw:
        if key not in known:
            raise InvalidFleetFile(f"{where} has an unknown key {key!r}; known are {', '.join(known)}")


def read_tables(raw: Mapping[str, Any], key: str) -> list[dict[str, Any]]:
    found = raw.get(key, [])
    if not isinstance(found, list) or not all(isinstance(t, dict) for t in found):
        raise InvalidFleetFile(f"{key} is not a list of tables: write [[{key}]]")
    return found


def read_member(raw: dict[str, Any], what: str, console: bool) -> Member:
    keys = ("name", "machine", "console") if console else ("name", "machine")
    reject_unknown_keys(raw, f"[[{what}]]", *keys)
    name, machine = read_name(raw, what, "name"), read_name(raw, what, "machine")
    return Member(
        name, machine, read_address(raw.get("console"), f"{what} {name}: console") if console else ""
    )


def read_name(raw: dict[str, Any], what: str, key: str) -> str:
    value = raw.get(key)
    if not isinstance(value, str) or not NAME_PATTERN.fullmatch(value):
        raise InvalidFleetFile(f"a [[{what}]] has no valid {key}: {value!r}")
    return value


def read_address(value: Any, what: str) -> str:
    match = ADDRESS_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if match is None or not 0 < int(match[2]) < 65536:
        raise InvalidFleetFile(f"{what} is not host:port: {value!r}")
    return str(value)


def read_guards(raw: Mapping[str, Any]) -> Guards:
    table = raw.get("guards")
    if not isinstance(table, dict):
        raise InvalidFleetFile("there is no [guards]")
    counts = ("least_serving", "least_cell", "least_zone", "least_gateways")
    reject_unknown_keys(table, "[guards]", "backend_rate", "headroom", *counts)
    if "backend_rate" not in table:
        raise InvalidFleetFile(
            "[guards] has no backend_rate, the requests per second that a backend of weight 1 sustains"
        )
    for key, value in table.items():
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or value <= 0 and key not in counts or value < 0:
            raise InvalidFleetFile(f"[guards] {key} is no number above nought: {value!r}")
        if key in counts and not isinstance(value, int):
            raise InvalidFleetFile(f"[guards] {key} is not a whole number: {value!r}")
    if not table.get("headroom", 0.8) <= 1:
        raise InvalidFleetFile("[guards] headroom is a fraction: at most 1")
    return Guards(**table)
