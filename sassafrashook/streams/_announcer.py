"""Decides which controllers are sent the records of a router's streams."""

from sassafrashook.streams._ledger import StreamLedger
from sassafrashook.utils import rank_nodes

RECORD_COPIES = 3  # controllers that keep the record of a stream; two may be lost
# More controllers than keep a record are asked: routers may rank different sets of them, and a
# version can be inferred from a majority only.
MAX_ASKED_CONTROLLERS = 9


class StreamAnnouncer:
    """Streams that one router began, and those that are due to be announced to controllers.

    :ivar ledger_: the :class:`~sassafrashook.streams.StreamLedger` of the own streams.

    >>> announcer = StreamAnnouncer()
    >>> announcer.record(7, "v1", until=9.0)
    >>> announcer.take_due(["c1"], {}, now=0.5)
    {'c1': [(7, 'v1', 9.0)]}
    """

    def __init__(self):
        self.ledger_ = StreamLedger()
        self._unannounced = []
        self._boots = {}

    def record(self, key, version, until):
        """Record a stream that this router began; see :meth:`StreamLedger.record`."""
        self.ledger_.record(key, version, until)
        self._unannounced.append((key, version, until))

    def take_due(self, controllers, boots, now):
        """Return the streams to announce now; each is returned once for each boot of a controller.

        :param controllers: names of all controllers.
        :param boots: boot ids of controllers, by name. A controller with a new one has lost the
            records that it kept.
        :param now: monotonic seconds.
        :returns: lists of (key, version, until), as in :meth:`record`, by controller.
        """
        streams, self._unannounced = self._unannounced, []
        due = _select_controllers(streams, controllers)
        restarted = {name for name, boot_id in boots.items() if self._boots.get(name) != boot_id}
        self._boots = dict(boots)
        if restarted:
            recent = _select_controllers(self.ledger_.list_streams(now), controllers)
            due |= {name: recent[name] for name in restarted & recent.keys()}
        return due


def _select_controllers(streams, controllers):
    selected = {}
    for stream in streams:
        for name in rank_nodes(stream[0], controllers)[:RECORD_COPIES]:
            selected.setdefault(name, []).append(stream)
    return selected


def select_asked_controllers(key, controllers):
    """Return the controllers to ask which version began a stream.

    :param key: 64-bit hash of the id of the request that began the stream.
    :param controllers: names of all controllers.
    """
    return rank_nodes(key, controllers)[:MAX_ASKED_CONTROLLERS]
