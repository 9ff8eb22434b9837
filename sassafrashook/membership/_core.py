"""The membership core: gossip rounds, urgent changes, and the list that they keep."""

from sassafrashook.base import Core
from sassafrashook.membership._budget import ByteBudget
from sassafrashook.membership._directory import Directory
from sassafrashook.membership._entries import Admission
from sassafrashook.membership._events import (
    AnnouncementHeard,
    Count,
    FromPeer,
    LeaveHeard,
    PeerProbed,
    PeersChanged,
    ProbePeer,
    Send,
    StopRequested,
)
from sassafrashook.membership._keyset import KeySet
from sassafrashook.membership._liveness import Liveness
from sassafrashook.membership._messages import Gossip, PeerLeft, PeerRecord, RefreshesWanted
from sassafrashook.membership._peers import PeerAdmission, PeerTable
from sassafrashook.membership._reconciliation import Reconciliation
from sassafrashook.membership._rumors import Bundle, Rumors, count_sent
from sassafrashook.membership._transit import TransitClock
from sassafrashook.utils import Interval, Options, hash_key

URGENT_DELAY_S = 0.05
HELD_DELAY_S = 0.25
MESSAGE_BYTES = 1_000
SMALLEST_MESSAGE_BYTES = 96
ROUND_SHARE = 0.75  # of the budget, at most, for rounds and urgent changes together
LAGGING_ASKED = 48
REFRESHES_LOADED = 200
LEAVE_FANOUT = 4
MAX_VALID_S = 60.0
NUMBER_MASK = 0xFFFFFFFF
SPREAD_ADMISSIONS = (Admission.ADDED, Admission.CHANGED, Admission.LEFT)
SILENT_ADMISSIONS = (Admission.ADDED, Admission.CHANGED, Admission.REFRESHED, Admission.LEFT)


