"""Bounds on the fields of what other processes announce."""

from ipaddress import ip_address

TEXT_LIMIT = 64
MODELS_LIMIT = 32
MODELS_TEXT_LIMIT = 512  # of all models together, so that a record fits into a message
CAPACITY_LIMIT = 1_000_000
NUMBER_LIMIT = 2**62
PORT_LIMIT = 65_535


def is_text(value, empty=False):
    """Return whether a name is short enough, and not empty unless it may be."""
    return len(value) <= TEXT_LIMIT and (empty or bool(value))


def is_address(host, port):
    """Return whether host is an IP number and port a TCP port."""
    if len(host) > TEXT_LIMIT or not 0 < port <= PORT_LIMIT:
        return False
    try:
        ip_address(host)
    except ValueError:
        return False
    return True


def is_announcement(value):
    """Return whether every field of an upstream's announcement is within its bounds."""
    names = (value.upstream_id, value.service, value.availability_zone, value.boot_id)
    numbers = (value.sequence, value.incarnation)
    capacities = (value.capacity, value.cold_capacity)
    return (
        all(is_text(name) for name in names)
        and is_text(value.role, empty=True)
        and is_address(value.host, value.port)
        and all(0 <= number <= NUMBER_LIMIT for number in numbers)
        and all(0 <= capacity <= CAPACITY_LIMIT for capacity in capacities)
        and value.valid_ms > 0
        and len(value.models) <= MODELS_LIMIT
        and sum(map(len, value.models)) <= MODELS_TEXT_LIMIT
    )


def is_peer(value):
    """Return whether every field of a node's record is within its bounds."""
    names = (value.name, value.role, value.boot_id)
    return (
        all(is_text(name) for name in names)
        and is_text(value.availability_zone, empty=True)
        and is_address(value.host, value.port)
        and 0 <= value.incarnation <= NUMBER_LIMIT
        and 0 <= value.sequence <= NUMBER_LIMIT
    )


def is_peer_departure(value):
    """Return whether every field of a report on a node is within its bounds."""
    numbers = (value.incarnation, value.sequence)
    names = (value.name, value.boot_id)
    return all(map(is_text, names)) and all(0 <= number <= NUMBER_LIMIT for number in numbers)
