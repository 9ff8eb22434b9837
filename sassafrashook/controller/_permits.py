"""Runs the permit ledger, which counts running requests, while this controller leads."""

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

REDIRECTED_TYPES = (SessionOpened, PermitRequested)
MAX_INBOX_WAIT_MS = 200


@dataclass(slots=True, frozen=True)
class _ReceivedMessage:
    peer: str
    message: Message


class PermitService(ControllerService):
    """Passes events to the permit ledger and sends its replies only while leadership is confirmed.

    The :class:`~sassafrashook.routing.PermitLedger` grants permits and counts running requests;
    the controller that runs it is the owner. Each leading term starts a new ledger, after every
    entry committed before the term has been applied locally, so that its first reply is based on
    the current configuration. The leading term is checked again before each reply. While leadership
    can't be confirmed, session and permit requests are redirected and all other messages are
    deferred; the ledger is kept because no other owner can have granted a permit within the same
    term.

    :param name: name of this controller.
    :param log: a :class:`~sassafrashook.interfaces.ReplicatedLog`.
    :param state: the local :class:`~sassafrashook.state.FleetStateMachine`.
    :param sender: a :class:`~sassafrashook.interfaces.Sender`.
    :param proposer: a :class:`CommandProposer`.
    :param ledger_factory: called with the epoch; returns the ledger, a
        :class:`~sassafrashook.base.Core`.
    :param routing_module: module that defines the ledger's events, actions and identities, such as
        :mod:`sassafrashook.routing`.
    :param clock: returns monotonic seconds.
    :param metrics: any object with ``count(metric, reason)``, or ``None``.
    :param max_inbox_size: maximum number of queued messages; further ones are dropped and counted.
    :param max_deferred: maximum number of messages deferred while leadership can't be confirmed;
        the oldest are discarded first.
    :param commit_timeout_ms: timeout of a read confirmation or a proposal, milliseconds.
    :param router_expiry_ms: time without a session after which a router boot is unregistered,
        milliseconds; must exceed the longest run time of a request.
    :param quarantine_ms: duration of a fingerprint's quarantine, milliseconds.
    :param on_failure: called without arguments when the ledger of the current term has failed, so
        that another controller can take over leadership; or ``None``.
    :param is_ready: returns whether the list of upstreams has become complete after the start. A
        ledger started earlier would refuse all requests because it would know no upstream.
    :param ready_timeout_ms: maximum time after the start to wait for ``is_ready``, milliseconds.

    :ivar ledger_: the ledger, or ``None``.
    :ivar epoch_: term of the ledger, or 0.
    :ivar upstreams_: latest announcement by upstream id.

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
        "max_inbox_size": Interval(int, 1, 1_000_000),
        "max_deferred": Interval(int, 0, 1_000_000),
        "commit_timeout_ms": Interval(int, 1, 60_000),
        "router_expiry_ms": Interval(int, 1_000, 172_800_000),
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
        routing_module,
        clock,
        metrics=None,
        max_inbox_size=100_000,
        max_deferred=10_000,
        commit_timeout_ms=2_000,
        router_expiry_ms=600_000,
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
        self.routing_module = routing_module
        self.clock = clock
        self.metrics = metrics
        self.max_inbox_size = max_inbox_size
        self.max_deferred = max_deferred
        self.commit_timeout_ms = commit_timeout_ms
        self.router_expiry_ms = router_expiry_ms
        self.quarantine_ms = quarantine_ms
        self.on_failure = on_failure
        self.is_ready = is_ready
        self.ready_timeout_ms = ready_timeout_ms

    def start(self):
        """Start the task that runs the ledger."""
        self.validate_parameters()
        self.ledger_ = None
        self.epoch_ = 0
        self.upstreams_ = {}
        self._ready_deadline = self.clock() + self.ready_timeout_ms / 1000
        self._inbox = Queue(self.max_inbox_size)
        self._deferred = deque(maxlen=self.max_deferred)
        self._last_session_at = {}
        self._pending_proposals = set()
        self._ledger_revision = -1
        self._failed_term = 0
        self._next_expiry_check_at = self.clock()
        self._proposal_tasks = gevent.pool.Group()
        self._task = spawn_task(self._run)

    def stop(self):
        """Stop the task that runs the ledger and its proposals."""
        self._task.kill()
        self._proposal_tasks.kill()

    def deliver(self, peer, message):
        """Queue a message of a router."""
        claimed_router = getattr(message, "router", peer)
        if claimed_router != peer:
            self._count("dropped", "sender_mismatch")
            return
        self._enqueue(_ReceivedMessage(peer, message))

    def check_term(self):
        """Check for a new leading term; called whenever the log has changed."""
        if self.log.get_leading_term(self.clock()) not in (0, self.epoch_):
            self._enqueue(None)

    def handle_upstream_announced(self, announcement):
        """Queue an announcement received by the membership service."""
        self.upstreams_[announcement.upstream_id] = announcement
        self._enqueue(self.routing_module.UpstreamAnnounced(announcement))

    def handle_upstream_left(self, upstream_id):
        """Queue the removal of an upstream that membership reports as gone."""
        self.upstreams_.pop(upstream_id, None)
        self._enqueue(self.routing_module.UpstreamLeft(upstream_id))

    def process_item(self, item):
        """Process one queued item and everything that is due.

        This is the only entry point of the task that runs the ledger.

        :param item: a received message, an event, or ``None`` to process only what is due.
        """
        try:
            self._update_term()
            if isinstance(item, _ReceivedMessage):
                self._handle_message(item)
            elif item is not None:
                self._dispatch(item)
            self._advance_ledger()
            self._expire_silent_routers()
        except Exception as error:  # a ledger in an inconsistent state must not continue
            self._fail_ledger(error)

    def _fail_ledger(self, error):
        """Discard the ledger for the rest of the term after an invariant violation or an error."""
        log_event("owner_failed", level="error", epoch=self.epoch_, error=repr(error))
        self._count("owner_failures", type(error).__name__)
        self._failed_term = self.log.get_leading_term(self.clock())
        self._discard_ledger()
        if self.on_failure is not None:
            self.on_failure()

    def _run(self):
        while True:
            self.process_item(self._get_next_item())

    def _get_next_item(self):
        try:
            return self._inbox.get(timeout=self._compute_wait_s())
        except Empty:
            return None

    def _compute_wait_s(self):
        due = self.ledger_.next_deadline() if self.ledger_ is not None else None
        max_wait_s = MAX_INBOX_WAIT_MS / 1000
        if due is None:
            return max_wait_s
        return min(max(due - self.clock(), 0.001), max_wait_s)

    def _enqueue(self, item):
        try:
            self._inbox.put_nowait(item)
        except Full:
            self._count("dropped", "inbox_full")

    def _is_leading(self):
        return self.epoch_ != 0 and self.log.get_leading_term(self.clock()) == self.epoch_

    def _update_term(self):
        term = self.log.get_leading_term(self.clock())
        if term == 0:
            if self.ledger_ is not None and self.log.get_leader() not in ("", self.name):
                self._discard_ledger()
            return
        if term != self.epoch_ and term != self._failed_term:
            self._discard_ledger()
            self._start_ledger(term)
        elif self._deferred:
            self._replay_deferred()

    def _start_ledger(self, term):
        if not self.is_ready() and self.clock() < self._ready_deadline:
            return
        deadline = self.clock() + self.commit_timeout_ms / 1000
        confirmed = self.log.confirm_read(deadline)
        if not isinstance(confirmed, Success):
            return
        if self.log.get_leading_term(self.clock()) != term:
            return
        self.ledger_ = self.ledger_factory(term)
        self.epoch_ = term
        self._ledger_revision = -1
        self._last_session_at = dict.fromkeys(self.state.routers_.routers_, self.clock())
        log_event("owner_began", epoch=term, routers=len(self._last_session_at))
        known = tuple(
            self.routing_module.RouterIdentity(*key) for key in sorted(self._last_session_at)
        )
        self._dispatch(self.routing_module.RegisteredRoutersLoaded(known))
        for announcement in list(self.upstreams_.values()):
            self._dispatch(self.routing_module.UpstreamAnnounced(announcement))
        for router, _ in self._last_session_at:
            self.sender.send(router, SessionRedirected(0, self.name))

    def _discard_ledger(self):
        if self.ledger_ is not None:
            log_event("owner_ended", epoch=self.epoch_)
        self.ledger_ = None
        self.epoch_ = 0
        self._deferred.clear()

    def _replay_deferred(self):
        deferred = list(self._deferred)
        self._deferred.clear()
        for received in deferred:
            self._handle_message(received)

    def _handle_message(self, received):
        if not self._is_leading():
            self._redirect_or_defer(received)
            return
        message = received.message
        if isinstance(message, SessionOpened) and not self._ensure_registered(received):
            return
        self._dispatch(self.routing_module.RouterMessageReceived(received.peer, message))
        if isinstance(message, SessionClosed):
            self._unregister_router(message.router, message.boot_id)

    def _redirect_or_defer(self, received):
        if isinstance(received.message, REDIRECTED_TYPES):
            sequence = getattr(received.message, "sequence", 0)
            self._count("redirected", type(received.message).__name__)
            self.sender.send(received.peer, SessionRedirected(sequence, self._find_leader()))
        elif self.ledger_ is not None:
            self._deferred.append(received)

    def _find_leader(self):
        leader = self.log.get_leader()
        return "" if leader == self.name else leader

    def _ensure_registered(self, received):
        """Return whether the router boot is registered; otherwise propose its registration.

        The message is queued again once the registration is committed.
        """
        key = (received.message.router, received.message.boot_id)
        if key in self._last_session_at:
            self._last_session_at[key] = self.clock()
            return True
        self._propose_once(
            key, RegisterRouter(*key), lambda: self._complete_registration(key, received)
        )
        return False

    def _complete_registration(self, key, received):
        self._last_session_at[key] = self.clock()
        self._enqueue(received)

    def _unregister_router(self, router, boot_id):
        """Unregister a router boot; a later session registers it again with a new log entry."""
        key = (router, boot_id)
        self._last_session_at.pop(key, None)
        self._propose_once(key, ForgetRouter(*key), lambda: None)

    def _expire_silent_routers(self):
        now = self.clock()
        if now < self._next_expiry_check_at or not self._is_leading():
            return
        self._next_expiry_check_at = now + 1.0
        expired_before = now - self._compute_router_expiry_s()
        for key in list(self.state.routers_.routers_):
            if self._last_session_at.get(key, 0) < expired_before:
                self._unregister_router(*key)

    def _compute_router_expiry_s(self):
        """Return the time without a session, in seconds, after which no request can still run."""
        expiry_ms = self.router_expiry_ms
        configuration = self.state.get_fleet_state().configuration
        if configuration is not None:
            longest_ms = max(entry.completion_ms for entry in configuration.classes)
            expiry_ms = max(expiry_ms, 2 * longest_ms)
        return expiry_ms / 1000

    def _dispatch(self, event: Event):
        if self.ledger_ is None:
            return
        self._dispatch_fleet_state()
        self._execute_actions(self.ledger_.handle(event, self.clock()))

    def _dispatch_fleet_state(self):
        """Pass a new revision to the ledger before any other event."""
        if self._ledger_revision == self.state.revision:
            return
        self._ledger_revision = self.state.revision
        event = self.routing_module.FleetStateChanged(self.state.get_fleet_state())
        self._execute_actions(self.ledger_.handle(event, self.clock()))

    def _advance_ledger(self):
        if self.ledger_ is None or not self._is_leading():
            return
        self._dispatch_fleet_state()
        due = self.ledger_.next_deadline()
        if due is not None and due <= self.clock():
            self._execute_actions(self.ledger_.advance(self.clock()))

    def _execute_actions(self, actions):
        for action in actions:
            if isinstance(action, self.routing_module.Count):
                self._count(action.name, action.attribute)
            elif not self._is_leading():
                self._count("dropped", "not_leading")
            elif isinstance(action, self.routing_module.Send):
                self.sender.send(action.peer, action.message)
            elif isinstance(action, self.routing_module.Quarantine):
                self._quarantine(action.fingerprint)

    def _quarantine(self, fingerprint):
        deadline_ms = self.proposer.wall_clock_ms() + self.quarantine_ms
        command = QuarantineFingerprint(fingerprint, deadline_ms)
        self._propose_once(("quarantine", fingerprint), command, lambda: None)

    def _propose_once(self, key, command, on_success):
        if key in self._pending_proposals:
            return
        self._pending_proposals.add(key)
        self._proposal_tasks.spawn(self._propose, key, command, on_success)

    def _propose(self, key, command, on_success):
        try:
            deadline = self.clock() + self.commit_timeout_ms / 1000
            if isinstance(self.proposer.propose(command, deadline), Success):
                on_success()
        finally:
            self._pending_proposals.discard(key)

    def _count(self, metric, reason):
        if self.metrics is not None:
            self.metrics.count(metric, reason)
