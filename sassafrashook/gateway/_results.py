"""Results of attempts that are reported to the controllers."""

import time

from sassafrashook.ejection import ResultCounter
from sassafrashook.gateway._attempt import FailureKind

MS_PER_S = 1_000
STATUS_SERVER_ERROR = 500
# An attempt that was abandoned because nothing arrived took at least as long as it lasted.
SILENT_KINDS = frozenset((FailureKind.SILENT, FailureKind.TIMEOUT))
FAILED_KINDS = frozenset((FailureKind.BROKEN, FailureKind.UNSIGNED))


class ResultRecorder:
    """Counts the results of attempts, once an upstream has stated how long work takes.

    Deployments in which none states it don't call for ejection. A failed response may lack the
    figure, so results of all upstreams count from then on.

    :ivar is_enabled_: whether an upstream has stated how long work takes.
    """

    def __init__(self):
        self._counter = ResultCounter()
        self._slowdowns = {}
        self.is_enabled_ = False

    def record_slowdown(self, upstream, slowdown):
        """Record how long work takes at an upstream, as it stated.

        :param upstream: an :class:`~sassafrashook.placement.UpstreamState`.
        :param slowdown: the figure, as a multiple of the usual time.
        """
        now = time.monotonic()
        self.is_enabled_ = True
        upstream.slowdown_ = slowdown
        upstream.speed_.record_stated(slowdown, now)
        self._slowdowns[upstream.key] = (slowdown, now)

    def take_slowdowns(self):
        """Return and clear the latest figures since the last call, and when they were heard.

        :returns: list of the boot's key, the figure, and the monotonic time.
        """
        slowdowns, self._slowdowns = self._slowdowns, {}
        return [(key, slowdown, at) for key, (slowdown, at) in slowdowns.items()]

    def record_attempt(self, attempt, began_at, error=None):
        """Count the result of an attempt.

        A status below 500 other than success is the client's fault and says nothing of the
        upstream, nor does a request that it did not run. Responses of a cold upstream are slow.

        :param attempt: the :class:`~sassafrashook.gateway._attempt.Attempt`.
        :param began_at: when the attempt began, in monotonic seconds.
        :param error: the :class:`~sassafrashook.gateway._attempt.AttemptError`, ``None`` if the
            attempt succeeded.
        """
        upstream, now = attempt.upstream, time.monotonic()
        if not self.is_enabled_:
            return
        succeeded, end = None, None
        if error is None:
            succeeded, end = True, attempt.first_data_at_
        elif error.kind in FAILED_KINDS and not attempt.is_aborted_:
            succeeded = False
        elif error.kind is FailureKind.UNSUCCESSFUL_STATUS:
            succeeded = False if error.response.head.status >= STATUS_SERVER_ERROR else None
        elif error.kind in SILENT_KINDS and attempt.first_data_at_ is None:
            end = now
        is_timed = end is not None and not upstream.is_cold(now)
        if succeeded is not None or is_timed:
            time_ms = (end - began_at) * MS_PER_S if is_timed else None
            self._counter.record(upstream.key, succeeded, time_ms)

    def take(self):
        """Return and clear the results since the last call.

        :returns: list of :class:`~sassafrashook.ejection.UpstreamResults`.
        """
        return self._counter.take()
