"""Runs the membership core in a greenlet."""

import contextlib
import itertools
import time

import gevent
from absl import logging
from gevent.queue import Empty, Full, Queue

from sassafrashook.base import Count, Send
from sassafrashook.membership._events import (
    AnnouncementReceived,
    DepartureReceived,
    MessageReceived,
    ProbeCompleted,
    ProbePeer,
    SeedsChanged,
    StopRequested,
)
from sassafrashook.tasks import spawn_task

MAX_INBOX_SIZE = 10_000
EVENTS_PER_YIELD = 32
STOP_TIMEOUT_S = 2.0


class MembershipService:
    """Runs one :class:`MembershipCore` in a greenlet that processes events from an inbox.

    :param core: the core, not yet started.
    :param sender: a :class:`~sassafrashook.interfaces.Sender`.
    :param probe: function that takes a node's name and returns whether the node answered on a new
        connection; it runs in its own greenlet and may block. With ``None`` every probe fails.
    :param count: function that takes a counter's name, its attribute and an amount, or ``None``.
    :param clock: function that returns monotonic seconds.

    Attributes:

    :ivar dropped_: number of events dropped because the inbox was full.

    :raises ParameterError: from :meth:`start`, if a parameter of the core is out of range.

    See also: :class:`MembershipCore`.

    Example:

    >>> import random
    >>> from sassafrashook.membership import MembershipCore, MembershipService, PeerRecord
    >>> own = PeerRecord("r1", "router", "10.0.0.1", 7000, "muscat-a", "b1", 1)
    >>> core = MembershipCore(own, random.Random(1), lambda message: 100)
    >>> service = MembershipService(core, sender=None)
    >>> service.start()
    >>> service.upstreams()
    []
    >>> service.stop()
    """

    def __init__(self, core, sender, probe=None, count=None, clock=time.monotonic):
        self.core = core
        self.sender = sender
        self.probe = probe
        self.count = count
        self.clock = clock
        self.dropped_ = 0
        self._subscribers = []
        self._inbox = Queue(maxsize=MAX_INBOX_SIZE)
        self._greenlet = None
        self._probes = set()

    def start(self):
        """Start the core and its greenlet."""
        self._execute(self.core.start(self.clock()))
        self._greenlet = spawn_task(self._run)

    def stop(self):
        """Announce to other nodes that this one is leaving, and stop all greenlets."""
        if self._greenlet is None:
            return
        with contextlib.suppress(Full):
            self._inbox.put(StopRequested(), timeout=STOP_TIMEOUT_S)
        self._greenlet.join(STOP_TIMEOUT_S)
        gevent.killall([self._greenlet, *self._probes])
        self._greenlet = None

    def subscribe(self, callback):
        """Register a function to be called with each notification.

        :param callback: takes an :class:`UpstreamAnnounced`, :class:`UpstreamRemoved`,
            :class:`PeerSeen` or :class:`PeerRemoved`; it must not block.
        """
        self._subscribers.append(callback)

    def deliver(self, sender, message):
        """Queue a message from another node.

        :param sender: name of the node.
        :param message: one of :data:`MEMBERSHIP_MESSAGES`.
        """
        self._put(MessageReceived(sender, message))

    def announce(self, announcement):
        """Queue an announcement that an upstream sent to this node.

        :returns: whether it was queued; ``False`` means that the inbox is full.
        """
        return self._put(AnnouncementReceived(announcement))

    def announce_departure(self, upstream_id, boot_id):
        """Queue the departure of a boot, sent to this node by the upstream.

        :returns: whether it was queued; ``False`` means that the inbox is full.
        """
        return self._put(DepartureReceived(upstream_id, boot_id))

    def set_seeds(self, names):
        """Set the seed nodes.

        :param names: names of the nodes given in the settings.
        """
        self._put(SeedsChanged(tuple(names)))

    def upstreams(self):
        """Return the valid announcements, in no particular order."""
        return self.core.upstreams(self.clock())

    def peers(self):
        """Return the records of the listed nodes, including this one."""
        return self.core.peers()

    @property
    def synchronized(self):
        """Whether the digest has matched another node's digest since the start."""
        return self.core.synchronized_

    def _put(self, event):
        try:
            self._inbox.put_nowait(event)
        except Full:
            self.dropped_ += 1
            return False
        return True

    def _run(self):
        for iteration in itertools.count(1):
            if self.core.stopped_:
                return
            if iteration % EVENTS_PER_YIELD == 0:
                gevent.sleep(0)
            event = self._wait_for_event()
            now = self.clock()
            if event is not None:
                self._execute(self.core.handle(event, now))
            if self.core.next_deadline() <= now:
                self._execute(self.core.advance(now))

    def _wait_for_event(self):
        wait_s = self.core.next_deadline() - self.clock()
        try:
            return self._inbox.get(timeout=max(wait_s, 0))
        except Empty:
            return None

    def _execute(self, actions):
        for action in actions:
            if isinstance(action, Send):
                self.sender.send(action.peer, action.message)
            elif isinstance(action, Count):
                if self.count is not None:
                    self.count(action.name, action.attribute, action.amount)
            elif isinstance(action, ProbePeer):
                self._start_probe(action.peer)
            else:
                self._notify(action)

    def _notify(self, action):
        for callback in self._subscribers:
            try:
                callback(action)
            except Exception:
                logging.exception("event=membership_subscriber_failed")

    def _start_probe(self, peer):
        greenlet = gevent.spawn(self._probe, peer)
        self._probes.add(greenlet)
        greenlet.link(self._probes.discard)

    def _probe(self, peer):
        alive = False
        try:
            alive = self.probe is not None and bool(self.probe(peer))
        except OSError as error:
            logging.info("event=peer_probe_failed peer=%s error=%s", peer, error)
        self._put(ProbeCompleted(peer, alive))
