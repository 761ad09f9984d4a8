"""Hand-over from a running process to its successor, over a Unix socket and a file in $TMPDIR.

The successor asks for the hand-over once it is able to serve. It receives the listening socket, the state of
the decision module and each client connection as that falls idle; the predecessor only finishes its requests
in flight. The successor of a lame duck is one for the remaining time.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import asdict

from embersill.interface import PeerRun
from embersill.net.clients import ClientConnection, ConnectionHistory, ClientServer
from embersill.net.driver import Driver
from embersill.net.lameduck import LameDuck
from embersill.net.list_exchange import ListExchange
from embersill.net.memory import MB
from embersill.net.overload import OverloadManager
from embersill.net.process_channel import Channel, Message
from embersill.net.state_file import (
    STATE_FILE_NAME, create_memory_file, parse_state, read_memory_file, serialize_state,
)
from embersill.start_gate import SOCKET_NAME, connect_in, path_in

TAKE_OVER_TIMEOUT = 1.5  # seconds for the predecessor to hand over: the successor must be ready within 6
CONFIRMATION_TIMEOUT = 0.5  # seconds for the peer to confirm a suspension: the console must answer within 1
ACCEPT_RETRY_DELAY = 0.05  # seconds until the next try to accept a successor's connection
SAVE_RETRY_DELAY = 0.5  # seconds until the next try to write the state file
MEMORY_USE_INTERVAL = 0.1  # seconds between the reports of each process's memory to the other
WAITING_MEMORY = 6 * MB  # bytes of a successor that has not loaded the program
ROOM_CHECK_INTERVAL = 0.05  # seconds between checks whether there is room for a successor
# Seconds for which as much is freed as a successor needs; after that it waits until there is room by itself.
MAKE_ROOM_TIMEOUT = 3.0
CONNECTION_COUNT_INTERVAL = 0.25  # seconds between the predecessor's reports of its open connections
# What this version takes from the other process: runs, as "ran", and lists, as "list" and as a descriptor.
SUPPORTED_MESSAGES: Message = {"runs": True, "lists": True}

log = logging.getLogger("embersill")


def open_directory(path: str) -> int:
    """Returns a descriptor of the directory, or -1 if it can't be opened.

    The path of a Unix socket must be short, that of the directory may be long.
    """
    try:
        return os.open(path, os.O_DIRECTORY)
    except OSError as error:
        log.warning("no hand-over, as $TMPDIR cannot be opened: %s", error)
        return -1


def read_seconds(message: Message, key: str) -> float | None:
    """Reads a duration; a process of an older version may not send it."""
    seconds = message.get(key)
    return None if seconds is None else float(seconds)


def read_history(message: Message) -> ConnectionHistory:
    """Reads a client connection's history; a process of an older version sends no `awaited_for`."""
    awaited_for = read_seconds(message, "awaited_for") or 0.0
    return ConnectionHistory(bool(message["asked"]), bool(message["served"]), awaited_for)


def read_run(message: Message) -> PeerRun:
    """Reads what the other process has recorded of a request that may have run."""
    group = message["group"]
    return PeerRun(
        str(message["key"]), group if isinstance(group, int) else str(group), float(message["age"]),
        int(message["attempts"]))


