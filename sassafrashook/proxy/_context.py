"""Collaborators and limits shared by the request handlers of one router."""

from gevent.pool import Group

from sassafrashook.base import Parametrized
from sassafrashook.proxy._clock import SystemClock
from sassafrashook.proxy._connections import ConnectionPools
from sassafrashook.proxy._monitor import SocketMonitor
from sassafrashook.utils import Interval

__all__ = ["ProxyContext"]

BACKGROUND_TIMEOUT_S = 30.0


class ProxyContext(Parametrized):
    """Shared collaborators, connection pools and limits of request handlers.

    :param permits: a :class:`~sassafrashook.interfaces.PermitSource`.
    :param claims: a :class:`~sassafrashook.interfaces.ClaimSource`.
    :param retries: a :class:`~sassafrashook.interfaces.RetryPolicy`.
    :param get_fleet_state: callable that returns the current
        :class:`~sassafrashook.configuration.FleetState`, or ``None``.
    :param count: callable ``count(name, attribute)`` that increments a counter.
    :param clock: a :class:`~sassafrashook.proxy.Clock`.
    :param receive_timeout_ms: maximum gap in milliseconds between received bytes of a chat or
        repeatable call; for a streamed chat, only until its first event.
    :param progress_timeout_ms: maximum gap in milliseconds between received bytes after the first
        event of a stream.
    :param write_timeout_ms: maximum milliseconds for a caller to accept a write.
    :param control_timeout_ms: maximum milliseconds for a health check, cancellation or lookup.
    :param default_timeout_ms: milliseconds until the deadline of chats and repeatable calls without
        a deadline header.
    :param claim_timeout_ms: maximum milliseconds for a decision on a claim.
    :param max_body_bytes: maximum size of a request body.
    :param max_response_bytes: maximum size of a response that is not streamed.
    :param max_resume_bytes: streams longer than this are not resumed on another engine.
    :param max_attempts: maximum number of attempts per request.
    :ivar pools_: :class:`~sassafrashook.proxy._connections.ConnectionPools` of upstreams.
    :ivar monitor_: :class:`~sassafrashook.proxy._monitor.SocketMonitor`.
    :ivar background_: greenlets that outlive their request, such as cancellations.
    :raises ParameterError: from :meth:`validate_parameters`.
    """

    _parameter_constraints = {
        "receive_timeout_ms": Interval(int, 1, 3_600_000),
        "progress_timeout_ms": Interval(int, 1, 600_000),
        "write_timeout_ms": Interval(int, 1, 600_000),
        "control_timeout_ms": Interval(int, 1, 60_000),
        "default_timeout_ms": Interval(int, 1, 86_400_000),
        "claim_timeout_ms": Interval(int, 1, 60_000),
        "max_body_bytes": Interval(int, 1, 1_073_741_824),
        "max_response_bytes": Interval(int, 1, 1_073_741_824),
        "max_resume_bytes": Interval(int, 0, 1_073_741_824),
        "max_attempts": Interval(int, 1, 100),
    }

    def __init__(
        self,
        permits,
        claims,
        retries,
        get_fleet_state,
        count,
        clock=None,
        receive_timeout_ms=30_000,
        progress_timeout_ms=5_000,
        write_timeout_ms=30_000,
        control_timeout_ms=1_000,
        default_timeout_ms=600_000,
        claim_timeout_ms=3_000,
        max_body_bytes=8_388_608,
        max_response_bytes=8_388_608,
        max_resume_bytes=1_048_576,
        max_attempts=4,
    ):
        self.permits = permits
        self.claims = claims
        self.retries = retries
        self.get_fleet_state = get_fleet_state
        self.count = count
        self.clock = clock or SystemClock()
        self.receive_timeout_ms = receive_timeout_ms
        self.progress_timeout_ms = progress_timeout_ms
        self.write_timeout_ms = write_timeout_ms
        self.control_timeout_ms = control_timeout_ms
        self.default_timeout_ms = default_timeout_ms
        self.claim_timeout_ms = claim_timeout_ms
        self.max_body_bytes = max_body_bytes
        self.max_response_bytes = max_response_bytes
        self.max_resume_bytes = max_resume_bytes
        self.max_attempts = max_attempts
        self.pools_ = ConnectionPools(self.clock)
        self.monitor_ = SocketMonitor(self.clock, self.pools_.close_expired)
        self.background_ = Group()

    def start(self):
        """Validate the parameters and start the monitor."""
        self.validate_parameters()
        self.pools_.validate_parameters()
        self.monitor_.start()

    def stop(self, deadline):
        """Wait for background work, then stop the monitor and close all idle connections.

        :param deadline: monotonic seconds; background work that is still running then, or after
            ``BACKGROUND_TIMEOUT_S`` seconds, is killed.
        """
        remaining_s = max(0.0, deadline - self.clock.monotonic())
        self.background_.join(timeout=min(remaining_s, BACKGROUND_TIMEOUT_S))
        self.background_.kill()
        self.monitor_.stop()
        self.pools_.close()
