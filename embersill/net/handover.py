"""The hand-over between a running process and its successor, over a Unix socket and a file in $TMPDIR.

The successor asks once it could serve. It is given the listening socket, the decision module's state and, as
they fall idle, the client connections; the other then only ends what it has. A lame duck's successor is one
for the rest of its time. Each message is one packet of JSON, with a descriptor where it gives one away.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import socket
import time
import zlib
from collections.abc import Callable
from contextlib import suppress
from dataclasses import asdict
from typing import Any

from embersill.net.clients import ClientConnection, ConnectionHistory, Front
from embersill.net.driver import Driver
from embersill.net.lameduck import LameDuck

VERSION = 1  # of the messages and the file: a process of another one is taken for none at all
LINK, STATE = "embersill.link", "embersill.state"
MOST_MESSAGE = 4096  # bytes: an id of a backend is the longest part of one
GIVEN_WITHIN = 1.5  # seconds for the predecessor to give its listener: the successor's yes is due in 6
DONE_WITHIN = 0.5  # seconds to wait for the other process over a ban: the console's answer is due in 1
CALLED_AGAIN = 0.05  # seconds until a caller is accepted again after that has failed
SAVE_AGAIN = 0.5  # seconds until the state is written again after that has failed
TELL_EVERY = 0.25  # seconds between the old process's words on what it still holds

Message = dict[str, Any]

log = logging.getLogger("embersill")


class Link:
    """One end of the talk between two processes."""

    def __init__(self, sock: socket.socket, told: Callable[[Message, list[int]], None],
                 ended: Callable[[], None]) -> None:
        self.sock, self.told, self.ended = sock, told, ended
        self.loop = asyncio.get_running_loop()
        sock.setblocking(False)
        self.loop.add_reader(sock, self.readable)

    def send(self, message: Message, *descriptors: int) -> bool:
        """False where the other end has no room now, or is gone: then nothing of it was sent."""
        if self.sock.fileno() < 0:
            return False
        text = json.dumps({**message, "version": VERSION}).encode()
        try:
            socket.send_fds(self.sock, [text], descriptors)
        except OSError as error:  # full, or too many descriptors under way; an end is told to the reader
            log.debug("a message to the other process was not sent: %s", error)
            return False
        return True

    def readable(self) -> None:
        while self.sock.fileno() >= 0:
            try:
                text, descriptors, _, _ = socket.recv_fds(self.sock, MOST_MESSAGE, 4)
            except BlockingIOError:
                return
            except OSError as error:
                log.info("the other process cannot be heard: %s", error)
                text, descriptors = b"", []
            if not text:
                self.close()
                return self.ended()
            self.read(text, descriptors)

    def read(self, text: bytes, descriptors: list[int]) -> None:
        try:
            message = json.loads(text)
            if message["version"] != VERSION:
                raise ValueError("another version")
            self.told(message, descriptors)
        except (ValueError, LookupError, TypeError) as error:
            log.warning("a message of another process is not understood: %s", error)
            for descriptor in descriptors:
                os.close(descriptor)

    def close(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.remove_reader(self.sock)
            self.sock.close()


def open_folder(folder: str) -> int:
    """By descriptor: a socket's path must be short, the folder's may be long; -1 where there is none."""
    try:
        return os.open(folder, os.O_DIRECTORY)
    except OSError as error:
        log.warning("no hand-over, as $TMPDIR cannot be opened: %s", error)
        return -1


def state_text(state: Message) -> str:
    """With its version and a checksum."""
    text = json.dumps(state, separators=(",", ":"))
    return f"{VERSION} {zlib.crc32(text.encode())}\n{text}"


def parse_state(whole: str) -> Message:
    """What `state_text` made; ValueError where it is of another version, or not whole."""
    head, _, text = whole.partition("\n")
    if head.split() != [str(VERSION), str(zlib.crc32(text.encode()))]:
        raise ValueError("of another version, or not whole")
    state = json.loads(text)
    return state if isinstance(state, dict) else {}


def memory_file(text: str) -> int:
    """The descriptor of a file in memory, which a full disk does not keep from being written; -1 for none."""
    try:
        descriptor = os.memfd_create(STATE)
    except OSError as error:
        log.warning("the state goes over by its file alone: %s", error)
        return -1
    with open(os.dup(descriptor), "w", encoding="ascii") as file:
        file.write(text)
    return descriptor


def read_memory_file(descriptor: int) -> Message:
    """What the process before has put there; the descriptor is closed."""
    try:
        with open(descriptor, encoding="ascii") as file:
            file.seek(0)
            return parse_state(file.read())
    except (OSError, ValueError) as error:
        log.warning("the state that was given is of no use: %s", error)
        return {}


def read_seconds(message: Message, key: str) -> float | None:
    """A span of time, of which a process of an older version may tell nothing."""
    seconds = message.get(key)
    return None if seconds is None else float(seconds)


def read_history(message: Message) -> ConnectionHistory:
    """Of a client's connection; a process of an older version tells no time."""
    awaited_for = read_seconds(message, "awaited_for") or 0.0
    return ConnectionHistory(bool(message["asked"]), bool(message["served"]), awaited_for)


