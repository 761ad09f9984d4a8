"""Sends each counter call to one of several aggregators, which is chosen by the call's customer.

A list service announces the aggregators (members); it is watched like the list of backends. Each customer is
assigned to one of the serving members by rendezvous hashing (highest random weight): all gateways with the
same list choose the same member without coordination, and when a member leaves only its own customers move to
another one.

A call for which there is no member ends as NO_CONNECTION, so that the decision module uses even slices. There
is no fallback to the counter itself: the load of the whole fleet would reach it at once.
"""

from __future__ import annotations

import asyncio
import hashlib
import logging
from collections import deque
from collections.abc import Callable, Sequence

from embersill.interface import CounterCallEnded, Outcome, BackendStatus
from embersill.net.counter import Counter
from embersill.net.discovery import MIN_LIST_BYTES, Discovery
from embersill.net.listing import Address, Entry, Listing

CONNECTIONS_PER_MEMBER = 1  # the customers are spread over the members already
LIST_CONNECTIONS = 1  # to the list service
WEIGHT_BYTES = 8  # of the hash that orders the members: ties are as rare as 1 in 2 ** 64

log = logging.getLogger("embersill")


class Member:
    """A serving aggregator, with a client for it from its first call on."""

    def __init__(self, name: str, address: Address) -> None:
        self.name, self.address = name, address
        self.hash = hashlib.blake2b(name.encode() + b"\0", digest_size=WEIGHT_BYTES)
        self.counter: Counter | None = None
        self.last_used_at = 0.0  # when the last call was sent to it

    def weight(self, customer: bytes) -> bytes:
        """The member's pseudo-random weight for a customer, which is the same at every gateway."""
        weight = self.hash.copy()
        weight.update(customer)
        return weight.digest()


class RoutedCall:
    """A pending call, or one whose result waits for those of earlier calls for the same name."""

    def __init__(self, counter: Counter | None) -> None:
        self.counter = counter
        self.result: CounterCallEnded | None = None


class AggregatorRouter:
    """The counter calls of one gateway, with the interface of `Counter`.

    `on_result` is called exactly once for each call, and in the order of the calls for one name, also where
    the member for that name changes.
    """

    def __init__(
        self, clock: Callable[[], float], directory: Sequence[Address], timeout: float, dial_timeout: float,
        on_result: Callable[[CounterCallEnded], None], connections: int, seed: int = 0, gateways: int = 1,
    ) -> None:
        """`timeout`: seconds for a call; `dial_timeout`: seconds for opening a connection;

        `connections`: how many may be open at once, including the one to the list service.
        """
        self.clock, self.timeout, self.dial_timeout, self.on_result = clock, timeout, dial_timeout, on_result
        self.max_member_connections = max(1, connections - LIST_CONNECTIONS)
        self.loop = asyncio.get_running_loop()
        self.members: dict[str, Member] = {}
        self.unreported_calls: dict[str, deque[RoutedCall]] = {}  # by name
        self.former_counters: set[Counter] = set()  # of removed members: they only wait for replies
        self.discovery = Discovery(
            directory, dial_timeout, self.update_members, seed=seed, gateways=gateways)
        self.discovery.max_list_bytes = MIN_LIST_BYTES
        self.list_task = self.loop.create_task(self.discovery.run())

    def add(self, name: str, amount: float, expire_after: float) -> None:
        """Sends a call to the member of the name's customer."""
        member = self.member_of(name.rpartition(".")[0])
        counter = None if member is None else self.counter_of(member)
        call = RoutedCall(counter)
        self.unreported_calls.setdefault(name, deque()).append(call)
        if counter is None:
            self.report_in_order(call, CounterCallEnded(name, Outcome.NO_CONNECTION, 0.0, 0.0))
        else:
            counter.add(name, amount, expire_after)

    def member_answered(self, counter: Counter, result: CounterCallEnded) -> None:
        """Takes the result of the oldest call for its name that is pending at `counter`."""
        for call in self.unreported_calls.get(result.name, ()):
            if call.counter is counter and call.result is None:
                return self.report_in_order(call, result)
        return None

    def report_in_order(self, call: RoutedCall, result: CounterCallEnded) -> None:
        """Reports a call and the ended ones after it, once all earlier calls for the name are reported."""
        call.result = result
        calls = self.unreported_calls[result.name]
        while calls and calls[0].result is not None:
            ended = calls.popleft().result
            if not calls:
                self.unreported_calls.pop(result.name, None)
            assert ended is not None
            self.on_result(ended)

    def member_of(self, customer: str) -> Member | None:
        """The serving member with the highest weight for a customer."""
        if not self.members:
            return None
        key = customer.encode()
        return max(self.members.values(), key=lambda member: (member.weight(key), member.name))

    def counter_of(self, member: Member) -> Counter | None:
        """The client for the member, created where needed; None where no further connection may be open."""
        if member.counter is None and self.make_room():
            member.counter = self.connect(member.address)
        member.last_used_at = self.clock()
        return member.counter

    def connect(self, address: Address) -> Counter:
        """Creates the client for a member; it connects with its first call."""
        counter = Counter(
            self.clock, address, self.timeout, self.dial_timeout,
            lambda result: self.member_answered(counter, result), CONNECTIONS_PER_MEMBER)
        return counter

    def make_room(self) -> bool:
        """True where one more connection may be opened, if need be after closing the one longest unused."""
        open_members = [member for member in self.members.values() if member.counter is not None]
        if len(open_members) + len(self.former_counters) < self.max_member_connections:
            return True
        idle_before = self.clock() - self.timeout  # calls made by then have ended
        idle = [member for member in open_members if member.last_used_at < idle_before]
        if not idle:
            return False
        longest_unused = min(idle, key=lambda member: member.last_used_at)
        assert longest_unused.counter is not None
        longest_unused.counter.close()
        longest_unused.counter = None
        return True

    def update_members(self, listing: Listing) -> None:
        """Applies a list of members, or the changes to it."""
        listed = {entry.backend.address: entry for entry in listing.entries}
        for name, member in list(self.members.items()):
            if name in listed or listing.is_full:
                self.remove_if_changed(member, listed.get(name))
        for name, entry in listed.items():
            if entry.backend.status is BackendStatus.SERVING and name not in self.members:
                self.members[name] = Member(name, entry.address)
                log.info("aggregator %s is serving; %d are in use", name, len(self.members))

    def remove_if_changed(self, member: Member, entry: Entry | None) -> None:
        """Removes a member that no longer serves, or has another address; its pending calls go on."""
        serves = entry is not None and entry.backend.status is BackendStatus.SERVING
        if serves and entry is not None and entry.address == member.address:
            return
        del self.members[member.name]
        log.info("aggregator %s is no longer serving; %d are in use", member.name, len(self.members))
        if member.counter is not None:
            self.former_counters.add(member.counter)
            self.loop.call_later(self.timeout, self.close_former, member.counter)

    def close_former(self, counter: Counter) -> None:
        """Closes the client of a removed member, whose calls have all ended by now."""
        self.former_counters.discard(counter)
        counter.close()

    def set_directory(self, directory: Sequence[Address]) -> None:
        """Reads the list of members from another list service from now on."""
        self.discovery.set_addresses(directory)

    def close(self) -> None:
        """Closes the connections and stops watching the list."""
        self.list_task.cancel()
        self.discovery.disconnect()
        for member in self.members.values():
            if member.counter is not None:
                member.counter.close()
        for counter in self.former_counters:
            counter.close()
