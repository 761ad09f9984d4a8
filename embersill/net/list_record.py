"""Changes of the backend list as records, which processes of one gateway pass to each other.

A record is a line with a checksum: what follows an incomplete or damaged one is not read.
"""

from __future__ import annotations

import json
import logging
import zlib
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from embersill.interface import Backend, BackendStatus
from embersill.net.list_position import ListPosition, ListSnapshot
from embersill.net.listing import Address, Entry

FORMAT_VERSION = 1
NO_ENTRIES: Mapping[str, Entry] = {}

log = logging.getLogger("embersill")


class ListRecord(NamedTuple):
    """One change of the list.

    entries: of the backends that changed
    is_full: the list has no other entries
    position: of the list with this change; None if further changes of the same answer follow
    base: generation to which the change was made
    """

    entries: tuple[Entry, ...] = ()
    is_full: bool = False
    position: ListPosition | None = None
    base: int = 0

    def encode(self) -> bytes:
        """The record as a line."""
        message: dict[str, Any] = {"entries": [encode_entry(entry) for entry in self.entries]}
        if self.is_full:
            message["full"] = True
        if self.position is not None:
            message |= {"position": encode_position(self.position), "base": self.base}
        text = json.dumps(message, separators=(",", ":")).encode()
        return b"%d %d %b\n" % (FORMAT_VERSION, zlib.crc32(text), text)


def encode_entry(entry: Entry) -> list[Any]:
    backend = entry.backend
    return [
        backend.address, backend.zone, backend.machine_type, backend.cell, backend.status.value,
        backend.rating, backend.started_at, *entry.address]


def decode_entry(row: Sequence[Any], present: Mapping[str, Entry]) -> Entry:
    """Returns the entry of a row, that of `present` if it is the same. ValueError, TypeError if malformed."""
    same = present.get(row[0]) if row else None
    if same is not None and encode_entry(same) == row:
        return same
    backend_id, zone, machine_type, cell, status, rating, started_at, host, port = row
    backend = Backend(
        str(backend_id), str(zone), str(machine_type), int(cell), BackendStatus(status), float(rating),
        None if started_at is None else float(started_at))
    return Entry(backend, (str(host), int(port)))


def encode_position(position: ListPosition) -> dict[str, Any]:
    return {
        "generation": position.generation, "highest": position.highest, "discovery": position.discovery,
        "requested_at": position.requested_at, "received_at": position.received_at,
        "reloaded_to": position.reloaded_to}


def decode_position(message: dict[str, Any]) -> ListPosition:
    """Raises LookupError, ValueError or TypeError where the message is malformed."""
    def addresses(name: str) -> tuple[Address, ...]:
        return tuple((str(host), int(port)) for host, port in message[name])

    def moment(name: str) -> float | None:
        return None if message[name] is None else float(message[name])

    return ListPosition(
        int(message["generation"]), int(message["highest"]), addresses("discovery"),
        moment("requested_at"), moment("received_at"), addresses("reloaded_to"))


def decode_record(line: bytes, present: Mapping[str, Entry] = NO_ENTRIES) -> ListRecord:
    """Reads a line; raises ValueError, LookupError or TypeError if it is incomplete or malformed.

    `present`: entries, by the backend's id, that are used again where the record has the same.
    """
    version, checksum, text = line.split(b" ", 2)
    if int(version) != FORMAT_VERSION or int(checksum) != zlib.crc32(text):
        raise ValueError("of another version, or incomplete")
    message = json.loads(text)
    position = message.get("position")
    return ListRecord(
        tuple(decode_entry(row, present) for row in message["entries"]), bool(message.get("full")),
        None if position is None else decode_position(position), int(message.get("base", 0)))


def decode_records(
    text: bytes, present: Mapping[str, Entry] = NO_ENTRIES
) -> tuple[list[ListRecord], int]:
    """Returns the records up to the first incomplete or malformed line, and their size in bytes."""
    records: list[ListRecord] = []
    size = 0
    while (end := text.find(b"\n", size)) >= 0:
        try:
            records.append(decode_record(text[size:end], present))
        except (ValueError, LookupError, TypeError, AttributeError) as error:
            log.warning("the list that an earlier process left is read only in part: %s", error)
            break
        size = end + 1
    return records, size


def encode_snapshot(snapshot: ListSnapshot) -> bytes:
    """A whole list, with its position in a record of its own, which can be read without the rest."""
    entries = ListRecord(tuple(snapshot.entries.values()), True)
    return entries.encode() + ListRecord(position=snapshot.position).encode()


def merge_records(records: Iterable[ListRecord]) -> ListRecord:
    """Joins consecutive changes into one; a later entry of a backend goes before an earlier one."""
    entries: dict[str, Entry] = {}
    merged = ListRecord()
    for record in records:
        if record.is_full:
            entries.clear()
        entries |= {entry.backend.address: entry for entry in record.entries}
        merged = merged._replace(
            is_full=merged.is_full or record.is_full, position=record.position or merged.position,
            base=record.base if record.position else merged.base)
    return merged._replace(entries=tuple(entries.values()))
