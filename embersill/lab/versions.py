"""Other versions of the decisions: the policy files of another checkout, used in this one's laboratory."""

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

REPO_ROOT = pathlib.Path(__file__).parent.parent.parent
DEPLOY = "deploy/balancer.toml"
# files that a run depends on besides the decisions
RUN_DEPENDENCIES = (
    "embersill/interface.py", "embersill/settings.py", "embersill/net/pool.py", "embersill/lab/*.py")


class BadVersion(Exception):
    """An unusable checkout; the message is one line."""


def read_deploy_file(root: pathlib.Path) -> dict[str, Any]:
    """The content of the checkout's deploy file. Raises BadVersion if it is missing or malformed."""
    try:
        settings = tomllib.loads((root / DEPLOY).read_text())
    except (OSError, ValueError) as error:
        raise BadVersion(f"{root}: no checkout with a {DEPLOY}: {error}") from error
    if not isinstance(settings.get("policy"), list) or not isinstance(settings.get("run"), str):
        raise BadVersion(f"{root}: its {DEPLOY} names no policy and run")
    return settings


def policy_files(root: pathlib.Path) -> list[pathlib.Path]:
    """Paths of the policy files, relative to the checkout's root. Raises BadVersion if one is missing."""
    files = [pathlib.Path(name) for name in read_deploy_file(root)["policy"]]
    for file in files:
        if not (root / file).is_file():
            raise BadVersion(f"{root}: {file} is named as policy and is not there")
    return files


def code_digest(root: pathlib.Path | None = None) -> str:
    """Digest of all code that a run depends on, with the decisions of that checkout. Raises BadVersion."""
    code_hash = hashlib.sha256()
    for path in policy_files(root or REPO_ROOT):
        code_hash.update(((root or REPO_ROOT) / path).read_bytes())
    for pattern in RUN_DEPENDENCIES:
        for path in sorted(REPO_ROOT.glob(pattern)):
            code_hash.update(path.read_bytes())
    return code_hash.hexdigest()


class PolicyFinder:
    """Import finder that finds the other checkout's policy modules in place of this one's."""

    def __init__(self, files: dict[str, pathlib.Path]) -> None:
        self.files = files

    def find_spec(
        self, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        file = self.files.get(name)
        return None if file is None else importlib.util.spec_from_file_location(name, file)


def use_policy(root: pathlib.Path) -> None:
    """Makes this process import the policy modules of that checkout.

    Raises BadVersion, or RuntimeError if one of them has been imported already.
    """
    files = {".".join(path.with_suffix("").parts): root / path for path in policy_files(root)}
    loaded = [name for name in files if name in sys.modules]
    if loaded:
        raise RuntimeError(f"{', '.join(loaded)}: this version's own is loaded already")
    sys.meta_path.insert(0, PolicyFinder(files))
