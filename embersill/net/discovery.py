"""The client of discovery: fetches the full list of backends once, then watches it over one connection.

Several addresses serve the same list: the first is the leader's, and the others take over while it is down. A
list older than the current one is not accepted from a replica, as the newer one has to be obeyed.

The schedule of the calls bounds staleness: a change counts as received 6 s after discovery had it and was
reachable, whatever failed before. So a watch waits no longer than that allows; one that is not answered soon
after its wait is cancelled and another call made at once; and however a call ends, the next one starts within
5 s of its start. Discovery that rejects calls is not silent but overloaded: then all gateways take turns
within that bound. A list that has become older than that is kept: an outage of discovery must not become an
outage of the gateway.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections import Counter as Tally
from collections.abc import Callable, Iterable, Sequence
from math import inf
from typing import cast

import httptools

from embersill.net.framing import AnswerFeeder, BadFraming, FramingFields
from embersill.net.list_feed import ListFeed, ListReader
from embersill.net.list_position import ListPosition, ListSource, ListStatus
from embersill.net.listing import Address, InvalidList, Entry, Listing

# seconds between the starts of successive calls, at most, if the first one gets no answer: of the 6 s after
# which a change counts as received, one is left for the second call's answer
MAX_CALL_INTERVAL = 5.0
MAX_WATCH_MS = 4500  # a watch's wait: with ANSWER_MARGIN it makes MAX_CALL_INTERVAL where the watch is silent
# share of MAX_WATCH_MS that a watch waits at least, at random: a change ends all watches of a fleet
# together, and the next ones must not all be made again at the same time if they are silent
MIN_WATCH_SHARE = 0.6
CHECK_WAIT_MS = 1  # wait of a call that is answered at once, as the first one for a cached list
# seconds after the wait of a watch until it counts as silent; where lists are pushed, of any call, as the
# local agent answers at once and at no cost
ANSWER_MARGIN = 0.5
ANSWER_MARGIN_GRACE_SHARE = 0.5  # limits ANSWER_MARGIN to this share of the grace where lists are pushed
QUICK_RETRIES = 3  # calls after a silent watch that wait for ANSWER_MARGIN; each later one doubles that
# seconds, the limit of that doubling: a call to a busy service is wasted if it is cancelled too soon
MAX_ANSWER_TIME = 4.0
# seconds for the answer to a call before which none was silent: after SIGHUP, where changes count as received
# within 4 s, this leaves as much for other calls
FIRST_ANSWER_TIMEOUT = 2.0
# bytes per second of an answer once MAX_ANSWER_TIME is over: 3,200 backends take ten seconds at worst, and
# a peer that sends too slowly is disconnected
MIN_LIST_RATE = 64 * 1024
MIN_BACKOFF = 0.05  # seconds before a failed call is repeated, doubled each time
# limits the backoff to this share of the grace for drains where lists are pushed: there a change counts as
# received once the agent has it, and the call must be made and answered within the grace
BACKOFF_GRACE_SHARE = 0.25
OVERLOAD_BACKOFF = 0.5  # seconds, at least, where discovery says that it is overloaded
# calls per second of all gateways together, after a call was rejected: each waits for a random time within
# that in which all have a turn at this rate, as far as MAX_CALL_INTERVAL allows. The first call is made at
# once
FLEET_CALL_RATE = 10.0
MAX_UNSPREAD_GATEWAYS = 8  # up to this number, gateways do not take turns
FLEET_TAKEOVER_RATE = 100.0  # calls per second of all gateways together at an address that takes over
# seconds until the first address is tried again, doubled after each failure
FAILBACK_DELAY, MAX_FAILBACK_DELAY = 60.0, 600.0
EARLY_EMPTY_PAUSE = 0.05  # seconds from a watch that was answered early and without changes to the next one
JITTER = 0.5  # of a pause, either way: gateways that fail together must not all return together
MAX_BACKOFF = MAX_CALL_INTERVAL / (1.0 + JITTER)  # seconds: with its jitter no longer than the interval
log = logging.getLogger("embersill")

MAX_LIST_BYTES = 4 * 1024 * 1024  # enough for thousands of backends
MIN_LIST_BYTES = 1024 * 1024  # accepted however little memory there is: 1,024 backends take 0.3 MB
LIST_MEMORY_FACTOR = 6  # bytes of memory for each byte of a list while it is parsed: 9,000 backends took 5


class Overloaded(Exception):
    """Discovery rejects the call for now; the gateway's list stays valid."""


