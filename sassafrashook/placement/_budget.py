"""Retry budget of a service."""

from collections import deque

from sassafrashook.base import Parametrized
from sassafrashook.utils import Interval

# Fraction of the fleet-wide ratio that each router applies to its own requests, the only ones that
# it sees.
ROUTER_RATIO_FACTOR = 0.7
# Fraction of the fleet-wide slack that is divided between routers. The remainder covers an
# incorrect count of routers.
ROUTER_SLACK_FACTOR = 0.6


class RetryBudget(Parametrized):
    """One router's part of a service's retry budget, over a sliding window.

    Each router applies a fraction of the ratio to its own requests, so the ratio also holds for the
    sum over all routers. A fraction of the slack is divided by the number of routers.

    :param ratio: fleet-wide limit of retries per request.
    :param slack: fleet-wide number of retries allowed in each window in addition to the ratio.
    :param window_s: length of the sliding window, in seconds.

    :ivar request_times_: arrival times of the requests in the window, in monotonic seconds.
    :ivar retry_times_: times of the retries in the window, in monotonic seconds.

    >>> budget = RetryBudget(ratio=0.2, slack=52, window_s=10.0)
    >>> budget.try_consume(routers=7, now=0.0)
    True
    """

    _parameter_constraints = {
        "ratio": Interval(float, 0.0, 10.0),
        "slack": Interval(float, 0.0),
        "window_s": Interval(float, 0.001),
    }

    def __init__(self, ratio, slack, window_s):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.request_times_ = deque()
        self.retry_times_ = deque()
        self.validate_parameters()

    def record_request(self, now):
        """Count one client request.

        :param now: monotonic seconds.
        """
        self.request_times_.append(now)
        self._expire(now)

    def compute_limit(self, routers, now):
        """Return the number of retries allowed in the current window.

        :param routers: number of routers that share the slack.
        :param now: monotonic seconds.
        """
        self._expire(now)
        slack = self.slack * ROUTER_SLACK_FACTOR / max(1, routers)
        return int(len(self.request_times_) * self.ratio * ROUTER_RATIO_FACTOR + slack)

    def can_consume(self, routers, now):
        """Return whether :meth:`try_consume` would succeed."""
        return len(self.retry_times_) < self.compute_limit(routers, now)

    def try_consume(self, routers, now):
        """Consume one retry if the budget allows it.

        :param routers: number of routers that share the slack.
        :param now: monotonic seconds.
        :returns: whether the retry is allowed.
        """
        if not self.can_consume(routers, now):
            return False
        self.retry_times_.append(now)
        return True

    def _expire(self, now):
        for times in (self.request_times_, self.retry_times_):
            while times and times[0] <= now - self.window_s:
                times.popleft()
