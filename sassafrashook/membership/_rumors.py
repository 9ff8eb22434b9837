"""What was learned lately and is still to be passed on, and messages of bounded size made of it."""

from sassafrashook.membership._entries import Entry, PastBoot
from sassafrashook.membership._messages import Departure, Refresh, UpstreamRecord
from sassafrashook.membership._peers import PastPeer, PeerEntry

HEADER_BYTES = 80
REFRESHES_LIMIT = 400
REFRESH_REPEATS = 2  # the next refresh, or a request, makes up for one that was missed


class Rumors:
    """Keys of records to be passed on, each a bounded number of times.

    :param repeats: how often a new record is told, not counting answers to requests.

    Attributes:

    :ivar changes_: new and departed records; sent first and at once.
    :ivar refreshes_: records of which only the sequence is new; sent with the next rounds, the
        newest first, since waiting adds up over the nodes on the way.
    """

    def __init__(self, repeats):
        self.repeats = repeats
        self.changes_ = {}
        self.refreshes_ = {}

    def add_change(self, key):
        """Pass on a new record."""
        self.refreshes_.pop(key, None)
        self.changes_[key] = self.repeats

    def add_refresh(self, key):
        """Pass on a newer sequence, unless the whole record is still to be passed on."""
        if key in self.changes_:
            return
        self.refreshes_.pop(key, None)
        self.refreshes_[key] = REFRESH_REPEATS
        if len(self.refreshes_) > REFRESHES_LIMIT:
            del self.refreshes_[next(iter(self.refreshes_))]

    def note_repeat(self, key):
        """Note that another node passes the same on, so that this one may stop earlier."""
        for queue in (self.changes_, self.refreshes_):
            if key in queue:
                self.count_sent(queue, key)

    def count_sent(self, queue, key):
        """Count one sending of a key; a change moves behind the others until it is done."""
        queue[key] -= 1
        if queue[key] <= 0:
            del queue[key]
        elif queue is self.changes_:
            queue[key] = queue.pop(key)

    def list_next(self, queue):
        """Return the keys of a queue in the order in which they are to be sent."""
        return list(queue) if queue is self.changes_ else list(reversed(queue))


class Bundle:
    """Parts of one message, within a limit of bytes.

    :param limit: bytes, header included.
    :param measure: function that returns the encoded size of a message or part.
    """

    def __init__(self, limit, measure):
        self.measure = measure
        self.left_ = limit - HEADER_BYTES
        self.parts_ = {}

    def restrict(self, limit):
        """Let only so many more bytes be added; what was added stays."""
        self.left_ = min(self.left_, limit)

    def add(self, field, part):
        """Add a part if it fits.

        :param field: name of the message's field.
        :returns: whether it did.
        """
        size = self.measure(part)
        if size > self.left_:
            return False
        self.left_ -= size
        self.parts_.setdefault(field, []).append(part)
        return True

    def add_item(self, item, now, by_key=False):
        """Add a record of the key set.

        :returns: whether it was added or needn't be, being about to expire.
        """
        field, part = make_part(item, now, by_key)
        if part is None:
            return True
        return self.add(field, part)


def make_part(item, now, by_key=False):
    """Make the part of a message that tells of a record.

    :param item: what the key set holds.
    :param by_key: whether to tell the key only; a receiver that lacks the record asks for it.
    :returns: the field's name and the part; the part is ``None`` if the record has expired.
    """
    if isinstance(item, Entry):
        return make_upstream_part(item, now, by_key)
    if isinstance(item, PeerEntry):
        return make_peer_part(item, by_key)
    remaining_ms = int((item.forget_at - now) * 1000)
    if remaining_ms <= 0:
        return "", None
    if isinstance(item, PastBoot):
        return "departures", Departure(item.upstream_id, item.boot_id, remaining_ms)
    assert isinstance(item, PastPeer)
    return "peer_departures", item.make_departure(remaining_ms)


def make_upstream_part(entry, now, by_key):
    """Make the part that tells of a listed upstream."""
    remaining_ms = int((entry.deadline - now) * 1000)
    if remaining_ms <= 0:
        return "", None
    if by_key:
        return "refreshes", Refresh(entry.key, entry.announcement.sequence, remaining_ms)
    return "upstreams", UpstreamRecord(entry.announcement, remaining_ms)


def make_peer_part(entry, by_key):
    """Make the part that tells of a listed node."""
    if by_key:
        return "refreshes", Refresh(entry.key, entry.record.sequence, 0)
    return "peers", entry.record
