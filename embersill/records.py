"""Records of the requests that a gateway is handling and of their attempts.

They hold data only; `embersill.control` makes the decisions. All moments and durations are in seconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from embersill.interface import Request, RequestClass
from embersill.work_times import Load

if TYPE_CHECKING:
    from embersill.control import Server, Throttle


class Job:
    """A request that has no final answer yet or still has attempts in flight.

    arrived: when it arrived, or when its body was complete
    out: number of attempts in flight
    hold_until: moment until which it may wait for credit
    ended: no final answer is due any more
    streaming: an answer is being streamed to the client
    settled: its units were corrected to the actual amount
    trusted: admitted without asking the counter for the customer's level
    sure: this gateway's slice of the quota covered it when the counter was asked
    uploading: its body is still being received
    """

    def __init__(self, request: Request, klass: RequestClass, throttle: Throttle, now: float) -> None:
        self.request, self.klass, self.throttle, self.arrived = request, klass, throttle, now
        self.attempts: list[Attempt] = []
        self.out, self.hold_until = 0, now
        self.ended = self.streaming = self.settled = self.trusted = self.sure = False
        self.uploading = request.uploading
        self.counted = 0.0  # units reported to the counter; negative: it must not be reported
        self.risky: Attempt | None = None  # the first attempt that is not proven not to have run


class Attempt:
    """One send of a request to a backend.

    sent: when it was sent, or when the body of the request was complete
    weight: seconds that such a request usually takes
    out: it has not ended yet
    unrun: its outcome proves that the backend did not run it
    overdue: it has no answer after `late_after` seconds
    """

    def __init__(self, server: Server, now: float, weight: float, late_after: float, load: Load) -> None:
        self.server, self.sent, self.weight = server, now, weight
        self.late_after = late_after  # seconds after which a missing answer counts as a sign of overload
        self.load = load  # when it was sent: the load after its own answer would bias which answers are used
        self.out, self.unrun, self.overdue = True, False, False
        self.busy = True  # the backend has not started its answer
