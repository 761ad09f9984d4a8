"""Files in memory, which one process passes to another; they can be written even if the disk is full."""

from __future__ import annotations

import logging
import os

log = logging.getLogger("embersill")


def write_whole(descriptor: int, text: bytes) -> None:
    """Writes all bytes; raises OSError."""
    view = memoryview(text)
    while view:
        view = view[os.write(descriptor, view):]


def write_memory_file(name: str, text: bytes) -> int:
    """Returns the descriptor of a file in memory with these bytes, or -1 if there can be none."""
    try:
        descriptor = os.memfd_create(name)
    except OSError as error:
        log.warning("%s was not passed to the other process: %s", name, error)
        return -1
    try:
        write_whole(descriptor, text)
    except OSError as error:
        log.warning("%s was not passed to the other process: %s", name, error)
        os.close(descriptor)
        return -1
    return descriptor
