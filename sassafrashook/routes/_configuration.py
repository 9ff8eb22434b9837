"""Configuration of a fleet that routes requests by host and path."""

from enum import StrEnum

import msgspec

from sassafrashook.routes._keys import make_route_key


class Repeatability(StrEnum):
    """Whether a route's requests may run more than once, and whether the response is a stream.

    :cvar IDEMPOTENT: requests may run more than once; the response is not a stream.
    :cvar AT_MOST_ONCE: requests run at most once; the response is not a stream.
    :cvar STREAM: requests run at most once; the response is a stream of events.
    :cvar RESUMABLE_STREAM: requests may run again; the response is a stream of events, which then
        continues after the last event that the client received.
    """

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable_stream"


class WeightedService(msgspec.Struct, frozen=True, array_like=True):
    """A service and its share of a route's requests.

    :param service: name of the service.
    :param weight: non-negative weight, relative to the sum of the weights of the route.
    """

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, array_like=True):
    """Rules for the requests of one host below one path prefix.

    :param name: name of the route.
    :param host: host name; hosts are the same as stated by
        :func:`~sassafrashook.utils.normalize_host`.
    :param path_prefix: path prefix that begins and ends with a slash.
    :param repeatability: a :class:`Repeatability`.
    :param services: list of :class:`WeightedService` that handle the requests.
    :param timeout_ms: maximum time from the head of a request to the end of its response, in
        milliseconds.
    :param latency_target_ms: target latency of a response, or of the first event of a stream, in
        milliseconds.
    :param event_gap_target_ms: target for the longest gap between two events of a stream, in
        milliseconds; 0 if there is none.
    :param max_upstreams: maximum number of upstreams that one request may run on.
    :param priority: priority of the requests; 0 is the highest.
    :param allows_anonymous: whether requests need no API key.
    :param has_prompts: whether requests list the parts of their prompts.
    """

    name: str
    host: str
    path_prefix: str
    repeatability: Repeatability
    services: list[WeightedService]
    timeout_ms: float
    latency_target_ms: float
    event_gap_target_ms: float
    max_upstreams: int
    priority: int
    allows_anonymous: bool
    has_prompts: bool

    @property
    def is_stream(self):
        """Whether the response is a stream of events."""
        return self.repeatability in (Repeatability.STREAM, Repeatability.RESUMABLE_STREAM)

    @property
    def is_idempotent(self):
        """Whether requests may run more than once."""
        return self.repeatability in (Repeatability.IDEMPOTENT, Repeatability.RESUMABLE_STREAM)

    @property
    def duration_kind(self):
        """Value that routes share whose requests take similar times."""
        return self.services[0].service, self.repeatability, self.timeout_ms

    def list_services(self):
        """Return the names of the services that get requests of the route."""
        return [weighted.service for weighted in self.services if weighted.weight > 0]


class Service(msgspec.Struct, frozen=True, array_like=True):
    """Group of interchangeable upstreams.

    :param name: name of the service.
    :param cold_rate_per_s: requests per second that a cold upstream can take; 0 if unlimited.
    :param slots: number of requests that an upstream runs concurrently; 0 if it is unknown. The
        number in an upstream's registration takes precedence.
    :param health_path: path of the health checks of its upstreams, which answer with their name;
        empty if it is unknown.
    """

    name: str
    cold_rate_per_s: float
    slots: int = 0
    health_path: str = ""


class ClientLimits(msgspec.Struct, frozen=True, array_like=True):
    """Limits of the size and duration of client requests.

    :param max_header_bytes: maximum size of the request headers, in bytes.
    :param max_body_bytes: maximum size of the request body, in bytes.
    :param header_timeout_ms: maximum time to receive the headers, in milliseconds.
    :param idle_timeout_ms: maximum idle time of a connection, in milliseconds.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class Account(msgspec.Struct, frozen=True, array_like=True):
    """A client account.

    :param name: name of the account.
    :param keys: its API keys.
    :param priority: priority that replaces that of the route; ``None`` to use that of the route.
    """

    name: str
    keys: list[str]
    priority: int | None = None


class RouteConfiguration(msgspec.Struct, frozen=True, array_like=True):
    """A version of the operators' configuration; the highest version is in force.

    :param version: version number.
    :param routes: list of :class:`Route`.
    :param services: list of :class:`Service`.
    :param limits: the :class:`ClientLimits` of all routes.
    :param accounts: list of :class:`Account`, or ``None`` if no request needs an API key.
    """

    version: int
    routes: list[Route]
    services: list[Service]
    limits: ClientLimits
    accounts: list[Account] | None


def find_configuration_error(configuration):
    """Return the first error that makes a configuration invalid.

    :param configuration: a :class:`RouteConfiguration`.
    :returns: pair of the error's location in the document and its description, or ``None``.
    """
    return next(iterate_configuration_errors(configuration), None)


def iterate_configuration_errors(configuration):
    """Yield the errors that make a configuration invalid, at most one for each route and key.

    :param configuration: a :class:`RouteConfiguration`.
    :returns: pairs of the error's location in the document and its description.
    """
    service_names = {service.name for service in configuration.services}
    locations = {}
    for index, route in enumerate(configuration.routes):
        location = f"routes[{index}]"
        problem = _check_route(route, service_names)
        if problem is not None:
            yield location, problem
        first = locations.setdefault(make_route_key(route), location)
        if first != location:
            yield location, f"host and path prefix are those of {first}"
    yield from _check_accounts(configuration.accounts or ())


def _check_route(route, service_names):
    for weighted in route.services:
        if weighted.service not in service_names:
            return f"unknown service {weighted.service!r}"
        if not weighted.weight >= 0:
            return "a weight is negative or not a number"
    if not sum(weighted.weight for weighted in route.services) > 0:
        return "no service has a positive weight"
    if not route.timeout_ms > 0:
        return "the timeout is not positive"
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        return "the path prefix does not begin and end with a slash"
    return None


def _check_accounts(accounts):
    owners = {}
    for index, account in enumerate(accounts):
        location = f"accounts[{index}]"
        for key in account.keys:
            if owners.setdefault(key, account.name) != account.name:
                yield location, f"shares a key with {owners[key]!r}"
