"""Replicates a leader's changes with long polls; retries with backoff while the leader is unreachable."""

from __future__ import annotations

import asyncio
import json
import logging
import random

import aiohttp

from embersill.directory.form import InvalidFormat, record_from_json
from embersill.directory.logfile import WriteFailed
from embersill.directory.service import Service

CALL_WAIT_MS = 2000  # wait of one long poll; the reported lag is exact to this much
ANSWER_TIMEOUT = 5.0  # seconds beyond the wait; a full list of thousands of entries takes a fraction of one
# Seconds, doubled each time: followers are few, and a leader starts in about a second.
MIN_BACKOFF, MAX_BACKOFF = 0.1, 5.0
BACKOFF_JITTER = 0.5  # share of a pause by which it is randomly lengthened or shortened

log = logging.getLogger("embersill.directory")


class UnusableAnswer(Exception):
    """The leader answered with another status than 200."""


class Follower:
    """Keeps one service's list at its leader's generation."""

    def __init__(self, service: Service, leader: str, seed: int | None = None) -> None:
        self.service, self.leader = service, leader
        self.random = random.Random(seed)
        self.failing = False

    async def run(self) -> None:
        """Fetches and applies changes until cancelled; no error of the leader or the disk ends it."""
        backoff = MIN_BACKOFF
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
                    await asyncio.sleep(backoff * (1.0 + BACKOFF_JITTER * (2.0 * self.random.random() - 1.0)))
                    backoff = min(2 * backoff, MAX_BACKOFF)
                    continue
                backoff = MIN_BACKOFF
                if self.failing:
                    log.info(
                        "leader %s is reachable again, generation %d",
                        self.leader,
                        self.service.store.generation,
                    )
                self.failing = False

    def record_failure(self, error: Exception) -> None:
        """Counts a failed poll, and logs the first of several in a row."""
        self.service.figures["copying failed"] += 1
        if not self.failing:  # the leader may be unreachable for long
            log.warning(
                "cannot replicate from leader %s, reads continue: %s %s",
                self.leader,
                type(error).__name__,
                error,
            )
        self.failing = True

    async def fetch_changes(self, session: aiohttp.ClientSession) -> None:
        """Makes one long poll and applies its answer: the new records, or the leader's full list."""
        service = self.service
        target = f"http://{self.leader}/v1/changes?after={service.store.generation}&timeout_ms={CALL_WAIT_MS}"
        timeout = aiohttp.ClientTimeout(total=CALL_WAIT_MS / 1000 + ANSWER_TIMEOUT)
        async with session.get(target, timeout=timeout) as answer:
            body = await answer.read()
            if answer.status != 200:
                raise UnusableAnswer(f"status {answer.status}: {body[:200].decode(errors='replace')}")
        content = json.loads(body)
        if content["reset"]:
            if service.store.generation:
                log.warning("generation %d is not in the leader's history", service.store.generation)
            log.info("replacing the list by the leader's full list, at generation %d", content["generation"])
            await service.replace_list(content["list"])
        else:
            await service.replicate([record_from_json(r) for r in content["records"]])
        service.last_contact_at = service.clock()
