"""Connection between the two processes of an upgrade.

Each message is one packet of JSON, with the file descriptors that it passes.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import socket
from collections.abc import Callable
from typing import Any

from embersill.start_gate import MESSAGE_VERSION

MAX_MESSAGE_SIZE = 4096  # bytes: the id of a backend is the longest part of a message

Message = dict[str, Any]

log = logging.getLogger("embersill")


class Channel:
    """One end of the connection between a process and its predecessor or successor.

    on_message: called with each message and the descriptors that came with it
    on_closed: called once when the other end has closed
    """

    def __init__(self, sock: socket.socket, on_message: Callable[[Message, list[int]], None],
                 on_closed: Callable[[], None]) -> None:
        self.sock, self.on_message, self.on_closed = sock, on_message, on_closed
        self.loop = asyncio.get_running_loop()
        sock.setblocking(False)
        self.loop.add_reader(sock, self.on_readable)

    def send(self, message: Message, *descriptors: int) -> bool:
        """Sends a message with descriptors.

        Returns False, with nothing sent, if the buffer is full or the other process has exited.
        """
        if self.sock.fileno() < 0:
            return False
        text = json.dumps({**message, "version": MESSAGE_VERSION}).encode()
        try:
            socket.send_fds(self.sock, [text], descriptors)
        except OSError as error:  # full, or too many descriptors in flight; on_readable notices a closed end
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
                log.info("reading from the other process failed: %s", error)
                text, descriptors = b"", []
            if not text:
                self.close()
                return self.on_closed()
            self.handle_packet(text, descriptors)

    def handle_packet(self, text: bytes, descriptors: list[int]) -> None:
        try:
            message = json.loads(text)
            if message["version"] != MESSAGE_VERSION:
                raise ValueError("another version")
            self.on_message(message, descriptors)
        except (ValueError, LookupError, TypeError) as error:
            log.warning("invalid message from another process: %s", error)
            for descriptor in descriptors:
                os.close(descriptor)

    def close(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.remove_reader(self.sock)
            self.sock.close()
