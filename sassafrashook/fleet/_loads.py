"""How many requests run at each upstream, summed over routers."""

from collections import Counter

VALID_S = 1.5  # a report older than this says nothing


class LoadBoard:
    """Reports of a controller's routers, and the sums of the other controllers.

    >>> board = LoadBoard()
    >>> board.note_router("r1", {"a": 2}, now=0.0)
    >>> board.note_controller("c2", {"a": 5}, now=0.0)
    >>> board.list_others("r1", now=0.1)
    {'a': 5}
    """

    def __init__(self):
        self._routers = {}
        self._controllers = {}

    def note_router(self, name, loads, now):
        """Take the report of a router."""
        self._routers[name] = (loads, now)

    def note_controller(self, name, loads, now):
        """Take the sum of another controller's routers."""
        self._controllers[name] = (loads, now)

    def list_routers(self, now):
        """Return the names of the routers that report here."""
        self._expire(now)
        return list(self._routers)

    def sum_own(self, now):
        """Return the sum over the routers that report here, by upstream."""
        self._expire(now)
        return _sum(loads for loads, _ in self._routers.values())

    def list_others(self, router, now):
        """Return the sum over all routers but one, by upstream."""
        self._expire(now)
        own = [loads for name, (loads, _) in self._routers.items() if name != router]
        return _sum([*own, *(loads for loads, _ in self._controllers.values())])

    def _expire(self, now):
        for reports in (self._routers, self._controllers):
            for name, (_, at) in list(reports.items()):
                if now >= at + VALID_S:
                    del reports[name]


def _sum(tables):
    total = Counter()
    for loads in tables:
        total.update(loads)
    return dict(total)
