"""Decision which requests a router that stops still passes on."""

import math
from collections import deque

# After this time since the start of the stop, a request is passed on only if it certainly ends in
# time. Until then the load balancer still sends all kinds, and most of them end early.
CERTAIN_AFTER_S = 2.5
END_RESERVE_S = 0.15  # before the deadline of the stop, to send the last responses
DURATION_COUNT = 32  # of the most recent requests of one kind
DURATION_QUANTILE = 0.9


class RequestDurations:
    """Durations of the most recent requests of each kind.

    >>> durations = RequestDurations()
    >>> durations.record("advisor", 2.0)
    >>> durations.estimate("advisor"), durations.estimate("ledger")
    (2.0, inf)
    """

    def __init__(self):
        self._recent = {}

    def record(self, kind, duration_s):
        """Record the duration of a request that has ended.

        :param kind: hashable value that requests of similar duration share.
        :param duration_s: seconds.
        """
        self._recent.setdefault(kind, deque(maxlen=DURATION_COUNT)).append(duration_s)

    def estimate(self, kind):
        """Return how long most requests of a kind take, in seconds; infinite if none has ended."""
        recent = sorted(self._recent.get(kind, ()))
        return recent[int(DURATION_QUANTILE * len(recent))] if recent else math.inf


class GracefulStop:
    """Time that is left to requests while a router stops.

    :param started_at: start of the stop, in monotonic seconds.
    :param deadline: time at which the process ends, in monotonic seconds.

    >>> stop = GracefulStop(started_at=10.0, deadline=17.6)
    >>> stop.admits(11.0, request_deadline=21.0, duration_s=3.0)
    True
    >>> stop.admits(13.0, request_deadline=21.0, duration_s=3.0)
    False
    >>> stop.admits(13.0, request_deadline=15.0, duration_s=3.0)
    True
    """

    __slots__ = ("started_at", "deadline")

    def __init__(self, started_at, deadline):
        self.started_at = started_at
        self.deadline = deadline

    @property
    def end_at(self):
        """Time at which requests that have not ended are ended, in monotonic seconds."""
        return self.deadline - END_RESERVE_S

    def admits(self, now, request_deadline, duration_s):
        """Return whether a request is passed on to an upstream.

        :param now: monotonic seconds.
        :param request_deadline: time at which it ends in any case, in monotonic seconds.
        :param duration_s: how long most requests of its kind take, in seconds.
        """
        if request_deadline <= self.end_at:
            return True
        return now < self.started_at + CERTAIN_AFTER_S and now + duration_s <= self.end_at
