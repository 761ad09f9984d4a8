"""Parses and delivers long backend lists in slices, so that they do not block the event loop.

A list of 3,200 backends has 600 KB and takes 40 ms of a full core to parse and apply; a gateway has only part
of a core. Between two slices the loop handles pending events. Draining and removed backends are delivered
first. Of a full list only the differences from the last one are delivered, as changes. Short lists are parsed
and delivered at once.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Callable, Iterable, Mapping
from dataclasses import replace
from functools import lru_cache
from typing import TYPE_CHECKING, Any

from embersill.interface import ListKind, BackendStatus
from embersill.net.listing import InvalidList, Entry, Listing, parse_listing, read_entry

if TYPE_CHECKING:
    import msgspec

SLICE_ENTRIES = 100  # entries handled between two turns of the event loop: under 1 ms of a core
SLICED_FROM_BYTES = 64 * 1024  # a response from this size on is parsed in slices: some 350 backends


@lru_cache(maxsize=1)
def list_decoder() -> msgspec.json.Decoder[Any]:
    """Splits a list into the raw JSON of its entries; msgspec is imported only where there are long lists."""
    import msgspec

    entries = list[msgspec.Raw]
    fields = [("generation", msgspec.Raw), ("reset", msgspec.Raw), ("instances", entries)]
    return msgspec.json.Decoder(msgspec.defstruct("ListText", fields))


class ListReader:
    """Parses lists; caches the entries of long ones by their raw JSON, as most are repeated."""

    def __init__(self) -> None:
        self.entries_by_text: dict[bytes, Entry] = {}

    async def read(self, body: bytes) -> Listing:
        """Parses the body of a response; InvalidList where it is malformed."""
        if len(body) < SLICED_FROM_BYTES:
            return parse_listing(body)
        import msgspec

        try:
            text = list_decoder().decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return parse_listing(body)  # raises the detailed error, and accepts JSON in UTF-16 and UTF-32
        try:
            generation, is_full = int(json.loads(bytes(text.generation))), bool(json.loads(bytes(text.reset)))
            entries = [entry async for entry in self.read_entries(text.instances)]
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError) as error:
            raise InvalidList(f"{type(error).__name__}: {error}") from error
        return Listing(ListKind.FULL if is_full else ListKind.CHANGES, generation, tuple(entries))

    async def read_entries(self, texts: list[Any]) -> AsyncIterator[Entry]:
        """Parses entries, with a turn of the event loop after each slice."""
        import msgspec

        decode = msgspec.json.Decoder().decode
        previous, self.entries_by_text = self.entries_by_text, {}
        for number, text in enumerate(texts, 1):
            key = bytes(text)
            entry = previous.get(key) or read_entry(decode(key))
            self.entries_by_text[key] = entry
            yield entry
            if number % SLICE_ENTRIES == 0:
                await asyncio.sleep(0)


class ListFeed:
    """Delivers what is new in each list to the gateway, in slices where there is much of it."""

    def __init__(self, on_list: Callable[[Listing], None], known: Iterable[Entry] = ()) -> None:
        """`known`: the entries that the gateway has already."""
        self.on_list = on_list
        self.delivered = {entry.backend.address: entry for entry in known}  # what the gateway has, by name
        self.needs_full_list = False  # a delivery failed: the next full list is delivered unreduced
        self.deliveries = 0  # started so far
        self.is_delivering = False  # a list has been delivered in part
        self.overridden: set[str] = set()  # backends changed by `change` while a list is being delivered
        # called after each part with its entries, and whether the list has no others
        self.on_part: Callable[[bool, tuple[Entry, ...]], None] = lambda is_full, entries: None

    async def deliver(self, listing: Listing) -> bool:
        """Delivers a list; for a full one also the removal of the backends that it leaves out.

        Returns False if another list has been delivered in the meantime: the rest of this one is dropped.
        """
        self.deliveries += 1
        number = self.deliveries
        self.overridden.clear()
        if self.needs_full_list or max(
            len(listing.entries), len(self.delivered) if listing.is_full else 0
        ) <= SLICE_ENTRIES:
            self.deliver_part(listing.kind, listing.generation, listing.entries)
            self.needs_full_list = self.needs_full_list and not listing.is_full
            return True
        # the last of several entries for one backend counts
        named = {entry.backend.address: entry for entry in listing.entries}
        new = changed_entries(self.delivered, named, listing.is_full)
        for first in range(0, max(len(new), 1), SLICE_ENTRIES):
            if first:
                await asyncio.sleep(0)
            if number != self.deliveries:
                return False
            part = [e for e in new[first : first + SLICE_ENTRIES] if e.backend.address not in self.overridden]
            self.is_delivering = first + SLICE_ENTRIES < len(new)
            self.deliver_part(ListKind.CHANGES, listing.generation, tuple(part))
        return True

    def replace(self, generation: int, entries: Mapping[str, Entry]) -> None:
        """Delivers a whole list at once; one that is being delivered is dropped."""
        self.deliveries += 1
        self.is_delivering = False
        if self.needs_full_list:
            self.deliver_part(ListKind.FULL, generation, tuple(entries.values()))
            self.needs_full_list = False
        else:
            new = changed_entries(self.delivered, entries, True)
            self.deliver_part(ListKind.CHANGES, generation, tuple(new))

    def change(self, generation: int, entries: tuple[Entry, ...]) -> None:
        """Delivers changes at once; they go before the rest of a list that is being delivered."""
        self.overridden.update(entry.backend.address for entry in entries)
        self.deliver_part(ListKind.CHANGES, generation, entries)

    def deliver_part(self, kind: ListKind, generation: int, entries: tuple[Entry, ...]) -> None:
        """Records the entries as delivered and calls `on_list` with them."""
        if kind is not ListKind.CHANGES:
            self.delivered.clear()
        apply_entries(self.delivered, entries)
        self.on_list(Listing(kind, generation, entries))
        self.on_part(kind is not ListKind.CHANGES, entries)


def apply_entries(present: dict[str, Entry], entries: Iterable[Entry]) -> None:
    """Applies changes to the entries of a list, which are by the backend's id."""
    for entry in entries:
        if entry.backend.status is BackendStatus.REMOVED:
            present.pop(entry.backend.address, None)
        else:
            present[entry.backend.address] = entry


def changed_entries(
    present: Mapping[str, Entry], wanted: Mapping[str, Entry], is_full: bool
) -> list[Entry]:
    """The entries that turn one list into another, those of draining and removed backends first.

    `is_full`: backends that `wanted` leaves out are removed.
    """
    changed = [entry for address, entry in wanted.items() if present.get(address) != entry]
    if is_full:
        changed += [
            replace(entry, backend=replace(entry.backend, status=BackendStatus.REMOVED))
            for address, entry in present.items()
            if address not in wanted
        ]
    changed.sort(key=lambda entry: entry.backend.status is BackendStatus.SERVING)
    return changed