class MembershipCore(Core):
    """One node's view of all upstreams and nodes, spread by gossip.

    Each round sends what changed lately, with a digest of the whole list, to a few nodes chosen
    at random; two nodes whose digests differ compare buckets of keys and exchange what is
    missing. Bytes sent stay under the budget in every one-second window.

    :param own: this node's :class:`PeerRecord`.
    :param rng: source of random numbers with the methods of ``random.Random``.
    :param measure: function that returns the encoded size of a message, bytes.
    :param fanout: nodes that each round talks to.
    :param interval_ms: time between two rounds.
    :param budget_bytes: bytes sent in any second.
    :param repeats: how often each change is passed on.
    :param answer_timeout_ms: after this a silent node is probed.
    :param probe_timeout_ms: how long a probe may take.
    :param memory_ms: how long a boot that left or expired is remembered.
    :param max_upstreams: bound of the list of upstreams.
    :param max_peers: bound of the list of nodes.

    Attributes:

    :ivar directory_: the list of upstreams, a :class:`Directory`.
    :ivar peers_: the list of nodes, a :class:`PeerTable`.
    :ivar synchronised_: whether the list was found equal to another node's since the start.

    :raises ParameterError: if a parameter is out of range, when :meth:`start` is called.

    See also: :class:`MembershipService`, which runs the core in greenlets.

    Example:

    >>> import random
    >>> from sassafrashook.membership import MembershipCore, PeerRecord
    >>> own = PeerRecord("r1", "router", "10.0.0.1", 7000, "muscat-a", "b1", 1)
    >>> core = MembershipCore(own, random.Random(1), len)
    >>> core.start(0.0)
    []
    >>> core.upstreams(0.0)
    []
    """

    _parameter_constraints = {
        "own": Options(PeerRecord),
        "fanout": Interval(int, 1, 16),
        "interval_ms": Interval(int, 50, 10_000),
        "budget_bytes": Interval(int, 1_024, 1_048_576),
        "repeats": Interval(int, 1, 16),
        "answer_timeout_ms": Interval(int, 100, 60_000),
        "probe_timeout_ms": Interval(int, 100, 60_000),
        "memory_ms": Interval(int, 2 * int(MAX_VALID_S * 1000), 3_600_000),
        "max_upstreams": Interval(int, 1, 100_000),
        "max_peers": Interval(int, 1, 100_000),
    }

    def __init__(
        self,
        own,
        rng,
        measure,
        fanout=2,
        interval_ms=500,
        budget_bytes=4_096,
        repeats=4,
        answer_timeout_ms=2_000,
        probe_timeout_ms=3_000,
        memory_ms=180_000,
        max_upstreams=20_000,
        max_peers=4_000,
    ):
        self.own = own
        self.rng = rng
        self.measure = measure
        self.fanout = fanout
        self.interval_ms = interval_ms
        self.budget_bytes = budget_bytes
        self.repeats = repeats
        self.answer_timeout_ms = answer_timeout_ms
        self.probe_timeout_ms = probe_timeout_ms
        self.memory_ms = memory_ms
        self.max_upstreams = max_upstreams
        self.max_peers = max_peers

    def start(self, now):
        """Check the parameters and make the live state.

        :returns: the list of actions to carry out.
        :raises ParameterError: if a parameter is out of range.
        """
        self.validate_parameters()
        memory_s = self.memory_ms / 1000
        self.keys_ = KeySet()
        self.directory_ = Directory(self.keys_, memory_s, self.max_upstreams, MAX_VALID_S)
        self.peers_ = PeerTable(self.keys_, self.own, memory_s, self.max_peers)
        self.liveness_ = Liveness(
            self.rng, self.answer_timeout_ms / 1000, self.probe_timeout_ms / 1000
        )
        self.rumors_ = Rumors(self.repeats)
        self.budget_ = ByteBudget(self.budget_bytes)
        self.transit_ = TransitClock()
        self.seeds_ = ()
        self.boot_ = hash_key(self.own.boot_id) & NUMBER_MASK
        self.synchronised_ = False
        self.reconciliation_ = Reconciliation(self)
        self.round_at_ = now + self.rng.random() * self.interval_ms / 1000
        self.urgent_at_ = None
        self.stopped_ = False
        self._actions = []
        self._handlers = {
            AnnouncementHeard: self._hear_announcement,
            LeaveHeard: self._hear_leave,
            FromPeer: self._hear_peer,
            PeersChanged: self._change_peers,
            PeerProbed: self._note_probe,
            StopRequested: self._stop,
        }
        self.take_peer(self.own, now)
        return self._finish(now)

    def handle(self, event, now):
        """Take one event of this package; see :class:`Core`."""
        self._expire(now)
        self._handlers[type(event)](event, now)
        self.reconciliation_.flush(now)
        return self._finish(now)

    def advance(self, now):
        """Do what has become due; see :class:`Core`."""
        self._expire(now)
        if self.urgent_at_ is not None and self.urgent_at_ <= now:
            self._send_urgent(now)
        if self.round_at_ <= now:
            self._run_round(now)
        for name in self.liveness_.list_overdue(now):
            self._actions.append(ProbePeer(name))
        self.reconciliation_.flush(now)
        return self._finish(now)

    def next_deadline(self):
        """Return when :meth:`advance` must be called next, seconds."""
        deadlines = (
            self.round_at_,
            self.urgent_at_,
            self.directory_.next_deadline(),
            self.peers_.next_deadline(),
            self.liveness_.next_deadline(),
            self.reconciliation_.flush_at_,
        )
        return min(deadline for deadline in deadlines if deadline is not None)

    def upstreams(self, now):
        """Return the announcements that hold, in no particular order.

        :param now: the current time, seconds; after a pause of the process nothing that has
            expired meanwhile is returned.
        """
        entries = self.directory_.live_.values()
        return [entry.announcement for entry in entries if entry.deadline > now]

    def peers(self):
        """Return the records of the nodes listed, this one's included."""
        return [entry.record for entry in self.peers_.live_.values()]

    def stamp(self, now):
        """Return the first two fields of every message that carries the time."""
        return self.boot_, int(now * 1000)

    def send(self, peer, message, now):
        """Send a message if the budget allows it.

        :returns: whether it was sent.
        """
        size = self.measure(message)
        if self.stopped_ or not self.budget_.spend(size, now):
            self.count("membership_budget_held", type(message).__name__)
            return False
        self.count("membership_bytes", type(message).__name__, size)
        self._actions.append(Send(peer, message))
        return True

    def count(self, name, attribute, amount=1):
        """Ask for a counter to be increased."""
        self._actions.append(Count(name, attribute, amount))

    def take_upstream(self, announcement, remaining_s, now, direct=False):
        """Take in an announcement, and pass it on if it is news.

        :returns: an :class:`Admission`.
        """
        admission = self.directory_.admit(announcement, remaining_s, now, direct)
        entry = self.directory_.live_.get(announcement.upstream_id)
        if admission is Admission.LEFT:
            self._spread_departure(announcement.upstream_id, announcement.boot_id, now)
        elif admission in SPREAD_ADMISSIONS:
            self._spread_change(entry.key, now)
        elif admission is Admission.REFRESHED:
            self.rumors_.add_refresh(entry.key)
        is_repeat = admission is Admission.STALE and not direct
        if admission not in SILENT_ADMISSIONS and not is_repeat:
            self.count("membership_announcement_refused", admission)
        return admission

    def take_refresh(self, entry, refresh, delay_s, now):
        """Take in a newer sequence of a listed upstream.

        :returns: an :class:`Admission`.
        """
        remaining_s = refresh.remaining_ms / 1000 - delay_s
        if remaining_s <= 0:
            return Admission.STALE
        admission = self.directory_.refresh(entry, refresh.sequence, remaining_s, now)
        if admission is Admission.REFRESHED:
            self.rumors_.add_refresh(entry.key)
        elif refresh.sequence == entry.announcement.sequence:
            self.rumors_.note_repeat(entry.key)
        return admission

    def take_departure(self, upstream_id, boot_id, remaining_s, now):
        """Take in that an upstream's boot has left, and pass it on if it is news.

        :returns: an :class:`Admission`.
        """
        admission = self.directory_.leave(upstream_id, boot_id, remaining_s, now)
        if admission is Admission.LEFT:
            self._spread_departure(upstream_id, boot_id, now)
        return admission

    def take_peer(self, record, now):
        """Take in a node's record, and pass it on if it is news.

        :returns: a :class:`PeerAdmission`.
        """
        admission = self.peers_.admit(record)
        if admission is PeerAdmission.ADDED:
            self._spread_change(self.peers_.live_[record.name].key, now)
            if record.name != self.own.name:
                self.liveness_.add(record.name)
        return admission

    def take_peer_departure(self, departure, now):
        """Take in that a node has departed, and pass it on if it is news.

        :returns: a :class:`PeerAdmission`.
        """
        admission = self.peers_.depart(departure, now)
        if admission is PeerAdmission.DEPARTED:
            self._spread_change(self.peers_.past_[departure.name].key, now)
            self._drop_name(departure.name)
        elif admission is PeerAdmission.DENIED:
            self.count("membership_peer", admission)
            self._spread_change(self.peers_.live_[self.own.name].key, now)
        return admission

    def _spread_departure(self, upstream_id, boot_id, now):
        past = self.directory_.memory_.get(upstream_id, boot_id)
        self._spread_change(past.left_key, now)

    def _spread_change(self, key, now):
        self.rumors_.add_change(key)
        self.reconciliation_.note_change(now)
        if self.urgent_at_ is None:
            self.urgent_at_ = now + URGENT_DELAY_S

    def _drop_name(self, name):
        if name not in self.seeds_ and name not in self.peers_.live_:
            self.liveness_.remove(name)
            self.transit_.drop(name)

    def _hear_announcement(self, event, now):
        announcement = event.announcement
        self.take_upstream(announcement, announcement.valid_ms / 1000, now, direct=True)

    def _hear_leave(self, event, now):
        self.take_departure(event.upstream_id, event.boot_id, self.memory_ms / 1000, now)

    def _hear_peer(self, event, now):
        self.liveness_.hear(event.peer, now)
        if isinstance(event.message, PeerLeft):
            self._hear_peer_left(event.message, now)
            return
        self.reconciliation_.hear(event.peer, event.message, now)
        if isinstance(event.message, Gossip) and event.message.wants_reply:
            self._send_gossip(event.peer, SMALLEST_MESSAGE_BYTES * 4, now, is_reply=True)

    def _hear_peer_left(self, message, now):
        departure = self.peers_.report(message.name, left=True)
        if departure is not None and departure.boot_id == message.boot_id:
            self.take_peer_departure(departure, now)

    def _change_peers(self, event, now):
        is_first = not self.seeds_
        former, self.seeds_ = self.seeds_, event.peers
        for name in former:
            self._drop_name(name)
        for name in event.peers:
            self.liveness_.add(name)
        if is_first:
            self.reconciliation_.join(now)

    def _note_probe(self, event, now):
        if event.alive:
            self.count("membership_peer", "connection_silent")
            self.liveness_.hear(event.peer, now)
            return
        self.count("membership_peer", "not_answering")
        if self.liveness_.lose(event.peer, now):
            departure = self.peers_.report(event.peer, left=False)
            if departure is not None:
                self.take_peer_departure(departure, now)

    def _stop(self, event, now):
        for peer in self.liveness_.choose(LEAVE_FANOUT):
            self.send(peer, PeerLeft(self.own.name, self.own.boot_id), now)
        self.stopped_ = True

    def _expire(self, now):
        self.directory_.expire(now)
        self.peers_.forget(now)

    def _run_round(self, now):
        interval_s = self.interval_ms / 1000
        self.round_at_ = now + interval_s * (0.9 + 0.2 * self.rng.random())
        limit = int(self.budget_bytes * ROUND_SHARE * interval_s / self.fanout)
        self.liveness_.rotate()
        self.directory_.set_load(len(self.rumors_.refreshes_) > REFRESHES_LOADED)
        for peer in self.liveness_.choose(self.fanout):
            self._send_gossip(peer, max(limit, SMALLEST_MESSAGE_BYTES), now)
        self._ask_for_refreshes(now)

    def _send_urgent(self, now):
        self.urgent_at_ = None
        for peer in self.liveness_.choose(self.fanout):
            self._send_gossip(peer, MESSAGE_BYTES, now, urgent=True)
        if self.rumors_.changes_ and self.liveness_.states_:
            is_held = self.budget_.available(now) < MESSAGE_BYTES
            self.urgent_at_ = now + (HELD_DELAY_S if is_held else URGENT_DELAY_S)

    def _send_gossip(self, peer, limit, now, urgent=False, is_reply=False):
        available = self.budget_.available(now)
        if urgent:
            available -= int(self.budget_bytes * (1 - ROUND_SHARE))
        limit = min(limit, MESSAGE_BYTES, available)
        if limit < SMALLEST_MESSAGE_BYTES:
            self.count("membership_budget_held", Gossip.__name__)
            return
        bundle = Bundle(limit, self.measure)
        self._fill(bundle, self.rumors_.changes_, now)
        if not urgent:
            self._fill(bundle, self.rumors_.refreshes_, now)
        wants_reply = not is_reply and self.liveness_.wants_answer(peer, now)
        header = (*self.stamp(now), self.keys_.digest_, wants_reply)
        if self.send(peer, Gossip(*header, **bundle.parts_), now) and wants_reply:
            self.liveness_.expect(peer, now)

    def _fill(self, bundle, queue, now):
        for key in list(queue):
            item = self.keys_.get(key)
            if item is None:
                del queue[key]
                continue
            if not bundle.add_item(item, now, by_key=True):
                return
            count_sent(queue, key)

    def _ask_for_refreshes(self, now):
        lagging = self.directory_.lagging_
        if not lagging:
            return
        names = sorted(lagging)
        names = self.rng.sample(names, min(LAGGING_ASKED, len(names)))
        keys = [self.directory_.live_[name].key for name in names]
        for peer in self.liveness_.choose(1):
            self.send(peer, RefreshesWanted(*self.stamp(now), keys), now)

    def _finish(self, now):
        notices = self.directory_.take_notices() + self.peers_.take_notices()
        actions, self._actions = self._actions, []
        return notices + actions
