"""What the processes of one gateway tell each other of the backend list.

While two processes run in an upgrade, each tells the other what it gets from discovery, so that both obey the
newest list that either of them has. For a process that comes after this one's end, the list is kept in a log.
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable, Iterable
from typing import NamedTuple

from embersill.interface import ListKind
from embersill.net.discovery import Discovery
from embersill.net.list_feed import apply_entries, changed_entries
from embersill.net.list_log import LIST_LOG_NAME, ListLog, ListLogReader, read_all, read_last_position
from embersill.net.list_position import (
    ListPosition, ListSnapshot, ListSource, choose_predecessor_list,
)
from embersill.net.list_record import ListRecord, decode_records, encode_snapshot, merge_records
from embersill.net.listing import Address, Entry, Listing
from embersill.net.memory_file import write_memory_file

DIFFERENCE_DELAY = 0.05  # seconds after a hand-over until the predecessor is told what its list lacks
RESEND_DELAY = 0.05  # seconds until the whole list is sent, after a change could not be sent

log = logging.getLogger("embersill")


def is_of_this_gateway(position: ListPosition, addresses: Iterable[Address]) -> bool:
    """Whether a log that was found belongs to a gateway that follows this discovery."""
    addresses = set(addresses)
    return position.shares_discovery(addresses) or not addresses.isdisjoint(position.reloaded_to)


class InitialList(NamedTuple):
    """What a process starts with, before it talks to discovery or to its predecessor.

    addresses: of the discovery to follow
    """

    addresses: tuple[Address, ...]
    position: ListPosition
    entries: tuple[Entry, ...]
    source: ListSource

    def listing(self) -> Listing:
        return Listing(ListKind.CACHED, self.position.generation, self.entries)


def choose_initial_list(
    known: Listing, addresses: tuple[Address, ...], file_addresses: tuple[Address, ...],
    logged: ListSnapshot | None,
) -> InitialList:
    """Chooses between the configuration's list and the one that an earlier process has logged.

    addresses: of discovery, by the environment or the configuration file
    file_addresses: of discovery, by the file; SIGHUP may have made the earlier process follow these
    """
    if logged is not None and file_addresses and logged.position.reloaded_to == file_addresses:
        addresses = file_addresses
    generation = known.generation if known.entries else 0
    own = ListPosition(generation, generation, addresses)
    if logged is not None and is_of_this_gateway(logged.position, addresses):
        if choose_predecessor_list(logged.position, own, addresses):
            return InitialList(
                addresses, logged.position, tuple(logged.entries.values()), ListSource.LIST_LOG)
    return InitialList(addresses, own, known.entries, ListSource.CONFIGURATION)


class ListExchange:
    """Shares the list in use with the other process of an upgrade, and keeps it for a next one.

    send: sends a descriptor of records to the other process, which takes them; returns False if that failed.
        None while there is no such process
    """

    def __init__(
        self, discovery: Discovery, directory: str | None, reader: ListLogReader,
        file_addresses: tuple[Address, ...],
    ) -> None:
        """`reader`: of the log in the directory, as far as it has been read at the start.

        `file_addresses`: of discovery, by the configuration file.
        """
        self.discovery, self.directory, self.reader = discovery, directory, reader
        reader.present = discovery.feed.delivered
        self.file_addresses = file_addresses
        self.log = ListLog(directory, discovery.feed.delivered)
        self.position = discovery.position  # of the last list that was delivered completely
        self.unfinished: list[ListRecord] = []  # parts of a list that is being delivered
        self.send: Callable[[int], bool] | None = None
        self.resend_timer: asyncio.TimerHandle | None = None
        discovery.feed.on_part, discovery.on_delivered = self.on_part, self.on_delivered

    # from discovery

    def on_part(self, is_full: bool, entries: tuple[Entry, ...]) -> None:
        """Records a part of a list that has been delivered to the gateway."""
        if entries or is_full:
            record = ListRecord(entries, is_full)
            self.unfinished.append(record)
            self.log.append(record)

    def on_delivered(self, position: ListPosition, base: int) -> None:
        """Tells the other process of an answer of discovery that changed the list, and logs it."""
        records = self.finish(position, base)
        if records and self.send is not None:
            self.send_records(merge_records(records).encode())

    def finish(self, position: ListPosition, base: int) -> list[ListRecord]:
        """Logs the position after a change; returns the change, [] if there is none."""
        is_same = position == self.position._replace(
            requested_at=position.requested_at, received_at=position.received_at)
        self.position = self.log.position = position
        if is_same and not self.unfinished:
            return []
        last = ListRecord(position=position, base=base)
        self.log.append(last)
        records = [*self.unfinished, last]
        self.unfinished.clear()
        return records

    def note_reload(self) -> None:
        """Logs that SIGHUP has changed the addresses of discovery."""
        self.finish(self.position._replace(reloaded_to=self.discovery.position.reloaded_to), 0)

    # to and from the other process

    def send_records(self, text: bytes) -> None:
        if self.send is None:
            return
        descriptor = write_memory_file(LIST_LOG_NAME, text)
        sent = descriptor >= 0 and self.send(descriptor)
        if descriptor >= 0:
            os.close(descriptor)
        if not sent and self.resend_timer is None:
            self.resend_timer = asyncio.get_running_loop().call_later(RESEND_DELAY, self.resend)

    def resend(self) -> None:
        """Sends the whole list, as a change could not be sent."""
        self.resend_timer = None
        snapshot = ListSnapshot(self.position, self.discovery.feed.delivered)
        self.send_records(encode_snapshot(snapshot))

    def receive(self, descriptor: int) -> None:
        """Applies what the other process has got from discovery, if it is newer than the list in use."""
        try:
            records, _ = decode_records(read_all(descriptor))
        except OSError as error:
            return log.warning("a list of the other process is unusable: %s", error)
        finally:
            os.close(descriptor)
        change, own = merge_records(records), self.discovery.position
        position = change.position
        if position is None or not position.shares_discovery(self.discovery.addresses):
            return None
        if own.shares_discovery(position.discovery) and not position.is_newer_than(own):
            return None
        if change.is_full:
            entries: dict[str, Entry] = {}
            apply_entries(entries, change.entries)
            return self.adopt(ListSnapshot(position, entries), ListSource.PEER)
        self.discovery.feed.change(position.generation, change.entries)
        # changes since a list that this process does not have leave its position where it was
        if own.generation == change.base or change.base < own.generation < position.generation:
            # what discovery tells one process, it tells the other as well: both go by discovery
            is_direct = self.discovery.source is ListSource.DISCOVERY
            self.discovery.adopt(position, ListSource.DISCOVERY if is_direct else ListSource.PEER)
            if not self.discovery.feed.is_delivering:
                self.finish(self.discovery.position, own.generation)
        return None

    def adopt(self, snapshot: ListSnapshot, source: ListSource) -> None:
        """Goes by a list of another process from now on."""
        base = self.position.generation
        self.discovery.feed.replace(snapshot.position.generation, snapshot.entries)
        self.discovery.adopt(snapshot.position, source)
        self.finish(self.discovery.position, base)

    # as the successor

    def read_ahead(self) -> None:
        """Reads the predecessor's log while there is time, so that little is left to be read at the end."""
        if self.directory:
            self.reader.read_from(self.directory)

    def take_over(self, descriptor: int) -> None:
        """Goes by the predecessor's list if that is the newer one; else tells it what has changed since."""
        position = read_last_position(descriptor)
        if position is None:
            os.close(descriptor)
            return self.note_no_list()
        self.follow_reload(position)
        if self.is_newer(position):
            snapshot = self.reader.read(descriptor)
            self.reader.forget()
            if snapshot is None or not self.is_newer(snapshot.position):  # only a part could be read
                return self.note_no_list()
            return self.adopt_predecessor_list(snapshot, ListSource.PEER)
        asyncio.get_running_loop().call_later(
            DIFFERENCE_DELAY, self.send_difference, descriptor, position.generation)
        return None

    def read_log(self) -> None:
        """Goes by what the predecessor has logged, as it hands nothing over, if that is newer."""
        snapshot = self.reader.read_from(self.directory) if self.directory else None
        self.reader.forget()
        if snapshot is None:
            return
        self.follow_reload(snapshot.position)
        is_own = is_of_this_gateway(snapshot.position, self.discovery.addresses)
        if is_own and self.is_newer(snapshot.position):
            self.adopt_predecessor_list(snapshot, ListSource.LIST_LOG)

    def adopt_predecessor_list(self, snapshot: ListSnapshot, source: ListSource) -> None:
        """Goes by it; if discovery has answered with an older generation since, it is asked once more."""
        own = self.discovery.position
        is_doubtful = own.is_doubtful_after(snapshot.position)
        self.adopt(snapshot, source)
        if is_doubtful:
            log.info("discovery answered with list %d: the full list is requested once more", own.generation)
            self.discovery.confirm_older_list()

    def is_newer(self, predecessor: ListPosition) -> bool:
        """Whether the predecessor's list counts in place of that of this process."""
        return choose_predecessor_list(predecessor, self.discovery.position, self.discovery.addresses)

    def follow_reload(self, predecessor: ListPosition) -> None:
        """Follows the discovery that SIGHUP told the predecessor, if the configuration file still names it.

        The environment may name the one before.
        """
        if not self.file_addresses or predecessor.reloaded_to != self.file_addresses:
            return
        if self.discovery.addresses != self.file_addresses:
            log.info("discovery is the one that the predecessor was told by SIGHUP")
            self.discovery.set_addresses(self.file_addresses)
        self.discovery.position = self.discovery.position._replace(reloaded_to=self.file_addresses)

    def note_no_list(self) -> None:
        """Logs that the predecessor, maybe of an older version, has handed over no list."""
        log.warning(
            "the predecessor hands over no list: this process goes by %s", self.discovery.describe_list())

    def send_difference(self, descriptor: int, generation: int) -> None:
        """Tells the predecessor what its list, of this generation, lacks, and closes that list."""
        own = self.position
        if self.send is None or own.generation == generation:
            self.reader.forget()
            return os.close(descriptor)
        snapshot = self.reader.read(descriptor)
        self.reader.forget()
        if snapshot is None:
            return None
        changed = changed_entries(snapshot.entries, self.discovery.feed.delivered, True)
        self.send_records(
            ListRecord(tuple(changed), position=own, base=snapshot.position.generation).encode())
        return None

    # as the predecessor, and without another process

    def start_log(self) -> None:
        """Keeps the list for a next process from now on."""
        self.log.start(self.position)

    def hand_over(self) -> int:
        """Returns a descriptor to read the list from, or -1; the log is the successor's from now on."""
        descriptor = self.log.open_copy()
        self.log.stop()
        return descriptor

    def close(self) -> None:
        self.send = None
        if self.resend_timer is not None:
            self.resend_timer.cancel()
            self.resend_timer = None
        self.log.stop()
