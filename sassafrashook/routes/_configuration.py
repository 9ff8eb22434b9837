"""The configuration of a fleet that routes by host and path."""

from enum import StrEnum

import msgspec


class Repeatability(StrEnum):
    """What a route's requests allow.

    ``STREAM`` is a stream that runs at most once, ``RESUMABLE_STREAM`` one that may run again and
    go on after the last event that the client has.
    """

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable_stream"


class WeightedService(msgspec.Struct, frozen=True, array_like=True):
    """A service and its share of a route's requests."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one host below one path.

    :param path_prefix: begins and ends with a slash.
    :param timeout_ms: longest time that a request may be kept waiting.
    :param target_ms: time within which an answer, or a stream's first event, is on time.
    :param pause_target_ms: longest pause between events of a stream that is on time, 0 if unset.
    :param max_upstreams: number of upstreams that one request may run on.
    :param priority: rank of its requests, 0 first.
    :param is_anonymous: whether requests need no key.
    :param has_prompts: whether requests state the parts of their prompts.
    """

    name: str
    host: str
    path_prefix: str
    repeatability: Repeatability
    services: list[WeightedService]
    timeout_ms: float
    target_ms: float
    pause_target_ms: float
    max_upstreams: int
    priority: int
    is_anonymous: bool
    has_prompts: bool

    @property
    def is_stream(self):
        """Whether the answer is a stream of events."""
        return self.repeatability in (Repeatability.STREAM, Repeatability.RESUMABLE_STREAM)

    @property
    def is_idempotent(self):
        """Whether a request may run more than once."""
        return self.repeatability in (Repeatability.IDEMPOTENT, Repeatability.RESUMABLE_STREAM)


class Service(msgspec.Struct, frozen=True, array_like=True):
    """Upstreams that do the same.

    :param cold_per_s: requests a second that a cold upstream bears, 0 if it bears any number.
    :param slots: requests that run at once, 0 if each upstream tells.
    """

    name: str
    cold_per_s: float
    slots: int = 0


class ClientLimits(msgspec.Struct, frozen=True, array_like=True):
    """What a client may send, and how long it may take."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class Account(msgspec.Struct, frozen=True, array_like=True):
    """A client account.

    :param priority: rank that goes before that of the route; ``None`` if there is none.
    """

    name: str
    keys: list[str]
    priority: int | None = None


class RouteConfiguration(msgspec.Struct, frozen=True, array_like=True):
    """What the operators want, under a version; the highest version is in force.

    :param accounts: ``None`` if requests need no keys at all.
    """

    version: int
    routes: list[Route]
    services: list[Service]
    limits: ClientLimits
    accounts: list[Account] | None


def find_contradiction(state):
    """Return why a configuration can't be in force.

    :param state: a :class:`RouteConfiguration`.
    :returns: pair of the place in the document and the problem, or ``None``.
    """
    names = {service.name for service in state.services}
    places = {}
    for number, route in enumerate(state.routes):
        place = f"routes[{number}]"
        problem = _check_route(route, names)
        if problem is not None:
            return place, problem
        first = places.setdefault((route.host, route.path_prefix), place)
        if first != place:
            return place, f"host and path prefix are those of {first}"
    return _check_accounts(state.accounts or ())


def _check_route(route, names):
    for weighted in route.services:
        if weighted.service not in names:
            return f"unknown service {weighted.service!r}"
        if not weighted.weight >= 0:
            return "a weight is negative"
    if not sum(weighted.weight for weighted in route.services) > 0:
        return "the weights add up to 0"
    if not route.timeout_ms > 0:
        return "the timeout is 0"
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        return "the path prefix does not begin and end with a slash"
    return None


def _check_accounts(accounts):
    holders = {}
    for number, account in enumerate(accounts):
        place = f"accounts[{number}]"
        for key in account.keys:
            if holders.setdefault(key, account.name) != account.name:
                return place, f"shares a key with {holders[key]!r}"
    return None
