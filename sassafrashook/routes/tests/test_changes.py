"""Seeded tests of configurations that are sent as changes."""

import itertools
import random

import msgspec
import pytest

from sassafrashook.routes import (
    Account,
    ClientLimits,
    Repeatability,
    Route,
    RouteConfiguration,
    RouteTable,
    Service,
    WeightedService,
    apply_changes,
    compute_changes,
    list_affected_keys,
    merge_changes,
)

SERVICES = ["advisor", "ledger"]
HOSTS = ["a.example", "B.example"]
PREFIXES = ["/", "/a/", "/a/b/", "/a/b/c/", "/d/"]
KEYS = [f"k{n}" for n in range(6)]


def make_configuration(version, rng):
    """Return a random configuration of few hosts, prefixes, accounts and keys."""
    routes = [
        Route(
            f"r{host}{prefix}", host, prefix, Repeatability.STREAM,
            [WeightedService(rng.choice(SERVICES), rng.choice([1.0, 2.0]))], 1_000.0, 100.0, 0.0, 1,
            0, False, True,
        )
        for host, prefix in itertools.product(HOSTS, PREFIXES)
        if rng.random() < 0.5
    ]  # fmt: skip
    services = [Service(name, rng.choice([0.0, 1.0])) for name in SERVICES]
    limits = ClientLimits(16_384, rng.choice([1_000, 2_000]), 3_000, 15_000)
    accounts = None
    if rng.random() < 0.9:
        keys = rng.sample(KEYS, 4)
        names = rng.choice([["x", "y"], ["x", "z"], ["x", "x"]])
        accounts = [Account(name, keys[2 * n : 2 * n + 2]) for n, name in enumerate(names)]
    return RouteConfiguration(version, routes, services, limits, accounts)


def normalize(configuration):
    """Return a configuration as its content, in which the order of entries does not count."""
    accounts = configuration.accounts
    return (
        configuration.version,
        sorted(configuration.routes, key=lambda route: (route.host, route.path_prefix)),
        configuration.services,
        configuration.limits,
        accounts and sorted((account.name, account.keys) for account in accounts),
    )


@pytest.mark.parametrize("seed", range(300))
def test_changes_lead_to_another_configuration_than_the_whole_document(seed):
    rng = random.Random(seed)
    versions = [make_configuration(version, rng) for version in range(1, 5)]
    steps = [compute_changes(*pair) for pair in itertools.pairwise(versions)]
    merged = steps[0]
    for step in steps[1:]:
        merged = merge_changes(merged, step)
    encoded = msgspec.msgpack.encode(merged)
    decoded = msgspec.msgpack.decode(encoded, type=type(merged))
    assert normalize(apply_changes(versions[0], decoded)) == normalize(versions[-1])


def find_service(table, host, path, key):
    """Return the service of a request and its account, ``None`` if it is refused."""
    route = table.match(host, path)
    if route is None:
        return None
    account = table.find_account(key) if table.requires_keys else None
    if table.requires_keys and account is None:
        return None
    return route, account and account.name


@pytest.mark.parametrize("seed", range(300))
def test_request_served_by_the_old_version_is_affected_and_not_named(seed):
    rng = random.Random(seed)
    previous, current = make_configuration(1, rng), make_configuration(2, rng)
    if previous.accounts is None and current.accounts is not None:
        return  # this affects all requests
    route_keys, api_keys = list_affected_keys(previous, compute_changes(previous, current))
    old, new = RouteTable(previous), RouteTable(current)
    for host, prefix, key in itertools.product(["a.example", "b.example"], PREFIXES, KEYS):
        path = f"{prefix}1"
        served = find_service(old, host, path, key)
        prefixes = [p for p in PREFIXES if path.startswith(p)]
        is_named = key in api_keys or any((host, p) in route_keys for p in prefixes)
        if served is not None and served != find_service(new, host, path, key):
            assert is_named or (new.match(host, path) == served[0] and not new.requires_keys)
