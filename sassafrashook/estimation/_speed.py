"""How long work takes at one upstream, as a multiple of the usual time."""

USUAL = 1.0
# A stated figure counts half after this time. The load of a host changes about every 600 ms, after
# which a figure tells exp(-1) of the difference from the mean: a half-life of 0.42 s.
STATED_HALF_LIFE_S = 0.42
STATED_WEIGHT = 0.05  # weight of a stated figure in the moving average
MEASURED_WEIGHT = 0.05  # weight of a measured response time in the moving average
MEASURED_BOUNDS = (0.3, 5.0)  # bounds of a measured ratio; a single request may wait in a queue


class SpeedEstimate:
    """How long work takes at one boot of an upstream, from stated figures and measured times.

    :ivar mean_: moving average.
    :ivar stated_: latest stated figure, ``None`` if there is none.
    :ivar stated_at_: when a router heard it, in monotonic seconds.

    >>> estimate = SpeedEstimate()
    >>> estimate.record_stated(2.5, heard_at=0.0, is_own=False)
    >>> estimate.compute(now=0.0), estimate.compute(now=0.42)
    (2.5, 1.75)
    """

    __slots__ = ("mean_", "stated_", "stated_at_")

    def __init__(self):
        self.mean_ = USUAL
        self.stated_ = None
        self.stated_at_ = float("-inf")

    def record_stated(self, slowdown, heard_at, is_own=True):
        """Record a figure that a response stated, unless a later one is known.

        :param slowdown: time that work takes, as a multiple of the usual time.
        :param heard_at: when a router received the response, in monotonic seconds.
        :param is_own: whether this router received it. Other routers report only figures above the
            usual one, which don't count in the mean.
        """
        if is_own:
            self.mean_ += STATED_WEIGHT * (slowdown - self.mean_)
        if heard_at > self.stated_at_:
            self.stated_, self.stated_at_ = slowdown, heard_at

    def record_measured(self, ratio):
        """Record a measured time to the first event.

        :param ratio: the time as a multiple of what it usually takes at the upstreams of the
            service.
        """
        low, high = MEASURED_BOUNDS
        self.mean_ += MEASURED_WEIGHT * (min(high, max(low, ratio)) - self.mean_)

    def compute(self, now):
        """Return the expected figure; a stated one decays to the mean with its age."""
        if self.stated_ is None:
            return self.mean_
        factor = 0.5 ** (max(0.0, now - self.stated_at_) / STATED_HALF_LIFE_S)
        return self.mean_ + (self.stated_ - self.mean_) * factor
