"""Copies a leader's changes for as long as it runs, and goes on asking while the leader is away."""

from __future__ import annotations

import asyncio
import json
import logging
import random

import aiohttp

from embersill.directory.form import InvalidFormat, record_from_json
from embersill.directory.logfile import WriteFailed
from embersill.directory.service import Service

CALL_WAIT_MS = 2000  # a call's wait: the lag is known to as much
ANSWER_TIMEOUT = 5.0  # seconds past the wait; a whole list of thousands takes a fraction of one
MIN_BACKOFF, MAX_BACKOFF = (
    0.1,
    5.0,
)  # seconds, doubled each time: followers are few, and a leader starts in one
BACKOFF_JITTER = 0.5  # of a pause, more or less

log = logging.getLogger("embersill.directory")


class UnusableAnswer(Exception):
    """The leader answered with something else than its changes."""


class Follower:
    """Keeps one service at its leader's version."""

    def __init__(self, service: Service, leader: str, seed: int | None = None) -> None:
        self.service, self.leader = service, leader
        self.random = random.Random(seed)
        self.failing = False

    async def run(self) -> None:
        back_off = MIN_BACKOFF
        async with aiohttp.ClientSession() as session:
            while True:
                try:
                    await self.fetch_changes(session)
                except (
                    aiohttp.ClientError,
                    TimeoutError,
                    OSError,
                    ValueError,
                    KeyError,
                    TypeError,
                    InvalidFormat,
                    WriteFailed,
                    UnusableAnswer,
                ) as error:
                    self.record_failure(error)
                    await asyncio.sleep(
                        back_off * (1.0 + BACKOFF_JITTER * (2.0 * self.random.random() - 1.0))
                    )
                    back_off = min(2 * back_off, MAX_BACKOFF)
                    continue
                back_off = MIN_BACKOFF
                if self.failing:
                    log.info(
                        "the leader %s answers again, generation %d",
                        self.leader,
                        self.service.store.generation,
                    )
                self.failing = False

    def record_failure(self, error: Exception) -> None:
        self.service.figures["copying failed"] += 1
        if not self.failing:  # the first of them: a leader may be away for long
            log.warning(
                "no changes from the leader %s, reads go on: %s %s", self.leader, type(error).__name__, error
            )
        self.failing = True

    async def fetch_changes(self, session: aiohttp.ClientSession) -> None:
        service = self.service
        target = f"http://{self.leader}/v1/changes?after={service.store.generation}&timeout_ms={CALL_WAIT_MS}"
        timeout = aiohttp.ClientTimeout(total=CALL_WAIT_MS / 1000 + ANSWER_TIMEOUT)
        async with session.get(target, timeout=timeout) as answer:
            body = await answer.read()
            if answer.status != 200:
                raise UnusableAnswer(f"status {answer.status}: {body[:200].decode(errors='replace')}")
        told = json.loads(body)
        if told["reset"]:
            if service.store.generation:
                log.warning("the leader's history does not hold generation %d", service.store.generation)
            log.info("the leader's whole list is taken, at generation %d", told["generation"])
            await service.replace_list(told["list"])
        else:
            await service.replicate([record_from_json(r) for r in told["records"]])
        service.last_contact_at = service.clock()
