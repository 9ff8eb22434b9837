"""Decoding of the configuration document that operators send."""

import re
from typing import Annotated

import msgspec
from returns.result import Failure, Success

from sassafrashook.routes import (
    Account,
    ClientLimits,
    Repeatability,
    Route,
    RouteConfiguration,
    Service,
    WeightedService,
    find_configuration_error,
)

# Visible ASCII characters, as in the target of a request. Another path is treated as unknown.
HEALTH_PATH_PATTERN = re.compile(r"/[!-~]{0,255}", re.ASCII)

# Numbers within this range are exact in all JSON implementations, and can be stored and sent.
MAX_NUMBER = 2**53
_Integer = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
_Number = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]


class _Split(msgspec.Struct, frozen=True):
    service: str
    weight: _Number


class _Route(msgspec.Struct, frozen=True):
    """One route.

    :param max_attempts: maximum number of engines that may be tried, not of sends.
    :param session_affinity: the platform's name for whether requests of the route have prompts.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: _Number
    target_latency_ms: _Number = 0.0
    priority: _Integer = 0
    service: str | None = None
    traffic_split: list[_Split] | None = None
    max_attempts: _Integer = 1
    anonymous: bool = False
    session_affinity: bool = False
    stream_resumption: bool = False
    target_itl_ms: _Number = 0.0


class _Engine(msgspec.Struct, frozen=True):
    """Limits of the model engines of a service, an object in the platform's field ``engine_id``."""

    slots: _Integer = 0


class _Service(msgspec.Struct, frozen=True):
    name: str
    warmup_per_s: _Number = 0.0
    health_path: str = ""
    engine_id: _Engine | None = None


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: _Integer
    max_body_bytes: _Integer
    header_timeout_ms: _Number
    idle_timeout_ms: _Number


class _Tenant(msgspec.Struct, frozen=True):
    name: str
    api_keys: list[str]
    priority: _Integer | None = None


class _Config(msgspec.Struct, frozen=True):
    version: _Integer
    route_table: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Tenant] | None = None


def decode_configuration(body):
    """Decode and validate a configuration document.

    :param body: the document as JSON, ``bytes``.
    :returns: ``Success`` of a :class:`~sassafrashook.routes.RouteConfiguration` or ``Failure`` of
        an error message that contains the position in the document.
    """
    parsed = parse_configuration(body)
    if isinstance(parsed, Failure):
        return parsed
    problem = find_configuration_error(parsed.unwrap())
    return Failure(": ".join(problem)) if problem is not None else parsed


def parse_configuration(body):
    """Decode a configuration document that may be invalid as a whole.

    :param body: the document as JSON, ``bytes``.
    :returns: ``Success`` of a :class:`~sassafrashook.routes.RouteConfiguration` or ``Failure`` of
        an error message if the document can't be read.
    """
    try:
        config = msgspec.json.decode(body, type=_Config)
        return Success(_convert_configuration(config))
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return Failure(str(error))


def _convert_configuration(config):
    limits = config.limits
    accounts = None
    if config.tenants is not None:
        accounts = [Account(t.name, t.api_keys, t.priority) for t in config.tenants]
    return RouteConfiguration(
        config.version,
        [_convert_route(route) for route in config.route_table],
        [_convert_service(service) for service in config.services],
        ClientLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        ),
        accounts,
    )


def _convert_route(route):
    split = route.traffic_split
    if not split:
        split = [_Split(route.service, 1.0)] if route.service is not None else []
    return Route(
        route.name, route.host, route.path_prefix, _get_repeatability(route),
        [WeightedService(part.service, part.weight) for part in split],
        route.timeout_ms, route.target_latency_ms, route.target_itl_ms, route.max_attempts,
        route.priority, route.anonymous, route.session_affinity,
    )  # fmt: skip


def _get_repeatability(route):
    if route.kind == "streaming":
        return Repeatability.RESUMABLE_STREAM if route.stream_resumption else Repeatability.STREAM
    if route.kind == "safe":
        return Repeatability.IDEMPOTENT
    if route.kind == "unsafe":
        return Repeatability.AT_MOST_ONCE
    raise ValueError(f"route {route.name!r} has the unknown kind {route.kind!r}")


def _convert_service(service):
    engine = service.engine_id or _Engine()
    health_path = service.health_path if HEALTH_PATH_PATTERN.fullmatch(service.health_path) else ""
    return Service(service.name, service.warmup_per_s, engine.slots, health_path)
