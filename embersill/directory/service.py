"""The list service without its HTTP layer: serialized writes, reads and watches, leases, replication.

Nothing is visible before it is durable: a write is checked in a draft, its batch is synced to the log, and
only then the store is changed, the writer is answered and the watchers are notified.
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

LEASE_CHECK_INTERVAL = 0.5  # seconds; a tenth of a short lease
# Seconds that changes are collected before watchers are notified, so that instances that start together make
# few lists; a drain must reach the gateways within a second.
PUBLISH_DELAY = 0.02
MAX_WATCHERS = 2000  # ten times a fleet of 200 gateways; each costs a connection and a few KB
MAX_BATCH_WRITES = 256  # writes synced together; bounds how long the first of them waits
RECOVERY_INTERVAL = 1.0  # seconds between attempts to start a new log after a failed sync
MAX_CACHED_ANSWERS = 64  # encoded answers of one generation; watchers are at few generations
RETRY_AFTER_RANGE = (1.0, 5.0)  # seconds; random, as many readers are refused at once
FOLLOWER_MARK = "follows"  # the file that marks a directory as a follower's; it holds the leader's address

log = logging.getLogger("embersill.directory")


@dataclass(frozen=True, slots=True)
class Options:
    """The command-line options, under their names there."""

    data: pathlib.Path  # the directory that stores the list
    follow: str | None = None  # the leader to replicate, as HOST:PORT
    promote: bool = False  # become the leader with a follower's directory
    watchers: int = MAX_WATCHERS  # maximum number of concurrent watches
    fill: float = 10.0  # without a stored list: seconds from the first registration until reads are served
    share: float = 0.2  # share of the list that may be removed within a minute as leases expire


class NotReady(Exception):
    """A read can't be answered now; the reader keeps the list that it has and tries again."""


class NotLeader(Exception):
    """A write was sent to a follower; the message is the leader's address."""


class ServiceStopping(Exception):
    """The service is shutting down and accepts no writes."""


Write = Callable[[Draft], WriteResult]


