"""One list service: writes in turn through the log, readers and watchers, leases, and a follower's copying.

Nothing that is not yet durable is shown to anyone: a write is drafted on the store, its batch is synced, and
only then is the store changed, the writer answered and the watchers told.
"""

from __future__ import annotations

import asyncio
import json
import logging
import pathlib
import random
import time
from collections import Counter as Tally
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Any

from embersill.directory.form import InvalidFormat, Record, record_to_json
from embersill.directory.leases import Leases
from embersill.directory.logfile import Log, WriteFailed
from embersill.directory.store import Draft, Store, WriteRefused, WriteResult

LEASE_CHECK_INTERVAL = (
    0.5  # seconds between looks at the leases: a tenth of a short one's life is not noticed
)
PUBLISH_DELAY = (
    0.02  # seconds that changes are gathered before watchers are told: a joint start comes as some few lists,
)
# and a drain has a second
MAX_WATCHERS = 2000  # ten times the fleet of 200 gateways; each costs a connection and some KB
MAX_BATCH_WRITES = 256  # writes synced together: bounds how long the first of them waits
RECOVERY_INTERVAL = 1.0  # seconds between tries to write the log anew after it could not be synced
MAX_CACHED_ANSWERS = 64  # encoded answers kept of one version: watchers stand at few versions
RETRY_AFTER_RANGE = (1.0, 5.0)  # seconds told to readers without a place: many are turned away together
FOLLOWER_MARK = "follows"  # the file that marks a folder as a copy

log = logging.getLogger("embersill.directory")


@dataclass(frozen=True, slots=True)
class Options:
    data: pathlib.Path
    follow: str | None = None
    promote: bool = False
    watchers: int = MAX_WATCHERS
    fill: float = 10.0  # seconds after the first registration in a list that began anew until it is told
    share: float = 0.2


class NotReady(Exception):
    """Reads can't be answered yet, or not to this reader; it keeps what it has."""


class NotLeader(Exception):
    """Only the leader takes writes."""


class ServiceStopping(Exception):
    """The service ends."""


Write = Callable[[Draft], WriteResult]


