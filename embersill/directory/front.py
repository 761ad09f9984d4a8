"""The list service's HTTP API: reads and watches of gateways, writes of instances and operators, status."""

from __future__ import annotations

import asyncio
import json
import logging
import time
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import replace
from typing import Any
from weakref import WeakSet

from aiohttp import web

from embersill.directory.form import (
    DRAINING,
    NAME_PATTERN,
    REMARK_PATTERN,
    SERVING,
    InvalidFormat,
    entry_to_json,
    read_choice,
    read_json,
    read_name,
    read_registration,
    read_text,
    reject_unknown_fields,
)
from embersill.directory.logfile import WriteFailed
from embersill.directory.service import NotLeader, NotReady, Service, ServiceStopping, Write
from embersill.directory.store import Condition, ConditionMissing, Conflict, InstanceState, UnknownInstance

MAX_BODY_BYTES = 16 * 1024  # a registration has a few hundred
MAX_WAIT_MS = 60_000  # as in the discovery protocol
MAX_GENERATION = 10**18  # generations are microseconds; a larger one is invalid
FIRST_REQUEST_TIMEOUT = 5.0  # seconds until a new connection must have sent a complete request
KEEPALIVE_TIMEOUT = 75.0  # seconds that an idle connection stays open; longer than the longest wait
WRITE_TIMEOUT = 10.0  # seconds for a client to read its answer
WRITE_RETRY_AFTER = 5  # seconds sent to a writer whose write could not be stored
# Log lines about refused requests, per so many seconds: a faulty client may send thousands of requests.
MAX_WINDOW_LINES, LOG_WINDOW = 10, 10.0

log = logging.getLogger("embersill.directory")

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class RateLimitedLog:
    """Logs warnings at a limited rate; the number of dropped ones is logged with the next."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.window_ends_at, self.window_lines, self.dropped_lines = clock(), 0, 0

    def warn(self, text: str) -> None:
        """Logs the text, or counts it as dropped."""
        now = self.clock()
        if now >= self.window_ends_at:
            self.window_ends_at, self.window_lines = now + LOG_WINDOW, 0
        if self.window_lines >= MAX_WINDOW_LINES:
            self.dropped_lines += 1
            return
        self.window_lines += 1
        more, self.dropped_lines = self.dropped_lines, 0
        log.warning("%s%s", text, f" ({more} such lines before it left out)" if more else "")


class LibraryLogFilter(logging.Filter):
    """Logs the HTTP library's lines about malformed requests without stack traces and at a limited rate."""

    def __init__(self, rate_limited_log: RateLimitedLog) -> None:
        super().__init__()
        self.rate_limited_log = rate_limited_log

    def filter(self, record: logging.LogRecord) -> bool:
        cause = record.exc_info[1] if record.exc_info else None
        why = " ".join(str(cause).split())[:200] if cause else ""
        self.rate_limited_log.warn(f"{record.getMessage()}: {why}" if why else record.getMessage())
        return False


def json_response(status: int, content: Any, headers: Mapping[str, str] | None = None) -> web.Response:
    """A response with this JSON body; bytes are sent as they are."""
    body = content if isinstance(content, bytes) else json.dumps(content, separators=(",", ":")).encode()
    return web.Response(status=status, body=body, content_type="application/json", headers=headers)


def error_response(status: int, why: str, **headers: str) -> web.Response:
    """A refusal with its reason; a header's name has `_` for `-`."""
    return json_response(status, {"error": why}, {k.replace("_", "-"): v for k, v in headers.items()})


def read_query_integer(query: Mapping[str, str], name: str, high: int) -> int | None:
    """A query parameter from 0 to high; None if it is absent."""
    value = query.get(name)
    if value is None:
        return None
    if not (value.isascii() and value.isdecimal() and len(value) <= 19 and int(value) <= high):
        raise InvalidFormat(f"{name} is no whole number from 0 to {high}")
    return int(value)


def read_condition(headers: Mapping[str, str]) -> Condition:
    """The condition of a write, from If-Match or If-None-Match and List-Match."""
    of_list = headers.get("List-Match")
    return replace(
        read_version_condition(headers),
        list_version=None if of_list is None else parse_version(of_list, "List-Match"),
    )


