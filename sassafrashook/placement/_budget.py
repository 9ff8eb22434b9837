"""How many requests may be sent once more."""

from collections import deque

from sassafrashook.base import Parametrized
from sassafrashook.utils import Interval

RATIO_SHARE = 0.7  # of the fleet's ratio; routers see only their own requests
SLACK_SHARE = 0.6  # of the fleet's slack; the rest covers a wrong count of routers


class RetryBudget(Parametrized):
    """One router's part of a service's retry budget, over a sliding window.

    The ratio applies to the router's own requests, so that it holds for the sum of all routers;
    the slack is divided by their number.

    :param ratio: retries allowed for each request, over the fleet.
    :param slack: retries allowed beyond that in one window, over the fleet.
    :param window_s: length of the window.

    >>> budget = RetryBudget(ratio=0.2, slack=52, window_s=10.0)
    >>> budget.spend(routers=7, now=0.0)
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
        self.requests_ = deque()
        self.retries_ = deque()
        self.validate_parameters()

    def note_request(self, now):
        """Count one request of a client."""
        self.requests_.append(now)
        self._expire(now)

    def allowed(self, routers, now):
        """Return how many retries the present window allows.

        :param routers: number of routers that share the slack.
        """
        self._expire(now)
        share = self.slack * SLACK_SHARE / max(1, routers)
        return int(len(self.requests_) * self.ratio * RATIO_SHARE + share)

    def has_left(self, routers, now):
        """Return whether :meth:`spend` would succeed."""
        return len(self.retries_) < self.allowed(routers, now)

    def spend(self, routers, now):
        """Take one retry; :returns: whether there was one left."""
        if not self.has_left(routers, now):
            return False
        self.retries_.append(now)
        return True

    def _expire(self, now):
        for times in (self.requests_, self.retries_):
            while times and times[0] <= now - self.window_s:
                times.popleft()
