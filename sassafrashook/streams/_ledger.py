"""Record of the software versions that began recent streams."""

import sys

MAX_STREAMS = 100_000  # the oldest are dropped


class StreamLedger:
    """Software version of each recent stream, by the key of the request that began it.

    :param max_streams: maximum number of records.

    >>> ledger = StreamLedger()
    >>> ledger.record(7, "v1", until=30.0)
    >>> ledger.find(7, now=29.0), ledger.find(7, now=31.0)
    ('v1', None)
    """

    def __init__(self, max_streams=MAX_STREAMS):
        self.max_streams = max_streams
        self._streams = {}

    def record(self, key, version, until):
        """Add a stream, or replace the record of the same key.

        :param key: 64-bit hash of the id of the request that began the stream.
        :param version: version of the software of the upstream.
        :param until: time until which the client may resume the stream, in monotonic seconds.
        """
        self._streams.pop(key, None)
        self._streams[key] = (sys.intern(version), until)
        if len(self._streams) > self.max_streams:
            del self._streams[next(iter(self._streams))]

    def find(self, key, now):
        """Return the version that began a stream, ``None`` if it is not known.

        :param key: see :meth:`record`.
        :param now: monotonic seconds.
        """
        version, until = self._streams.get(key, (None, now))
        return version if now < until else None

    def remove_expired(self, now):
        """Remove the streams that can't be resumed any more.

        :param now: monotonic seconds.
        """
        expired = [key for key, (_, until) in self._streams.items() if now >= until]
        for key in expired:
            del self._streams[key]

    def list_streams(self, now):
        """Return triples of key, version and the end of the time as in :meth:`record`.

        :param now: monotonic seconds.
        """
        return [
            (key, version, until) for key, (version, until) in self._streams.items() if now < until
        ]
