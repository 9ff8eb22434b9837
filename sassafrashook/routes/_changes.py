"""Differences between versions of a configuration, which are sent instead of whole documents."""

import msgspec

from sassafrashook.routes._configuration import Account, ClientLimits, Route, Service
from sassafrashook.routes._keys import make_route_key
from sassafrashook.routes._table import RouteTable

__all__ = [
    "ConfigurationChanges",
    "apply_changes",
    "compute_changes",
    "list_affected_keys",
    "merge_changes",
]


class ConfigurationChanges(msgspec.Struct, frozen=True, array_like=True):
    """What turns one version of a configuration into a later one.

    :param base_version: version that is changed.
    :param version: version that results.
    :param routes: routes that were added or changed.
    :param dropped_routes: keys, which are host and path prefix, of the routes that were dropped.
    :param services: all services, ``None`` if they are unchanged.
    :param limits: the limits of all routes, ``None`` if they are unchanged.
    :param accounts: accounts that were added or changed.
    :param dropped_accounts: names of the accounts that were dropped.
    :param replaces_accounts: whether ``accounts`` holds all accounts.
    :param requires_keys: whether requests need an API key.
    """

    base_version: int
    version: int
    routes: list[Route]
    dropped_routes: list[tuple[str, str]]
    services: list[Service] | None
    limits: ClientLimits | None
    accounts: list[Account]
    dropped_accounts: list[str]
    replaces_accounts: bool
    requires_keys: bool

    def list_route_keys(self):
        """Return the set of the keys of all routes that were added, changed or dropped."""
        return {make_route_key(route) for route in self.routes}.union(self.dropped_routes)


def compute_changes(previous, current):
    """Return the :class:`ConfigurationChanges` between two versions.

    :param previous: a :class:`~sassafrashook.routes.RouteConfiguration`.
    :param current: a later one.
    """
    old_routes = {make_route_key(route): route for route in previous.routes}
    new_routes = {make_route_key(route): route for route in current.routes}
    old_accounts = _index_accounts(previous)
    new_accounts = _index_accounts(current)
    # Accounts are told apart by their names, which a configuration may repeat.
    replaces_accounts = old_accounts is None or new_accounts is None
    if replaces_accounts:
        accounts, dropped_accounts = list(current.accounts or ()), []
    else:
        accounts = [a for name, a in new_accounts.items() if old_accounts.get(name) != a]
        dropped_accounts = [name for name in old_accounts if name not in new_accounts]
    return ConfigurationChanges(
        previous.version,
        current.version,
        [route for key, route in new_routes.items() if old_routes.get(key) != route],
        [key for key in old_routes if key not in new_routes],
        None if current.services == previous.services else current.services,
        None if current.limits == previous.limits else current.limits,
        accounts,
        dropped_accounts,
        replaces_accounts,
        current.accounts is not None,
    )


def _index_accounts(configuration):
    """Return the accounts by name, ``None`` if two accounts have the same name."""
    accounts = configuration.accounts or ()
    by_name = {account.name: account for account in accounts}
    return by_name if len(by_name) == len(accounts) else None


def merge_changes(first, second):
    """Return the changes of two consecutive steps as one.

    :param first: a :class:`ConfigurationChanges`.
    :param second: the one whose base is the version of the first.
    """
    routes = {make_route_key(route): route for route in first.routes}
    dropped_routes = dict.fromkeys(first.dropped_routes)
    _merge_entries(
        routes,
        dropped_routes,
        {make_route_key(route): route for route in second.routes},
        second.dropped_routes,
    )
    accounts = {account.name: account for account in first.accounts}
    dropped_accounts = dict.fromkeys(first.dropped_accounts)
    if second.replaces_accounts:
        merged_accounts, dropped_accounts = second.accounts, ()
    else:
        _merge_entries(
            accounts,
            dropped_accounts,
            {account.name: account for account in second.accounts},
            second.dropped_accounts,
        )
        merged_accounts = list(accounts.values())
    return ConfigurationChanges(
        first.base_version,
        second.version,
        list(routes.values()),
        list(dropped_routes),
        first.services if second.services is None else second.services,
        first.limits if second.limits is None else second.limits,
        merged_accounts,
        list(dropped_accounts),
        first.replaces_accounts or second.replaces_accounts,
        second.requires_keys,
    )


def _merge_entries(entries, dropped, changed, newly_dropped):
    """Add a second step to entries by key and to the keys that were dropped, both ``dict``."""
    for key in newly_dropped:
        entries.pop(key, None)
        dropped[key] = None
    for key, entry in changed.items():
        dropped.pop(key, None)
        entries[key] = entry


def apply_changes(configuration, changes):
    """Return the configuration that results from changes.

    :param configuration: the :class:`~sassafrashook.routes.RouteConfiguration` of the base version.
    :param changes: a :class:`ConfigurationChanges`.
    """
    routes = {make_route_key(route): route for route in configuration.routes}
    _merge_entries(
        routes, {}, {make_route_key(r): r for r in changes.routes}, changes.dropped_routes
    )
    accounts = changes.accounts
    if not changes.replaces_accounts:
        by_name = {account.name: account for account in configuration.accounts or ()}
        changed = {account.name: account for account in accounts}
        _merge_entries(by_name, {}, changed, changes.dropped_accounts)
        accounts = list(by_name.values())
    return msgspec.structs.replace(
        configuration,
        version=changes.version,
        routes=list(routes.values()),
        services=configuration.services if changes.services is None else changes.services,
        limits=configuration.limits if changes.limits is None else changes.limits,
        accounts=accounts if changes.requires_keys else None,
    )


def list_affected_keys(previous, changes):
    """Return what requests must not be served by the previous version any more.

    A route that was added affects requests that the previous version leads to a shorter prefix.

    :param previous: the :class:`~sassafrashook.routes.RouteConfiguration` of the base version.
    :param changes: a :class:`ConfigurationChanges`.
    :returns: pair of the set of the keys of routes and the set of API keys.
    """
    table = RouteTable(previous)
    route_keys = {key for key in changes.list_route_keys() if table.match(*key) is not None}
    current = apply_changes(previous, changes)
    owners = {key: account.name for account in current.accounts or () for key in account.keys}
    api_keys = {
        key
        for account in previous.accounts or ()
        for key in account.keys
        if owners.get(key) != account.name
    }
    return route_keys, api_keys
