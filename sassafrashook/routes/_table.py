"""Finds the route, the service and the account of a request."""

from sassafrashook.utils import hash_key


class RouteTable:
    """A configuration, indexed.

    :param state: a :class:`~sassafrashook.routes.RouteConfiguration`.

    >>> from sassafrashook.routes import ClientLimits, RouteConfiguration, Repeatability, Route
    >>> from sassafrashook.routes import Service, WeightedService
    >>> route = Route("plans", "a.example", "/plans/", Repeatability.STREAM,
    ...     [WeightedService("advisor", 1)], 1000, 100, 0, 1, 0, True, True)
    >>> limits = ClientLimits(16_384, 1_024, 3_000, 15_000)
    >>> services = [Service("advisor", 0)]
    >>> table = RouteTable(RouteConfiguration(7, [route], services, limits, None))
    >>> table.match("a.example", "/plans/3").name
    'plans'
    """

    def __init__(self, state):
        self.state = state
        self.version = state.version
        self.services_ = {service.name: service for service in state.services}
        self._routes = {}
        for route in state.routes:
            self._routes.setdefault(route.host.lower(), {})[route.path_prefix] = route
        self._accounts = {key: account for account in state.accounts or () for key in account.keys}
        self.needs_keys = state.accounts is not None

    def match(self, host, path):
        """Return the route with the longest prefix of a path, or ``None``.

        :param host: host name in lower case.
        :param path: path without its query.
        """
        prefixes = self._routes.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def find_account(self, key):
        """Return the account that holds a key, or ``None``."""
        return self._accounts.get(key)

    def pick_service(self, route, request_id):
        """Return the service of one request, by the weights of its route.

        :param request_id: decides, so that a repeat of the same request is treated alike.
        """
        if len(route.services) == 1:
            return self.services_[route.services[0].service]
        total = sum(weighted.weight for weighted in route.services)
        point = hash_key(request_id) / 2**64 * total
        for weighted in route.services:
            point -= weighted.weight
            if point < 0:
                return self.services_[weighted.service]
        positive = [weighted for weighted in route.services if weighted.weight > 0]
        return self.services_[positive[-1].service]
