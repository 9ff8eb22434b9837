"""Recent versions of the configuration on a controller, encoded as changes for its subscribers."""

import zlib
from collections import deque

import msgspec

from sassafrashook.routes import (
    RouteConfiguration,
    compute_changes,
    merge_changes,
)

__all__ = [
    "ConfigurationHistory",
    "pack",
    "unpack",
]

COMPRESSION_LEVEL = 6
# Steps that are kept: a storm of changes every 0.33 s for 10 s.
MAX_STEPS = 32
MAX_CHANGED_ROUTES = 6_000  # in all steps together, about 2 MB in memory


def pack(value):
    """Return a value encoded and compressed, ``bytes``."""
    return zlib.compress(msgspec.msgpack.encode(value), COMPRESSION_LEVEL)


def unpack(data, value_type):
    """Return the value of a type that :func:`pack` has encoded."""
    return msgspec.msgpack.decode(zlib.decompress(data), type=value_type)


class ConfigurationHistory:
    """The current configuration, and the steps that led to it while this process ran.

    :ivar version_: version of the current configuration, 0 if there is none.
    """

    def __init__(self):
        self.version_ = 0
        self._configuration = None
        self._steps = deque()
        self._encoded = {}

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

    def _add_step(self, configuration):
        self._steps.append(compute_changes(self._configuration, configuration))
        size = sum(len(step.routes) for step in self._steps)
        while len(self._steps) > MAX_STEPS or size > MAX_CHANGED_ROUTES:
            size -= len(self._steps.popleft().routes)

    def _list_steps(self, version):
        """Return the steps from a version on, ``None`` if that is not known any more."""
        steps = list(self._steps)
        for index, changes in enumerate(steps):
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
                merged = steps[0]
                for changes in steps[1:]:
                    merged = merge_changes(merged, changes)
                encoded = pack(merged)
            self._encoded[version] = encoded
        return self._encoded[version]