class ReplicaLagging(Exception):
    """A replica behind its leader: the gateway's list is newer."""


class AnswerSuperseded(Exception):
    """While a call was pending, a newer list came from the other process of an upgrade."""


class DiscoveryConnection(asyncio.Protocol):
    """One connection to discovery; a call's future ends with the body of its answer or with an error."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes  # limit on an answer, its head included
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[bytes] | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.feeder = AnswerFeeder(self.parser.feed_data)
        self.fields = FramingFields()
        self.in_head = True
        self.ends_at_close = False  # the answer ends where the connection is closed
        self.body = bytearray()
        self.size = 0  # bytes of the answer so far, its head and framing included
        self.keep_alive = False
        self.is_leader, self.lag = False, 0.0  # from the answer's headers; lag in seconds
        self.on_progress: Callable[[int], None] = lambda size: None  # called with the bytes so far

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport does not derive from it

    def is_open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def request(self, target: str, host: str) -> asyncio.Future[bytes]:
        """Sends a request; the result is the body of a 200, or InvalidList, Overloaded or ConnectionError."""
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
        """Ends a pending call with an error, and closes the connection."""
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.in_head:
            return  # trailers are ignored
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
        self.keep_alive = self.parser.should_keep_alive()  # known to the parser only during this call
        self.finish()

    def eof_received(self) -> bool:
        if self.ends_at_close:
            self.keep_alive = False
            self.finish()
        return False

    def finish(self) -> None:
        """Ends the call with its complete answer."""
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
            return self.fail(InvalidList("the list is too large"))
        return self.on_progress(self.size)

    def connection_lost(self, exc: Exception | None) -> None:
        self.fail(ConnectionError("connection closed"))


class AnswerDeadline:
    """Extends a call's timeout while its answer arrives: a long list takes time, but is not silent."""

    def __init__(self, limit: asyncio.Timeout, silent_after: float) -> None:
        """`silent_after`: seconds without a byte after which the answer counts as interrupted."""
        self.limit, self.silent_after = limit, silent_after
        self.loop = asyncio.get_running_loop()
        self.first_byte_at: float | None = None

    def extend(self, size: int) -> None:
        """`size`: bytes of the answer received so far."""
        now = self.loop.time()
        if self.first_byte_at is None:
            self.first_byte_at = now
        silent_at = now + self.silent_after
        too_slow_at = self.first_byte_at + MAX_ANSWER_TIME + size / MIN_LIST_RATE
        current = self.limit.when()
        if current is not None and not self.limit.expired():
            self.limit.reschedule(max(current, min(silent_at, too_slow_at)))


