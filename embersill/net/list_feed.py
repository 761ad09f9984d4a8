"""Long lists of backends in slices: reading one, and telling what is new in it, must not hold the loop up.

A list of 3,200 backends has 600 KB and takes 40 ms of a whole core to read and take in; a gateway has a part
of one. Between two slices the loop serves what waits. What drains or is gone is told first. Of a whole list
only what differs from the last one is told, as changes. Short lists take none of these ways.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Callable, Iterable
from dataclasses import replace
from functools import lru_cache
from typing import TYPE_CHECKING, Any

from embersill.interface import ListKind, BackendStatus
from embersill.net.listing import InvalidList, Entry, Listing, parse_listing, read_entry

if TYPE_CHECKING:
    import msgspec

SLICE_ENTRIES = 100  # entries between two turns of the loop: under a millisecond of a core
SLICED_FROM_BYTES = 64 * 1024  # bytes of an answer from which it is read in slices: some 350 backends


@lru_cache(maxsize=1)
def list_decoder() -> msgspec.json.Decoder[Any]:
    """Divides a list into its entries' texts; loaded only where there are long lists."""
    import msgspec

    entries = list[msgspec.Raw]
    fields = [("generation", msgspec.Raw), ("reset", msgspec.Raw), ("instances", entries)]
    return msgspec.json.Decoder(msgspec.defstruct("ListText", fields))


class ListReader:
    """Reads lists; of long ones it keeps the entries by their texts, as most come again unchanged."""

    def __init__(self) -> None:
        self.entries_by_text: dict[bytes, Entry] = {}

    async def read(self, body: bytes) -> Listing:
        """What discovery answered; BadList says what is wrong with it."""
        if len(body) < SLICED_FROM_BYTES:
            return parse_listing(body)
        import msgspec

        try:
            text = list_decoder().decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return parse_listing(body)  # which says what is wrong, and takes what JSON is besides UTF-8
        try:
            generation, whole = int(json.loads(bytes(text.generation))), bool(json.loads(bytes(text.reset)))
            entries = [entry async for entry in self.read_entries(text.instances)]
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError) as error:
            raise InvalidList(f"{type(error).__name__}: {error}") from error
        return Listing(ListKind.FULL if whole else ListKind.CHANGES, generation, tuple(entries))

    async def read_entries(self, texts: list[Any]) -> AsyncIterator[Entry]:
        import msgspec

        decode = msgspec.json.Decoder().decode
        before, self.entries_by_text = self.entries_by_text, {}
        for number, text in enumerate(texts, 1):
            key = bytes(text)
            entry = before.get(key) or read_entry(decode(key))
            self.entries_by_text[key] = entry
            yield entry
            if number % SLICE_ENTRIES == 0:
                await asyncio.sleep(0)


class ListFeed:
    """Tells the gateway what is new, in slices where that is much."""

    def __init__(self, told: Callable[[Listing], None], known: Iterable[Entry] = ()) -> None:
        self.on_list = told
        self.delivered = {entry.backend.address: entry for entry in known}  # as the gateway was told last
        self.needs_full_list = False  # whether it took all that in: the next whole list is told as it is

    async def deliver(self, listing: Listing) -> None:
        """All of a list, and what it leaves out where it is a whole one."""
        if self.needs_full_list or max(len(listing.entries), len(self.delivered) if listing.is_full else 0) <= SLICE_ENTRIES:
            self.deliver_part(listing.kind, listing.generation, listing.entries)
            self.needs_full_list = self.needs_full_list and not listing.is_full
            return
        named = {entry.backend.address: entry for entry in listing.entries}  # of two for one the last counts
        new = [entry for address, entry in named.items() if self.delivered.get(address) != entry]
        if listing.is_full:
            new += [
                replace(entry, backend=replace(entry.backend, status=BackendStatus.REMOVED))
                for address, entry in self.delivered.items()
                if address not in named
            ]
        new.sort(key=lambda entry: entry.backend.status is BackendStatus.SERVING)  # what drains goes first
        for first in range(0, max(len(new), 1), SLICE_ENTRIES):
            if first:
                await asyncio.sleep(0)
            self.deliver_part(ListKind.CHANGES, listing.generation, tuple(new[first : first + SLICE_ENTRIES]))

    def deliver_part(self, kind: ListKind, generation: int, entries: tuple[Entry, ...]) -> None:
        if kind is not ListKind.CHANGES:
            self.delivered.clear()
        for entry in entries:
            if entry.backend.status is BackendStatus.REMOVED:
                self.delivered.pop(entry.backend.address, None)
            else:
                self.delivered[entry.backend.address] = entry
        self.on_list(Listing(kind, generation, entries))
