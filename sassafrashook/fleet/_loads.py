"""Sums the number of running requests per upstream over all routers."""

from collections import Counter

REPORT_VALID_S = 1.5  # older reports are discarded


class LoadAggregator:
    """Load reports of a controller's own routers, and the totals of the other controllers.

    >>> loads = LoadAggregator()
    >>> loads.update_router("r1", {"a": 2}, now=0.0)
    >>> loads.update_controller("c2", {"a": 5}, now=0.0)
    >>> loads.sum_others("r1", now=0.1)
    {'a': 5}
    """

    def __init__(self):
        self._routers = {}
        self._controllers = {}

    def update_router(self, name, loads, now):
        """Replace the report of a router."""
        self._routers[name] = (loads, now)

    def update_controller(self, name, loads, now):
        """Replace the total of another controller's routers."""
        self._controllers[name] = (loads, now)

    def list_routers(self, now):
        """Return the names of the routers that report to this controller."""
        self._discard_expired(now)
        return list(self._routers)

    def sum_own(self, now):
        """Return the load of the routers that report to this controller, by upstream."""
        self._discard_expired(now)
        return _sum_loads(loads for loads, _ in self._routers.values())

    def sum_all(self, now):
        """Return the load of all routers, by upstream."""
        own = self.sum_own(now)
        return _sum_loads([own, *(loads for loads, _ in self._controllers.values())])

    def subtract_own(self, totals, router):
        """Return what remains of the totals of :meth:`sum_all` without the load of a router."""
        own, _ = self._routers.get(router, ({}, 0.0))
        others = dict(totals)
        for name, load in own.items():
            others[name] -= load
            if not others[name]:
                del others[name]
        return others

    def sum_others(self, router, now):
        """Return the load of all routers except ``router``, by upstream."""
        return self.subtract_own(self.sum_all(now), router)

    def _discard_expired(self, now):
        for reports in (self._routers, self._controllers):
            for name, (_, received_at) in list(reports.items()):
                if now >= received_at + REPORT_VALID_S:
                    del reports[name]


def _sum_loads(reports):
    total = Counter()
    for loads in reports:
        total.update(loads)
    return dict(total)
