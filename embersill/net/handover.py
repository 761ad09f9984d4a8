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
SOCKET_NAME, STATE_FILE_NAME = "embersill.link", "embersill.state"
MAX_MESSAGE_SIZE = 4096  # bytes: an id of a backend is the longest part of one
TAKE_OVER_TIMEOUT = 1.5  # seconds for the predecessor to give its listener: the successor's yes is due in 6
CONFIRMATION_TIMEOUT = 0.5  # seconds to wait for the other process over a ban: the console's answer is due in 1
ACCEPT_RETRY_DELAY = 0.05  # seconds until a caller is accepted again after that has failed
SAVE_RETRY_DELAY = 0.5  # seconds until the state is written again after that has failed
CONNECTION_COUNT_INTERVAL = 0.25  # seconds between the old process's words on what it still holds

Message = dict[str, Any]

log = logging.getLogger("embersill")


class Channel:
    """One end of the talk between two processes."""

    def __init__(self, sock: socket.socket, told: Callable[[Message, list[int]], None],
                 ended: Callable[[], None]) -> None:
        self.sock, self.on_message, self.on_closed = sock, told, ended
        self.loop = asyncio.get_running_loop()
        sock.setblocking(False)
        self.loop.add_reader(sock, self.on_readable)

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

    def on_readable(self) -> None:
        while self.sock.fileno() >= 0:
            try:
                text, descriptors, _, _ = socket.recv_fds(self.sock, MAX_MESSAGE_SIZE, 4)
            except BlockingIOError:
                return
            except OSError as error:
                log.info("the other process cannot be heard: %s", error)
                text, descriptors = b"", []
            if not text:
                self.close()
                return self.on_closed()
            self.handle_packet(text, descriptors)

    def handle_packet(self, text: bytes, descriptors: list[int]) -> None:
        try:
            message = json.loads(text)
            if message["version"] != VERSION:
                raise ValueError("another version")
            self.on_message(message, descriptors)
        except (ValueError, LookupError, TypeError) as error:
            log.warning("a message of another process is not understood: %s", error)
            for descriptor in descriptors:
                os.close(descriptor)

    def close(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.remove_reader(self.sock)
            self.sock.close()


def open_directory(folder: str) -> int:
    """By descriptor: a socket's path must be short, the folder's may be long; -1 where there is none."""
    try:
        return os.open(folder, os.O_DIRECTORY)
    except OSError as error:
        log.warning("no hand-over, as $TMPDIR cannot be opened: %s", error)
        return -1


def serialize_state(state: Message) -> str:
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


def create_memory_file(text: str) -> int:
    """The descriptor of a file in memory, which a full disk does not keep from being written; -1 for none."""
    try:
        descriptor = os.memfd_create(STATE_FILE_NAME)
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
        self.driver, self.front, self.lame_duck = driver, front, duck
        self.console_address = ""  # where staff call this process
        self.successor_console = ""  # and where they call the one that takes over, or that came while this one ended
        self.loop = asyncio.get_running_loop()
        self.directory = open_directory(folder) if folder else -1
        self.channel: Channel | None = None
        self.take_over_result: asyncio.Future[bool] = self.loop.create_future()
        self.save_scheduled = False  # the state is written again in a moment
        self.handed_over = False  # all but what is under way is the successor's
        self.pending_confirmations: dict[str, asyncio.Future[None]] = {}  # bans that the other process has not confirmed
        self.listener: socket.socket | None = None

    def path(self, name: str) -> str:
        return f"/proc/self/fd/{self.directory}/{name}"

    # as the successor

    def connect_to_predecessor(self) -> bool:
        """True if a process that could hand over runs already."""
        if self.directory < 0:
            return False
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            sock.connect(self.path(SOCKET_NAME))
        except OSError as error:  # none, or what one that was killed has left
            log.debug("no process to take over from: %s", error)
            sock.close()
            return False
        self.channel = Channel(sock, self.on_message, self.on_peer_exited)
        return True

    async def take_over(self) -> bool:
        """Asks for everything; False where the other process did not give it in time."""
        if self.channel is None or not self.channel.send({"say": "take", "console": self.console_address}):
            return False
        try:
            async with asyncio.timeout(TAKE_OVER_TIMEOUT):
                return await self.take_over_result
        except TimeoutError:
            if self.channel is not None:
                self.channel.close()
                self.channel = None
            return False

    def restore_suspensions(self) -> None:
        """Where nobody hands over, bans are what must outlive the process before: they are by hand."""
        self.driver.load_predecessor_state({"banned": self.read_state().get("banned", [])})

    def accept_hand_over(self, message: Message, descriptors: list[int]) -> None:
        """Takes over by the listener's descriptor and, of newer versions, one of the state."""
        self.set_peer_connections(message)
        state = read_memory_file(descriptors[1]) if len(descriptors) > 1 else {}
        self.driver.load_predecessor_state(self.add_clock_offset(state or self.read_state()))
        self.front.listen_on(socket.socket(fileno=descriptors[0]))
        left = read_seconds(message, "lame_duck")
        if left is not None:
            log.info("the process before was a lame duck: this one is for %.1f s more", left)
            self.lame_duck.set(left)
        if not self.take_over_result.done():
            self.take_over_result.set_result(True)

    def add_clock_offset(self, state: Message) -> Message:
        """Adds how far this process's clock is ahead of the other's: the machine's may have been stepped.

        Both know the same moment by the monotonic clock, which is one for all processes of a machine.
        """
        if "monotonic" not in state or "now" not in state:
            return state  # of an older version
        then = float(state["now"]) + time.monotonic() - float(state["monotonic"])
        return {**state, "clock_ahead": self.driver.clock() - then}

    def set_peer_connections(self, message: Message) -> None:
        """The two share the limits: what the other still holds is not to be had here."""
        self.front.elsewhere, self.driver.pool.elsewhere = int(message["clients"]), int(message["backends"])

    # as the predecessor

    def listen(self) -> None:
        """Lets a successor call; the path is taken over at once from whatever stood there."""
        if self.directory < 0:
            return
        door = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        new = self.path(f"{SOCKET_NAME}.{os.getpid()}")
        try:
            if os.path.lexists(new):
                os.unlink(new)
            door.bind(new)
            door.listen(4)
            os.rename(new, self.path(SOCKET_NAME))
        except OSError as error:
            log.warning("no successor can take over from this process: %s", error)
            return door.close()
        door.setblocking(False)
        self.listener = door
        self.watch_listener()

    def watch_listener(self) -> None:
        if self.listener is not None:
            self.loop.add_reader(self.listener, self.accept_successor)

    def accept_successor(self) -> None:
        assert self.listener is not None
        try:
            sock, _ = self.listener.accept()
        except OSError as error:
            self.loop.remove_reader(self.listener)  # a failure that lasts must not hold the loop
            self.loop.call_later(ACCEPT_RETRY_DELAY, self.watch_listener)
            return log.warning("a caller for a hand-over was lost: %s", error)
        if self.handed_over or (self.channel is not None and self.channel.sock.fileno() >= 0):
            return sock.close()  # one at a time
        self.channel = Channel(sock, self.on_message, self.on_peer_exited)

    def hand_over(self, successor: str) -> None:
        """All that a successor needs goes over: from here on this process only ends what it has."""
        listener = self.front.listener
        if self.channel is None or self.handed_over:
            return
        self.successor_console = successor
        if self.front.stopping or listener is None:  # it takes what still comes, and ends by itself
            self.channel.send({"say": "closing"})
            return
        self.handed_over = True
        self.front.pause_accepting()
        self.driver.pool.keep_none()
        state = {**self.driver.hand_over(), "monotonic": time.monotonic()}
        self.write_state(state)  # an older version reads the file; it may not be written, as on a full disk
        given = {"say": "given", **self.connection_counts(), "lame_duck": self.lame_duck.remaining()}
        memory = create_memory_file(serialize_state(state))
        sent = self.channel.send(given, listener.fileno(), *([] if memory < 0 else [memory]))
        if memory >= 0:
            os.close(memory)
        if not sent:
            return self.resume_serving()
        self.lame_duck.stop_timer()
        log.info("handed over to a successor; %d requests are still open here", self.driver.unanswered)
        self.front.successor = self.move_connection
        self.front.move_idle()
        self.loop.call_later(CONNECTION_COUNT_INTERVAL, self.send_connection_counts)

    def move_connection(self, connection: ClientConnection) -> bool:
        """Gives a client's connection away; False where that can't be done now."""
        if self.channel is None or connection.transport is None:
            return False
        descriptor = connection.transport.get_extra_info("socket").fileno()
        return self.channel.send({"say": "client", **asdict(connection.history())}, descriptor)

    def connection_counts(self) -> Message:
        pool, clients = self.driver.pool, len(self.front.connections)
        return {"clients": clients, "backends": len(pool.links)}

    def send_connection_counts(self) -> None:
        if self.handed_over and self.channel is not None:
            self.channel.send({"say": "holds", **self.connection_counts()})
            self.loop.call_later(CONNECTION_COUNT_INTERVAL, self.send_connection_counts)

    def resume_serving(self) -> None:
        """The successor went before this process was told to stop: it serves on, with what credit is left."""
        log.warning("the successor is gone: this process serves on")
        self.handed_over, self.front.successor, self.successor_console = False, None, ""
        self.driver.pool.keeping = True
        self.driver.cancel_hand_over()
        self.front.resume_accepting()
        self.front.stay()
        self.stop_listening()
        self.listen()  # the path may be the successor's by now
        self.lame_duck.start_timer()

    # both

    def on_message(self, message: Message, descriptors: list[int]) -> None:
        match message["say"]:
            case "take":
                self.hand_over(str(message.get("console", "")))
            case "given":
                self.accept_hand_over(message, descriptors)
            case "closing":
                if not self.take_over_result.done():
                    self.take_over_result.set_result(False)
            case "lame duck":
                self.lame_duck.set(read_seconds(message, "left"))
                self.lame_duck.stop_timer()
            case "client":
                self.front.adopt(descriptors[0], read_history(message))
            case "holds":
                self.set_peer_connections(message)
            case "suspend":
                self.driver.suspend(str(message["id"]))
                self.send_confirmation(message)
            case "restore":
                self.driver.restore(str(message["id"]))
                self.send_confirmation(message)
            case "did":
                waiting = self.pending_confirmations.pop(str(message["id"]), None)
                if waiting is not None and not waiting.done():
                    waiting.set_result(None)
            case other:
                raise ValueError(f"unknown message {other!r}")

    def send_lame_duck(self) -> None:
        """What staff said here also holds for the process before, should it have to serve on."""
        if self.channel is not None:
            self.channel.send({"say": "lame duck", "left": self.lame_duck.remaining()})

    def send_confirmation(self, message: Message) -> None:
        self.save_suspensions()
        if self.channel is not None:
            self.channel.send({"say": "did", "id": message["id"]})

    def save_suspensions(self) -> None:
        if not self.handed_over:  # the file is the successor's from then on
            self.write_state({"banned": sorted(self.driver.gateway.banned)})

    async def share_suspension(self, say: str, backend: str) -> None:
        """A ban or its end made here also binds the other process, before anybody hears of it."""
        self.save_suspensions()
        if self.channel is None or not self.channel.send({"say": say, "id": backend}):
            return
        waiting = self.pending_confirmations.setdefault(backend, self.loop.create_future())
        try:
            async with asyncio.timeout(CONFIRMATION_TIMEOUT):
                await asyncio.shield(waiting)
        except TimeoutError:
            log.warning("the other process did not confirm the call for %s", backend)

    def on_peer_exited(self) -> None:
        """The other process has gone."""
        self.channel = None
        for waiting in self.pending_confirmations.values():
            if not waiting.done():
                waiting.set_result(None)
        self.pending_confirmations.clear()
        if self.handed_over and not self.front.stopping:
            return self.resume_serving()
        if not self.take_over_result.done():
            self.take_over_result.set_result(False)
        self.front.elsewhere = self.driver.pool.elsewhere = 0
        self.driver.on_predecessor_ended()

    def write_state(self, state: Message) -> None:
        """Whole or not at all, with its version and a checksum."""
        if self.directory < 0:
            return
        new = self.path(f"{STATE_FILE_NAME}.{os.getpid()}")
        try:
            with open(new, "w", encoding="ascii") as file:
                file.write(serialize_state(state))
            os.replace(new, self.path(STATE_FILE_NAME))
        except OSError as error:
            log.warning("the state was not written: %s", error)
            with suppress(OSError):
                os.unlink(new)
            if not (self.handed_over or self.save_scheduled):  # bans that staff were told of are owed to the next process
                self.save_scheduled = True
                self.loop.call_later(SAVE_RETRY_DELAY, self.save_again)

    def save_again(self) -> None:
        self.save_scheduled = False
        if self.directory >= 0:
            self.save_suspensions()

    def read_state(self) -> Message:
        """What was written last; nothing where it is of another version, or not whole."""
        if self.directory < 0:
            return {}
        try:
            with open(self.path(STATE_FILE_NAME), encoding="ascii") as file:
                return parse_state(file.read())
        except FileNotFoundError:
            return {}
        except (OSError, ValueError) as error:
            log.warning("the state that was left is of no use: %s", error)
            return {}

    def stop_listening(self) -> None:
        if self.listener is not None:
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    def close(self) -> None:
        if self.channel is not None:
            self.channel.close()
        self.stop_listening()
        if self.directory >= 0:
            os.close(self.directory)
            self.directory = -1
