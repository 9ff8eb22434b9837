"""What all requests of one router share."""

import time
from dataclasses import dataclass

from sassafrashook.placement import RetryBudget
from sassafrashook.routes import ClientLimits

DEFAULT_LIMITS = ClientLimits(16_384, 4_194_304, 3_000, 15_000)  # until a configuration is known


@dataclass(slots=True, frozen=True)
class GatewayLimits:
    """Bounds on retries.

    :param retry_ratio: retries for each request of a service, over the fleet.
    :param retry_slack: retries beyond that in one window, over the fleet.
    :param retry_window_s: length of the window.
    """

    retry_ratio: float
    retry_slack: float
    retry_window_s: float


class Gateway:
    """The view, the placement, connections and budgets of one router.

    :param dialect: a :class:`~sassafrashook.gateway.Dialect`.
    :param view: a :class:`~sassafrashook.fleet.FleetView`.
    :param placement: a :class:`~sassafrashook.placement.Placement`.
    :param pool: a :class:`~sassafrashook.http1.ConnectionPool`.
    :param limits: a :class:`GatewayLimits`.
    :param metrics: a :class:`~sassafrashook.telemetry.Metrics`.

    :ivar runs_: the requests that are being run.
    """

    def __init__(self, dialect, view, placement, pool, limits, metrics):
        self.dialect = dialect
        self.view = view
        self.placement = placement
        self.pool = pool
        self.limits = limits
        self.metrics = metrics
        self.runs_ = set()
        self._budgets = {}

    def client_limits(self):
        """Return the :class:`~sassafrashook.routes.ClientLimits` in force."""
        table = self.view.table_
        return table.state.limits if table is not None else DEFAULT_LIMITS

    def interrupt(self, upstream):
        """End the attempts at an upstream that is dark, where the request may run elsewhere.

        :param upstream: an :class:`~sassafrashook.placement.UpstreamState`.
        :returns: how many were ended.
        """
        return sum(run.interrupt(upstream) for run in list(self.runs_))

    def note_request(self, service):
        """Count a client's request towards its service's retry budget."""
        self._budget(service).note_request(time.monotonic())

    def has_retry(self, service):
        """Return whether :meth:`spend_retry` would succeed."""
        return self._budget(service).has_left(self._count_routers(), time.monotonic())

    def spend_retry(self, service):
        """Take one retry from a service's budget; :returns: whether there was one."""
        return self._budget(service).spend(self._count_routers(), time.monotonic())

    def _count_routers(self):
        return len(self.view.routers_) or 1

    def _budget(self, service):
        budget = self._budgets.get(service)
        if budget is None:
            limits = self.limits
            budget = RetryBudget(limits.retry_ratio, limits.retry_slack, limits.retry_window_s)
            self._budgets[service] = budget
        return budget
