"""Counts the operations of Python code, which are the same at every run: times on a busy machine are not."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from types import FrameType
from typing import Any


class Counted:
    """How many operations of byte code were executed; what C code does within one is not seen."""

    number = 0


@contextmanager
def operations() -> Iterator[Counted]:
    """Counts what runs inside."""
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
