"""What every request handler of one router shares."""

from gevent.pool import Group

from sassafrashook.base import Parametrized
from sassafrashook.proxy._clock import SystemClock
from sassafrashook.proxy._connections import ConnectionPools
from sassafrashook.proxy._monitor import Monitor
from sassafrashook.utils import Interval

__all__ = ["ProxyContext"]

BACKGROUND_S = 30.0


class ProxyContext(Parametrized):
    """Sources of decisions, clocks, connections and limits.

    :param permits: a :class:`~sassafrashook.gateways.PermitSource`.
    :param claims: a :class:`~sassafrashook.gateways.ClaimSource`.
    :param retries: a :class:`~sassafrashook.gateways.RetryRules`.
    :param fleet: callable that returns the :class:`~sassafrashook.configuration.FleetState` in
        force, or ``None``.
    :param count: callable ``count(name, attribute)``, one counter each.
    :param clock: a :class:`~sassafrashook.proxy.Clock`.
    :param first_byte_ms: longest time from the request to the first byte of a chat's answer.
    :param progress_ms: longest time without a byte in mid-answer.
    :param caller_ms: longest time that a caller may take to accept a write.
    :param probe_ms: longest time for a check on a new connection.
    :param default_running_ms: deadline of chats and repeatable calls that state none.
    :param claim_ms: longest time for a decision on a claim.
    :param max_body_bytes: largest request body.
    :param max_answer_bytes: largest answer that is not streamed.
    :param max_resume_bytes: a longer stream is not resumed on another engine.
    :param max_attempts: attempts for one request.

    Attributes: ``pools_``, ``monitor_``, ``background_`` (work that outlives its request).

    :raises ParameterError: from :meth:`validate_parameters`.
    """

    _parameter_constraints = {
        "first_byte_ms": Interval(int, 1, 3_600_000),
        "progress_ms": Interval(int, 1, 600_000),
        "caller_ms": Interval(int, 1, 600_000),
        "probe_ms": Interval(int, 1, 60_000),
        "default_running_ms": Interval(int, 1, 86_400_000),
        "claim_ms": Interval(int, 1, 60_000),
        "max_body_bytes": Interval(int, 1, 1_073_741_824),
        "max_answer_bytes": Interval(int, 1, 1_073_741_824),
        "max_resume_bytes": Interval(int, 0, 1_073_741_824),
        "max_attempts": Interval(int, 1, 100),
    }

    def __init__(
        self,
        permits,
        claims,
        retries,
        fleet,
        count,
        clock=None,
        first_byte_ms=30_000,
        progress_ms=5_000,
        caller_ms=30_000,
        probe_ms=1_000,
        default_running_ms=600_000,
        claim_ms=3_000,
        max_body_bytes=8_388_608,
        max_answer_bytes=8_388_608,
        max_resume_bytes=1_048_576,
        max_attempts=4,
    ):
        self.permits = permits
        self.claims = claims
        self.retries = retries
        self.fleet = fleet
        self.count = count
        self.clock = clock or SystemClock()
        self.first_byte_ms = first_byte_ms
        self.progress_ms = progress_ms
        self.caller_ms = caller_ms
        self.probe_ms = probe_ms
        self.default_running_ms = default_running_ms
        self.claim_ms = claim_ms
        self.max_body_bytes = max_body_bytes
        self.max_answer_bytes = max_answer_bytes
        self.max_resume_bytes = max_resume_bytes
        self.max_attempts = max_attempts
        self.pools_ = ConnectionPools(self.clock)
        self.monitor_ = Monitor(self.clock, self.pools_.close_expired)
        self.background_ = Group()

    def start(self):
        """Check the parameters and start the monitor."""
        self.validate_parameters()
        self.pools_.validate_parameters()
        self.monitor_.start()

    def stop(self, deadline):
        """Wait for work that outlives its request, then close everything.

        :param deadline: monotonic seconds.
        """
        left_s = max(0.0, deadline - self.clock.monotonic())
        self.background_.join(timeout=min(left_s, BACKGROUND_S))
        self.background_.kill()
        self.monitor_.stop()
        self.pools_.close()