class Service:
    """The list, who waits for it to change, and what may change it."""

    def __init__(
        self,
        options: Options,
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
        seed: int | None = None,
    ) -> None:
        self.options, self.clock, self.wall = options, clock, wall
        self.random = random.Random(seed)
        self.leader = check_role(options)
        self.log = Log(options.data)
        mark_role(options)
        self.store = self.log.store
        self.leases = Leases(clock(), options.share)
        self.next_recovery_at = -inf  # when new files may be tried after the log could not be synced
        self.started_at = clock()
        self.readable_from: float | None = (
            None if self.log.is_new else self.started_at
        )  # when a list begun anew is told
        self.last_contact_at: float | None = None  # a follower's last word from its leader
        self.watcher_count = 0
        self.list_changed = asyncio.Event()  # replaced by another each time that it is set
        self.publish_timer: asyncio.TimerHandle | None = None
        self.write_queue: asyncio.Queue[tuple[Write, asyncio.Future[WriteResult]]] = asyncio.Queue()
        self.encoded_answers: OrderedDict[int | None, bytes] = OrderedDict()
        self.encoded_generation = -1
        self.figures: Tally[str] = Tally()
        self.stopping = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.batch_task: asyncio.Task[None] | None = None  # a batch on its way to the disk
        self.disk_call: asyncio.Future[None] | None = None  # what the disk is at

    # start and stop

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        if self.leader is None:
            draft = Draft(self.store, self.now_us())
            draft.add_start_record()
            await self.store_start_record(draft)
            self.renew_all()
            self.tasks = [
                loop.create_task(self.process_writes()),
                loop.create_task(self.check_leases_periodically()),
            ]
        log.info(
            "%s, generation %d, %d instances", self.role(), self.store.generation, len(self.store.entries())
        )

    async def store_start_record(self, draft: Draft) -> None:
        """A disk that is full at the start leaves the list readable: the number counts though not stored."""
        try:
            await self.store_batch(draft.records)
        except WriteFailed as error:
            log.error("the start is not in the log, and writes will fail: %s", error)
            self.store.apply(draft.records)

    def end_watches(self) -> None:
        """Each gets its answer now: what has changed, or nothing."""
        self.stopping.set()
        if self.publish_timer is not None:
            self.publish_timer.cancel()
        self.publish()

    async def stop(self) -> None:
        """Lets what is being written come to its end, and closes the log."""
        while not self.write_queue.empty():
            self.write_queue.get_nowait()[1].set_exception(ServiceStopping())
        for task in self.tasks:
            task.cancel()
        ending = [t for t in (*self.tasks, self.batch_task, self.disk_call) if t is not None]
        await asyncio.gather(*ending, return_exceptions=True)
        self.log.close()

    def role(self) -> str:
        return f"follower of {self.leader}" if self.leader else "leader"

    def now_us(self) -> int:
        return int(self.wall() * 1e6)

    # reading

    def check_ready(self) -> None:
        """NotReady while an answer would tell gateways that backends are gone of which nothing is known."""
        if self.leader is not None and self.store.generation == 0:
            raise NotReady("nothing was copied from the leader yet")
        if self.leader is None and (self.readable_from is None or self.clock() < self.readable_from):
            raise NotReady("the list began anew and waits for instances to register")

    def encoded_answer(self, generation: int | None) -> bytes:
        """What a reader at this version has to know, encoded once for all that stand there."""
        if self.encoded_generation != self.store.generation:
            self.encoded_answers.clear()
            self.encoded_generation = self.store.generation
        if generation not in self.encoded_answers:
            self.encoded_answers[generation] = self.encode_answer(generation)
            self.figures["answers encoded"] += 1
            if len(self.encoded_answers) > MAX_CACHED_ANSWERS:
                self.encoded_answers.popitem(last=False)
        return self.encoded_answers[generation]

    def encode_answer(self, generation: int | None) -> bytes:
        changes = None if generation is None else self.store.changes_after(generation)
        whole = changes is None
        told = {
            "generation": self.store.generation,
            "reset": whole,
            "instances": self.store.entries() if changes is None else changes,
        }
        return json.dumps(told, separators=(",", ":")).encode()

    async def read_list(self, generation: int | None, wait: float) -> bytes:
        self.check_ready()
        if generation is not None and self.leader is not None and generation > self.store.generation:
            raise NotReady(f"this copy is at {self.store.generation}, behind the reader")
        if generation is not None and wait > 0 and not self.store.has_news(generation):
            await self.watch(lambda: self.store.has_news(generation), wait)
            self.check_ready()
        return self.encoded_answer(generation)

    async def watch(self, done: Callable[[], bool], wait: float) -> None:
        """Waits until that is so, or so many seconds; one that leaves is cancelled here, its place free."""
        if self.stopping.is_set():
            return
        if self.watcher_count >= self.options.watchers:
            self.figures["watches refused"] += 1
            raise NotReady("no room for another watch")
        self.watcher_count += 1
        try:
            async with asyncio.timeout(wait):
                while not (done() or self.stopping.is_set()):
                    await self.list_changed.wait()  # what it wakes for may be known here already
        except TimeoutError:
            pass
        finally:
            self.watcher_count -= 1

    def retry_after(self) -> int:
        """Seconds for a reader to wait who got nothing."""
        return round(self.random.uniform(*RETRY_AFTER_RANGE))

    def publish(self) -> None:
        self.publish_timer = None
        news, self.list_changed = self.list_changed, asyncio.Event()
        news.set()

    def schedule_publish(self) -> None:
        if self.publish_timer is None:
            self.publish_timer = asyncio.get_running_loop().call_later(PUBLISH_DELAY, self.publish)

    # writing

    def check_is_leader(self) -> None:
        if self.leader is not None:
            raise NotLeader(self.leader)
        if self.stopping.is_set():
            raise ServiceStopping()

    async def write(self, write: Write) -> WriteResult:
        """Carries out one write, durable once this returns."""
        self.check_is_leader()
        done: asyncio.Future[WriteResult] = asyncio.get_running_loop().create_future()
        self.write_queue.put_nowait((write, done))
        return await done

    async def process_writes(self) -> None:
        while True:
            batch = [await self.write_queue.get()]
            while len(batch) < MAX_BATCH_WRITES and not self.write_queue.empty():
                batch.append(self.write_queue.get_nowait())
            self.batch_task = asyncio.create_task(self.write_batch(batch))
            await asyncio.shield(self.batch_task)

    async def write_batch(self, batch: list[tuple[Write, asyncio.Future[WriteResult]]]) -> None:
        draft = Draft(self.store, self.now_us())
        drafted: list[tuple[asyncio.Future[WriteResult], WriteResult]] = []
        for write, future in batch:
            try:
                drafted.append((future, write(draft)))
            except WriteRefused as error:
                fail_write(future, error)
            except Exception as error:  # one call that goes wrong must not take the others with it
                log.exception("a write went wrong")
                fail_write(future, error)
        try:
            if draft.records:
                await self.store_batch(draft.records)
        except WriteFailed as error:
            self.figures["writes failed"] += len(drafted)
            log.error("%d writes failed: %s", len(drafted), error)
            for future, _ in drafted:
                fail_write(future, error)
            return
        for future, done in drafted:
            if not future.done():
                future.set_result(done)
        await self.compact_if_due()

    async def run_in_thread(self, call: Callable[..., None], content: Any) -> None:
        """In a thread, one call at a time; a thread can't be called off, so the end waits for it."""
        self.disk_call = asyncio.get_running_loop().run_in_executor(None, call, content)
        await asyncio.shield(self.disk_call)

    async def recover_log(self) -> None:
        """Where the log can't be appended to: tries new files, at most once in RECOVER_EVERY."""
        if self.log.failure and self.clock() >= self.next_recovery_at:
            self.next_recovery_at = self.clock() + RECOVERY_INTERVAL
            await self.run_in_thread(self.log.recover, self.store.to_json())

    async def store_batch(self, records: list[Record]) -> None:
        await self.recover_log()
        await self.run_in_thread(self.log.append, records)
        self.store.apply(records)
        for record in records:
            self.update_lease(record)
        self.schedule_publish()

    async def compact_if_due(self) -> None:
        if self.log.needs_compaction():
            content = self.store.to_json()
            try:
                await self.run_in_thread(self.log.compact, content)
            except WriteFailed as error:
                log.error("no snapshot was made: %s", error)

    # a follower's copying

    async def changes(self, generation: int, wait: float) -> dict[str, Any]:
        """For a follower at this version: the records after it, or the list where this history lacks it."""
        self.check_ready()
        if generation == self.store.generation:
            await self.watch(lambda: self.store.generation != generation, wait)
        records = self.store.records_after(generation)
        told: dict[str, Any] = {"generation": self.store.generation, "reset": records is None}
        if records is None:
            return {**told, "list": self.store.to_json()}
        return {**told, "records": [record_to_json(r) for r in records]}

    async def replicate(self, records: list[Record]) -> None:
        """Takes over what the leader did; its numbers can only go up."""
        if records:
            await self.store_batch(records)
            await self.compact_if_due()

    async def replace_list(self, content: dict[str, Any]) -> None:
        """Takes over another history, where the leader's does not hold this copy's version."""
        store = Store.from_json(content)
        if store.generation <= self.store.generation:
            raise InvalidFormat(
                f"the leader's list, at {store.generation}, is older than this copy, at "
                f"{self.store.generation}: it was restored, or another leads"
            )
        await self.run_in_thread(self.log.compact, content)
        self.store = self.log.store = store
        self.schedule_publish()

    # leases

    def update_lease(self, record: Record) -> None:
        if self.leader is not None:
            return
        if record.entry is None:
            self.leases.drop(record.id)
            return
        if self.readable_from is None:
            self.readable_from = self.clock() + self.options.fill
        self.extend_lease(record.id, record.entry.lease_ms)

    def extend_lease(self, id: str, lease_ms: int) -> None:
        self.leases.renew(id, lease_ms / 1000.0, self.clock())

    def renew(self, id: str, process: str) -> WriteResult:
        """Nothing of it is durable, so it neither waits for the disk nor fails with it."""
        self.check_is_leader()
        done = Draft(self.store, self.now_us()).renew(id, process)
        if done.state is not None and done.state.entry is not None:
            self.extend_lease(id, done.state.entry.lease_ms)
        self.figures["renewals"] += 1
        return done

    def renew_all(self) -> None:
        for id, state in self.store.states.items():
            if state.entry is not None:
                self.extend_lease(id, state.entry.lease_ms)
        self.leases.last_tick_at = self.clock()

    async def check_leases_periodically(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL)
            await self.check_leases()

    async def check_leases(self) -> None:
        """Removes those whose leases ran out, or holds that where too many did."""
        held, given_back = self.leases.removal_held, self.leases.compensated_delay
        out = self.leases.tick(self.clock(), LEASE_CHECK_INTERVAL)
        if self.leases.compensated_delay > given_back:
            log.warning(
                "the service paused: all leases got %.1f s back", self.leases.compensated_delay - given_back
            )
        if self.leases.removal_held and not held:
            many = len(self.leases.expired(self.clock()))
            log.error(
                "%d of %d leases ran out together: removal is held until they renew or it is resumed",
                many,
                len(self.leases.expires_at),
            )
        elif held and not self.leases.removal_held:
            log.info("removal is no longer held: all leases are renewed")
        if out:
            await self.remove_expired(out)

    async def remove_expired(self, ids: list[str]) -> None:
        """Removes them, but for those that renewed while this waited in turn."""
        gone: list[str] = []

        def write(draft: Draft) -> WriteResult:
            gone.extend(id for id in self.leases.expired(self.clock()) if id in ids)
            for id in gone:
                draft.expire(id)
            return WriteResult(None, bool(gone))

        try:
            await self.write(write)
        except (WriteFailed, ServiceStopping):
            return  # they are looked at again with the next tick
        self.figures["leases run out"] += len(gone)
        log.warning("%d leases ran out: %s", len(gone), " ".join(gone[:20]))

    async def resume_removal(self) -> list[str]:
        self.check_is_leader()
        out = self.leases.resume(self.clock())
        if out:
            log.warning("an operator resumed removal: %d instances", len(out))
            await self.remove_expired(out)
        return out

    # what is told of the service itself

    def lag(self) -> float | None:
        """Seconds since a follower last knew that it had all the leader has."""
        if self.leader is None:
            return 0.0
        return None if self.last_contact_at is None else round(self.clock() - self.last_contact_at, 3)

    def status(self) -> dict[str, Any]:
        entries = self.store.entries()
        out = self.leases.expired(self.clock()) if self.leader is None else []
        try:
            self.check_ready()
            ready, why = not self.stopping.is_set(), "stopping" if self.stopping.is_set() else ""
        except NotReady as error:
            ready, why = False, str(error)
        return {
            "ready": ready,
            "why": why,
            "role": "follower" if self.leader else "leader",
            "leader": self.leader,
            "generation": self.store.generation,
            "instances": len(entries),
            "draining": sum(e["lifecycle"] != "SERVING" for e in entries),
            "watchers": self.watcher_count,
            "lag_s": self.lag(),
            "leases": {
                "kept": len(self.leases.expires_at),
                "run_out": out,
                "removal_held": self.leases.removal_held,
            },
            "log_bytes": self.log.size,
            "writes_fail": self.log.failure,
            "cut_bytes": self.log.truncated_bytes,
            "uptime_s": round(self.clock() - self.started_at, 1),
            "figures": dict(sorted(self.figures.items())),
        }


def fail_write(future: asyncio.Future[WriteResult], error: Exception) -> None:
    if not future.done():
        future.set_exception(error)


def check_role(options: Options) -> str | None:
    """The leader's address, or None for a leader; ValueError where a copy would become one by mistake."""
    if options.follow is None and not options.promote and (options.data / FOLLOWER_MARK).exists():
        leader = (options.data / FOLLOWER_MARK).read_text().strip()
        raise ValueError(
            f"{options.data} is a copy of {leader}'s list: start with --follow, or with --promote"
        )
    return options.follow


def mark_role(options: Options) -> None:
    mark = options.data / FOLLOWER_MARK
    if options.follow is not None:
        mark.write_text(options.follow + "\n")
    else:
        mark.unlink(missing_ok=True)
