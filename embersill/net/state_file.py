"""The state for a successor as text with a checksum, in a file or in memory."""

from __future__ import annotations

import json
import logging
import zlib

from embersill.net.memory_file import write_memory_file
from embersill.net.process_channel import Message
from embersill.start_gate import MESSAGE_VERSION

STATE_FILE_NAME = "embersill.state"

log = logging.getLogger("embersill")


def serialize_state(state: Message) -> str:
    """Returns the state as text, with its version and a checksum."""
    text = json.dumps(state, separators=(",", ":"))
    return f"{MESSAGE_VERSION} {zlib.crc32(text.encode())}\n{text}"


def parse_state(serialized: str) -> Message:
    """Reads what `serialize_state` returned; raises ValueError if it is of another version or incomplete."""
    head, _, text = serialized.partition("\n")
    if head.split() != [str(MESSAGE_VERSION), str(zlib.crc32(text.encode()))]:
        raise ValueError("of another version, or incomplete")
    state = json.loads(text)
    return state if isinstance(state, dict) else {}


def create_memory_file(text: str) -> int:
    """Returns the descriptor of a file in memory, or -1. It can be written even if the disk is full."""
    return write_memory_file(STATE_FILE_NAME, text.encode("ascii"))


def read_memory_file(descriptor: int) -> Message:
    """Reads the state from the predecessor's memory file, {} if it is invalid, and closes the descriptor."""
    try:
        with open(descriptor, encoding="ascii") as file:
            file.seek(0)
            return parse_state(file.read())
    except (OSError, ValueError) as error:
        log.warning("the state from the predecessor is unusable: %s", error)
        return {}
