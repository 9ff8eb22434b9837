"""Tests of which services a route led to, against a replay of all configurations."""

import random

import pytest

from sassafrashook.routes import (
    ClientLimits,
    Repeatability,
    Route,
    RouteConfiguration,
    RouteHistory,
    RouteTable,
    Service,
    WeightedService,
)

HOST = "shop.example"
PREFIXES = ("/", "/a/", "/a/b/", "/a/b/c/", "/d/")
PATHS = ("/x", "/a/x", "/a/b/x", "/a/b/c/x", "/d/x")
SERVICES = ("s0", "s1", "s2", "s3")
CLIENT_WAIT_S = 40.0
TIMEOUT_S = 12.0


def make_table(version, services_by_prefix):
    """Return a table; the weights of services are by name, and 0 leads nothing there."""
    routes = [
        Route(
            prefix, HOST, prefix, Repeatability.RESUMABLE_STREAM,
            [WeightedService(name, weight) for name, weight in weights.items()],
            TIMEOUT_S * 1_000, 1.0, 0.0, 2, 1, True, False,
        )
        for prefix, weights in services_by_prefix.items()
    ]  # fmt: skip
    services = [Service(name, 0.0) for name in SERVICES]
    return RouteTable(RouteConfiguration(version, routes, services, ClientLimits(1, 1, 1, 1), None))


def draw_table(rng, version):
    prefixes = [prefix for prefix in PREFIXES if rng.random() < 0.7] or ["/"]
    return make_table(
        version,
        {
            prefix: (
                {name: rng.choice((0.0, 1.0)) for name in SERVICES} | {"s0": 1.0}
                if rng.random() < 0.3
                else {rng.choice(SERVICES): 1.0}
            )
            for prefix in prefixes
        },
    )


@pytest.mark.parametrize("seed", range(30))
def test_no_service_is_missing_that_may_have_begun_a_stream(seed):
    """Guards against a change that hides where streams began that a client may still resume."""
    rng, history, now = random.Random(seed), RouteHistory(), 100.0
    history.record_client_wait(CLIENT_WAIT_S)
    in_force = []  # [table, time of its replacement]
    for version in range(1, 40):
        table = draw_table(rng, version)
        history.record_change(in_force[-1][0] if in_force else None, table, now)
        if in_force:
            in_force[-1][1] = now
        in_force.append([table, float("inf")])
        now += rng.choice((0.5, 3.0, 20.0))
        for path in PATHS:
            if table.match(HOST, path) is None:
                continue
            routes = [past.match(HOST, path) for past, end in in_force if now < end + CLIENT_WAIT_S]
            begun = {name for route in routes if route for name in route.list_services()}
            assert begun <= set(history.list_services(table, HOST, path, now))


def test_service_is_forgotten_once_no_stream_can_be_resumed():
    """Guards against streams that are rejected for longer than needed."""
    history = RouteHistory()
    tables = [make_table(number, {"/": {f"s{number}": 1.0}}) for number in range(2)]
    history.record_change(None, tables[0], 0.0)
    history.record_change(*tables, 100.0)
    assert history.list_services(tables[1], HOST, "/x", 139.0) == ["s0", "s1"]
    assert history.list_services(tables[1], HOST, "/x", 140.0) == ["s1"]


def test_unchanged_route_keeps_its_services_when_others_change():
    history = RouteHistory()
    fixed = {"/a/b/": {"s0": 1.0}}
    tables = [make_table(number, fixed | {"/a/": {f"s{number}": 1.0}}) for number in range(1, 3)]
    history.record_change(None, tables[0], 0.0)
    history.record_change(*tables, 1.0)
    assert history.list_services(tables[1], HOST, "/a/b/x", 2.0) == ["s0"]
    assert history.list_services(tables[1], HOST, "/a/x", 2.0) == ["s1", "s2"]
