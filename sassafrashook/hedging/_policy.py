"""Decides whether and when a slow request gets a second attempt."""

from dataclasses import dataclass

from sassafrashook.base import Parametrized
from sassafrashook.hedging._durations import DurationHistogram
from sassafrashook.utils import Interval

HALF_LIFE_S = 10.0
# Weight of recent durations from which on their quantile is used. With fewer, one slow response
# would set it.
MIN_WEIGHT = 10.0
# Delay until the second attempt as a share of the route's target, while few durations are known.
# The second attempt then has as long as the first had to end within the target.
DEFAULT_DELAY_TARGET_SHARE = 0.5
# No second attempt begins later than this share of the target: it would hardly end within it, and
# an attempt that stays silent is abandoned from then on.
LATEST_DELAY_TARGET_SHARE = 0.75
# Extra attempts that a router may save up. It bounds how many begin at once when a whole service
# turns slow.
MAX_SAVED_ATTEMPTS = 2.0
MS_PER_S = 1_000


@dataclass(slots=True, frozen=True)
class HedgingLimits:
    """The operators' limits of second attempts.

    :param extra_share: extra attempts allowed per request of a service; 0 allows none.
    :param quantile: share of the recent responses of a service that took less time than that after
        which a second attempt begins.
    """

    extra_share: float = 0.0
    quantile: float = 0.95


class HedgingPolicy(Parametrized):
    """One router's second attempts.

    Each request of a service earns a share of an extra attempt, so that the sum over all routers
    keeps the limit without messages between them.

    :param extra_share: see :class:`HedgingLimits`.
    :param quantile: see :class:`HedgingLimits`.

    >>> policy = HedgingPolicy(extra_share=0.5, quantile=0.95)
    >>> policy.record_request("ledger")
    >>> policy.record_request("ledger")
    >>> policy.try_consume("ledger"), policy.try_consume("ledger")
    (True, False)
    """

    _parameter_constraints = {
        "extra_share": Interval(float, 0.0, 1.0),
        "quantile": Interval(float, 0.5, 0.999),
    }

    def __init__(self, extra_share=0.0, quantile=0.95):
        self.extra_share = extra_share
        self.quantile = quantile
        self._saved = {}
        self._durations = {}
        self.validate_parameters()

    @property
    def is_enabled(self):
        """Whether the limits allow second attempts."""
        return self.extra_share > 0

    def record_request(self, service):
        """Count one client's request to a service.

        :param service: name of the service.
        """
        if self.is_enabled:
            saved = self._saved.get(service, 0.0) + self.extra_share
            self._saved[service] = min(MAX_SAVED_ATTEMPTS, saved)

    def record_duration(self, service, duration_ms, now):
        """Record how long an upstream took for a whole response.

        :param service: name of the service.
        :param duration_ms: milliseconds.
        :param now: monotonic seconds.
        """
        if not self.is_enabled:
            return
        durations = self._durations.get(service)
        if durations is None:
            durations = self._durations[service] = DurationHistogram(HALF_LIFE_S)
        durations.record(duration_ms, now)

    def compute_delay_s(self, service, target_ms, now):
        """Return the time after which a request may get a second attempt.

        :param service: name of the service.
        :param target_ms: target of the route for the response, in milliseconds.
        :param now: monotonic seconds.
        :returns: seconds, or ``None`` if a second attempt would come too late or is not allowed.
        """
        if not self.is_enabled or target_ms <= 0:
            return None
        durations = self._durations.get(service)
        delay_ms = DEFAULT_DELAY_TARGET_SHARE * target_ms
        if durations is not None:
            quantile_ms = durations.estimate_quantile(self.quantile, now)
            if durations.weight_ >= MIN_WEIGHT:
                delay_ms = quantile_ms
        if delay_ms > LATEST_DELAY_TARGET_SHARE * target_ms:
            return None
        return delay_ms / MS_PER_S

    def try_consume(self, service):
        """Consume one extra attempt if the limit allows it.

        :param service: name of the service.
        :returns: whether the attempt is allowed.
        """
        saved = self._saved.get(service, 0.0)
        if saved < 1.0:
            return False
        self._saved[service] = saved - 1.0
        return True
