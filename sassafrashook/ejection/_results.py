"""Results of upstreams, as one router counts them, and the ejections that follow from them."""

import math
from enum import StrEnum

import msgspec

# Logarithms of response times are sent as integers in hundredths, which take 2 to 3 bytes each.
LOG_SCALE = 100
MIN_TIME_MS = 0.1  # shorter times are not told apart


class UpstreamResults(msgspec.Struct, frozen=True, array_like=True):
    """Results of one boot of an upstream since the last message.

    :param upstream_id: name of the upstream.
    :param boot_ms: start time of the boot, in Unix milliseconds.
    :param succeeded: number of complete and correct responses.
    :param failed: number of failed responses.
    :param timed: number of responses whose time to the first data was measured.
    :param log_sum: sum of the natural logarithms of these times in milliseconds, in hundredths.
    :param log_square_sum: sum of the squares of these logarithms, in hundredths.
    :param routers: number of routers that counted these results.
    """

    upstream_id: str
    boot_ms: int
    succeeded: int
    failed: int
    timed: int = 0
    log_sum: int = 0
    log_square_sum: int = 0
    routers: int = 1

    @property
    def key(self):
        """Name and boot time, which identify the boot."""
        return (self.upstream_id, self.boot_ms)


class EjectionReason(StrEnum):
    """Why an upstream is ejected.

    :cvar FAILURES: it fails a larger share of its requests than its peers.
    :cvar SLOW: it takes several times as long as its peers.
    """

    FAILURES = "failures"
    SLOW = "slow"


class Ejection(msgspec.Struct, frozen=True, array_like=True):
    """An upstream that gets few requests because of its results.

    :param upstream_id: name of the upstream.
    :param boot_ms: start time of its boot, in Unix milliseconds.
    :param reason: an :class:`EjectionReason`.
    :param failure_share: share of its recent requests that failed, 0 to 1.
    :param slowness: its recent response times as a multiple of those of its peers.
    """

    upstream_id: str
    boot_ms: int
    reason: EjectionReason
    failure_share: float
    slowness: float

    @property
    def key(self):
        """Name and boot time, which identify the boot."""
        return (self.upstream_id, self.boot_ms)


class ResultCounter:
    """Counts the results of upstreams at one router until they are reported.

    >>> counter = ResultCounter()
    >>> counter.record(("a", 1), True, 10.0)
    >>> counter.take()[0].log_sum
    230
    """

    def __init__(self):
        self._counts = {}

    def record(self, key, succeeded, time_ms=None):
        """Count one result.

        :param key: key of the upstream's boot.
        :param succeeded: whether the request succeeded; ``None`` if only its time is known.
        :param time_ms: time from the start of the attempt to the first data of the response, or
            until the attempt was given up; ``None`` if it doesn't count.
        """
        counts = self._counts.setdefault(key, [0, 0, 0, 0.0, 0.0])
        if succeeded is not None:
            counts[0 if succeeded else 1] += 1
        if time_ms is not None:
            log_ms = math.log(max(MIN_TIME_MS, time_ms))
            counts[2] += 1
            counts[3] += log_ms
            counts[4] += log_ms * log_ms

    def take(self):
        """Return and clear the counts.

        :returns: list of :class:`UpstreamResults`.
        """
        counts, self._counts = self._counts, {}
        return [
            UpstreamResults(
                *key, succeeded, failed, timed, round(LOG_SCALE * total), round(LOG_SCALE * squares)
            )
            for key, (succeeded, failed, timed, total, squares) in counts.items()
        ]
