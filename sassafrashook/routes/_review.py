"""Review of a configuration before it is sent: errors, entries without effect, contradictions."""

from dataclasses import dataclass
from enum import StrEnum

from sassafrashook.routes._configuration import iterate_configuration_errors
from sassafrashook.routes._keys import make_route_key

PATH_DELIMITERS = "?#"  # end the path of a request, so that no path contains them
MIN_HEADER_BYTES = 1_024  # a request head with a key and the parts of a prompt takes about this


class FindingKind(StrEnum):
    """What is wrong with an entry.

    :cvar ERROR: controllers refuse the configuration.
    :cvar NO_EFFECT: the entry is accepted and never used.
    :cvar CONTRADICTION: two limits can't both be meant.
    """

    ERROR = "error"
    NO_EFFECT = "no_effect"
    CONTRADICTION = "contradiction"


@dataclass(slots=True, frozen=True)
class Finding:
    """One finding.

    :param kind: a :class:`FindingKind`.
    :param location: position in the configuration.
    :param text: description.
    """

    kind: FindingKind
    location: str
    text: str


def review_configuration(configuration):
    """Return the findings of a configuration, errors first.

    :param configuration: a :class:`~sassafrashook.routes.RouteConfiguration`.
    :returns: list of :class:`Finding`.
    """
    errors = iterate_configuration_errors(configuration)
    return [
        *(Finding(FindingKind.ERROR, *error) for error in errors),
        *(Finding(FindingKind.NO_EFFECT, *entry) for entry in _list_unused(configuration)),
        *(Finding(FindingKind.CONTRADICTION, *c) for c in _list_contradictions(configuration)),
    ]


def _list_unused(configuration):
    """Yield location and description of the entries that no request can use."""
    used = set()
    for index, route in enumerate(configuration.routes):
        location = f"routes[{index}]"
        if not route.host or any(c.isspace() or c == "/" for c in route.host):
            yield location, f"no request has the host {route.host!r}"
        if any(c.isspace() or c in PATH_DELIMITERS for c in route.path_prefix):
            yield location, f"no path begins with {route.path_prefix!r}"
        for weighted in route.services:
            if weighted.weight > 0:
                used.add(weighted.service)
            else:
                yield location, f"service {weighted.service!r} has the weight 0"
    names = set()
    for index, service in enumerate(configuration.services):
        location = f"services[{index}]"
        if service.name in names:
            yield location, f"service {service.name!r} is listed before"
        elif service.name not in used:
            yield location, f"no route leads to service {service.name!r}"
        names.add(service.name)
    yield from _list_unused_accounts(configuration)


def _list_unused_accounts(configuration):
    accounts = configuration.accounts or ()
    if accounts and all(route.allows_anonymous for route in configuration.routes):
        yield "accounts", "no route requires a key"
    for index, account in enumerate(accounts):
        location = f"accounts[{index}]"
        if not account.keys:
            yield location, f"account {account.name!r} has no key"
        for key in account.keys:
            is_sendable = key.isascii() and key.isprintable() and key == key.strip() and key
            if not is_sendable:
                yield location, "a key can't be sent in a header"


def _list_contradictions(configuration):
    """Yield location and description of limits that contradict each other."""
    for index, route in enumerate(configuration.routes):
        location = f"routes[{index}]"
        if route.latency_target_ms >= route.timeout_ms > 0:
            yield location, (
                f"the target of {route.latency_target_ms:g} ms is not below the timeout of "
                f"{route.timeout_ms:g} ms"
            )
        if route.max_upstreams < 1:
            yield location, "no upstream may run the requests"
        if route.event_gap_target_ms > 0 and not route.is_stream:
            yield location, "a target for the gap between events, but no stream"
        if route.is_stream and route.event_gap_target_ms >= route.timeout_ms > 0:
            yield location, "the target for the gap between events is not below the timeout"
        if not route.allows_anonymous and configuration.accounts == []:
            yield location, "requires a key, but no account has one"
    for index, service in enumerate(configuration.services):
        if service.cold_rate_per_s < 0 or service.slots < 0:
            yield f"services[{index}]", "a rate or a number of slots is negative"
    limits = configuration.limits
    if limits.max_header_bytes < MIN_HEADER_BYTES:
        yield "limits", f"heads of {limits.max_header_bytes} bytes hold no proper request"
    if not limits.header_timeout_ms > 0 or not limits.idle_timeout_ms > 0:
        yield "limits", "a timeout is not positive"
    elif limits.header_timeout_ms > limits.idle_timeout_ms:
        yield "limits", "a head may take longer than a connection may be idle"


