"""The fleet file: where the list and the consoles are, what stands on which machine, what guards keep."""

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
    """What is wrong with the fleet file, in one line."""


@dataclass(frozen=True, slots=True)
class Member:
    """A gateway or a backend, and where it stands."""

    name: str
    machine: str
    console: str = ""  # of a gateway


@dataclass(frozen=True, slots=True)
class Guards:
    """What must be left after a drain."""

    backend_rate: float  # requests a second that a backend of weight 1 bears
    headroom: float = 0.8  # the part of it that the load may take
    least_serving: int = 1
    least_cell: int = 1
    least_zone: int = 1
    least_gateways: int = 1


@dataclass(frozen=True, slots=True)
class Fleet:
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
    try:
        with path.open("rb") as file:
            return build_fleet(tomllib.load(file))
    except OSError as error:
        raise InvalidFleetFile(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, InvalidFleetFile) as error:
        raise InvalidFleetFile(f"{path}: {error}") from error


def build_fleet(told: Mapping[str, Any]) -> Fleet:
    reject_unknown_keys(told, "the file", "directory", "gateway", "backend", "guards")
    directory = told.get("directory")
    if not isinstance(directory, list) or not directory:
        raise InvalidFleetFile("directory names no address of the list service")
    gateways = tuple(read_member(g, "gateway", True) for g in read_tables(told, "gateway"))
    if not gateways:
        raise InvalidFleetFile("there is no [[gateway]]")
    backends = tuple(read_member(b, "backend", False) for b in read_tables(told, "backend"))
    for what, names in (
        ("gateway", [g.name for g in gateways]),
        ("backend", [b.name for b in backends]),
        ("console", [g.console for g in gateways]),
    ):
        twice = sorted({n for n in names if names.count(n) > 1})
        if twice:
            raise InvalidFleetFile(f"{what} {twice[0]} stands twice")
    return Fleet(
        tuple(read_address(d, "directory") for d in directory), gateways, backends, read_guards(told)
    )


def reject_unknown_keys(told: Mapping[str, Any], where: str, *known: str) -> None:
    for key in told:
        if key not in known:
            raise InvalidFleetFile(f"{where} has an unknown key {key!r}; known are {', '.join(known)}")


def read_tables(told: Mapping[str, Any], key: str) -> list[dict[str, Any]]:
    found = told.get(key, [])
    if not isinstance(found, list) or not all(isinstance(t, dict) for t in found):
        raise InvalidFleetFile(f"{key} is no list of tables: write [[{key}]]")
    return found


def read_member(told: dict[str, Any], what: str, console: bool) -> Member:
    keys = ("name", "machine", "console") if console else ("name", "machine")
    reject_unknown_keys(told, f"[[{what}]]", *keys)
    name, machine = read_name(told, what, "name"), read_name(told, what, "machine")
    return Member(
        name, machine, read_address(told.get("console"), f"{what} {name}: console") if console else ""
    )


def read_name(told: dict[str, Any], what: str, key: str) -> str:
    value = told.get(key)
    if not isinstance(value, str) or not NAME_PATTERN.fullmatch(value):
        raise InvalidFleetFile(f"a [[{what}]] has no {key} in its form: {value!r}")
    return value


def read_address(value: Any, what: str) -> str:
    match = ADDRESS_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if match is None or not 0 < int(match[2]) < 65536:
        raise InvalidFleetFile(f"{what} is no host:port: {value!r}")
    return str(value)


def read_guards(told: Mapping[str, Any]) -> Guards:
    table = told.get("guards")
    if not isinstance(table, dict):
        raise InvalidFleetFile("there is no [guards]")
    whole = ("least_serving", "least_cell", "least_zone", "least_gateways")
    reject_unknown_keys(table, "[guards]", "backend_rate", "headroom", *whole)
    if "backend_rate" not in table:
        raise InvalidFleetFile(
            "[guards] has no backend_rate, the requests a second that a backend of weight 1 bears"
        )
    for key, value in table.items():
        number = isinstance(value, int | float) and not isinstance(value, bool)
        if not number or value <= 0 and key not in whole or value < 0:
            raise InvalidFleetFile(f"[guards] {key} is no number above nought: {value!r}")
        if key in whole and not isinstance(value, int):
            raise InvalidFleetFile(f"[guards] {key} is no whole number: {value!r}")
    if not table.get("headroom", 0.8) <= 1:
        raise InvalidFleetFile("[guards] headroom is a part: at most 1")
    return Guards(**table)