class Handover:
    """This process's part in upgrades: first as the successor of one that runs, then as a predecessor."""

    def __init__(self, folder: str | None, driver: Driver, front: Front, duck: LameDuck) -> None:
        self.driver, self.front, self.duck = driver, front, duck
        self.console = ""  # where staff call this process
        self.successor = ""  # and where they call the one that takes over, or that came while this one ended
        self.loop = asyncio.get_running_loop()
        self.folder = open_folder(folder) if folder else -1
        self.link: Link | None = None
        self.given: asyncio.Future[bool] = self.loop.create_future()
        self.saving = False  # the state is written again in a moment
        self.gave = False  # all but what is under way is the successor's
        self.waiting: dict[str, asyncio.Future[None]] = {}  # bans that the other process has not confirmed
        self.door: socket.socket | None = None

    def path(self, name: str) -> str:
        return f"/proc/self/fd/{self.folder}/{name}"

    # as the successor

    def find(self) -> bool:
        """True if a process that could hand over runs already."""
        if self.folder < 0:
            return False
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            sock.connect(self.path(LINK))
        except OSError as error:  # none, or what one that was killed has left
            log.debug("no process to take over from: %s", error)
            sock.close()
            return False
        self.link = Link(sock, self.told, self.ended)
        return True

    async def take_over(self) -> bool:
        """Asks for everything; False where the other process did not give it in time."""
        if self.link is None or not self.link.send({"say": "take", "console": self.console}):
            return False
        try:
            async with asyncio.timeout(GIVEN_WITHIN):
                return await self.given
        except TimeoutError:
            if self.link is not None:
                self.link.close()
                self.link = None
            return False

    def remember_bans(self) -> None:
        """Where nobody hands over, bans are what must outlive the process before: they are by hand."""
        self.driver.inherit({"banned": self.read_state().get("banned", [])})

    def accept_given(self, message: Message, descriptors: list[int]) -> None:
        """Takes over by the listener's descriptor and, of newer versions, one of the state."""
        self.limit_to(message)
        state = read_memory_file(descriptors[1]) if len(descriptors) > 1 else {}
        self.driver.inherit(self.by_own_clock(state or self.read_state()))
        self.front.listen_on(socket.socket(fileno=descriptors[0]))
        left = read_seconds(message, "lame_duck")
        if left is not None:
            log.info("the process before was a lame duck: this one is for %.1f s more", left)
            self.duck.set(left)
        if not self.given.done():
            self.given.set_result(True)

    def by_own_clock(self, state: Message) -> Message:
        """Adds how far this process's clock is ahead of the other's: the machine's may have been stepped.

        Both know the same moment by the monotonic clock, which is one for all processes of a machine.
        """
        if "monotonic" not in state or "now" not in state:
            return state  # of an older version
        then = float(state["now"]) + time.monotonic() - float(state["monotonic"])
        return {**state, "clock_ahead": self.driver.clock() - then}

    def limit_to(self, message: Message) -> None:
        """The two share the limits: what the other still holds is not to be had here."""
        self.front.elsewhere, self.driver.pool.held_by_predecessor = int(message["clients"]), int(message["backends"])

    # as the predecessor

    def open(self) -> None:
        """Lets a successor call; the path is taken over at once from whatever stood there."""
        if self.folder < 0:
            return
        door = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        new = self.path(f"{LINK}.{os.getpid()}")
        try:
            if os.path.lexists(new):
                os.unlink(new)
            door.bind(new)
            door.listen(4)
            os.rename(new, self.path(LINK))
        except OSError as error:
            log.warning("no successor can take over from this process: %s", error)
            return door.close()
        door.setblocking(False)
        self.door = door
        self.listen_at_door()

    def listen_at_door(self) -> None:
        if self.door is not None:
            self.loop.add_reader(self.door, self.called)

    def called(self) -> None:
        assert self.door is not None
        try:
            sock, _ = self.door.accept()
        except OSError as error:
            self.loop.remove_reader(self.door)  # a failure that lasts must not hold the loop
            self.loop.call_later(CALLED_AGAIN, self.listen_at_door)
            return log.warning("a caller for a hand-over was lost: %s", error)
        if self.gave or (self.link is not None and self.link.sock.fileno() >= 0):
            return sock.close()  # one at a time
        self.link = Link(sock, self.told, self.ended)

    def give(self, successor: str) -> None:
        """All that a successor needs goes over: from here on this process only ends what it has."""
        listener = self.front.listener
        if self.link is None or self.gave:
            return
        self.successor = successor
        if self.front.stopping or listener is None:  # it takes what still comes, and ends by itself
            self.link.send({"say": "closing"})
            return
        self.gave = True
        self.front.pause_accepting()
        self.driver.pool.stop_keeping_idle()
        state = {**self.driver.hand_over(), "monotonic": time.monotonic()}
        self.write_state(state)  # an older version reads the file; it may not be written, as on a full disk
        given = {"say": "given", **self.holds(), "lame_duck": self.duck.left()}
        memory = memory_file(state_text(state))
        sent = self.link.send(given, listener.fileno(), *([] if memory < 0 else [memory]))
        if memory >= 0:
            os.close(memory)
        if not sent:
            return self.take_back()
        self.duck.hand_on()
        log.info("handed over to a successor; %d requests are still open here", self.driver.unanswered)
        self.front.successor = self.move
        self.front.move_idle()
        self.loop.call_later(TELL_EVERY, self.tell_holds)

    def move(self, connection: ClientConnection) -> bool:
        """Gives a client's connection away; False where that can't be done now."""
        if self.link is None or connection.transport is None:
            return False
        descriptor = connection.transport.get_extra_info("socket").fileno()
        return self.link.send({"say": "client", **asdict(connection.history())}, descriptor)

    def holds(self) -> Message:
        pool, clients = self.driver.pool, len(self.front.connections)
        return {"clients": clients, "backends": len(pool.connections)}

    def tell_holds(self) -> None:
        if self.gave and self.link is not None:
            self.link.send({"say": "holds", **self.holds()})
            self.loop.call_later(TELL_EVERY, self.tell_holds)

    def take_back(self) -> None:
        """The successor went before this process was told to stop: it serves on, with what credit is left."""
        log.warning("the successor is gone: this process serves on")
        self.gave, self.front.successor, self.successor = False, None, ""
        self.driver.pool.keeps_idle = True
        self.driver.take_back()
        self.front.resume_accepting()
        self.front.stay()
        self.shut()
        self.open()  # the path may be the successor's by now
        self.duck.go_on()

    # both

    def told(self, message: Message, descriptors: list[int]) -> None:
        match message["say"]:
            case "take":
                self.give(str(message.get("console", "")))
            case "given":
                self.accept_given(message, descriptors)
            case "closing":
                if not self.given.done():
                    self.given.set_result(False)
            case "lame duck":
                self.duck.set(read_seconds(message, "left"))
                self.duck.hand_on()
            case "client":
                self.front.adopt(descriptors[0], read_history(message))
            case "holds":
                self.limit_to(message)
            case "suspend":
                self.driver.suspend(str(message["id"]))
                self.confirm(message)
            case "restore":
                self.driver.restore(str(message["id"]))
                self.confirm(message)
            case "did":
                waiting = self.waiting.pop(str(message["id"]), None)
                if waiting is not None and not waiting.done():
                    waiting.set_result(None)
            case other:
                raise ValueError(f"unknown message {other!r}")

    def tell_duck(self) -> None:
        """What staff said here also holds for the process before, should it have to serve on."""
        if self.link is not None:
            self.link.send({"say": "lame duck", "left": self.duck.left()})

    def confirm(self, message: Message) -> None:
        self.save_bans()
        if self.link is not None:
            self.link.send({"say": "did", "id": message["id"]})

    def save_bans(self) -> None:
        if not self.gave:  # the file is the successor's from then on
            self.write_state({"banned": sorted(self.driver.gateway.banned)})

    async def banned(self, say: str, backend: str) -> None:
        """A ban or its end made here also binds the other process, before anybody hears of it."""
        self.save_bans()
        if self.link is None or not self.link.send({"say": say, "id": backend}):
            return
        waiting = self.waiting.setdefault(backend, self.loop.create_future())
        try:
            async with asyncio.timeout(DONE_WITHIN):
                await asyncio.shield(waiting)
        except TimeoutError:
            log.warning("the other process did not confirm the call for %s", backend)

    def ended(self) -> None:
        """The other process has gone."""
        self.link = None
        for waiting in self.waiting.values():
            if not waiting.done():
                waiting.set_result(None)
        self.waiting.clear()
        if self.gave and not self.front.stopping:
            return self.take_back()
        if not self.given.done():
            self.given.set_result(False)
        self.front.elsewhere = self.driver.pool.held_by_predecessor = 0
        self.driver.alone()

    def write_state(self, state: Message) -> None:
        """Whole or not at all, with its version and a checksum."""
        if self.folder < 0:
            return
        new = self.path(f"{STATE}.{os.getpid()}")
        try:
            with open(new, "w", encoding="ascii") as file:
                file.write(state_text(state))
            os.replace(new, self.path(STATE))
        except OSError as error:
            log.warning("the state was not written: %s", error)
            with suppress(OSError):
                os.unlink(new)
            if not (self.gave or self.saving):  # bans that staff were told of are owed to the next process
                self.saving = True
                self.loop.call_later(SAVE_AGAIN, self.save_again)

    def save_again(self) -> None:
        self.saving = False
        if self.folder >= 0:
            self.save_bans()

    def read_state(self) -> Message:
        """What was written last; nothing where it is of another version, or not whole."""
        if self.folder < 0:
            return {}
        try:
            with open(self.path(STATE), encoding="ascii") as file:
                return parse_state(file.read())
        except FileNotFoundError:
            return {}
        except (OSError, ValueError) as error:
            log.warning("the state that was left is of no use: %s", error)
            return {}

    def shut(self) -> None:
        if self.door is not None:
            self.loop.remove_reader(self.door)
            self.door.close()
            self.door = None

    def close(self) -> None:
        if self.link is not None:
            self.link.close()
        self.shut()
        if self.folder >= 0:
            os.close(self.folder)
            self.folder = -1