def parse_version(text: str, name: str) -> int:
    """The number in a header's quoted version; `name` is the header's, for the error."""
    bare = text.strip()
    digits = bare[1:-1]
    if not (bare[:1] == bare[-1:] == '"' and digits.isascii() and digits.isdecimal() and len(digits) <= 19):
        raise InvalidFormat(f'{name} is no version in double quotes, as "17"')
    return int(digits)


def read_version_condition(headers: Mapping[str, str]) -> Condition:
    """The part of the condition in If-Match or If-None-Match."""
    match, none = headers.get("If-Match"), headers.get("If-None-Match")
    if match is not None and none is not None:
        raise InvalidFormat("If-Match and If-None-Match exclude each other")
    if none is not None:
        if none.strip() != "*":
            raise InvalidFormat("If-None-Match can only be *")
        return Condition(must_be_absent=True)
    return Condition() if match is None else Condition(version=parse_version(match, "If-Match"))


def abort_if_unread(transport: asyncio.BaseTransport) -> None:
    """Aborts a connection whose client has not read its answer, to free the memory of the answer."""
    if isinstance(transport, asyncio.Transport) and transport.get_write_buffer_size():
        transport.abort()


class ListApi:
    """The requests, each a method; errors become answers in handle_errors."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self.refusal_log = RateLimitedLog(service.clock)
        self.library_log = logging.Logger("aiohttp")  # not the process-wide logger of this name
        self.library_log.addFilter(LibraryLogFilter(self.refusal_log))
        # Connections that have sent a complete request.
        self.used_connections: WeakSet[asyncio.BaseTransport] = WeakSet()
        self.app = web.Application(client_max_size=MAX_BODY_BYTES, middlewares=[self.handle_errors])
        self.app.add_routes(
            [
                web.get("/v1/endpoints", self.endpoints),
                web.get("/v1/changes", self.changes),
                web.get("/v1/instances", self.instances),
                web.get("/v1/instances/{id}", self.instance),
                web.put("/v1/instances/{id}", self.register),
                web.delete("/v1/instances/{id}", self.remove),
                web.post("/v1/instances/{id}/lease", self.renew),
                web.put("/v1/instances/{id}/lifecycle", self.set_lifecycle),
                web.put("/v1/instances/{id}/drain", self.drain),
                web.delete("/v1/instances/{id}/drain", self.lift_drain),
                web.get("/v1/drains", self.drains),
                web.post("/v1/leases/resume", self.resume_removal),
                web.get("/v1/status", self.status),
                web.get("/ready", self.ready),
            ]
        )

    # around every request

    @web.middleware
    async def handle_errors(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Turns errors into answers, logs them, and limits the time for reading the answer."""
        if request.transport is not None:
            self.used_connections.add(request.transport)
        try:
            response = await handler(request)
        except Exception as error:
            response = self.response_to_error(error)
            self.service.figures[f"refused {response.status}"] += 1
            self.refusal_log.warn(
                f"{request.method} {request.path[:200]!r} from {request.remote}: {response.status} "
                f"{self.error_text(response)}"
            )
        if self.service.stopping.is_set():
            response.force_close()
        if request.transport is not None:
            asyncio.get_running_loop().call_later(WRITE_TIMEOUT, abort_if_unread, request.transport)
        return response

    def abort_if_unused(self, connection: asyncio.BaseProtocol) -> None:
        """Aborts a connection without a complete request so far, to free its descriptor."""
        transport = getattr(connection, "transport", None)
        if isinstance(transport, asyncio.Transport) and transport not in self.used_connections:
            transport.abort()

    def response_to_error(self, error: Exception) -> web.Response:
        """The answer to an error, with its reason; an unexpected error is logged and answered with 500."""
        waits = {"Retry_After": str(self.service.retry_after())}
        match error:
            case InvalidFormat():
                return error_response(400, str(error))
            case UnknownInstance():
                return error_response(404, str(error))
            case Conflict():
                return error_response(412, str(error))
            case ConditionMissing():
                return error_response(428, str(error))
            case NotLeader():
                return error_response(421, f"this is a copy; the leader is {error}", Leader=str(error))
            case NotReady():
                return error_response(503, str(error), **waits)
            case WriteFailed():
                return error_response(
                    503, f"the write could not be stored: {error}", Retry_After=str(WRITE_RETRY_AFTER)
                )
            case ServiceStopping():
                return error_response(503, "the service ends", **waits)
            case web.HTTPRequestEntityTooLarge():
                return error_response(413, f"the body is over {MAX_BODY_BYTES} bytes", Connection="close")
            case web.HTTPException():
                return error_response(error.status, error.reason)
        log.error("unexpected error in a request", exc_info=error)
        return error_response(500, "an error of the list service itself; its log has more")

    def error_text(self, response: web.Response) -> str:
        """The beginning of an error's body, for the log."""
        body = response.body
        return body[:300].decode() if isinstance(body, bytes) else ""

    # reading

    async def endpoints(self, request: web.Request) -> web.Response:
        """The list, or the changes after `since`; waits for changes up to `timeout_ms`."""
        since = read_query_integer(request.query, "since", MAX_GENERATION)
        wait_ms = read_query_integer(request.query, "timeout_ms", MAX_WAIT_MS)
        self.service.figures["watches" if since is not None and wait_ms else "reads"] += 1
        body = await self.service.read_list(since, (wait_ms or 0) / 1000.0)
        self.service.figures["bytes told"] += len(body)
        return json_response(200, body, self.role_headers())

    def role_headers(self) -> dict[str, str]:
        """Headers beside the list: the role, and a follower's lag behind its leader in seconds."""
        lag = self.service.lag()
        if self.service.leader is None:
            return {"Directory-Role": "leader"}
        return {"Directory-Role": "follower"} | ({"Directory-Lag": f"{lag:.1f}"} if lag is not None else {})

    async def changes(self, request: web.Request) -> web.Response:
        """The records after a generation, for a follower."""
        after = read_query_integer(request.query, "after", MAX_GENERATION)
        if after is None:
            raise InvalidFormat("after is missing")
        wait_ms = read_query_integer(request.query, "timeout_ms", MAX_WAIT_MS)
        return json_response(200, await self.service.changes(after, (wait_ms or 0) / 1000.0))

    async def instances(self, request: web.Request) -> web.Response:
        """All instances with versions, leases and drains."""
        states = self.service.store.states
        shown = [self.describe(id, s) for id, s in states.items() if s.entry is not None]
        return json_response(200, {"generation": self.service.store.generation, "instances": shown})

    async def instance(self, request: web.Request) -> web.Response:
        """One instance, as in instances()."""
        id = self.instance_id(request)
        state = self.service.store.states.get(id)
        if state is None or state.entry is None:
            raise UnknownInstance(f"{id} is not registered")
        return self.state_response(200, id, state)

    def describe(self, id: str, state: InstanceState) -> dict[str, Any]:
        """An instance as writers and operators read it; the remaining lease is known to the leader only."""
        shown = entry_to_json(id, state.entry, state.drain) | {"version": state.version}
        if state.entry is not None:
            remaining = self.service.leases.remaining(id, self.service.clock())
            shown |= {
                "process": state.entry.process,
                "leaseMs": state.entry.lease_ms,
                "leaseLeftMs": round(remaining * 1000) if self.service.leader is None else None,
                "ownLifecycle": state.entry.lifecycle,
            }
        if state.drain is not None:
            shown["drain"] = {"by": state.drain.by, "reason": state.drain.reason, "atMs": state.drain.at_ms}
        return shown

    def state_response(self, status: int, id: str, state: InstanceState | None) -> web.Response:
        """The state of an id with its version as ETag; without a state, a deleted instance."""
        if state is None:
            return json_response(200, {"instanceId": id, "lifecycle": "DELETED"})
        return json_response(status, self.describe(id, state), {"ETag": f'"{state.version}"'})

    async def drains(self, request: web.Request) -> web.Response:
        """All ids with an operator's drain."""
        states = self.service.store.states
        return json_response(
            200,
            {
                "generation": self.service.store.generation,
                "drains": [self.describe(id, s) for id, s in states.items() if s.drain is not None],
            },
        )

    # writing

    def instance_id(self, request: web.Request) -> str:
        """The id in the path, checked."""
        return read_name(request.match_info["id"], "the instance's id")

    async def json_body(self, request: web.Request) -> dict[str, Any]:
        """The request's body, a JSON object."""
        return read_json(await request.read())

    async def write(self, id: str, write: Write, event: str) -> web.Response:
        """Carries out a write, counts it, logs its event if it changed anything, and answers."""
        done = await self.service.write(write)
        if done.changed:
            log.info("%s %s, generation %d", id, event, self.service.store.generation)
        self.service.figures["writes" if done.changed else "writes repeated"] += 1
        return self.state_response(201 if done.created else 200, id, done.state)

    async def register(self, request: web.Request) -> web.Response:
        """Registers an instance, or a new process of it, and starts its lease."""
        id, condition = self.instance_id(request), read_condition(request.headers)
        registration = read_registration(await self.json_body(request), int(self.service.wall_clock() * 1000))
        entry = registration.entry
        response = await self.write(
            id,
            lambda draft: draft.register(id, registration, condition),
            f"registered at {entry.host_port} by process {entry.process}",
        )
        self.service.extend_lease(id, entry.lease_ms)
        return response

    async def renew(self, request: web.Request) -> web.Response:
        """Renews the lease that a process holds."""
        id, body = self.instance_id(request), await self.json_body(request)
        reject_unknown_fields(body, "process")
        return self.state_response(
            200, id, self.service.renew(id, read_text(body, "process", NAME_PATTERN)).state
        )

    async def set_lifecycle(self, request: web.Request) -> web.Response:
        """Sets the lifecycle that an instance reports of itself."""
        id, condition, body = (
            self.instance_id(request),
            read_condition(request.headers),
            await self.json_body(request),
        )
        reject_unknown_fields(body, "process", "lifecycle")
        process = read_text(body, "process", NAME_PATTERN)
        lifecycle = read_choice(body, "lifecycle", (SERVING, DRAINING))
        return await self.write(
            id,
            lambda draft: draft.set_lifecycle(id, process, lifecycle, condition),
            f"is {lifecycle}, as the instance reports",
        )

    async def drain(self, request: web.Request) -> web.Response:
        """Sets an operator's drain."""
        id, condition, body = (
            self.instance_id(request),
            read_condition(request.headers),
            await self.json_body(request),
        )
        reject_unknown_fields(body, "by", "reason")
        by, reason = read_text(body, "by", REMARK_PATTERN), read_text(body, "reason", REMARK_PATTERN, "")
        return await self.write(
            id, lambda draft: draft.drain(id, by, reason, condition), f"is drained by {by}: {reason}"
        )

    async def lift_drain(self, request: web.Request) -> web.Response:
        """Lifts an operator's drain."""
        id, condition = self.instance_id(request), read_condition(request.headers)
        return await self.write(
            id, lambda draft: draft.lift_drain(id, condition), "is no longer drained by an operator"
        )

    async def remove(self, request: web.Request) -> web.Response:
        """Removes an instance."""
        id, condition = self.instance_id(request), read_condition(request.headers)
        return await self.write(id, lambda draft: draft.remove(id, condition), "is removed")

    async def resume_removal(self, request: web.Request) -> web.Response:
        """Ends a hold on the removal of expired instances."""
        return json_response(200, {"removed": await self.service.resume_removal()})

    # health

    async def status(self, request: web.Request) -> web.Response:
        """The service's state and counts."""
        return json_response(200, self.service.status())

    async def ready(self, request: web.Request) -> web.Response:
        """Whether reads are served; 503 with the reason otherwise."""
        status = self.service.status()
        if not status["ready"]:
            return error_response(503, status["why"], Retry_After=str(self.service.retry_after()))
        return json_response(200, {"ready": True, "role": status["role"], "generation": status["generation"]})
