"""The sans-I/O membership core: one node's replica of the upstream and node tables."""

from sassafrashook.base import Core, Count, Send
from sassafrashook.membership._anti_entropy import AntiEntropy
from sassafrashook.membership._budget import ByteBudget
from sassafrashook.membership._delays import DelayEstimator
from sassafrashook.membership._events import (
    AnnouncementReceived,
    DepartureReceived,
    MessageReceived,
    ProbeCompleted,
    ProbePeer,
    SeedsChanged,
    StopRequested,
)
from sassafrashook.membership._keyset import KeySet
from sassafrashook.membership._merging import RecordMerger
from sassafrashook.membership._messages import Gossip, PeerLeft, PeerRecord
from sassafrashook.membership._monitor import PeerMonitor
from sassafrashook.membership._peers import PeerTable
from sassafrashook.membership._replies import ReplyQueue
from sassafrashook.membership._rumors import RumorQueues
from sassafrashook.membership._scheduler import GossipScheduler
from sassafrashook.membership._upstreams import UpstreamTable
from sassafrashook.utils import Interval, Options, hash_key

LEAVE_FANOUT = 4
MAX_VALIDITY_S = 60.0
JOIN_TIMEOUT_S = 2.0
MAX_DEFERRED_ANNOUNCEMENTS = 1_000
BOOT_HASH_MASK = 0xFFFFFFFF


