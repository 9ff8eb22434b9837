"""Interface to the software versions of streams, as a gateway uses it."""

import time
from abc import ABC, abstractmethod

from sassafrashook.streams._ledger import StreamLedger
from sassafrashook.streams._lookup import LookupSource, StreamOrigin
from sassafrashook.utils import hash_key


class StreamVersions(ABC):
    """Records which software version began a stream, and finds it again."""

    @abstractmethod
    def record(self, request_id, version, until):
        """Record the version that sent the first event of a stream.

        :param request_id: id of the client's request; nothing is recorded if it is empty.
        :param version: version of the software of the upstream.
        :param until: time until which the client may resume the stream, in monotonic seconds.
        """

    @abstractmethod
    def flush(self):
        """Announce the recorded streams to other nodes without further delay."""

    @abstractmethod
    def find(self, request_id, services, deadline):
        """Find the version that began a stream; blocks until the deadline at the longest.

        :param request_id: id of the request that began the stream, ``None`` if it is not known.
        :param services: names of the services that may have begun it.
        :param deadline: monotonic seconds.
        :returns: a :class:`~sassafrashook.streams.StreamOrigin`.
        """


class LocalStreamVersions(StreamVersions):
    """Knows the streams that began at this router only.

    :ivar ledger_: the :class:`~sassafrashook.streams.StreamLedger`.

    >>> import math
    >>> versions = LocalStreamVersions()
    >>> versions.record("a1", "v1", until=math.inf)
    >>> versions.find("a1", ["advisor"], deadline=0.0).version
    'v1'
    """

    def __init__(self):
        self.ledger_ = StreamLedger()

    def record(self, request_id, version, until):
        """Record the version; see :class:`StreamVersions`."""
        if request_id:
            self.ledger_.record(hash_key(request_id), version, until)

    def flush(self):
        """Do nothing."""

    def find(self, request_id, services, deadline):
        """Find the version in the own ledger; never blocks."""
        version = None
        if request_id:
            version = self.ledger_.find(hash_key(request_id), time.monotonic())
        source = LookupSource.UNKNOWN if version is None else LookupSource.OWN
        return StreamOrigin(version, source)
