"""Validation of clients' requests against the protocol and the settings."""

from __future__ import annotations

import re
from functools import lru_cache
from urllib.parse import unquote_to_bytes

from embersill.interface import RepeatPolicy, Settings
from embersill.net.bodies import Upload
from embersill.net.driver import ClientRequest

MAX_CACHED_HEADER = 128  # bytes
CALL_ID = re.compile(rb"[0-9A-Za-z_.-]{1,64}")
CLIENT_PARAMETER = re.compile(rb"[?&]client=([^&]*)")
CUSTOMER_ID = re.compile(rb"0{7}[01][0-9A-Fa-f]{8}")  # 64-bit hexadecimal, below 2^33
BUDGET = re.compile(rb"\d{1,6}(\.\d{1,30})?")  # seconds; a float printed in full has up to 17 decimals
IDEMPOTENCY_KEY = re.compile(rb"[!-~]{1,256}")
QUOTA_FIELDS = (b"units", b"spread", b"first")
QUOTA_FIELD = re.compile(rb"\s*([a-z_]+)\s*=\s*(\d{1,9}(?:\.\d{1,9})?)\s*")


class BadRequest(Exception):
    """A client's request is malformed or not allowed; carries the error answer's status, text and headers."""

    def __init__(self, status: int, text: str, headers: bytes = b"") -> None:
        super().__init__(text)
        self.status, self.headers = status, headers

    def without_traceback(self) -> BadRequest:
        """The same error, to be kept: a traceback would keep all frames and what they hold."""
        return BadRequest(self.status, str(self), self.headers)


def read_quota_info(text: bytes) -> tuple[float, int, int]:
    """The units, spread and first of a Quota-Info header; raises BadRequest if it is malformed.

    Short ones are cached, since clients send few different values. A long one may fill a head.
    """
    return cached_quota_info(text) if len(text) <= MAX_CACHED_HEADER else parse_quota_info(text)


@lru_cache(maxsize=4096)
def cached_quota_info(text: bytes) -> tuple[float, int, int]:
    """As parse_quota_info."""
    return parse_quota_info(text)


def parse_quota_info(text: bytes) -> tuple[float, int, int]:
    """As read_quota_info, without the cache."""
    values: dict[bytes, float] = {}
    for field in text.split(b","):
        if field.partition(b"=")[0].strip() not in QUOTA_FIELDS:
            continue  # unknown fields are ignored
        match = QUOTA_FIELD.fullmatch(field)
        if match is None or match[1] in values:
            raise BadRequest(400, "Quota-Info is not in its form")
        values[match[1]] = float(match[2])
    try:
        units, gateway_count, first = values[b"units"], values[b"spread"], values[b"first"]
    except KeyError as error:
        raise BadRequest(400, "Quota-Info lacks units, spread or first") from error
    if units <= 0 or gateway_count < 1 or not (gateway_count.is_integer() and first.is_integer()):
        raise BadRequest(400, "Quota-Info has no units or no whole gateways")
    return units, int(gateway_count), int(first)


def header_encodings(name: str) -> list[bytes]:
    """The encodings in which a header may carry a name from the settings: UTF-8, and Latin-1 if possible."""
    latin_1 = name.encode("latin-1", "replace")
    return [name.encode(), latin_1] if latin_1.decode("latin-1") == name else [name.encode()]


class RequestReader:
    """Validates parsed requests against the settings' classes and plans, and builds the driver's calls.

    Methods raise BadRequest for what a request lacks or has wrong.
    """

    def __init__(self, settings: Settings) -> None:
        self.classes = {encoded: c for c in settings.classes for encoded in header_encodings(c.name)}
        self.plans = {encoded: p.name for p in settings.plans for encoded in header_encodings(p.name)}
        self.gateways, self.max_units = settings.gateways, settings.max_units

    def read(self, received: float, method: bytes, target: bytes, headers: dict[bytes, bytes],
             body: bytes, upload: Upload | None = None) -> ClientRequest:
        customer = self.customer(target)
        request_class = self.classes.get(self.required(headers, b"x-call-class"))
        if request_class is None:
            raise BadRequest(400, "X-Call-Class names no class")
        expected_method = b"GET" if request_class.repeat_policy is RepeatPolicy.SAFE else b"POST"
        if method != expected_method:
            raise BadRequest(405, "the class goes by another method", b"Allow: %b\r\n" % expected_method)
        plan = self.plans.get(self.required(headers, b"plan"))
        if plan is None:
            raise BadRequest(400, "Plan names no plan")
        if (body or upload is not None) and method == b"GET":
            raise BadRequest(400, "a GET with a body")
        units, gateway_count, first = read_quota_info(self.required(headers, b"quota-info"))
        if gateway_count > self.gateways or first >= self.gateways or units > self.max_units:
            raise BadRequest(400, "Quota-Info has more units or gateways than there are")
        return ClientRequest(
            received_at=received, budget=float(self.required_match(headers, b"x-budget", BUDGET)),
            request_class=request_class.name, plan=plan, customer=customer, units=units,
            gateway_count=gateway_count, first_gateway=first, repeat=headers.get(b"x-again") == b"1",
            head=self.backend_head(
                method, target, headers, request_class.repeat_policy,
                upload.framing_header if upload is not None else b"Content-Length: %d" % len(body)),
            body=body, upload=upload, call_id=headers[b"x-call-id"].decode("ascii"),
        )

    def backend_head(self, method: bytes, target: bytes, headers: dict[bytes, bytes],
                     repeat_policy: RepeatPolicy, framing_header: bytes) -> bytes:
        """The request line and headers for a backend, without the budget, which is added for each attempt."""
        lines = [b"%b %b HTTP/1.1" % (method, target), b"Host: %b" % headers.get(b"host", b"backend.local"),
                 b"X-Call-Id: %b" % self.required_match(headers, b"x-call-id", CALL_ID)]
        if repeat_policy is RepeatPolicy.BY_KEY:
            lines.append(b"Idempotency-Key: %b" % self.required_match(
                headers, b"idempotency-key", IDEMPOTENCY_KEY))
        elif b"idempotency-key" in headers:
            raise BadRequest(400, "Idempotency-Key on a class that carries none")
        if method != b"GET":
            lines.append(framing_header)
            if b"content-type" in headers:
                lines.append(b"Content-Type: %b" % headers[b"content-type"])
        return b"\r\n".join((*lines, b""))

    def customer(self, target: bytes) -> str:
        """The customer's id in the target's `client` parameter, in lower case."""
        values: list[bytes] = CLIENT_PARAMETER.findall(target)
        customer = unquote_to_bytes(values[0]) if len(values) == 1 else b""
        if not CUSTOMER_ID.fullmatch(customer):
            raise BadRequest(400, "client is not 16 hex digits below 2^33")
        return customer.decode().lower()

    def required(self, headers: dict[bytes, bytes], name: bytes) -> bytes:
        """The value of a header that must be present and not empty."""
        value = headers.get(name)
        if not value:
            raise BadRequest(400, f"no {name.decode().title()}")
        return value

    def required_match(self, headers: dict[bytes, bytes], name: bytes, pattern: re.Pattern[bytes]) -> bytes:
        """The value of a required header, all of which must match the pattern."""
        value = self.required(headers, name)
        if not pattern.fullmatch(value):
            raise BadRequest(400, f"{name.decode().title()} is not in its form")
        return value
