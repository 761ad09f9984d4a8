"""Records of the requests that a gateway is handling and of their attempts.

They hold data only; `embersill.control` makes the decisions. All moments and durations are in seconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from embersill.interface import Request, RequestClass
from embersill.run_history import PossibleRun
from embersill.work_times import SheddingState

if TYPE_CHECKING:
    from embersill.control import Server, Throttle


class Job:
    """A request that has no final answer yet or still has attempts in flight.

    arrived_at: when it arrived, or when its body was complete
    attempts_in_flight: number of attempts in flight
    hold_until: moment until which it may wait for credit
    ended: no final answer is due any more
    streaming: an answer is being streamed to the client
    units_corrected: its units were corrected to the actual amount
    admit_unchecked: admitted without asking the counter for the customer's level
    covered_by_slice: this gateway's slice of the quota covered it when the counter was asked
    uploading: its body is still being received
    key: the request, as the client names it; "" if it has no id
    earlier_run: a possible run of the same request before it came again
    run: of the attempts that are not proven not to have run, also of an earlier time; None for classes
        that are safe to repeat
    """

    def __init__(
        self, request: Request, request_class: RequestClass, throttle: Throttle, now: float, key: str = "",
        earlier_run: PossibleRun | None = None,
    ) -> None:
        self.request, self.request_class, self.throttle, self.arrived_at = (
            request, request_class, throttle, now)
        self.attempts: list[Attempt] = []
        self.attempts_in_flight, self.hold_until = 0, now
        self.ended = self.streaming = self.units_corrected = self.admit_unchecked = (
            self.covered_by_slice) = False
        self.uploading = request.uploading
        self.reported_units = 0.0  # units reported to the counter; negative: it must not be reported
        self.key, self.earlier_run = key, earlier_run
        self.run = earlier_run

    @property
    def attempt_count(self) -> int:
        """Attempts, with those of an earlier time."""
        return len(self.attempts) + (self.earlier_run.attempts if self.earlier_run is not None else 0)


class Attempt:
    """One send of a request to a backend.

    sent_at: when it was sent, or when the body of the request was complete
    expected_time: seconds that such a request usually takes
    in_flight: it has not ended yet
    never_ran: its outcome proves that the backend did not run it
    overdue: it has no answer after `late_after` seconds
    """

    def __init__(
        self, server: Server, now: float, expected_time: float, late_after: float, load: SheddingState
    ) -> None:
        self.server, self.sent_at, self.expected_time = server, now, expected_time
        self.late_after = late_after  # seconds after which a missing answer counts as a sign of overload
        self.load = load  # when it was sent: the load after its own answer would bias which answers are used
        self.in_flight, self.never_ran, self.overdue = True, False, False
        self.uploading = False  # the body of the request is still being received
        self.awaiting_response = True  # the backend has not started its answer