def compare_configurations(old, new):
    """Describe in what a configuration differs from the one in force.

    API keys are counted, not shown.

    :param old: the :class:`~sassafrashook.routes.RouteConfiguration` in force.
    :param new: the one that would replace it.
    :returns: list of lines.
    """
    lines = []
    if new.version <= old.version:
        lines.append(f"version {new.version} takes no effect: version {old.version} is in force")
    old_routes = {make_route_key(route): route for route in old.routes}
    new_routes = {make_route_key(route): route for route in new.routes}
    for key in sorted(old_routes.keys() - new_routes.keys()):
        lines.append(f"route {_name_route(key)} removed")
    for key in sorted(new_routes.keys() - old_routes.keys()):
        services = _describe_services(new_routes[key])
        lines.append(f"route {_name_route(key)} added, to {services}")
    for key in sorted(new_routes.keys() & old_routes.keys()):
        changes = _compare_routes(old_routes[key], new_routes[key])
        if changes:
            lines.append(f"route {_name_route(key)}: {', '.join(changes)}")
    lines += _compare_named("service", old.services, new.services)
    lines += [f"limits: {change}" for change in _compare_fields(old.limits, new.limits)]
    return lines + _compare_accounts(old.accounts, new.accounts)


def _name_route(key):
    return "".join(key)


def _describe_services(route):
    return " ".join(f"{weighted.service}:{weighted.weight:g}" for weighted in route.services)


def _compare_routes(old, new):
    changes = []
    if old.services != new.services:
        before, after = _describe_services(old), _describe_services(new)
        same_services = {w.service for w in old.services} == {w.service for w in new.services}
        verb = "weights changed" if same_services else "moved"
        if len(new.services) > len(old.services):
            verb = "split"
        changes.append(f"{verb} from {before} to {after}")
    return changes + _compare_fields(old, new, {"host", "path_prefix", "services"})


def _compare_named(kind, old, new):
    old_by_name = {entry.name: entry for entry in old}
    new_by_name = {entry.name: entry for entry in new}
    lines = [f"{kind} {name} removed" for name in sorted(old_by_name.keys() - new_by_name.keys())]
    lines += [f"{kind} {name} added" for name in sorted(new_by_name.keys() - old_by_name.keys())]
    for name in sorted(new_by_name.keys() & old_by_name.keys()):
        changes = _compare_fields(old_by_name[name], new_by_name[name], {"keys"})
        if changes:
            lines.append(f"{kind} {name}: {', '.join(changes)}")
    return lines


def _compare_fields(old, new, left_out=frozenset()):
    return [
        f"{field} {_format(getattr(old, field))} -> {_format(getattr(new, field))}"
        for field in old.__struct_fields__
        if field not in left_out and getattr(old, field) != getattr(new, field)
    ]


def _format(value):
    return f"{value:g}" if isinstance(value, float) else str(value)


def _compare_accounts(old, new):
    if old is None and new is None:
        return []
    if old is None or new is None:
        return ["keys are required" if old is None else "keys are no longer required"]
    lines = _compare_named("account", old, new)
    old_keys = {account.name: set(account.keys) for account in old}
    for account in new:
        before, after = old_keys.get(account.name, set()), set(account.keys)
        if before != after:
            added, removed = len(after - before), len(before - after)
            lines.append(f"account {account.name}: {added} keys added, {removed} removed")
    return lines
