"""Starts the gateway program, once there is memory for it beside a process that runs already."""

from __future__ import annotations

import os
import sys

from embersill.start_gate import wait_for_memory


def main() -> int:
    """Runs the gateway; returns the exit code."""
    predecessor = wait_for_memory(os.environ.get("TMPDIR"))
    from embersill.program import run_gateway  # takes most of the memory of a process

    return run_gateway(predecessor)


if __name__ == "__main__":
    sys.exit(main())
