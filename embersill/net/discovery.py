"""Discovery: the whole list once, then one watch after the other, over one connection.

Where several addresses are told, they are one list: the first is its leader's, and the others take over while
that is away. A list older than the one at hand is not taken from a copy, as what was told must be obeyed.

Staleness is bounded by the schedule itself: a change counts as told 6 s after discovery had it and could be
reached, whatever failed before. So a watch waits no longer than that allows; one without an answer just past
its wait is broken, and a call made at once; and however calls end, the next begins within 5 s of the last.
Discovery that turns calls away is not silent: it lacks room, and all gateways take turns within that bound.
A list that has grown older than that is kept: an outage of discovery must not become one of the gateway.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections import Counter as Tally
from collections.abc import Callable, Iterable, Sequence
from typing import cast

import httptools

from embersill.net.framing import AnswerFeeder, BadFraming, FramingFields
from embersill.net.list_feed import ListFeed, ListReader
from embersill.net.listing import Address, InvalidList, Entry, Listing

MAX_CALL_INTERVAL = 5.0  # seconds from a call's begin to the next's, at the most, if it gets no answer: of the 6 s
# after which a change counts as told one is left for the next call's answer
MAX_WATCH_MS = 4500  # a watch's wait, at the most: with OVERDUE it is NEXT_WITHIN if it falls silent
MIN_WATCH_SHARE = 0.6  # of it that a watch waits at the least, drawn anew for each: a change ends all watches of
# a fleet together, and those that fall silent together must not come again in step
CHECK_WAIT_MS = 1  # the wait of the first call: what has changed since the remembered list, if anything has
ANSWER_MARGIN = 0.5  # seconds past a watch's wait from which it is silent; for any call where lists are pushed, as
# an agent answers at once and at no cost
ANSWER_MARGIN_GRACE_SHARE = 0.5  # of the grace for drains that this is at the most where lists are pushed
QUICK_RETRIES = 3  # calls after a silent watch that are given no longer than that; each one after them, twice as long
MAX_ANSWER_TIME = 4.0  # up to this: given up too soon, a call of a service in demand is made in vain
FIRST_ANSWER_TIMEOUT = 2.0  # seconds for a call after none that was silent: after SIGHUP, where news count as
# told in 4 s, as much is left for others
MIN_LIST_RATE = 64 * 1024  # bytes a second that an answer must bring once ANSWER_WITHIN is over: 3,200 come
# in ten seconds at the worst, and a peer that only drips is left
MIN_BACKOFF = 0.05  # seconds before a failed call is made again: doubled each time
BACKOFF_GRACE_SHARE = 0.25  # of the grace for drains that it is at the most where lists are pushed: what the agent
# has counts as told there, and the call must be made and answered within the grace
OVERLOAD_BACKOFF = 0.5  # the first of them where discovery says that it has no room
FLEET_CALL_RATE = 10.0  # calls a second of all gateways together: in the time that this makes for all, each takes
# a turn at random after a call without room, as far as NEXT_WITHIN allows; the first is made at once
MAX_UNSPREAD_GATEWAYS = 8  # gateways, up to which they need not
FLEET_TAKEOVER_RATE = 100.0  # calls a second of all gateways together at an address that takes over for another
FAILBACK_DELAY, MAX_FAILBACK_DELAY = 60.0, 600.0  # seconds until the first address is tried again, and doubled
EARLY_EMPTY_PAUSE = 0.05  # seconds from a watch that was answered early and with nothing to the next
JITTER = 0.5  # of a pause, more or less: many gateways fail together and must not come back together
MAX_BACKOFF = MAX_CALL_INTERVAL / (1.0 + JITTER)  # seconds: with its jitter no longer than the bound
log = logging.getLogger("embersill")

MAX_LIST_BYTES = 4 * 1024 * 1024  # bytes: a fleet of thousands fits
MIN_LIST_BYTES = 1024 * 1024  # bytes that may come however little memory there is: 1,024 backends take 0.3 MB
LIST_MEMORY_FACTOR = 6  # bytes of memory for each of a list while it is read: 5 were measured with 9,000 backends


class Overloaded(Exception):
    """Discovery turns the call away for now; what the gateway has is no worse for it."""


class ReplicaLagging(Exception):
    """A copy that lags: what the gateway has is newer."""


class DiscoveryConnection(asyncio.Protocol):
    """One connection to the agent; a call's answer, or its end, resolves the call's future."""

    def __init__(self, most: int) -> None:
        self.max_bytes = most  # bytes of an answer
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[bytes] | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.feeder = AnswerFeeder(self.parser.feed_data)
        self.fields = FramingFields()
        self.in_head = True
        self.ends_at_close = False  # the answer ends with the connection
        self.body = bytearray()
        self.size = 0  # bytes of the answer, its head and framing included
        self.keep_alive = False
        self.is_leader, self.lag = False, 0.0  # as the answer's headers say, where it has such
        self.on_progress: Callable[[int], None] = lambda size: None  # told how many bytes have come so far

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases

    def is_up(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def request(self, target: str, host: str) -> asyncio.Future[bytes]:
        assert self.transport is not None
        self.body.clear()
        self.size = 0
        self.is_leader, self.lag = False, 0.0
        self.feeder.start()
        self.fields, self.in_head, self.ends_at_close = FramingFields(), True, False
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        return self.answer

    def fail(self, error: Exception) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.in_head:
            return  # a trailer, which tells nothing
        name, value = name.lower(), value.strip()
        if name == b"directory-role":
            self.is_leader = value == b"leader"
        elif name == b"directory-lag" and value.replace(b".", b"", 1).isdigit():
            self.lag = float(value)
        else:
            self.fields.add(name, value)

    def on_headers_complete(self) -> None:
        self.in_head = 100 <= self.parser.get_status_code() < 200
        if self.in_head:
            self.fields = FramingFields()
            return
        try:
            framing = self.fields.read()
        except BadFraming as error:
            return self.fail(InvalidList(str(error)))
        self.ends_at_close = framing.length is None and not framing.chunked

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        if self.in_head:  # of an interim answer
            return
        self.keep_alive = self.parser.should_keep_alive()  # the parser knows only while in this call
        self.finish()

    def eof_received(self) -> bool:
        if self.ends_at_close:
            self.keep_alive = False
            self.finish()
        return False

    def finish(self) -> None:
        """The answer has come whole."""
        if self.answer is None or self.answer.done():
            return
        status = self.parser.get_status_code()
        if status == 200:
            self.answer.set_result(bytes(self.body))
        elif status == 429 or status >= 500:
            self.answer.set_exception(Overloaded(f"status {status}"))
        else:
            self.answer.set_exception(InvalidList(f"status {status}"))

    def data_received(self, data: bytes) -> None:
        try:
            self.feeder.feed(data, lambda: self.in_head)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.fail(InvalidList(str(error)))
        self.size += len(data)
        if self.size > self.max_bytes:
            return self.fail(InvalidList("an oversized list"))
        return self.on_progress(self.size)

    def connection_lost(self, exc: Exception | None) -> None:
        self.fail(ConnectionError("the connection ended"))


class AnswerDeadline:
    """Moves the end of a call's time on while its answer comes: a long list is slow, and not silent."""

    def __init__(self, limit: asyncio.Timeout, silent_after: float) -> None:
        """`silent_after`: seconds without a byte from which the answer counts as broken off."""
        self.limit, self.silent_after = limit, silent_after
        self.loop = asyncio.get_running_loop()
        self.first_byte_at: float | None = None

    def extend(self, size: int) -> None:
        """`size`: bytes of the answer that have come so far."""
        now = self.loop.time()
        if self.first_byte_at is None:
            self.first_byte_at = now
        silent_at = now + self.silent_after
        too_slow_at = self.first_byte_at + MAX_ANSWER_TIME + size / MIN_LIST_RATE
        before = self.limit.when()
        if before is not None and not self.limit.expired():
            self.limit.reschedule(max(before, min(silent_at, too_slow_at)))