class Service:
    """A leader or a follower: its list, the watches, the queue of writes and the leases."""

    def __init__(
        self,
        options: Options,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        seed: int | None = None,
    ) -> None:
        self.options, self.clock, self.wall_clock = options, clock, wall_clock
        self.random = random.Random(seed)
        self.leader = check_role(options)
        self.log = Log(options.data)
        mark_role(options)
        self.store = self.log.store
        self.leases = Leases(clock(), options.share)
        self.next_recovery_at = -inf  # earliest moment of the next attempt at a new log
        self.started_at = clock()
        # From when the leader serves reads; None while a new list has no registration.
        self.readable_from: float | None = None if self.log.is_new else self.started_at
        self.last_contact_at: float | None = None  # when a follower last got an answer from its leader
        self.watcher_count = 0
        self.list_changed = asyncio.Event()  # replaced by a new event each time that it is set
        self.publish_timer: asyncio.TimerHandle | None = None
        self.write_queue: asyncio.Queue[tuple[Write, asyncio.Future[WriteResult]]] = asyncio.Queue()
        self.encoded_answers: OrderedDict[int | None, bytes] = OrderedDict()
        self.encoded_generation = -1
        self.figures: Tally[str] = Tally()
        self.stopping = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.batch_task: asyncio.Task[None] | None = None  # the batch being stored
        self.disk_call: asyncio.Future[None] | None = None  # the disk operation in progress

    # start and stop

    async def start(self) -> None:
        """As a leader, stores a start record, extends all leases and starts the tasks."""
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
        """Stores the start record; if that fails, applies it anyway, so that the list stays readable."""
        try:
            await self.store_batch(draft.records)
        except WriteFailed as error:
            log.error("the start record was not stored, and writes will fail: %s", error)
            self.store.apply(draft.records)

    def end_watches(self) -> None:
        """Answers all watches now, with the changes or without any, and refuses writes from here on."""
        self.stopping.set()
        if self.publish_timer is not None:
            self.publish_timer.cancel()
        self.publish()

    async def stop(self) -> None:
        """Fails queued writes, waits for the batch and the disk operation in progress, and closes the log."""
        while not self.write_queue.empty():
            self.write_queue.get_nowait()[1].set_exception(ServiceStopping())
        for task in self.tasks:
            task.cancel()
        ending = [t for t in (*self.tasks, self.batch_task, self.disk_call) if t is not None]
        await asyncio.gather(*ending, return_exceptions=True)
        self.log.close()

    def role(self) -> str:
        """The role for the log."""
        return f"follower of {self.leader}" if self.leader else "leader"

    def now_us(self) -> int:
        """The wall clock in microseconds."""
        return int(self.wall_clock() * 1e6)

    # reading

    def check_ready(self) -> None:
        """Raises NotReady while gateways would remove backends that this service just doesn't know yet."""
        if self.leader is not None and self.store.generation == 0:
            raise NotReady("nothing was copied from the leader yet")
        if self.leader is None and (self.readable_from is None or self.clock() < self.readable_from):
            raise NotReady("the list began anew and waits for instances to register")

    def encoded_answer(self, generation: int | None) -> bytes:
        """The answer to readers at this generation, encoded once for all of them; None: the full list."""
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
        """The changes after this generation, or the full list where they are not known."""
        changes = None if generation is None else self.store.changes_after(generation)
        is_full = changes is None
        answer = {
            "generation": self.store.generation,
            "reset": is_full,
            "instances": self.store.entries() if changes is None else changes,
        }
        return json.dumps(answer, separators=(",", ":")).encode()

    async def read_list(self, generation: int | None, wait: float) -> bytes:
        """The encoded answer to a reader at this generation; waits up to so many seconds for changes."""
        self.check_ready()
        if generation is not None and self.leader is not None and generation > self.store.generation:
            raise NotReady(f"this copy is at {self.store.generation}, behind the reader")
        if generation is not None and wait > 0 and not self.store.has_changes_after(generation):
            await self.watch(lambda: self.store.has_changes_after(generation), wait)
            self.check_ready()
        return self.encoded_answer(generation)

    async def watch(self, condition: Callable[[], bool], wait: float) -> None:
        """Waits until the condition holds, but at most so many seconds; NotReady at the limit of watches.

        A watch whose client disconnects is cancelled here and no longer counts.
        """
        if self.stopping.is_set():
            return
        if self.watcher_count >= self.options.watchers:
            self.figures["watches refused"] += 1
            raise NotReady("no room for another watch")
        self.watcher_count += 1
        try:
            async with asyncio.timeout(wait):
                while not (condition() or self.stopping.is_set()):
                    await self.list_changed.wait()  # the reader may have this change already
        except TimeoutError:
            pass
        finally:
            self.watcher_count -= 1

    def retry_after(self) -> int:
        """Seconds after which a refused reader may try again."""
        return round(self.random.uniform(*RETRY_AFTER_RANGE))

    def publish(self) -> None:
        """Wakes all watches."""
        self.publish_timer = None
        event, self.list_changed = self.list_changed, asyncio.Event()
        event.set()

    def schedule_publish(self) -> None:
        """Wakes all watches after PUBLISH_DELAY, once for all changes until then."""
        if self.publish_timer is None:
            self.publish_timer = asyncio.get_running_loop().call_later(PUBLISH_DELAY, self.publish)

    # writing

    def check_is_leader(self) -> None:
        """Raises NotLeader or ServiceStopping if writes are not accepted."""
        if self.leader is not None:
            raise NotLeader(self.leader)
        if self.stopping.is_set():
            raise ServiceStopping()

    async def write(self, write: Write) -> WriteResult:
        """Carries out one write, which is durable once this returns.

        Raises WriteRefused, WriteFailed, NotLeader or ServiceStopping.
        """
        self.check_is_leader()
        done: asyncio.Future[WriteResult] = asyncio.get_running_loop().create_future()
        self.write_queue.put_nowait((write, done))
        return await done

    async def process_writes(self) -> None:
        """Stores queued writes batch by batch until cancelled; a batch in progress is not interrupted."""
        while True:
            batch = [await self.write_queue.get()]
            while len(batch) < MAX_BATCH_WRITES and not self.write_queue.empty():
                batch.append(self.write_queue.get_nowait())
            self.batch_task = asyncio.create_task(self.write_batch(batch))
            await asyncio.shield(self.batch_task)

    async def write_batch(self, batch: list[tuple[Write, asyncio.Future[WriteResult]]]) -> None:
        """Checks and stores a batch, and gives each write its result or its error."""
        draft = Draft(self.store, self.now_us())
        drafted: list[tuple[asyncio.Future[WriteResult], WriteResult]] = []
        for write, future in batch:
            try:
                drafted.append((future, write(draft)))
            except WriteRefused as error:
                fail_write(future, error)
            except Exception as error:  # an error in one write must not fail the others
                log.exception("unexpected error in a write")
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
        """Runs a disk operation in a thread, one at a time; it can't be cancelled, so stop() waits for it."""
        self.disk_call = asyncio.get_running_loop().run_in_executor(None, call, content)
        await asyncio.shield(self.disk_call)

    async def recover_log(self) -> None:
        """If the log has failed, tries to start a new one, at most once per RECOVERY_INTERVAL."""
        if self.log.failure and self.clock() >= self.next_recovery_at:
            self.next_recovery_at = self.clock() + RECOVERY_INTERVAL
            await self.run_in_thread(self.log.recover, self.store.to_json())

    async def store_batch(self, records: list[Record]) -> None:
        """Stores records durably, then applies them and notifies the watches; or raises WriteFailed."""
        await self.recover_log()
        await self.run_in_thread(self.log.append, records)
        self.store.apply(records)
        for record in records:
            self.update_lease(record)
        self.schedule_publish()

    async def compact_if_due(self) -> None:
        """Makes a snapshot if the log has grown enough; without one the log is used further."""
        if self.log.needs_compaction():
            content = self.store.to_json()
            try:
                await self.run_in_thread(self.log.compact, content)
            except WriteFailed as error:
                log.error("no snapshot was made: %s", error)

    # replication

    async def changes(self, generation: int, wait: float) -> dict[str, Any]:
        """For a follower at this generation: the records after it, or the full list if they are unknown."""
        self.check_ready()
        if generation == self.store.generation:
            await self.watch(lambda: self.store.generation != generation, wait)
        records = self.store.records_after(generation)
        answer: dict[str, Any] = {"generation": self.store.generation, "reset": records is None}
        if records is None:
            return {**answer, "list": self.store.to_json()}
        return {**answer, "records": [record_to_json(r) for r in records]}

    async def replicate(self, records: list[Record]) -> None:
        """Stores and applies the leader's records; their generations can only increase."""
        if records:
            await self.store_batch(records)
            await self.compact_if_due()

    async def replace_list(self, content: dict[str, Any]) -> None:
        """Replaces the list by the leader's, whose history lacks this follower's generation.

        Raises InvalidFormat if the leader's list is not newer.
        """
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
        """As a leader, starts, extends or drops the lease of a record's instance."""
        if self.leader is not None:
            return
        if record.entry is None:
            self.leases.drop(record.id)
            return
        if self.readable_from is None:
            self.readable_from = self.clock() + self.options.fill
        self.extend_lease(record.id, record.entry.lease_ms)

    def extend_lease(self, id: str, lease_ms: int) -> None:
        """Starts or extends a lease to so many milliseconds from now."""
        self.leases.renew(id, lease_ms / 1000.0, self.clock())

    def renew(self, id: str, process: str) -> WriteResult:
        """Renews a lease; nothing of it is stored, so it neither waits for the disk nor fails with it."""
        self.check_is_leader()
        done = Draft(self.store, self.now_us()).renew(id, process)
        if done.state is not None and done.state.entry is not None:
            self.extend_lease(id, done.state.entry.lease_ms)
        self.figures["renewals"] += 1
        return done

    def renew_all(self) -> None:
        """Starts the leases of all stored instances, at the leader's start."""
        for id, state in self.store.states.items():
            if state.entry is not None:
                self.extend_lease(id, state.entry.lease_ms)
        self.leases.last_tick_at = self.clock()

    async def check_leases_periodically(self) -> None:
        """Calls check_leases every LEASE_CHECK_INTERVAL until cancelled."""
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL)
            await self.check_leases()

    async def check_leases(self) -> None:
        """Removes instances whose leases expired, or holds removal if too many did."""
        was_held, compensated = self.leases.removal_held, self.leases.compensated_delay
        expired = self.leases.tick(self.clock(), LEASE_CHECK_INTERVAL)
        if self.leases.compensated_delay > compensated:
            log.warning(
                "the service paused: all leases got %.1f s back", self.leases.compensated_delay - compensated
            )
        if self.leases.removal_held and not was_held:
            count = len(self.leases.expired(self.clock()))
            log.error(
                "%d of %d leases expired together: removal is held until renewed or resumed by an operator",
                count,
                len(self.leases.expires_at),
            )
        elif was_held and not self.leases.removal_held:
            log.info("removal is no longer held: no lease is expired")
        if expired:
            await self.remove_expired(expired)

    async def remove_expired(self, ids: list[str]) -> None:
        """Removes these instances, except those that renewed while this write was queued."""
        removed: list[str] = []

        def write(draft: Draft) -> WriteResult:
            removed.extend(id for id in self.leases.expired(self.clock()) if id in ids)
            for id in removed:
                draft.expire(id)
            return WriteResult(None, bool(removed))

        try:
            await self.write(write)
        except (WriteFailed, ServiceStopping):
            return  # the next check tries again
        self.figures["leases run out"] += len(removed)
        log.warning("%d leases expired: %s", len(removed), " ".join(removed[:20]))

    async def resume_removal(self) -> list[str]:
        """Removes the instances whose removal was held, by an operator's order; their ids."""
        self.check_is_leader()
        expired = self.leases.resume(self.clock())
        if expired:
            log.warning("an operator resumed removal: %d instances", len(expired))
            await self.remove_expired(expired)
        return expired

    # status

    def lag(self) -> float | None:
        """Seconds since a follower was last known to be up to date; None before its first answer."""
        if self.leader is None:
            return 0.0
        return None if self.last_contact_at is None else round(self.clock() - self.last_contact_at, 3)

    def status(self) -> dict[str, Any]:
        """The service's state and counts, for operators and health checks."""
        entries = self.store.entries()
        expired = self.leases.expired(self.clock()) if self.leader is None else []
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
                "run_out": expired,
                "removal_held": self.leases.removal_held,
            },
            "log_bytes": self.log.size,
            "writes_fail": self.log.failure,
            "cut_bytes": self.log.truncated_bytes,
            "uptime_s": round(self.clock() - self.started_at, 1),
            "figures": dict(sorted(self.figures.items())),
        }


def fail_write(future: asyncio.Future[WriteResult], error: Exception) -> None:
    """Gives a write its error, unless its writer has disconnected."""
    if not future.done():
        future.set_exception(error)


def check_role(options: Options) -> str | None:
    """The leader's address, or None for a leader; ValueError if a follower would lead without --promote."""
    if options.follow is None and not options.promote and (options.data / FOLLOWER_MARK).exists():
        leader = (options.data / FOLLOWER_MARK).read_text().strip()
        raise ValueError(f"{options.data} is a follower of {leader}: start with --follow, or with --promote")
    return options.follow


def mark_role(options: Options) -> None:
    """Marks the directory as a follower's, or removes the mark."""
    mark = options.data / FOLLOWER_MARK
    if options.follow is not None:
        mark.write_text(options.follow + "\n")
    else:
        mark.unlink(missing_ok=True)
