"""Counts executed bytecode operations, which do not vary between runs as times on a busy machine do."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from types import FrameType
from typing import Any


class Counted:
    """Number of bytecode operations executed, without the work of C functions that they call."""

    number = 0


@contextmanager
def operations() -> Iterator[Counted]:
    """Counts the operations within the `with` block."""
    counted, before = Counted(), sys.gettrace()

    def trace(frame: FrameType, event: str, argument: Any) -> Any:
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        counted.number += event == "opcode"
        return trace

    sys.settrace(trace)
    try:
        yield counted
    finally:
        sys.settrace(before)
