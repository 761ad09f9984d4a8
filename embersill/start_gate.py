"""What a new process does before it loads the program: it asks a process that runs already for the memory.

Two processes of an upgrade share one limit, and loading the program takes most of what a second one needs.
So the request goes first, by the same socket as the hand-over later; embersill.net.handover answers. Nothing
heavy is imported here.
"""

from __future__ import annotations

import json
import os
import socket
import sys

MESSAGE_VERSION = 1  # of the messages between the processes
SOCKET_NAME = "embersill.link"
MAX_REPLY_SIZE = 4096  # bytes
# Seconds for the first reply: a process of an older version sends none.
FIRST_REPLY_TIMEOUT = 0.5


def wait_for_memory(directory: str | None) -> socket.socket | None:
    """Waits until the running process has left the memory that this one needs, or has ended.

    Returns the connection to it; None if there is none.
    """
    connection = connect(directory) if directory else None
    if connection is None:
        return None
    try:
        connection.send(json.dumps({"say": "load", "version": MESSAGE_VERSION}).encode())
        connection.settimeout(FIRST_REPLY_TIMEOUT)
        while True:
            text = connection.recv(MAX_REPLY_SIZE)
            if not text:
                connection.close()
                return None
            reply = json.loads(text)
            if isinstance(reply, dict) and reply.get("say") == "may load":
                break
            print("embersill: waits for memory that the running process holds", file=sys.stderr, flush=True)
            connection.settimeout(None)
    except TimeoutError:
        pass
    except (OSError, ValueError):
        connection.close()
        return None
    return connection


def connect(directory: str) -> socket.socket | None:
    """Connects to the process that runs with this directory; None if there is none."""
    try:
        folder = os.open(directory, os.O_DIRECTORY)
    except OSError:
        return None
    try:
        return connect_in(folder)
    finally:
        os.close(folder)


def path_in(folder: int, name: str) -> str:
    """The path of a file in the folder of this descriptor: that of a socket must be short."""
    return f"/proc/self/fd/{folder}/{name}"


def connect_in(folder: int) -> socket.socket | None:
    """As connect(), with the folder's descriptor; a socket file may also be that of a killed process."""
    connection = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        connection.connect(path_in(folder, SOCKET_NAME))
    except OSError:
        connection.close()
        return None
    return connection