class Discovery:
    """Follows the list for as long as it runs, and tells every answer in order."""

    def __init__(
        self, addresses: Sequence[Address], dial_timeout: float, told: Callable[[Listing], None],
        known: int | None = None, seed: int = 0, gateways: int = 1, grace: float | None = None,
        entries: Iterable[Entry] = (),
    ) -> None:
        """`known`: the version of the `entries` at hand; `grace`: seconds for sends to a draining backend, if

        lists are pushed.
        """
        self.addresses, self.dial_timeout = tuple(addresses), dial_timeout
        self.feed, self.reader = ListFeed(told, entries), ListReader()
        self.address_index = 0  # of the address in use
        self.has_responded = asyncio.Event()  # set once discovery has answered at all
        self.connection: DiscoveryConnection | None = None
        self.generation = known  # the version that the next call names, if any
        self.newest_generation = known or 0  # the version of the list that the gateway has
        self.last_list_was_older = False  # the last answer's was older than that
        self.loop = asyncio.get_running_loop()
        self.current_at = self.loop.time()  # when the list was as new as its leader's, for all that is known
        self.random = random.Random(seed)
        self.failing = False
        self.consecutive_timeouts = 0  # calls in a row, the last ones made, that got no answer in time
        self.backoff, self.max_backoff = MIN_BACKOFF, MAX_BACKOFF
        self.max_list_bytes, self.last_call_at = MAX_LIST_BYTES, self.loop.time()
        self.lists_are_pushed, self.answer_margin = grace is not None, ANSWER_MARGIN
        self.watch_wait = 0.0  # seconds that the last call asked discovery to wait for news
        if grace is not None:
            self.max_backoff = min(max(BACKOFF_GRACE_SHARE * grace, MIN_BACKOFF), MAX_BACKOFF)
            self.answer_margin = min(max(ANSWER_MARGIN_GRACE_SHARE * grace, MIN_BACKOFF), ANSWER_MARGIN)
        self.connecting_timeout: asyncio.Timeout | None = None  # of a call whose connection comes up
        self.addresses_changed = asyncio.Event()  # there are other addresses: no pause holds any more
        self.figures: Tally[str] = Tally()
        self.retry_spread = gateways / FLEET_CALL_RATE if gateways > MAX_UNSPREAD_GATEWAYS else 0.0  # seconds in which all gateways have a turn
        self.takeover_spread = gateways / FLEET_TAKEOVER_RATE  # the same, where another address is ready for them
        self.failback_delay, self.failback_at = FAILBACK_DELAY, 0.0

    @property
    def address(self) -> Address:
        return self.addresses[self.address_index]

    def list_age(self) -> float:
        """Seconds since the list was known to be the newest."""
        return self.loop.time() - self.current_at

    async def run(self) -> None:
        """Follows the list, with no pause after an answer that tells something.

        Where lists are pushed, what the agent hears counts as told, and only a call brings it here: what came
        in a pause would be missed if an outage began before its end.
        """
        while True:
            self.addresses_changed.clear()
            try:
                listing = await self.call()
            except (OSError, TimeoutError, InvalidList, Overloaded, ReplicaLagging, ValueError) as error:
                if not self.addresses_changed.is_set():
                    await self.pause(self.handle_failure(error))
                continue
            if self.addresses_changed.is_set():
                continue  # it came from where discovery was
            self.backoff, self.consecutive_timeouts = MIN_BACKOFF, 0
            if self.failing:
                log.info("discovery answers again")
            self.failing = False
            self.generation = self.newest_generation = listing.generation
            await self.deliver(listing)
            self.has_responded.set()
            if self.address_index and self.loop.time() >= self.failback_at:
                await self.fail_back()
            if self.is_early_and_empty(listing):
                await self.pause(EARLY_EMPTY_PAUSE)

    def is_early_and_empty(self, listing: Listing) -> bool:
        """True for a watch that did not wait: calls without end would follow one that never does."""
        early = self.loop.time() - self.last_call_at < self.watch_wait / 2.0
        return early and not (listing.is_full or listing.entries)

    async def deliver(self, listing: Listing) -> None:
        """Tells the gateway; what goes wrong there must not end the following of the list."""
        try:
            await self.feed.deliver(listing)
        except Exception:
            log.exception("list %d was not taken in whole: the whole list is asked for", listing.generation)
            self.generation, self.feed.needs_full_list = None, True

    def check_newer(self, listing: Listing) -> None:
        """BadList for a list older than the one at hand: it is set aside, and the whole one asked for.

        Where that is older too, discovery counts anew or has lost its list: it is believed.
        """
        before = self.last_list_was_older
        self.last_list_was_older = listing.generation < self.newest_generation
        if self.last_list_was_older and not (before and listing.is_full):
            raise InvalidList(f"a list of version {listing.generation}, older than {self.newest_generation}")

    def handle_failure(self, error: Exception) -> float:
        """Takes in how a call failed; the seconds until the next, which may go to another address."""
        silent, full = isinstance(error, TimeoutError), isinstance(error, Overloaded)
        if not self.failing:  # the first of them: discovery may be away for long
            why = "no answer in time" if silent else f"{type(error).__name__} {error}"
            log.info("discovery fails, the list stays as it was: %s", why)
        self.failing = True
        self.disconnect()
        self.figures["list silent" if silent else "list no room" if full else "list failed"] += 1
        self.consecutive_timeouts = self.consecutive_timeouts + 1 if silent else 0
        if isinstance(error, InvalidList | ValueError):
            self.generation = None  # a watch from this version would be refused again and again
        pause = self.backoff
        if full:
            pause = max(pause, OVERLOAD_BACKOFF)
        elif len(self.addresses) > 1 and not silent:
            pause = max(pause, self.takeover_spread)
        pause = min(pause, self.max_backoff)
        if self.consecutive_timeouts != 1:  # a watch alone may have fallen silent, and not the address
            self.use_next_address()
        self.backoff = min(2 * pause, self.max_backoff)
        left = max(MAX_CALL_INTERVAL - (self.loop.time() - self.last_call_at), MIN_BACKOFF)
        if full and self.retry_spread and not self.lists_are_pushed:
            return OVERLOAD_BACKOFF + min(self.retry_spread, max(left - OVERLOAD_BACKOFF, 0.0)) * self.random.random()
        return min(pause * self.jitter(), left)

    async def pause(self, seconds: float) -> None:
        """Waits, but for no address that is no more."""
        try:
            async with asyncio.timeout(seconds):
                await self.addresses_changed.wait()
        except TimeoutError:
            pass

    def jitter(self) -> float:
        return 1.0 + JITTER * (2.0 * self.random.random() - 1.0)

    async def call(self) -> Listing:
        self.watch_wait = 0.0
        if self.generation is None:
            target, wait = "/v1/endpoints", 0.0
        else:
            watches = self.has_responded.is_set() and not self.failing
            wait_ms = round(MAX_WATCH_MS * self.random.uniform(MIN_WATCH_SHARE, 1.0)) if watches else CHECK_WAIT_MS
            target = f"/v1/endpoints?since={self.generation}&timeout_ms={wait_ms}"
            wait = wait_ms / 1000.0
            self.watch_wait = wait if watches else 0.0
        self.figures["list asked"] += 1
        self.last_call_at = self.loop.time()
        async with asyncio.timeout(wait + self.answer_timeout(wait)) as limit:
            if self.connection is not None and not self.connection.is_up():
                # as if it had ended under the call: discovery may be down, and a whole watch is not for that
                raise ConnectionError("the connection ended between two calls")
            if self.connection is None:
                self.connecting_timeout = limit
                try:
                    self.connection = await self.connect(self.address)
                finally:
                    self.connecting_timeout = None
            connection = self.connection
            connection.on_progress = AnswerDeadline(limit, self.answer_margin).extend
            try:
                body = await connection.request(target, f"{self.address[0]}:{self.address[1]}")
            finally:
                connection.on_progress = lambda size: None
        if not connection.keep_alive:
            self.disconnect()
        listing = await self.reader.read(body)
        if len(self.addresses) > 1 and listing.generation < self.newest_generation and not connection.is_leader:
            where = f"{self.address[0]}:{self.address[1]}"
            raise ReplicaLagging(f"{where} is at {listing.generation}, the list at {self.newest_generation}")
        self.check_newer(listing)
        self.current_at = self.loop.time() - connection.lag
        return listing

    def answer_timeout(self, wait: float) -> float:
        """Seconds past its wait that a call's answer may take."""
        if self.lists_are_pushed or wait > CHECK_WAIT_MS / 1000.0:
            return self.answer_margin
        if self.consecutive_timeouts:
            return min(ANSWER_MARGIN * 2.0 ** max(0, self.consecutive_timeouts - QUICK_RETRIES), MAX_ANSWER_TIME)
        return FIRST_ANSWER_TIMEOUT

    async def connect(self, address: Address) -> DiscoveryConnection:
        async with asyncio.timeout(self.dial_timeout):
            _, connection = await self.loop.create_connection(
                lambda: DiscoveryConnection(self.max_list_bytes), *address)
        if address not in self.addresses:
            connection.fail(ConnectionError("not needed"))
            raise InvalidList("discovery moved while this connection came up")
        return connection

    def use_next_address(self) -> None:
        """The next address, after a failure of this one; in time the first is tried again."""
        if len(self.addresses) == 1:
            return
        if not self.address_index:
            self.failback_at = self.loop.time() + self.failback_delay * self.jitter()
        self.address_index = (self.address_index + 1) % len(self.addresses)

    async def fail_back(self) -> None:
        """Goes back to where it is made, once that takes connections; the watch here goes on until then."""
        try:
            connection = await self.connect(self.addresses[0])
        except (OSError, TimeoutError, InvalidList):
            self.failback_delay = min(2 * self.failback_delay, MAX_FAILBACK_DELAY)
            self.failback_at = self.loop.time() + self.failback_delay * self.jitter()
            return
        self.disconnect()
        self.address_index, self.connection, self.failback_delay = 0, connection, FAILBACK_DELAY

    def set_addresses(self, addresses: Sequence[Address]) -> None:
        """Follows discovery to other addresses, from its whole list on; a call under way is broken off."""
        if tuple(addresses) != self.addresses:
            self.addresses, self.address_index = tuple(addresses), 0
            self.generation, self.newest_generation = None, 0
            self.backoff, self.consecutive_timeouts = MIN_BACKOFF, 0
            self.addresses_changed.set()
            if self.connecting_timeout is not None:
                self.connecting_timeout.reschedule(self.loop.time())
            self.disconnect()

    def disconnect(self) -> None:
        connection, self.connection = self.connection, None
        if connection is not None and connection.transport is not None:
            connection.transport.abort()