class Discovery:
    """Watches the list while `run` runs, and delivers every answer in order."""

    def __init__(
        self, addresses: Sequence[Address], dial_timeout: float, on_list: Callable[[Listing], None],
        known: int | None = None, seed: int = 0, gateways: int = 1, grace: float | None = None,
        entries: Iterable[Entry] = (),
    ) -> None:
        """`known`: the generation of the cached `entries`; `gateways`: how many the fleet has;

        `grace`: seconds in which sends to a draining backend must stop, where lists are pushed.
        """
        self.addresses, self.dial_timeout = tuple(addresses), dial_timeout
        self.feed, self.reader = ListFeed(on_list, entries), ListReader()
        self.address_index = 0  # of the address in use, 0 for the leader's
        self.has_responded = asyncio.Event()  # set by the first answer
        self.connection: DiscoveryConnection | None = None
        self.generation = known  # that the next call names; None asks for the full list
        self.newest_generation = known or 0  # generation of the gateway's list
        self.last_list_was_older = False  # the last answer's generation was lower than that
        self.position = ListPosition(known or 0, known or 0, self.addresses)  # of the gateway's list
        self.source = ListSource.CONFIGURATION  # of the gateway's list
        self.source_logged = False
        self.requested_at = self.received_at = 0.0  # of the last answer, by the monotonic clock
        self.adopted_at = -inf  # when a list of another process was adopted, by the same clock
        # called with the position once an answer is delivered completely, and the generation before it
        self.on_delivered: Callable[[ListPosition, int], None] = lambda position, base: None
        self.loop = asyncio.get_running_loop()
        self.current_at = self.loop.time()  # when the list was last known to be current
        self.random = random.Random(seed)
        self.failing = False
        self.consecutive_timeouts = 0  # calls that were not answered in time, up to the last one
        self.backoff, self.max_backoff = MIN_BACKOFF, MAX_BACKOFF
        self.max_list_bytes, self.last_call_at = MAX_LIST_BYTES, self.loop.time()
        self.lists_are_pushed, self.answer_margin = grace is not None, ANSWER_MARGIN
        self.watch_wait = 0.0  # seconds that the last call let discovery wait for changes
        if grace is not None:
            self.max_backoff = min(max(BACKOFF_GRACE_SHARE * grace, MIN_BACKOFF), MAX_BACKOFF)
            self.answer_margin = min(max(ANSWER_MARGIN_GRACE_SHARE * grace, MIN_BACKOFF), ANSWER_MARGIN)
        self.connecting_timeout: asyncio.Timeout | None = None  # of a call that is connecting
        self.call_superseded = asyncio.Event()  # set if the next call is to be made at once: ends a pause
        self.figures: Tally[str] = Tally()
        # seconds in which all gateways have a turn after rejected calls, and at an address that takes over
        self.retry_spread = gateways / FLEET_CALL_RATE if gateways > MAX_UNSPREAD_GATEWAYS else 0.0
        self.takeover_spread = gateways / FLEET_TAKEOVER_RATE
        self.failback_delay, self.failback_at = FAILBACK_DELAY, 0.0

    @property
    def address(self) -> Address:
        """The address in use."""
        return self.addresses[self.address_index]

    def list_age(self) -> float:
        """Seconds since the list was last known to be current."""
        return self.loop.time() - self.current_at

    def list_status(self) -> ListStatus:
        """The list in use, for operators."""
        age = None if self.position.received_at is None else self.list_age()
        return ListStatus(self.position.generation, self.source, age)

    def describe_list(self) -> str:
        """The list in use and the discovery that made it, for the log."""
        where = ",".join(f"{host}:{port}" for host, port in self.position.discovery)
        return f"{self.list_status()}, made by {where}"

    def adopt(self, position: ListPosition, source: ListSource) -> None:
        """Goes by a list of another process of this gateway; the feed has been given its entries."""
        comparable = position.shares_discovery(self.addresses)
        self.generation = position.generation if comparable else None
        self.newest_generation = position.generation if comparable else 0
        self.last_list_was_older = False
        if position.shares_discovery(self.position.discovery):
            position = position._replace(highest=max(position.highest, self.position.highest))
        self.position = position._replace(reloaded_to=self.position.reloaded_to)
        self.adopted_at = time.monotonic()
        age = position.age()
        if age is not None:
            self.current_at = self.loop.time() - age
        self.set_source(source)

    def set_source(self, source: ListSource) -> None:
        """Notes, and logs if it changes, how this process got the list that it goes by.

        A list that a new process gets from discovery at once is the usual case, which is not logged.
        """
        if source is self.source:
            return
        self.source = source
        if source is not ListSource.DISCOVERY or self.source_logged:
            self.log_source()

    def log_source(self) -> None:
        self.source_logged = True
        log.info("this process goes by %s", self.describe_list())

    def advance(self, listing: Listing) -> None:
        """Goes by an answer of discovery from now on."""
        self.generation = self.newest_generation = listing.generation
        self.position = self.position.advanced(
            listing.generation, self.addresses, self.requested_at, self.received_at)
        self.set_source(ListSource.DISCOVERY)

    async def run(self) -> None:
        """Watches the list, without a pause after an answer that has changes.

        Where lists are pushed, a change counts as received once the agent has it, and only a call fetches it:
        a change during a pause would be missed if an outage began before the end of the pause.
        """
        while True:
            self.call_superseded.clear()
            try:
                listing = await self.call()
            except AnswerSuperseded:
                continue
            except (OSError, TimeoutError, InvalidList, Overloaded, ReplicaLagging, ValueError) as error:
                if not self.call_superseded.is_set():
                    await self.pause(self.handle_failure(error))
                continue
            if self.call_superseded.is_set():
                continue  # the answer is from a previous address, or older than the list in use
            self.backoff, self.consecutive_timeouts = MIN_BACKOFF, 0
            if self.failing:
                log.info("discovery answers again")
            self.failing = False
            base = self.position.generation
            self.advance(listing)
            if await self.deliver(listing):
                self.on_delivered(self.position, base)
            self.has_responded.set()
            if self.address_index and self.loop.time() >= self.failback_at:
                await self.fail_back()
            if self.is_early_and_empty(listing):
                await self.pause(EARLY_EMPTY_PAUSE)

    def is_early_and_empty(self, listing: Listing) -> bool:
        """True for a watch that ended early without changes: without a pause, such answers would loop."""
        early = self.loop.time() - self.last_call_at < self.watch_wait / 2.0
        return early and not (listing.is_full or listing.entries)

    async def deliver(self, listing: Listing) -> bool:
        """Delivers a list to the gateway; an error there must not end the watch.

        Returns False if it was not delivered completely.
        """
        try:
            return await self.feed.deliver(listing)
        except Exception:
            log.exception("applying list %d failed: requesting the full list", listing.generation)
            self.generation, self.feed.needs_full_list = None, True
            return False

    def reject_older(self, listing: Listing) -> None:
        """Raises InvalidList for a list older than the current one; the full list is requested next.

        If that one is older too, discovery has restarted its generations or lost its list: it is accepted.
        """
        previous_was_older = self.last_list_was_older
        self.last_list_was_older = listing.generation < self.newest_generation
        if self.last_list_was_older and not (previous_was_older and listing.is_full):
            raise InvalidList(f"list {listing.generation} is older than list {self.newest_generation}")

    def handle_failure(self, error: Exception) -> float:
        """Records how a call failed; returns the seconds until the next one, maybe at another address."""
        silent, overloaded = isinstance(error, TimeoutError), isinstance(error, Overloaded)
        if not self.failing:  # only the first is logged: an outage may be long
            reason = "no answer in time" if silent else f"{type(error).__name__} {error}"
            log.info("discovery fails, the list stays as it was: %s", reason)
        self.failing = True
        self.disconnect()
        self.figures["list silent" if silent else "list no room" if overloaded else "list failed"] += 1
        self.consecutive_timeouts = self.consecutive_timeouts + 1 if silent else 0
        if isinstance(error, InvalidList | ValueError):
            self.generation = None  # a watch from this generation could fail again and again
        pause = self.backoff
        if overloaded:
            pause = max(pause, OVERLOAD_BACKOFF)
        elif len(self.addresses) > 1 and not silent:
            pause = max(pause, self.takeover_spread)
        pause = min(pause, self.max_backoff)
        if self.consecutive_timeouts != 1:  # after a single timeout the address may still answer
            self.use_next_address()
        self.backoff = min(2 * pause, self.max_backoff)
        remaining = max(MAX_CALL_INTERVAL - (self.loop.time() - self.last_call_at), MIN_BACKOFF)
        if overloaded and self.retry_spread and not self.lists_are_pushed:
            return (
                OVERLOAD_BACKOFF
                + min(self.retry_spread, max(remaining - OVERLOAD_BACKOFF, 0.0)) * self.random.random())
        return min(pause * self.jitter(), remaining)

    async def pause(self, seconds: float) -> None:
        """Waits, or until the next call is to be made at once."""
        try:
            async with asyncio.timeout(seconds):
                await self.call_superseded.wait()
        except TimeoutError:
            pass

    def jitter(self) -> float:
        """A random factor around 1."""
        return 1.0 + JITTER * (2.0 * self.random.random() - 1.0)

    async def call(self) -> Listing:
        """Fetches the full list or watches for changes; raises what `run` handles."""
        self.watch_wait = 0.0
        if self.generation is None:
            target, wait = "/v1/endpoints", 0.0
        else:
            watches = self.has_responded.is_set() and not self.failing
            wait_ms = (
                round(MAX_WATCH_MS * self.random.uniform(MIN_WATCH_SHARE, 1.0)) if watches else CHECK_WAIT_MS)
            target = f"/v1/endpoints?since={self.generation}&timeout_ms={wait_ms}"
            wait = wait_ms / 1000.0
            self.watch_wait = wait if watches else 0.0
        self.figures["list asked"] += 1
        self.last_call_at = self.loop.time()
        requested_at = time.monotonic()
        async with asyncio.timeout(wait + self.answer_timeout(wait)) as limit:
            if self.connection is not None and not self.connection.is_open():
                # like a close during the call: discovery may be down, and a watch would find out late
                raise ConnectionError("connection closed between calls")
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
        received_at = time.monotonic()
        if not connection.keep_alive:
            self.disconnect()
        listing = await self.reader.read(body)
        if listing.generation < self.newest_generation and requested_at < self.adopted_at:
            raise AnswerSuperseded
        if (
            len(self.addresses) > 1
            and listing.generation < self.newest_generation
            and not connection.is_leader
        ):
            where = f"{self.address[0]}:{self.address[1]}"
            raise ReplicaLagging(
                f"{where} is at list {listing.generation}, the gateway at {self.newest_generation}")
        self.reject_older(listing)
        self.current_at = self.loop.time() - connection.lag
        self.requested_at, self.received_at = requested_at - connection.lag, received_at
        return listing

    def answer_timeout(self, wait: float) -> float:
        """Seconds that a call's answer may take in addition to its wait."""
        if self.lists_are_pushed or wait > CHECK_WAIT_MS / 1000.0:
            return self.answer_margin
        if self.consecutive_timeouts:
            return min(
                ANSWER_MARGIN * 2.0 ** max(0, self.consecutive_timeouts - QUICK_RETRIES), MAX_ANSWER_TIME)
        return FIRST_ANSWER_TIMEOUT

    async def connect(self, address: Address) -> DiscoveryConnection:
        """Opens a connection; OSError, TimeoutError, or InvalidList where the addresses have changed."""
        async with asyncio.timeout(self.dial_timeout):
            _, connection = await self.loop.create_connection(
                lambda: DiscoveryConnection(self.max_list_bytes), *address)
        if address not in self.addresses:
            connection.fail(ConnectionError("address no longer in use"))
            raise InvalidList("the addresses of discovery changed while connecting")
        return connection

    def use_next_address(self) -> None:
        """Switches to the next address after a failure; the first is tried again later."""
        if len(self.addresses) == 1:
            return
        if not self.address_index:
            self.failback_at = self.loop.time() + self.failback_delay * self.jitter()
        self.address_index = (self.address_index + 1) % len(self.addresses)

    async def fail_back(self) -> None:
        """Returns to the leader's address once it accepts connections; until then the current one is used."""
        try:
            connection = await self.connect(self.addresses[0])
        except (OSError, TimeoutError, InvalidList):
            self.failback_delay = min(2 * self.failback_delay, MAX_FAILBACK_DELAY)
            self.failback_at = self.loop.time() + self.failback_delay * self.jitter()
            return
        self.disconnect()
        self.address_index, self.connection, self.failback_delay = 0, connection, FAILBACK_DELAY

    def set_addresses(self, addresses: Sequence[Address]) -> None:
        """Switches to other addresses and requests the full list there; a pending call is cancelled."""
        if tuple(addresses) != self.addresses:
            self.addresses, self.address_index = tuple(addresses), 0
            self.generation, self.newest_generation = None, 0
            self.position = self.position._replace(reloaded_to=self.addresses)
            self.backoff, self.consecutive_timeouts = MIN_BACKOFF, 0
            self.supersede_call()

    def confirm_older_list(self) -> None:
        """Requests the full list at once, as an answer was of an older generation than the list in use.

        If that one is older too, it is accepted, as by `reject_older`.
        """
        self.generation, self.last_list_was_older = None, True
        self.supersede_call()

    def supersede_call(self) -> None:
        """Cancels a pending call or pause; the next call is made at once, over a new connection."""
        self.call_superseded.set()
        if self.connecting_timeout is not None:
            self.connecting_timeout.reschedule(self.loop.time())
        self.disconnect()

    def disconnect(self) -> None:
        """Closes the connection, if there is one."""
        connection, self.connection = self.connection, None
        if connection is not None and connection.transport is not None:
            connection.transport.abort()
