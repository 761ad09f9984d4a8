"""Sends each counter call to one of several aggregators, which is chosen by the call's customer.

The members are followed in a list service, with the same client that follows the backends. Of the serving
ones each customer has one, chosen by rendezvous hashing (highest random weight): all gateways with the same
list choose alike without a word, and when a member leaves only its own customers get another one.

A call that finds no member ends as NO_CONNECTION, so that the decision module goes by its even slices. There
is no fallback to the counter itself: the whole fleet would come down on it at once.
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

CONNECTIONS_PER_MEMBER = 1  # connections to a member: the customers are spread over the members already
LIST_CONNECTIONS = 1  # to the list service
WEIGHT_BYTES = 8  # of the hash that orders the members: a tie in 2 ** 64

log = logging.getLogger("embersill")


class Member:
    """A serving aggregator, with its connection once a call went there."""

    def __init__(self, name: str, address: Address) -> None:
        self.name, self.address = name, address
        self.hash = hashlib.blake2b(name.encode() + b"\0", digest_size=WEIGHT_BYTES)
        self.counter: Counter | None = None
        self.last_used_at = 0.0  # when the last call went there

    def weight(self, customer: bytes) -> bytes:
        """The member's random weight for a customer: the same at every gateway."""
        weight = self.hash.copy()
        weight.update(customer)
        return weight.digest()


class RoutedCall:
    """A call that is out, or whose end waits until the calls before it for the same name have theirs."""

    def __init__(self, counter: Counter | None) -> None:
        self.counter = counter
        self.result: CounterCallEnded | None = None


class AggregatorRouter:
    """The counter calls of one gateway, made as `Counter` makes them.

    `told` hears of each exactly once; of those for one name in their order, also where its member changes.
    """

    def __init__(
        self, clock: Callable[[], float], directory: Sequence[Address], patience: float, dial_timeout: float,
        told: Callable[[CounterCallEnded], None], connections: int, seed: int = 0, gateways: int = 1,
    ) -> None:
        """`connections`: the most that may be open at once, the one to the list service included."""
        self.clock, self.timeout, self.dial_timeout, self.on_result = clock, patience, dial_timeout, told
        self.max_member_connections = max(1, connections - LIST_CONNECTIONS)
        self.loop = asyncio.get_running_loop()
        self.members: dict[str, Member] = {}
        self.unreported_calls: dict[str, deque[RoutedCall]] = {}  # that `told` has not heard of, by name
        self.former_counters: set[Counter] = set()  # of members that left: they only wait for their answers
        self.discovery = Discovery(
            directory, dial_timeout, self.update_members, seed=seed, gateways=gateways)
        self.discovery.max_list_bytes = MIN_LIST_BYTES
        self.list_task = self.loop.create_task(self.discovery.run())

    def add(self, name: str, amount: float, forget_after: float) -> None:
        """Makes a call at the member of the name's customer."""
        member = self.member_of(name.rpartition(".")[0])
        counter = None if member is None else self.counter_of(member)
        call = RoutedCall(counter)
        self.unreported_calls.setdefault(name, deque()).append(call)
        if counter is None:
            self.report_in_order(call, CounterCallEnded(name, Outcome.NO_CONNECTION, 0.0, 0.0))
        else:
            counter.add(name, amount, forget_after)

    def member_answered(self, counter: Counter, counted: CounterCallEnded) -> None:
        """A member's connection told of the first call for this name that is out there."""
        for call in self.unreported_calls.get(counted.name, ()):
            if call.counter is counter and call.result is None:
                return self.report_in_order(call, counted)
        return None

    def report_in_order(self, call: RoutedCall, counted: CounterCallEnded) -> None:
        """Tells of a call, and of those behind it that have ended; not before those ahead of it."""
        call.result = counted
        calls = self.unreported_calls[counted.name]
        while calls and calls[0].result is not None:
            ended = calls.popleft().result
            if not calls:
                self.unreported_calls.pop(counted.name, None)
            assert ended is not None
            self.on_result(ended)

    def member_of(self, customer: str) -> Member | None:
        """The serving member with the highest weight for a customer."""
        if not self.members:
            return None
        key = customer.encode()
        return max(self.members.values(), key=lambda member: (member.weight(key), member.name))

    def counter_of(self, member: Member) -> Counter | None:
        """The member's connection, opened now if need be; None where no more may be open."""
        if member.counter is None and self.make_room():
            member.counter = self.connect(member.address)
        member.last_used_at = self.clock()
        return member.counter

    def connect(self, address: Address) -> Counter:
        counter = Counter(
            self.clock, address, self.timeout, self.dial_timeout,
            lambda counted: self.member_answered(counter, counted), CONNECTIONS_PER_MEMBER)
        return counter

    def make_room(self) -> bool:
        """Whether one more connection may be opened; the one longest unused makes way for it."""
        open_members = [member for member in self.members.values() if member.counter is not None]
        if len(open_members) + len(self.former_counters) < self.max_member_connections:
            return True
        idle_before = self.clock() - self.timeout  # calls made by then have been answered or given up
        idle = [member for member in open_members if member.last_used_at < idle_before]
        if not idle:
            return False
        unused = min(idle, key=lambda member: member.last_used_at)
        assert unused.counter is not None
        unused.counter.close()
        unused.counter = None
        return True

    def update_members(self, listing: Listing) -> None:
        """Takes in the list of members, or what has changed of it."""
        told = {entry.backend.address: entry for entry in listing.entries}
        for name, member in list(self.members.items()):
            if name in told or listing.is_full:
                self.remove_if_changed(member, told.get(name))
        for name, entry in told.items():
            if entry.backend.status is BackendStatus.SERVING and name not in self.members:
                self.members[name] = Member(name, entry.address)
                log.info("aggregator %s serves; there are %d", name, len(self.members))

    def remove_if_changed(self, member: Member, entry: Entry | None) -> None:
        """A member that no longer serves, or has moved, gets no further call."""
        serves = entry is not None and entry.backend.status is BackendStatus.SERVING
        if serves and entry is not None and entry.address == member.address:
            return
        del self.members[member.name]
        log.info("aggregator %s serves no more; there are %d", member.name, len(self.members))
        if member.counter is not None:
            self.former_counters.add(member.counter)
            self.loop.call_later(self.timeout, self.close_former, member.counter)

    def close_former(self, counter: Counter) -> None:
        """The last calls at a member that left have been answered or given up."""
        self.former_counters.discard(counter)
        counter.close()

    def set_directory(self, directory: Sequence[Address]) -> None:
        """Follows the members in another list service from now on."""
        self.discovery.set_addresses(directory)

    def close(self) -> None:
        """Ends the connections and stops following the list."""
        self.list_task.cancel()
        self.discovery.disconnect()
        for member in self.members.values():
            if member.counter is not None:
                member.counter.close()
        for counter in self.former_counters:
            counter.close()
