"""Hosts the owner of the running counts while this controller leads."""

from collections import deque
from dataclasses import dataclass

import gevent
import gevent.pool
from gevent.queue import Empty, Full, Queue
from returns.result import Success

from sassafrashook.base import Event
from sassafrashook.controller._service import ControllerService
from sassafrashook.messages import (
    CacheEvent,
    LoadReport,
    Message,
    PermitReleased,
    PermitRequested,
    PermitWithdrawn,
    SessionClosed,
    SessionOpened,
    SessionRedirected,
)
from sassafrashook.state import ForgetRouter, QuarantineFingerprint, RegisterRouter
from sassafrashook.tasks import spawn_task
from sassafrashook.telemetry import log_event
from sassafrashook.utils import Interval

__all__ = ["PermitService"]

ASKS = (SessionOpened, PermitRequested)
IDLE_WAIT_MS = 200


@dataclass(slots=True, frozen=True)
class _Delivery:
    sender: str
    message: Message


class PermitService(ControllerService):
    """Feeds the permit owner, and sends what it answers only while leadership is confirmed.

    A new leading term gets a new owner, once everything committed before the term is applied
    here, so that its first answer already acts on the newest configuration. Before each answer the
    leading term is checked again. While it can't be confirmed, questions are redirected and
    everything else waits: in the same term no other owner can have granted anything.

    :param name: name of this controller.
    :param log: a :class:`~sassafrashook.gateways.ReplicatedLog`.
    :param state: the local :class:`~sassafrashook.state.FleetStateMachine`.
    :param sender: a :class:`~sassafrashook.gateways.Sender`.
    :param proposer: a :class:`CommandProposer`.
    :param ledger_factory: called with the epoch; returns a :class:`~sassafrashook.base.Core`.
    :param events: namespace of the owner's events and actions, such as
        :mod:`sassafrashook.routing`.
    :param clock: returns monotonic seconds.
    :param metrics: any object with ``count(metric, reason)``, or ``None``.
    :param max_inbox: messages that may wait; further ones are dropped and counted.
    :param max_held: messages kept while leadership can't be confirmed.
    :param commit_timeout_ms: how long a registration may take.
    :param router_memory_ms: silence after which a boot of a router is forgotten; longer than any
        request runs.
    :param quarantine_ms: how long a fingerprint stays in quarantine.
    :param is_ready: returns whether the list of upstreams was found complete since the start; an
        owner without it would refuse everything for want of upstreams.
    :param ready_timeout_ms: how long after the start that is waited for.
    :param on_failure: called without arguments when the owner of this term must not go on, so that
        another controller may lead; or ``None``.

    Attributes: ``ledger_``, the owner or ``None``; ``epoch_``, its term; ``upstreams_``, the newest
    announcement by upstream.

    :raises ParameterError: from :meth:`start`.

    See also :class:`sassafrashook.routing.PermitLedger`.

    Example::

        >>> from sassafrashook.controller import PermitService
        >>> PermitService.handled_messages[0].__name__
        'SessionOpened'
    """

    handled_messages = (
        SessionOpened,
        PermitRequested,
        PermitReleased,
        PermitWithdrawn,
        SessionClosed,
        LoadReport,
        CacheEvent,
    )
    _parameter_constraints = {
        "max_inbox": Interval(int, 1, 1_000_000),
        "max_held": Interval(int, 0, 1_000_000),
        "commit_timeout_ms": Interval(int, 1, 60_000),
        "router_memory_ms": Interval(int, 1_000, 172_800_000),
        "quarantine_ms": Interval(int, 1_000, 86_400_000),
        "ready_timeout_ms": Interval(int, 0, 60_000),
    }

    def __init__(
        self,
        name,
        log,
        state,
        sender,
        proposer,
        ledger_factory,
        events,
        clock,
        metrics=None,
        max_inbox=100_000,
        max_held=10_000,
        commit_timeout_ms=2_000,
        router_memory_ms=600_000,
        quarantine_ms=3_600_000,
        on_failure=None,
        is_ready=lambda: True,
        ready_timeout_ms=5_000,
    ):
        self.name = name
        self.log = log
        self.state = state
        self.sender = sender
        self.proposer = proposer
        self.ledger_factory = ledger_factory
        self.events = events
        self.clock = clock
        self.metrics = metrics
        self.max_inbox = max_inbox
        self.max_held = max_held
        self.commit_timeout_ms = commit_timeout_ms
        self.router_memory_ms = router_memory_ms
        self.quarantine_ms = quarantine_ms
        self.on_failure = on_failure
        self.is_ready = is_ready
        self.ready_timeout_ms = ready_timeout_ms

    def start(self):
        """Start the owning task."""
        self.validate_parameters()
        self.ledger_ = None
        self.epoch_ = 0
        self.upstreams_ = {}
        self._ready_by = self.clock() + self.ready_timeout_ms / 1000
        self._inbox = Queue(self.max_inbox)
        self._held = deque(maxlen=self.max_held)
        self._heard = {}
        self._proposing = set()
        self._told_revision = -1
        self._failed_term = 0
        self._sweep_at = self.clock()
        self._helpers = gevent.pool.Group()
        self._task = spawn_task(self._run)

    def stop(self):
        """End the owning task and its proposals."""
        self._task.kill()
        self._helpers.kill()

    def deliver(self, sender, message):
        """Queue a router's message."""
        claimed = getattr(message, "router", sender)
        if claimed != sender:
            self._count("dropped", "sender_mismatch")
            return
        self._enqueue(_Delivery(sender, message))

    def wake(self):
        """Look at the term at once; told whenever the log has changed."""
        if self.log.leading_term(self.clock()) not in (0, self.epoch_):
            self._enqueue(None)

    def note_upstream(self, announcement):
        """Take an announcement that membership heard."""
        self.upstreams_[announcement.upstream_id] = announcement
        self._enqueue(self.events.UpstreamSeen(announcement))

    def note_upstream_left(self, upstream_id):
        """Take that membership holds an upstream for gone."""
        self.upstreams_.pop(upstream_id, None)
        self._enqueue(self.events.UpstreamLeft(upstream_id))

    def step(self, item):
        """Take one item, or only what is due; the owning task calls nothing else.

        :param item: a delivery, an event, or ``None``.
        """
        try:
            self._follow_term()
            if isinstance(item, _Delivery):
                self._take_delivery(item)
            elif item is not None:
                self._feed(item)
            self._advance()
            self._sweep_routers()
        except Exception as error:  # no fault may leave a half-told owner in charge
            self._give_up(error)

    def _give_up(self, error):
        """Answer nothing more in this term, after a broken invariant or another fault."""
        log_event("owner_failed", level="error", epoch=self.epoch_, error=repr(error))
        self._count("owner_failures", type(error).__name__)
        self._failed_term = self.log.leading_term(self.clock())
        self._drop_ledger()
        if self.on_failure is not None:
            self.on_failure()

    def _run(self):
        while True:
            self.step(self._next_item())

    def _next_item(self):
        try:
            return self._inbox.get(timeout=self._waiting_time())
        except Empty:
            return None

    def _waiting_time(self):
        due = self.ledger_.next_deadline() if self.ledger_ is not None else None
        longest = IDLE_WAIT_MS / 1000
        if due is None:
            return longest
        return min(max(due - self.clock(), 0.001), longest)

    def _enqueue(self, item):
        try:
            self._inbox.put_nowait(item)
        except Full:
            self._count("dropped", "inbox_full")

    def _is_leading(self):
        return self.epoch_ != 0 and self.log.leading_term(self.clock()) == self.epoch_

    def _follow_term(self):
        term = self.log.leading_term(self.clock())
        if term == 0:
            if self.ledger_ is not None and self.log.leader() not in ("", self.name):
                self._drop_ledger()
            return
        if term != self.epoch_ and term != self._failed_term:
            self._drop_ledger()
            self._begin_term(term)
        elif self._held:
            self._replay_held()

    def _begin_term(self, term):
        if not self.is_ready() and self.clock() < self._ready_by:
            return
        deadline = self.clock() + self.commit_timeout_ms / 1000
        confirmed = self.log.confirm_read(deadline)
        if not isinstance(confirmed, Success):
            return
        if self.log.leading_term(self.clock()) != term:
            return
        self.ledger_ = self.ledger_factory(term)
        self.epoch_ = term
        self._told_revision = -1
        self._heard = dict.fromkeys(self.state.routers_.routers_, self.clock())
        log_event("owner_began", epoch=term, routers=len(self._heard))
        known = tuple(self.events.KnownRouter(*key) for key in sorted(self._heard))
        self._feed(self.events.RoutersKnown(known))
        for announcement in list(self.upstreams_.values()):
            self._feed(self.events.UpstreamSeen(announcement))
        for router, _ in self._heard:
            self.sender.send(router, SessionRedirected(0, self.name))

    def _drop_ledger(self):
        if self.ledger_ is not None:
            log_event("owner_ended", epoch=self.epoch_)
        self.ledger_ = None
        self.epoch_ = 0
        self._held.clear()

    def _replay_held(self):
        held = list(self._held)
        self._held.clear()
        for delivery in held:
            self._take_delivery(delivery)

    def _take_delivery(self, delivery):
        if not self._is_leading():
            self._defer(delivery)
            return
        message = delivery.message
        if isinstance(message, SessionOpened) and not self._note_session(delivery):
            return
        self._feed(self.events.FromRouter(delivery.sender, message))
        if isinstance(message, SessionClosed):
            self._forget(message.router, message.boot_id)

    def _defer(self, delivery):
        if isinstance(delivery.message, ASKS):
            sequence = getattr(delivery.message, "sequence", 0)
            self._count("redirected", type(delivery.message).__name__)
            self.sender.send(delivery.sender, SessionRedirected(sequence, self._find_owner()))
        elif self.ledger_ is not None:
            self._held.append(delivery)

    def _find_owner(self):
        leader = self.log.leader()
        return "" if leader == self.name else leader

    def _note_session(self, delivery):
        """Return whether the router's boot is registered; if not, have it registered first."""
        key = (delivery.message.router, delivery.message.boot_id)
        if key in self._heard:
            self._heard[key] = self.clock()
            return True
        self._propose_once(key, RegisterRouter(*key), lambda: self._admit(key, delivery))
        return False

    def _admit(self, key, delivery):
        self._heard[key] = self.clock()
        self._enqueue(delivery)

    def _forget(self, router, boot_id):
        """Forget a boot; if it comes back, it is registered again, later in the log."""
        key = (router, boot_id)
        self._heard.pop(key, None)
        self._propose_once(key, ForgetRouter(*key), lambda: None)

    def _sweep_routers(self):
        now = self.clock()
        if now < self._sweep_at or not self._is_leading():
            return
        self._sweep_at = now + 1.0
        silent_before = now - self._router_memory()
        for key in list(self.state.routers_.routers_):
            if self._heard.get(key, 0) < silent_before:
                self._forget(*key)

    def _router_memory(self):
        """Return after how many seconds of silence nothing of a router can still run."""
        memory_ms = self.router_memory_ms
        configuration = self.state.fleet_state().configuration
        if configuration is not None:
            longest_ms = max(entry.completion_ms for entry in configuration.classes)
            memory_ms = max(memory_ms, 2 * longest_ms)
        return memory_ms / 1000

    def _feed(self, event: Event):
        if self.ledger_ is None:
            return
        self._feed_fleet_state()
        self._perform(self.ledger_.handle(event, self.clock()))

    def _feed_fleet_state(self):
        """Tell the owner of a newer revision before anything else that it is told."""
        if self._told_revision == self.state.revision:
            return
        self._told_revision = self.state.revision
        event = self.events.FleetStateChanged(self.state.fleet_state())
        self._perform(self.ledger_.handle(event, self.clock()))

    def _advance(self):
        if self.ledger_ is None or not self._is_leading():
            return
        self._feed_fleet_state()
        due = self.ledger_.next_deadline()
        if due is not None and due <= self.clock():
            self._perform(self.ledger_.advance(self.clock()))

    def _perform(self, actions):
        for action in actions:
            if isinstance(action, self.events.Count):
                self._count(action.name, action.attribute)
            elif not self._is_leading():
                self._count("dropped", "not_leading")
            elif isinstance(action, self.events.Send):
                self.sender.send(action.peer, action.message)
            elif isinstance(action, self.events.Quarantine):
                self._quarantine(action.fingerprint)

    def _quarantine(self, fingerprint):
        deadline_ms = self.proposer.wall_clock_ms() + self.quarantine_ms
        command = QuarantineFingerprint(fingerprint, deadline_ms)
        self._propose_once(("quarantine", fingerprint), command, lambda: None)

    def _propose_once(self, key, command, then):
        if key in self._proposing:
            return
        self._proposing.add(key)
        self._helpers.spawn(self._propose, key, command, then)

    def _propose(self, key, command, then):
        try:
            deadline = self.clock() + self.commit_timeout_ms / 1000
            if isinstance(self.proposer.propose(command, deadline), Success):
                then()
        finally:
            self._proposing.discard(key)

    def _count(self, metric, reason):
        if self.metrics is not None:
            self.metrics.count(metric, reason)