class Handover:
    """Part of this process in upgrades: as a successor, if another process runs, later as a predecessor."""

    def __init__(
        self, directory: str | None, driver: Driver, front: ClientServer, lame_duck: LameDuck,
        overload: OverloadManager, lists: ListExchange, predecessor: socket.socket | None = None,
    ) -> None:
        self.predecessor, self.lists = predecessor, lists
        self.driver, self.front, self.lame_duck, self.overload = driver, front, lame_duck, overload
        self.console_address = ""  # of this process, as host:port
        self.successor_console = ""  # console address of the successor, or of one that came too late
        self.loop = asyncio.get_running_loop()
        self.directory = open_directory(directory) if directory else -1  # descriptor
        self.channel: Channel | None = None
        self.take_over_result: asyncio.Future[bool] = self.loop.create_future()
        self.save_scheduled = False  # a failed write of the state file will be repeated
        self.handed_over = False  # this process only finishes its requests in flight
        self.peer_tells_memory = False  # the other process is of a version that takes "memory" messages
        self.memory_timer: asyncio.TimerHandle | None = None
        self.peer_knows_runs = False  # the other process is of a version that takes "ran" messages
        driver.share_run = self.share_run
        # by backend: suspensions, or ends of one, that the other process has not confirmed
        self.pending_confirmations: dict[str, asyncio.Future[None]] = {}
        self.listener: socket.socket | None = None
        self.on_reload: Callable[[], None] = lambda: None  # called as the other process has got SIGHUP

    def path(self, name: str) -> str:
        return path_in(self.directory, name)

    # as the successor

    def connect_to_predecessor(self) -> bool:
        """Connects to a running process; returns False if there is none."""
        if self.predecessor is None and self.directory >= 0:
            self.predecessor = connect_in(self.directory)
        if self.predecessor is None:
            log.debug("no process to take over from")
            return False
        self.channel = Channel(self.predecessor, self.on_message, self.on_peer_exited)
        return True

    async def take_over(self) -> bool:
        """Asks the predecessor to hand over; returns False if it did not in time."""
        if self.channel is None or not self.channel.send(
            {"say": "take", "console": self.console_address, **SUPPORTED_MESSAGES, **self.memory_use()}
        ):
            return False
        try:
            async with asyncio.timeout(TAKE_OVER_TIMEOUT):
                return await self.take_over_result
        except TimeoutError:
            if self.channel is not None:
                log.warning("the predecessor did not hand over in %.1f s", TAKE_OVER_TIMEOUT)
                self.channel.close()
                self.channel = None
            return False

    def restore_from_files(self) -> None:
        """Restores the list and the operators' suspensions from files; used if there is no hand-over."""
        self.lists.read_log()
        self.driver.load_predecessor_state({"banned": self.read_state().get("banned", [])})

    def accept_hand_over(self, message: Message, descriptors: list[int]) -> None:
        """Takes over with the descriptors of the listener and, from newer versions, of the state and list."""
        self.set_peer_connections(message)
        self.share_memory(message)
        self.peer_knows_runs = bool(message.get("runs"))
        self.share_lists(message)
        if len(descriptors) > 2:  # before the state, which is of the backends that are listed
            self.lists.take_over(descriptors[2])
        else:
            self.lists.read_log()
            self.lists.note_no_list()
        state = read_memory_file(descriptors[1]) if len(descriptors) > 1 else {}
        self.driver.load_predecessor_state(self.add_clock_offset(state or self.read_state()))
        self.front.listen_on(socket.socket(fileno=descriptors[0]))
        remaining = read_seconds(message, "lame_duck")
        if remaining is not None:
            log.info("the predecessor was a lame duck: this process is one for %.1f s more", remaining)
            self.lame_duck.set(remaining)
        if not self.take_over_result.done():
            self.take_over_result.set_result(True)

    def add_clock_offset(self, state: Message) -> Message:
        """Adds to the state how far this process's clock is ahead of the predecessor's.

        They differ if the machine's clock was stepped between the two starts. The monotonic clock, which all
        processes of a machine share, relates them.
        """
        if "monotonic" not in state or "now" not in state:
            return state  # of an older version
        predecessor_now = float(state["now"]) + time.monotonic() - float(state["monotonic"])
        return {**state, "clock_ahead": self.driver.clock() - predecessor_now}

    def share_lists(self, message: Message) -> None:
        """Passes lists on from now on, unless the other process is of a version that does not take them."""
        self.lists.send = self.send_list if message.get("lists") else None

    def send_list(self, descriptor: int) -> bool:
        return self.channel is not None and self.channel.send({"say": "list"}, descriptor)

    def set_peer_connections(self, message: Message) -> None:
        """Counts the other process's open connections against the limits, which the two share."""
        self.front.held_by_predecessor, self.driver.pool.held_by_predecessor = (
            int(message["clients"]), int(message["backends"]))
        self.driver.memory.set_shared(True)

    def memory_use(self) -> Message:
        """This process's memory, which counts towards the limit of both."""
        return {"memory": self.overload.anonymous}

    def share_memory(self, message: Message) -> None:
        """Leaves the other process what it has; a process of an older version does not tell."""
        size = message.get("memory")
        self.peer_tells_memory = size is not None
        self.overload.set_other(float(size) if size else self.overload.limit / 2)
        self.send_memory_use()

    def send_memory_use(self) -> None:
        """Tells the other process what this one has, as long as both run."""
        if self.memory_timer is not None:
            self.memory_timer.cancel()
        if self.peer_tells_memory and self.channel is not None and self.channel.sock.fileno() >= 0:
            self.channel.send({"say": "memory", **self.memory_use()})
            self.memory_timer = self.loop.call_later(MEMORY_USE_INTERVAL, self.send_memory_use)

    # as the predecessor

    def listen(self) -> None:
        """Listens for a successor; the socket file atomically replaces an existing one."""
        if self.directory < 0:
            return
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        temporary = self.path(f"{SOCKET_NAME}.{os.getpid()}")
        try:
            if os.path.lexists(temporary):
                os.unlink(temporary)
            listener.bind(temporary)
            listener.listen(4)
            os.rename(temporary, self.path(SOCKET_NAME))
        except OSError as error:
            log.warning("no successor can take over from this process: %s", error)
            return listener.close()
        listener.setblocking(False)
        self.listener = listener
        self.watch_listener()

    def watch_listener(self) -> None:
        if self.listener is not None:
            self.loop.add_reader(self.listener, self.accept_successor)

    def accept_successor(self) -> None:
        assert self.listener is not None
        try:
            sock, _ = self.listener.accept()
        except OSError as error:
            self.loop.remove_reader(self.listener)  # a lasting failure must not keep the loop busy
            self.loop.call_later(ACCEPT_RETRY_DELAY, self.watch_listener)
            return log.warning("a successor's connection was not accepted: %s", error)
        if self.handed_over or (self.channel is not None and self.channel.sock.fileno() >= 0):
            return sock.close()  # only one successor at a time
        self.overload.set_other(self.overload.at_start)
        self.channel = Channel(sock, self.on_message, self.on_peer_exited)

    def make_room(self, until: float) -> None:
        """Lets the successor load the program as soon as there is memory for it."""
        if self.channel is None:
            return
        if self.overload.has_room_for_successor():
            self.overload.set_other(self.overload.at_start)
            self.channel.send({"say": "may load"})
            return
        if self.loop.time() >= until:
            self.overload.set_other(WAITING_MEMORY)
        self.loop.call_later(ROOM_CHECK_INTERVAL, self.make_room, until)

    def on_load_request(self) -> None:
        """Makes room for a successor that has not loaded the program yet."""
        if self.channel is not None and not self.overload.has_room_for_successor():
            self.channel.send({"say": "wait"})
        self.make_room(self.loop.time() + MAKE_ROOM_TIMEOUT)

    def hand_over(self, successor_console: str) -> None:
        """Gives the successor all that it needs; from then on this process only finishes its requests."""
        listener = self.front.listener
        if self.channel is None or self.handed_over:
            return
        self.successor_console = successor_console
        if self.front.stopping or listener is None:  # this process accepts the last clients itself, and exits
            self.channel.send({"say": "closing", "lists": True})
            return
        self.handed_over = True
        self.driver.memory.set_shared(True)
        self.front.pause_accepting()
        self.driver.pool.stop_keeping_idle()
        state = {**self.driver.hand_over(), "monotonic": time.monotonic()}
        self.write_state(state)  # for older versions; may fail, for example on a full disk
        descriptors = self.copy_to_memory(state)
        message = {"say": "given", **SUPPORTED_MESSAGES, **self.connection_counts(),
                   "lame_duck": self.lame_duck.remaining(), **self.memory_use()}
        sent = self.channel.send(message, listener.fileno(), *descriptors)
        for descriptor in descriptors:
            os.close(descriptor)
        if not sent:
            return self.resume_serving()
        self.lame_duck.stop_timer()
        log.info("handed over to a successor; %d requests are still open here", self.driver.unanswered)
        self.front.send_to_successor = self.move_connection
        self.front.hand_over_idle()
        self.loop.call_later(CONNECTION_COUNT_INTERVAL, self.send_connection_counts)

    def copy_to_memory(self, state: Message) -> list[int]:
        """Descriptors of the state and, if the successor takes it, of the list; it has files of both, too."""
        list_copy = self.lists.hand_over() if self.lists.send is not None else -1
        state_copy = create_memory_file(serialize_state(state))
        if state_copy >= 0:
            return [state_copy] if list_copy < 0 else [state_copy, list_copy]
        if list_copy >= 0:
            os.close(list_copy)  # it would be taken for the state
        return []

    def move_connection(self, connection: ClientConnection) -> bool:
        """Passes a client connection to the successor; returns False if that is impossible now."""
        if self.channel is None or connection.transport is None:
            return False
        descriptor = connection.transport.get_extra_info("socket").fileno()
        return self.channel.send({"say": "client", **asdict(connection.history())}, descriptor)

    def connection_counts(self) -> Message:
        pool, clients = self.driver.pool, len(self.front.connections)
        return {"clients": clients, "backends": len(pool.connections)}

    def send_connection_counts(self) -> None:
        if self.handed_over and self.channel is not None:
            self.channel.send({"say": "holds", **self.connection_counts()})
            self.loop.call_later(CONNECTION_COUNT_INTERVAL, self.send_connection_counts)

    def resume_serving(self) -> None:
        """Serves on with the remaining units, as the successor exited before this process was stopped."""
        log.warning("the successor has exited: this process serves on")
        self.handed_over, self.front.send_to_successor, self.successor_console = False, None, ""
        self.lists.send = None
        self.lists.start_log()
        self.driver.memory.set_shared(False)
        self.driver.pool.keeps_idle = True
        self.driver.cancel_hand_over()
        self.front.resume_accepting()
        self.front.cancel_hand_over()
        self.stop_listening()
        self.listen()  # the successor may have replaced the socket file
        self.lame_duck.start_timer()

    # both

    def on_message(self, message: Message, descriptors: list[int]) -> None:
        match message["say"]:
            case "take":
                self.peer_knows_runs = bool(message.get("runs"))
                self.share_memory(message)
                self.share_lists(message)
                self.hand_over(str(message.get("console", "")))
            case "given":
                self.accept_hand_over(message, descriptors)
            case "closing":
                self.share_lists(message)
                if not self.take_over_result.done():
                    self.take_over_result.set_result(False)
            case "lame duck":
                self.lame_duck.set(read_seconds(message, "left"))
                self.lame_duck.stop_timer()
            case "client":
                self.front.adopt_connection(descriptors[0], read_history(message))
            case "holds":
                self.set_peer_connections(message)
            case "load":
                self.on_load_request()
            case "may load" | "wait":
                pass  # sent before this process had loaded the program
            case "memory":
                self.overload.set_other(float(message["memory"]))
            case "list":
                self.lists.receive(descriptors[0])
            case "reload":
                self.on_reload()
            case "ran":
                self.driver.post(read_run(message))
            case "suspend":
                self.driver.suspend(str(message["id"]))
                self.send_confirmation(message)
            case "restore":
                self.driver.restore(str(message["id"]))
                self.send_confirmation(message)
            case "did":
                confirmation = self.pending_confirmations.pop(str(message["id"]), None)
                if confirmation is not None and not confirmation.done():
                    confirmation.set_result(None)
            case other:
                raise ValueError(f"unknown message {other!r}")

    def share_run(self, run: PeerRun) -> None:
        """Passes on that a request may have run here: its client may send it again to the other process."""
        if self.channel is not None and self.peer_knows_runs:
            self.channel.send({"say": "ran", **asdict(run)})

    def send_reload(self) -> None:
        """Passes SIGHUP on: the other process may have been started before the file was replaced."""
        if self.channel is not None and self.lists.send is not None:
            self.channel.send({"say": "reload"})

    def send_lame_duck(self) -> None:
        """Passes the lame duck state on to the predecessor, which may have to serve on."""
        if self.channel is not None:
            self.channel.send({"say": "lame duck", "left": self.lame_duck.remaining()})

    def send_confirmation(self, message: Message) -> None:
        self.save_suspensions()
        if self.channel is not None:
            self.channel.send({"say": "did", "id": message["id"]})

    def save_suspensions(self) -> None:
        if not self.handed_over:  # after that the state file belongs to the successor
            self.write_state({"banned": sorted(self.driver.gateway.suspended)})

    async def share_suspension(self, say: str, backend: str) -> None:
        """Applies a suspension or its end to the other process too, before the operator gets an answer.

        say: type of the message, "suspend" or "restore"
        """
        self.save_suspensions()
        if self.channel is None or not self.channel.send({"say": say, "id": backend}):
            return
        confirmation = self.pending_confirmations.setdefault(backend, self.loop.create_future())
        try:
            async with asyncio.timeout(CONFIRMATION_TIMEOUT):
                await asyncio.shield(confirmation)
        except TimeoutError:
            log.warning("the other process did not confirm the command for %s", backend)

    def on_peer_exited(self) -> None:
        """Serves on, or takes over the limits, as the other process has exited."""
        self.channel, self.lists.send = None, None
        self.overload.set_other(0.0)
        for confirmation in self.pending_confirmations.values():
            if not confirmation.done():
                confirmation.set_result(None)
        self.pending_confirmations.clear()
        if self.handed_over and not self.front.stopping:
            return self.resume_serving()
        if not self.take_over_result.done():
            self.take_over_result.set_result(False)
        self.front.held_by_predecessor = self.driver.pool.held_by_predecessor = 0
        self.driver.memory.set_shared(False)
        self.driver.on_predecessor_ended()

    def write_state(self, state: Message) -> None:
        """Replaces the state file atomically."""
        if self.directory < 0:
            return
        temporary = self.path(f"{STATE_FILE_NAME}.{os.getpid()}")
        try:
            with open(temporary, "w", encoding="ascii") as file:
                file.write(serialize_state(state))
            os.replace(temporary, self.path(STATE_FILE_NAME))
        except OSError as error:
            log.warning("the state was not written: %s", error)
            with suppress(OSError):
                os.unlink(temporary)
            # The next process must know the suspensions that an operator's command has confirmed.
            if not (self.handed_over or self.save_scheduled):
                self.save_scheduled = True
                self.loop.call_later(SAVE_RETRY_DELAY, self.save_again)

    def save_again(self) -> None:
        self.save_scheduled = False
        if self.directory >= 0:
            self.save_suspensions()

    def read_state(self) -> Message:
        """Reads the state file; returns {} if it is missing, of another version or incomplete."""
        if self.directory < 0:
            return {}
        try:
            with open(self.path(STATE_FILE_NAME), encoding="ascii") as file:
                return parse_state(file.read())
        except FileNotFoundError:
            return {}
        except (OSError, ValueError) as error:
            log.warning("the state file is unusable: %s", error)
            return {}

    def stop_listening(self) -> None:
        if self.listener is not None:
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    def close(self) -> None:
        if self.memory_timer is not None:
            self.memory_timer.cancel()
        self.lists.close()
        if self.channel is not None:
            self.channel.close()
        self.stop_listening()
        if self.directory >= 0:
            os.close(self.directory)
            self.directory = -1