class MembershipCore(Core):
    """One node's replica of the upstream and node tables, maintained by gossip.

    Each gossip round sends recent changes and a digest of all records to a few randomly selected
    nodes. Nodes whose digests differ compare hashes of key buckets and exchange the missing
    records. The bytes sent stay within the budget in every one-second window.

    :param own: this node's :class:`PeerRecord`.
    :param rng: source of random numbers with the methods of ``random.Random``.
    :param measure: function that returns the encoded size of a message or of a part, bytes.
    :param fanout: number of nodes contacted in each gossip round.
    :param interval_ms: mean time between two gossip rounds, milliseconds.
    :param budget_bytes: maximum sent in any window of one second, bytes.
    :param transmit_limit: number of times that each change is sent.
    :param reply_timeout_ms: time after which a node that has not replied is probed, milliseconds.
    :param probe_timeout_ms: maximum duration of a probe, milliseconds.
    :param retention_ms: how long boots that left or expired are retained, milliseconds.
    :param max_upstreams: maximum number of listed upstreams.
    :param max_peers: maximum number of listed nodes.

    Attributes:

    :ivar upstreams_: the listed upstreams, an :class:`UpstreamTable`.
    :ivar peers_: the listed nodes, a :class:`PeerTable`.
    :ivar synchronized_: whether the digest has matched another node's digest since the start.
    :ivar seeds_: names of the nodes given in the settings.
    :ivar deferred_announcements_: announcements received while joining, with their deadlines.

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
        "transmit_limit": Interval(int, 1, 16),
        "reply_timeout_ms": Interval(int, 100, 60_000),
        "probe_timeout_ms": Interval(int, 100, 60_000),
        "retention_ms": Interval(int, 2 * int(MAX_VALIDITY_S * 1000), 3_600_000),
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
        transmit_limit=4,
        reply_timeout_ms=2_000,
        probe_timeout_ms=3_000,
        retention_ms=180_000,
        max_upstreams=20_000,
        max_peers=4_000,
    ):
        self.own = own
        self.rng = rng
        self.measure = measure
        self.fanout = fanout
        self.interval_ms = interval_ms
        self.budget_bytes = budget_bytes
        self.transmit_limit = transmit_limit
        self.reply_timeout_ms = reply_timeout_ms
        self.probe_timeout_ms = probe_timeout_ms
        self.retention_ms = retention_ms
        self.max_upstreams = max_upstreams
        self.max_peers = max_peers

    def start(self, now):
        """Check the parameters and initialise the live state.

        :returns: the list of actions to carry out.
        :raises ParameterError: if a parameter is out of range.
        """
        self.validate_parameters()
        retention_s = self.retention_ms / 1000
        self.keys_ = KeySet()
        self.upstreams_ = UpstreamTable(self.keys_, retention_s, self.max_upstreams, MAX_VALIDITY_S)
        self.peers_ = PeerTable(self.keys_, self.own, retention_s, self.max_peers)
        self.monitor_ = PeerMonitor(
            self.rng, self.reply_timeout_ms / 1000, self.probe_timeout_ms / 1000
        )
        self.rumors_ = RumorQueues(self.transmit_limit)
        self.budget_ = ByteBudget(self.budget_bytes)
        self.delay_estimator_ = DelayEstimator()
        self.seeds_ = ()
        self.deferred_announcements_ = []
        self.join_deadline_ = None
        self.boot_hash_ = hash_key(self.own.boot_id) & BOOT_HASH_MASK
        self.synchronized_ = False
        self.merger_ = RecordMerger(self)
        self.anti_entropy_ = AntiEntropy(self)
        self.scheduler_ = GossipScheduler(self, now)
        self.replies_ = ReplyQueue(self)
        self.stopped_ = False
        self._actions = []
        self._handlers = {
            AnnouncementReceived: self._handle_announcement,
            DepartureReceived: self._handle_departure,
            MessageReceived: self._handle_message,
            SeedsChanged: self._set_seeds,
            ProbeCompleted: self._handle_probe,
            StopRequested: self._stop,
        }
        self.merger_.merge_peer(self.own, now)
        return self._collect_actions(now)

    def handle(self, event, now):
        """Process one event of this package; see :class:`Core`."""
        self._expire(now)
        self._handlers[type(event)](event, now)
        self.replies_.flush(now)
        return self._collect_actions(now)

    def advance(self, now):
        """Run the timers that are due; see :class:`Core`."""
        self._expire(now)
        self.scheduler_.advance(now)
        for name in self.monitor_.take_overdue(now):
            self._actions.append(ProbePeer(name))
        self.replies_.flush(now)
        return self._collect_actions(now)

    def next_deadline(self):
        """Return when :meth:`advance` must be called next, seconds."""
        deadlines = (
            self.join_deadline_ if self.deferred_announcements_ else None,
            self.scheduler_.next_round_at_,
            self.scheduler_.urgent_gossip_at_,
            self.upstreams_.next_deadline(),
            self.peers_.next_deadline(),
            self.monitor_.next_deadline(),
            self.replies_.flush_at_,
        )
        return min(deadline for deadline in deadlines if deadline is not None)

    def upstreams(self, now):
        """Return the valid announcements, in no particular order.

        :param now: the current time, seconds; announcements that expired during a pause of the
            process are left out even if :meth:`advance` has not yet run.
        """
        entries = self.upstreams_.entries_.values()
        return [entry.announcement for entry in entries if entry.deadline > now]

    def peers(self):
        """Return the records of the listed nodes, including this one."""
        return [entry.record for entry in self.peers_.entries_.values()]

    def make_stamp(self, now):
        """Return the fields of :class:`Stamped`: the boot hash and the time, milliseconds."""
        return self.boot_hash_, int(now * 1000)

    def send(self, peer, message, now):
        """Send a message if the byte budget allows it.

        A message that is dropped, for lack of budget or after the stop, is counted as
        ``membership_budget_held``; so is a reply that is dropped because too many are pending or
        it has waited too long.

        :returns: whether the message was sent.
        """
        size = self.measure(message)
        if self.stopped_ or not self.budget_.spend(size, now):
            self.count("membership_budget_held", type(message).__name__)
            return False
        self.count("membership_bytes", type(message).__name__, size)
        self._actions.append(Send(peer, message))
        return True

    def count(self, name, attribute, amount=1):
        """Request an increment of a counter."""
        self._actions.append(Count(name, attribute, amount))

    def remove_if_unlisted(self, name):
        """Stop contacting a node that is neither a seed nor listed."""
        if name not in self.seeds_ and name not in self.peers_.entries_:
            self.monitor_.remove(name)
            self.delay_estimator_.remove(name)

    def _handle_announcement(self, event, now):
        may_defer = (
            not event.announcement.leaving
            and len(self.deferred_announcements_) < MAX_DEFERRED_ANNOUNCEMENTS
        )
        if may_defer and self._is_joining(now):
            self.deferred_announcements_.append((event, now + event.announcement.valid_ms / 1000))
            return
        remaining_s = event.announcement.valid_ms / 1000
        self.merger_.merge_upstream(event.announcement, remaining_s, now, direct=True)

    def _is_joining(self, now):
        """Return whether this node may still lack departures and older conflicting records.

        Until then a late announcement could bring back an upstream that has left.
        """
        return (
            self.join_deadline_ is not None and now < self.join_deadline_ and not self.synchronized_
        )

    def _process_deferred(self, now):
        if not self.deferred_announcements_ or self._is_joining(now):
            return
        deferred, self.deferred_announcements_ = self.deferred_announcements_, []
        for event, deadline in deferred:
            self.merger_.merge_upstream(event.announcement, deadline - now, now, direct=True)

    def _handle_departure(self, event, now):
        self.merger_.merge_departure(
            event.upstream_id, event.boot_id, self.retention_ms / 1000, now
        )

    def _handle_message(self, event, now):
        self.monitor_.record_message(event.peer, now)
        if isinstance(event.message, PeerLeft):
            self._handle_peer_left(event.message, now)
            return
        self.anti_entropy_.handle(event.peer, event.message, now)
        if isinstance(event.message, Gossip) and event.message.wants_reply:
            self.scheduler_.send_gossip(event.peer, now, is_reply=True)

    def _handle_peer_left(self, message, now):
        departure = self.peers_.create_departure(message.name, left=True)
        if departure is not None and departure.boot_id == message.boot_id:
            self.merger_.merge_peer_departure(departure, now)

    def _set_seeds(self, event, now):
        is_first = not self.seeds_
        previous, self.seeds_ = self.seeds_, event.seeds
        for name in previous:
            self.remove_if_unlisted(name)
        for name in event.seeds:
            self.monitor_.add(name)
        if is_first and self.monitor_.states_:
            self.join_deadline_ = now + JOIN_TIMEOUT_S
            self.anti_entropy_.request_initial_state(now)

    def _handle_probe(self, event, now):
        if event.alive:
            self.count("membership_peer", "connection_silent")
            self.monitor_.record_message(event.peer, now)
            return
        self.count("membership_peer", "not_answering")
        if self.monitor_.record_probe_failure(event.peer, now):
            departure = self.peers_.create_departure(event.peer, left=False)
            if departure is not None:
                self.merger_.merge_peer_departure(departure, now)

    def _stop(self, event, now):
        for peer in self.monitor_.sample_view(LEAVE_FANOUT):
            self.send(peer, PeerLeft(self.own.name, self.own.boot_id), now)
        self.stopped_ = True

    def _expire(self, now):
        self.upstreams_.expire(now)
        self.peers_.expire(now)
        self.merger_.expire(now)

    def _collect_actions(self, now):
        self._process_deferred(now)
        notifications = self.upstreams_.take_notifications() + self.peers_.take_notifications()
        actions, self._actions = self._actions, []
        return notifications + actions
