"""Other versions of the decisions: the policy files of a checkout, played in this version's world."""

from __future__ import annotations

import hashlib
import importlib.util
import pathlib
import sys
import tomllib
from collections.abc import Sequence
from importlib.machinery import ModuleSpec
from types import ModuleType
from typing import Any

HERE = pathlib.Path(__file__).parent.parent.parent
DEPLOY = "deploy/balancer.toml"
# what a run depends on beside the decisions
WORLD = ("embersill/interface.py", "embersill/settings.py", "embersill/net/pool.py", "embersill/lab/*.py")


class BadVersion(Exception):
    """What is wrong with a checkout, in one line."""


def deployed(root: pathlib.Path) -> dict[str, Any]:
    """What the checkout's deploy file says. BadVersion where that is no checkout."""
    try:
        told = tomllib.loads((root / DEPLOY).read_text())
    except (OSError, ValueError) as error:
        raise BadVersion(f"{root}: no checkout with a {DEPLOY}: {error}") from error
    if not isinstance(told.get("policy"), list) or not isinstance(told.get("run"), str):
        raise BadVersion(f"{root}: its {DEPLOY} names no policy and run")
    return told


def policy_files(root: pathlib.Path) -> list[pathlib.Path]:
    """The files that decide, from the checkout's root. BadVersion."""
    files = [pathlib.Path(name) for name in deployed(root)["policy"]]
    for file in files:
        if not (root / file).is_file():
            raise BadVersion(f"{root}: {file} is named as policy and is not there")
    return files


def digest(root: pathlib.Path | None = None) -> str:
    """Of all code that a run depends on, with the decisions of that checkout."""
    told = hashlib.sha256()
    for path in policy_files(root or HERE):
        told.update(((root or HERE) / path).read_bytes())
    for pattern in WORLD:
        for path in sorted(HERE.glob(pattern)):
            told.update(path.read_bytes())
    return told.hexdigest()


class Finder:
    """Finds the modules of the other version before this one's own."""

    def __init__(self, files: dict[str, pathlib.Path]) -> None:
        self.files = files

    def find_spec(
        self, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        file = self.files.get(name)
        return None if file is None else importlib.util.spec_from_file_location(name, file)


def use(root: pathlib.Path) -> None:
    """From now on this process's decisions are that checkout's; they must not be loaded yet."""
    files = {".".join(path.with_suffix("").parts): root / path for path in policy_files(root)}
    loaded = [name for name in files if name in sys.modules]
    if loaded:
        raise RuntimeError(f"{', '.join(loaded)}: this version's own is loaded already")
    sys.meta_path.insert(0, Finder(files))
