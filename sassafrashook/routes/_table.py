"""Lookup of the route, the service and the client account of a request."""

from sassafrashook.routes._keys import make_route_key
from sassafrashook.utils import hash_key, normalize_host


def iterate_prefixes(path):
    """Yield the prefixes of a path that end with a slash, the longest first.

    :param path: path without the query.

    >>> list(iterate_prefixes("/plans/3"))
    ['/plans/', '/']
    """
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        yield path[: end + 1]


class RouteTable:
    """Lookup table of a configuration.

    :param configuration: a :class:`~sassafrashook.routes.RouteConfiguration`.

    :ivar version: version of the configuration.
    :ivar services_: :class:`~sassafrashook.routes.Service` by name.
    :ivar requires_keys: whether requests need an API key, except on anonymous routes.

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

    def __init__(self, configuration):
        self.configuration = configuration
        self.version = configuration.version
        self.services_ = {service.name: service for service in configuration.services}
        self._routes_by_host = {}
        for route in configuration.routes:
            host, path_prefix = make_route_key(route)
            self._routes_by_host.setdefault(host, {})[path_prefix] = route
        self._accounts_by_key = {
            key: account for account in configuration.accounts or () for key in account.keys
        }
        self.requires_keys = configuration.accounts is not None

    def match(self, host, path):
        """Return the route with the longest path prefix that matches, or ``None``.

        :param host: host name, as in a Host header.
        :param path: path without the query.
        """
        routes_by_prefix = self._routes_by_host.get(normalize_host(host))
        if routes_by_prefix is None:
            return None
        for prefix in iterate_prefixes(path):
            route = routes_by_prefix.get(prefix)
            if route is not None:
                return route
        return None

    def get_route(self, host, path_prefix):
        """Return the route of exactly this prefix, or ``None``.

        :param host: normalized host name.
        """
        return self._routes_by_host.get(host, {}).get(path_prefix)

    def list_routes(self):
        """Return the pairs of the key, which is host and path prefix, and the route."""
        return [
            ((host, prefix), route)
            for host, routes_by_prefix in self._routes_by_host.items()
            for prefix, route in routes_by_prefix.items()
        ]

    def find_account(self, key):
        """Return the :class:`~sassafrashook.routes.Account` with an API key, or ``None``."""
        return self._accounts_by_key.get(key)

    def pick_service(self, route, request_id):
        """Choose the service of a request, with a probability in proportion to its weight.

        :param route: the :class:`~sassafrashook.routes.Route` of the request.
        :param request_id: id of the request. Its hash determines the choice, so that requests with
            the same id go to the same service.
        :returns: a :class:`~sassafrashook.routes.Service`.
        """
        if len(route.services) == 1:
            return self.services_[route.services[0].service]
        total = sum(weighted.weight for weighted in route.services)
        point = hash_key(request_id) / 2**64 * total
        for weighted in route.services:
            point -= weighted.weight
            if point < 0:
                return self.services_[weighted.service]
        # Rounding errors may leave the point at 0 or just above after the last weight.
        positive = [weighted for weighted in route.services if weighted.weight > 0]
        return self.services_[positive[-1].service]
