"""Validates the fields of records received from other processes."""

from ipaddress import ip_address

MAX_NAME_LENGTH = 64
MAX_MODELS = 32
MAX_MODELS_LENGTH = 512  # of all model names together, so that a record fits into one message
MAX_CAPACITY = 1_000_000
MAX_NUMBER = 2**62
MAX_PORT = 65_535


def is_valid_name(value, allow_empty=False):
    """Return whether a name is within the length limit, and not empty unless that is allowed."""
    return len(value) <= MAX_NAME_LENGTH and (allow_empty or bool(value))


def is_valid_address(host, port):
    """Return whether the host is an IP address and the port a valid TCP port."""
    if len(host) > MAX_NAME_LENGTH or not 0 < port <= MAX_PORT:
        return False
    try:
        ip_address(host)
    except ValueError:
        return False
    return True


def is_valid_announcement(value):
    """Return whether all fields of an upstream's announcement are within bounds."""
    names = (value.upstream_id, value.service, value.availability_zone, value.boot_id)
    numbers = (value.sequence, value.incarnation)
    capacities = (value.capacity, value.cold_capacity)
    return (
        all(is_valid_name(name) for name in names)
        and is_valid_name(value.role, allow_empty=True)
        and is_valid_address(value.host, value.port)
        and all(0 <= number <= MAX_NUMBER for number in numbers)
        and all(0 <= capacity <= MAX_CAPACITY for capacity in capacities)
        and value.valid_ms > 0
        and len(value.models) <= MAX_MODELS
        and sum(map(len, value.models)) <= MAX_MODELS_LENGTH
    )


def is_valid_peer_record(value):
    """Return whether all fields of a node's record are within bounds."""
    names = (value.name, value.role, value.boot_id)
    return (
        all(is_valid_name(name) for name in names)
        and is_valid_name(value.availability_zone, allow_empty=True)
        and is_valid_address(value.host, value.port)
        and 0 <= value.incarnation <= MAX_NUMBER
        and 0 <= value.sequence <= MAX_NUMBER
    )


def is_valid_peer_departure(value):
    """Return whether all fields of a node's departure are within bounds."""
    numbers = (value.incarnation, value.sequence)
    names = (value.name, value.boot_id)
    return all(map(is_valid_name, names)) and all(0 <= number <= MAX_NUMBER for number in numbers)
