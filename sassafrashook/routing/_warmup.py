"""How much a starting upstream may carry."""

SLOW_FACTOR = 4.0
SLOW_MARGIN_MS = 200
SLOW_ANSWERS = 2
FAILED_ANSWERS = 2
USUAL_WEIGHT = 1 / 16


class WarmUp:
    """The limit of one upstream: its cold capacity first, then grown by finished answers.

    The limit falls back to the cold capacity when the upstream starts anew, says that it is cold,
    crashes, or answers repeatedly with a first-token time far over its usual one.

    :param capacity: requests that it bears when warm.
    :param cold_capacity: requests that it bears when cold.

    Attributes
    ----------
    limit_ : requests that it may run now.
    ramp_ : number of times that the limit fell back; answers of an earlier ramp don't raise it.
    stated_cold_ : whether it says of itself that it is cold; the limit does not grow meanwhile.
    usual_first_token_ms_ : moving average of its first-token times, 0 while unknown.

    Examples
    --------
    >>> from sassafrashook.routing._warmup import WarmUp
    >>> warm_up = WarmUp(capacity=4, cold_capacity=1)
    >>> warm_up.note_finished(first_token_ms=100)
    >>> warm_up.limit_
    2
    """

    __slots__ = (
        "capacity",
        "cold_capacity",
        "limit_",
        "ramp_",
        "stated_cold_",
        "usual_first_token_ms_",
        "slow_",
        "failed_",
    )

    def __init__(self, capacity, cold_capacity):
        self.capacity = capacity
        self.cold_capacity = cold_capacity
        self.limit_ = min(cold_capacity, capacity)
        self.ramp_ = 0
        self.stated_cold_ = False
        self.usual_first_token_ms_ = 0.0
        self.slow_ = 0
        self.failed_ = 0

    def is_cold(self):
        """Return whether the limit is below the warm capacity."""
        return self.limit_ < self.capacity

    def restart(self):
        """Fall back to the cold capacity."""
        self.limit_ = min(self.cold_capacity, self.capacity)
        self.ramp_ += 1
        self.slow_ = 0
        self.failed_ = 0

    def raise_limit(self, running):
        """Raise the limit to what the upstream is known to run already."""
        self.limit_ = min(max(self.limit_, running), self.capacity)

    def resize(self, capacity, cold_capacity):
        """Take newly stated capacities."""
        was_warm = not self.is_cold()
        self.capacity = capacity
        self.cold_capacity = cold_capacity
        self.limit_ = min(self.limit_, capacity) if not was_warm else capacity

    def state_cold(self, cold):
        """Take the upstream's own word on whether it is cold."""
        if cold and not self.stated_cold_:
            self.restart()
        self.stated_cold_ = cold

    def note_busy(self, running):
        """Lower the limit after the upstream refused work.

        :param running: requests that run at it, the refused one not counted.
        """
        self.limit_ = min(self.limit_, max(self.cold_capacity, running, 1))

    def note_failed(self):
        """Count an answer that broke or fell silent; two in a row restart the ramp."""
        self.failed_ += 1
        if self.failed_ >= FAILED_ANSWERS:
            self.restart()

    def note_finished(self, first_token_ms, ramp=0):
        """Count a finished answer.

        :param first_token_ms: time to the first token, or -1 if unknown.
        :param ramp: value of ``ramp_`` when its permit was granted.
        """
        self.failed_ = 0
        if first_token_ms >= 0 and self._is_slow(first_token_ms):
            self.slow_ += 1
            if self.slow_ >= SLOW_ANSWERS:
                self.restart()
            return
        self.slow_ = 0
        if not self.stated_cold_ and ramp == self.ramp_:
            self.limit_ = min(self.limit_ + 1, self.capacity)

    def _is_slow(self, first_token_ms):
        usual = self.usual_first_token_ms_
        if not usual:
            self.usual_first_token_ms_ = max(float(first_token_ms), 1.0)
            return False
        threshold = usual * SLOW_FACTOR + SLOW_MARGIN_MS
        step = min(first_token_ms, threshold) - usual
        self.usual_first_token_ms_ = max(usual + step * USUAL_WEIGHT, 1.0)
        return first_token_ms > threshold
