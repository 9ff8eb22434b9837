"""Recent durations of the responses of a service, as a histogram whose counts decay."""

import math

SMALLEST_MS = 1.0  # upper bound of the first bucket
# Ratio of the upper bounds of two buckets in a row: a quantile is at most this much too high.
BUCKET_RATIO = 1.15
BUCKET_COUNT = 80  # the last bucket begins at about 62 s


class DurationHistogram:
    """Histogram of durations in which older ones count less.

    :param half_life_s: time after which a duration counts half, in seconds.

    :ivar weight_: sum of the weights of all durations.

    >>> histogram = DurationHistogram(half_life_s=10.0)
    >>> for duration_ms in (20, 20, 20, 100):
    ...     histogram.record(duration_ms, now=0.0)
    >>> 20 <= histogram.estimate_quantile(0.5, now=0.0) <= 23
    True
    """

    __slots__ = ("half_life_s", "weight_", "_counts", "_decayed_at")

    def __init__(self, half_life_s):
        self.half_life_s = half_life_s
        self.weight_ = 0.0
        self._counts = [0.0] * BUCKET_COUNT
        self._decayed_at = -math.inf

    def record(self, duration_ms, now):
        """Add one duration.

        :param duration_ms: milliseconds.
        :param now: monotonic seconds.
        """
        self._decay(now)
        self._counts[_find_bucket(duration_ms)] += 1.0
        self.weight_ += 1.0

    def estimate_quantile(self, quantile, now):
        """Return the duration that a share of the durations does not exceed, in milliseconds.

        :param quantile: the share, 0 to 1.
        :param now: monotonic seconds.
        :returns: upper bound of the quantile's bucket, infinite if there are no durations.
        """
        self._decay(now)
        rank, total = quantile * self.weight_, 0.0
        for bucket, count in enumerate(self._counts):
            total += count
            if count and total >= rank:
                return SMALLEST_MS * BUCKET_RATIO**bucket
        return math.inf

    def _decay(self, now):
        """Reduce the weights, at most once in a hundredth of the half-life."""
        elapsed_s = now - self._decayed_at
        if elapsed_s < self.half_life_s / 100:
            return
        self._decayed_at = now
        factor = 0.5 ** (elapsed_s / self.half_life_s)
        self._counts = [count * factor for count in self._counts]
        self.weight_ = sum(self._counts)


def _find_bucket(duration_ms):
    if duration_ms <= SMALLEST_MS:
        return 0
    bucket = math.ceil(math.log(duration_ms / SMALLEST_MS) / math.log(BUCKET_RATIO) - 1e-9)
    return min(BUCKET_COUNT - 1, bucket)
