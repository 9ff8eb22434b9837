"""Warm-up: the load limit of an upstream that starts with a cold cache."""

SLOW_FACTOR = 4.0
SLOW_MARGIN_MS = 200
SLOW_STREAK_LIMIT = 2
INTERRUPTED_STREAK_LIMIT = 2
FIRST_TOKEN_WEIGHT = 1 / 16


class WarmUp:
    """The load limit of one upstream, which grows from its cold capacity with finished responses.

    The limit is reset to the cold capacity when the upstream restarts, reports that it is cold,
    crashes, or repeatedly takes far longer than its average time to the first token.

    :param capacity: number of concurrent requests that it can run when warm.
    :param cold_capacity: number of concurrent requests that it can run when cold.

    :ivar limit_: number of concurrent requests that it may run now.
    :ivar reset_count_: number of resets; a request granted before the last reset does not raise
        the limit.
    :ivar reports_cold_: whether it reports itself as cold; the limit does not grow meanwhile.
    :ivar mean_first_token_ms_: moving average of its times to the first token, in milliseconds,
        0 while unknown.
    :ivar slow_streak_: number of consecutive slow responses.
    :ivar interrupted_streak_: number of consecutive responses with outcome ``broke`` or ``silent``.

    Examples
    --------
    >>> from sassafrashook.routing._warmup import WarmUp
    >>> warm_up = WarmUp(capacity=4, cold_capacity=1)
    >>> warm_up.record_finished(first_token_ms=100)
    >>> warm_up.limit_
    2
    """

    __slots__ = (
        "capacity",
        "cold_capacity",
        "limit_",
        "reset_count_",
        "reports_cold_",
        "mean_first_token_ms_",
        "slow_streak_",
        "interrupted_streak_",
    )

    def __init__(self, capacity, cold_capacity):
        self.capacity = capacity
        self.cold_capacity = cold_capacity
        self.limit_ = min(cold_capacity, capacity)
        self.reset_count_ = 0
        self.reports_cold_ = False
        self.mean_first_token_ms_ = 0.0
        self.slow_streak_ = 0
        self.interrupted_streak_ = 0

    def is_cold(self):
        """Return whether the limit is below the warm capacity."""
        return self.limit_ < self.capacity

    def reset(self):
        """Reset the limit to the cold capacity."""
        self.limit_ = min(self.cold_capacity, self.capacity)
        self.reset_count_ += 1
        self.slow_streak_ = 0
        self.interrupted_streak_ = 0

    def raise_limit(self, running):
        """Raise the limit to the number of requests that the upstream already runs."""
        self.limit_ = min(max(self.limit_, running), self.capacity)

    def set_capacities(self, capacity, cold_capacity):
        """Set newly announced capacities; a warm upstream stays warm."""
        was_warm = not self.is_cold()
        self.capacity = capacity
        self.cold_capacity = cold_capacity
        self.limit_ = min(self.limit_, capacity) if not was_warm else capacity

    def set_reported_cold(self, cold):
        """Set whether the upstream reports itself as cold."""
        if cold and not self.reports_cold_:
            self.reset()
        self.reports_cold_ = cold

    def record_busy(self, running):
        """Lower the limit after the upstream refused work.

        :param running: number of requests that run on it, excluding the refused one.
        """
        self.limit_ = min(self.limit_, max(self.cold_capacity, running, 1))

    def record_interrupted(self):
        """Count a response with outcome ``broke`` or ``silent``; two in a row reset the limit."""
        self.interrupted_streak_ += 1
        if self.interrupted_streak_ >= INTERRUPTED_STREAK_LIMIT:
            self.reset()

    def record_finished(self, first_token_ms, reset_count=0):
        """Count a finished response.

        :param first_token_ms: milliseconds from the first byte sent to the first event received,
            or -1 if there is none.
        :param reset_count: value of ``reset_count_`` when its permit was granted.
        """
        self.interrupted_streak_ = 0
        if first_token_ms >= 0 and self._is_slow(first_token_ms):
            self.slow_streak_ += 1
            if self.slow_streak_ >= SLOW_STREAK_LIMIT:
                self.reset()
            return
        self.slow_streak_ = 0
        if not self.reports_cold_ and reset_count == self.reset_count_:
            self.limit_ = min(self.limit_ + 1, self.capacity)

    def _is_slow(self, first_token_ms):
        mean = self.mean_first_token_ms_
        if not mean:
            self.mean_first_token_ms_ = max(float(first_token_ms), 1.0)
            return False
        threshold = mean * SLOW_FACTOR + SLOW_MARGIN_MS
        step = min(first_token_ms, threshold) - mean
        self.mean_first_token_ms_ = max(mean + step * FIRST_TOKEN_WEIGHT, 1.0)
        return first_token_ms > threshold
