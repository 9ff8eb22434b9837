"""The membership core: gossip rounds, urgent changes, and the list that they keep."""

from sassafrashook.base import Core, Count, Send
from sassafrashook.membership._budget import ByteBudget
from sassafrashook.membership._directory import Directory
from sassafrashook.membership._events import (
    AnnouncementHeard,
    FromPeer,
    LeaveHeard,
    PeerProbed,
    PeersChanged,
    ProbePeer,
    StopRequested,
)
from sassafrashook.membership._intake import Intake
from sassafrashook.membership._keyset import KeySet
from sassafrashook.membership._liveness import Liveness
from sassafrashook.membership._messages import Gossip, PeerLeft, PeerRecord
from sassafrashook.membership._peers import PeerTable
from sassafrashook.membership._reconciliation import Reconciliation
from sassafrashook.membership._replies import ReplyQueue
from sassafrashook.membership._rounds import Rounds
from sassafrashook.membership._rumors import Rumors
from sassafrashook.membership._transit import TransitClock
from sassafrashook.utils import Interval, Options, hash_key

LEAVE_FANOUT = 4
MAX_VALID_S = 60.0
JOIN_LIMIT_S = 2.0
DEFERRED_LIMIT = 1_000
NUMBER_MASK = 0xFFFFFFFF


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
    >>> core = MembershipCore(own, random.Random(1), lambda message: 100)
    >>> core.start(0.0)
    []
    >>> core.upstreams(0.0)
    []
    """

    _parameter_constraints = {
        "own": Options(PeerRecord),
        "fanout": Interval(int, 1, 16),
        "interval_ms": Interval(int, 50, 10_000),
        "budget_bytes": Interval(int, 2_048, 1_048_576),
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
        self.deferred_ = []
        self.join_until_ = None
        self.boot_ = hash_key(self.own.boot_id) & NUMBER_MASK
        self.synchronised_ = False
        self.intake_ = Intake(self)
        self.reconciliation_ = Reconciliation(self)
        self.rounds_ = Rounds(self, now)
        self.replies_ = ReplyQueue(self)
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
        self.intake_.take_peer(self.own, now)
        return self._finish(now)

    def handle(self, event, now):
        """Take one event of this package; see :class:`Core`."""
        self._expire(now)
        self._handlers[type(event)](event, now)
        self.replies_.flush(now)
        return self._finish(now)

    def advance(self, now):
        """Do what has become due; see :class:`Core`."""
        self._expire(now)
        self.rounds_.advance(now)
        for name in self.liveness_.list_overdue(now):
            self._actions.append(ProbePeer(name))
        self.replies_.flush(now)
        return self._finish(now)

    def next_deadline(self):
        """Return when :meth:`advance` must be called next, seconds."""
        deadlines = (
            self.join_until_ if self.deferred_ else None,
            self.rounds_.round_at_,
            self.rounds_.urgent_at_,
            self.directory_.next_deadline(),
            self.peers_.next_deadline(),
            self.liveness_.next_deadline(),
            self.replies_.flush_at_,
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

    def drop_name(self, name):
        """Talk to a node no longer unless the settings name it."""
        if name not in self.seeds_ and name not in self.peers_.live_:
            self.liveness_.remove(name)
            self.transit_.drop(name)

    def _hear_announcement(self, event, now):
        may_defer = not event.announcement.leaving and len(self.deferred_) < DEFERRED_LIMIT
        if may_defer and self._is_joining(now):
            self.deferred_.append((event, now + event.announcement.valid_ms / 1000))
            return
        remaining_s = event.announcement.valid_ms / 1000
        self.intake_.take_upstream(event.announcement, remaining_s, now, direct=True)

    def _is_joining(self, now):
        """Return whether others may still tell this node of departures and older claims."""
        return self.join_until_ is not None and now < self.join_until_ and not self.synchronised_

    def _take_deferred(self, now):
        if not self.deferred_ or self._is_joining(now):
            return
        deferred, self.deferred_ = self.deferred_, []
        for event, deadline in deferred:
            self.intake_.take_upstream(event.announcement, deadline - now, now, direct=True)

    def _hear_leave(self, event, now):
        self.intake_.take_departure(event.upstream_id, event.boot_id, self.memory_ms / 1000, now)

    def _hear_peer(self, event, now):
        self.liveness_.hear(event.peer, now)
        if isinstance(event.message, PeerLeft):
            self._hear_peer_left(event.message, now)
            return
        self.reconciliation_.hear(event.peer, event.message, now)
        if isinstance(event.message, Gossip) and event.message.wants_reply:
            self.rounds_.send_gossip(event.peer, now, is_reply=True)

    def _hear_peer_left(self, message, now):
        departure = self.peers_.report(message.name, left=True)
        if departure is not None and departure.boot_id == message.boot_id:
            self.intake_.take_peer_departure(departure, now)

    def _change_peers(self, event, now):
        is_first = not self.seeds_
        former, self.seeds_ = self.seeds_, event.peers
        for name in former:
            self.drop_name(name)
        for name in event.peers:
            self.liveness_.add(name)
        if is_first and self.liveness_.states_:
            self.join_until_ = now + JOIN_LIMIT_S
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
                self.intake_.take_peer_departure(departure, now)

    def _stop(self, event, now):
        for peer in self.liveness_.choose(LEAVE_FANOUT):
            self.send(peer, PeerLeft(self.own.name, self.own.boot_id), now)
        self.stopped_ = True

    def _expire(self, now):
        self.directory_.expire(now)
        self.peers_.forget(now)
        self.intake_.forget(now)

    def _finish(self, now):
        self._take_deferred(now)
        notices = self.directory_.take_notices() + self.peers_.take_notices()
        actions, self._actions = self._actions, []
        return notices + actions
