"""Recent versions of the configuration on a controller, encoded as changes for its subscribers."""

import zlib
from collections import deque

import msgspec

from sassafrashook.routes import (
    RouteConfiguration,
    compute_changes,
    list_affected_keys,
    merge_changes,
)
from sassafrashook.utils import hash_key

__all__ = [
    "ConfigurationHistory",
    "hash_api_key",
    "hash_route_key",
    "pack",
    "unpack",
]

COMPRESSION_LEVEL = 6
MAX_STEPS = 32  # between versions, that are kept
MAX_CHANGED_ROUTES = 6_000  # in all steps together, about 2 MB in memory
# Hashes of affected routes and keys that an update may name, of at most 5 bytes each.
MAX_NAMED = 200
HASH_MASK = 2**32 - 1


def pack(value):
    """Return a value encoded and compressed, ``bytes``."""
    return zlib.compress(msgspec.msgpack.encode(value), COMPRESSION_LEVEL)


def unpack(data, value_type):
    """Return the value of a type that :func:`pack` has encoded."""
    return msgspec.msgpack.decode(zlib.decompress(data), type=value_type)


def hash_route_key(host, path_prefix):
    """Return the 32-bit hash of the key of a route."""
    return hash_key("route", host, path_prefix) & HASH_MASK


def hash_api_key(key):
    """Return the 32-bit hash of an API key."""
    return hash_key("key", key) & HASH_MASK


class ConfigurationHistory:
    """The current configuration, and the steps that led to it while this process ran.

    :ivar version_: version of the current configuration, 0 if there is none.
    """

    def __init__(self):
        self.version_ = 0
        self._configuration = None
        self._steps = deque()  # (changes, hashes of what they affect or None)
        self._encoded = {}
        self._named = {}

    def update(self, version, packed):
        """Replace the current configuration, unless the version is the same.

        :param packed: the configuration as :func:`pack` has encoded it.
        """
        if version == self.version_:
            return
        configuration = unpack(packed, RouteConfiguration)
        if self._configuration is not None:
            self._add_step(configuration)
        self._configuration = configuration
        self.version_ = version
        self._encoded.clear()
        self._named.clear()

    def _add_step(self, configuration):
        previous = self._configuration
        changes = compute_changes(previous, configuration)
        self._steps.append((changes, _hash_affected(previous, configuration, changes)))
        size = sum(len(step.routes) for step, _ in self._steps)
        while len(self._steps) > MAX_STEPS or size > MAX_CHANGED_ROUTES:
            size -= len(self._steps.popleft()[0].routes)

    def _list_steps(self, version):
        """Return the steps from a version on, ``None`` if that is not known any more."""
        steps = list(self._steps)
        for index, (changes, _) in enumerate(steps):
            if changes.base_version == version:
                return steps[index:]
        return None

    def encode_changes(self, version):
        """Return the encoded changes since a version that a node holds.

        :returns: ``bytes``, or ``None`` if the node has to be sent the whole configuration.
        """
        if version not in self._encoded:
            steps, encoded = self._list_steps(version), None
            if steps:
                merged = steps[0][0]
                for changes, _ in steps[1:]:
                    merged = merge_changes(merged, changes)
                encoded = pack(merged)
            self._encoded[version] = encoded
        return self._encoded[version]

    def list_superseded(self, version):
        """Return which routes and keys of a version a node must not act on any more.

        :param version: the version that the node holds.
        :returns: list of hashes, or ``None`` if that is not known or too many are affected.
        """
        if version not in self._named:
            steps, named = self._list_steps(version), None
            if steps and all(hashes is not None for _, hashes in steps):
                named = sorted(frozenset().union(*(hashes for _, hashes in steps)))
                named = named if len(named) <= MAX_NAMED else None
            self._named[version] = named
        return self._named[version]


def _hash_affected(previous, configuration, changes):
    """Return the hashes of what one step affects, ``None`` if that is all requests."""
    if previous.accounts is None and configuration.accounts is not None:
        return None
    route_keys, api_keys = list_affected_keys(previous, changes)
    return frozenset(hash_route_key(*key) for key in route_keys).union(map(hash_api_key, api_keys))
