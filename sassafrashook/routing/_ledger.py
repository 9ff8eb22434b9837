"""The owner of the running counts: one exact count of running requests for each upstream."""

from sassafrashook.base import Core, Send
from sassafrashook.messages import (
    CacheEvent,
    LoadReport,
    PermitOutcome,
    PermitRefused,
    PermitReleased,
    PermitRequested,
    PermitWithdrawn,
    SessionAccepted,
    SessionClosed,
    SessionOpened,
)
from sassafrashook.outcomes import RefusalReason
from sassafrashook.routing._actions import Quarantine, RecordSuspect
from sassafrashook.routing._assignment import Assigner
from sassafrashook.routing._events import (
    FleetStateChanged,
    FromRouter,
    RoutersKnown,
    Suspect,
    SuspectsKnown,
    UpstreamLeft,
    UpstreamSeen,
)
from sassafrashook.routing._isolation import Isolation
from sassafrashook.routing._sessions import SessionTable
from sassafrashook.routing._state import OwnerState
from sassafrashook.routing._takeover import Takeover
from sassafrashook.routing._waiting import Waiting
from sassafrashook.routing._watch import UpstreamWatch
from sassafrashook.utils import Interval

QUARANTINE_RESEND_S = 1.0
STALE_RETRY_MS = 500


class PermitLedger(Core):
    """Decides which request runs where, and when.

    One ledger lives for one term of one owner. It holds the exact count of running requests of
    each upstream, so that the load bound holds over all routers by construction. Routers send
    nothing to an upstream without a permit.

    :param epoch: number of the owner's term, at least 1.
    :param rng: source of randomness with a ``uniform`` method; it only spreads times to come back.
    :param lease_ms: length of routers' sessions.
    :param takeover_ms: how long known routers are waited for before the first grant; at least
        ``use_within_ms`` and the lag of load reports together.
    :param use_within_ms: how long after its grant a permit may still be used.
    :param queue_max: requests that may wait for one service.
    :param account_queue_max: requests of one account that may wait for one service.
    :param account_ceiling: part of a service's limit that one account may hold.
    :param holder_hints_max: conversations whose holder is remembered.

    Attributes
    ----------
    state_ : upstreams, services, suspects and settings.
    sessions_ : the routers' sessions.

    :raises ParameterError: if a parameter is outside its range.

    See Also
    --------
    PermitClient : the router's side.

    Examples
    --------
    >>> import random
    >>> from sassafrashook.configuration import FleetState
    >>> from sassafrashook.messages import *
    >>> from sassafrashook.routing import *
    >>> ledger = PermitLedger(epoch=1, rng=random.Random(1))
    >>> ledger.handle(RoutersKnown(()), now=0.0)
    []
    >>> ledger.handle(FleetStateChanged(FleetState(revision=1)), now=0.0)
    []
    >>> engine = UpstreamAnnouncement("e1", UpstreamKind.ENGINE, "advice", "127.0.0.1", 8000,
    ...     "muscat-a", "b1", 1, 1, capacity=8, cold_capacity=1, valid_ms=5000)
    >>> ledger.handle(UpstreamSeen(engine), now=0.0)
    []
    >>> opened = SessionOpened("r1", "boot", sequence=1, epoch=1)
    >>> ledger.handle(FromRouter("r1", opened), now=0.0)[0].message.lease_ms
    2000
    >>> query = PermitRequested(1, "advice", 42, "shop", "chat", 1000, 60000, 7)
    >>> ledger.handle(FromRouter("r1", query), now=0.1)[0].message.upstream_id
    'e1'
    """

    _parameter_constraints = {
        "epoch": Interval(int, 1),
        "lease_ms": Interval(int, 100, 60_000),
        "takeover_ms": Interval(int, 0, 600_000),
        "use_within_ms": Interval(int, 10, 1_000),
        "queue_max": Interval(int, 1),
        "account_queue_max": Interval(int, 1),
        "account_ceiling": Interval(float, 0.1, 1.0),
        "holder_hints_max": Interval(int, 1),
    }

    def __init__(
        self,
        epoch,
        rng,
        lease_ms=2_000,
        takeover_ms=2_500,
        use_within_ms=1_000,
        queue_max=10_000,
        account_queue_max=1_000,
        account_ceiling=0.9,
        holder_hints_max=65_536,
    ):
        self.epoch = epoch
        self.rng = rng
        self.lease_ms = lease_ms
        self.takeover_ms = takeover_ms
        self.use_within_ms = use_within_ms
        self.queue_max = queue_max
        self.account_queue_max = account_queue_max
        self.account_ceiling = account_ceiling
        self.holder_hints_max = holder_hints_max
        self.validate_parameters()
        self.state_ = OwnerState(self)
        self.assigner_ = Assigner(self.state_)
        self.isolation_ = Isolation(self.state_, self.assigner_)
        self.waiting_ = Waiting(self.state_, self.assigner_, self.isolation_)
        self.takeover_ = Takeover(self.state_, self.assigner_)
        self.watch_ = UpstreamWatch(self.state_, self.assigner_, self.takeover_)
        self.sessions_ = SessionTable(epoch, lease_ms)
        self.quarantine_resend_at_ = 0.0
        self._handlers = {
            FromRouter: self._handle_message,
            UpstreamSeen: self._see_upstream,
            UpstreamLeft: self._lose_upstream,
            FleetStateChanged: self._configure,
            RoutersKnown: self._begin_takeover,
            SuspectsKnown: self._learn_suspects,
            SessionOpened: self._open_session,
            SessionClosed: self._close_session,
            PermitRequested: self._request,
            PermitReleased: self._release,
            PermitWithdrawn: self._withdraw,
            LoadReport: self._note_load,
            CacheEvent: self._note_cache,
        }

    def handle(self, event, now):
        """Take one event: see :mod:`sassafrashook.routing` for the events.

        :returns: :class:`Send`, :class:`Quarantine`, :class:`RecordSuspect` and :class:`Count`
            actions.
        """
        self._handlers[type(event)](event, now)
        return self._take_actions()

    def advance(self, now):
        """Refuse, expire and retry what has become due."""
        self.takeover_.advance(now)
        self.waiting_.expire(now)
        self.assigner_.expire(now)
        self.state_.upstreams_.expire(now)
        self.state_.suspects_.advance(now)
        if self.state_.suspects_.pending_ and now >= self.quarantine_resend_at_:
            self.quarantine_resend_at_ = now + QUARANTINE_RESEND_S
            pending = sorted(self.state_.suspects_.pending_)
            self.state_.actions_.extend(Quarantine(fingerprint) for fingerprint in pending)
        self._drain_all(now)
        return self._take_actions()

    def next_deadline(self):
        """Return when :meth:`advance` must be called next, or ``None``."""
        candidates = [
            self.takeover_.next_deadline(),
            self.waiting_.deadlines_.next_deadline(),
            self.assigner_.deadlines_.next_deadline(),
            self.state_.upstreams_.next_deadline(),
            self.state_.suspects_.expiries_.next_deadline(),
            self.isolation_.next_deadline(),
            self.quarantine_resend_at_ if self.state_.suspects_.pending_ else None,
        ]
        return min((at for at in candidates if at is not None), default=None)

    def count_running(self, upstream_id):
        """Return the requests counted as running at an upstream."""
        upstream = self.state_.upstreams_.get(upstream_id)
        return upstream.load if upstream else 0

    def _take_actions(self):
        suspects = self.state_.suspects_
        for fingerprint in suspects.take_changed() if suspects.changed_ else ():
            boots = tuple(sorted(suspects.crashes_.get(fingerprint, ())))
            self.state_.actions_.append(RecordSuspect(Suspect(fingerprint, boots)))
        actions = self.state_.actions_
        self.state_.actions_ = []
        return actions

    def _handle_message(self, event, now):
        message = event.message
        if isinstance(message, LoadReport | CacheEvent):
            self._handlers[type(message)](message, now)
            return
        self._handlers[type(message)](event.router, message, now)

    def _open_session(self, router, message, now):
        session, holdings = self.sessions_.open(router, message, now)
        if session is None:
            self.state_.count("sessions_ignored", router)
            return
        if holdings is not None:
            self._take_holdings(session, holdings, now)
        accepted = SessionAccepted(
            sequence=message.sequence,
            epoch=self.epoch,
            lease_ms=self.lease_ms,
            revision=self.state_.fleet_state_.revision,
            needs_holdings=not session.reported_,
            released=session.take_confirmed(),
        )
        self.state_.actions_.append(Send(router, accepted))
        self._drain_all(now)

    def _take_holdings(self, session, holdings, now):
        held = {holding.request_id for holding in holdings}
        for entry in list(session.waiting_.values()):
            self.waiting_.withdraw(entry)
        for record in list(session.permits_.values()):
            if record.request_id not in held:
                self.assigner_.release(record, PermitOutcome.UNUSED, -1, now)
        for holding in holdings:
            self.takeover_.adopt(session, holding, now)
        session.ended_.clear()
        self.takeover_.note_reported(session, now)

    def _close_session(self, router, message, now):
        session = self.sessions_.get(router)
        if session is None or session.boot_id != message.boot_id:
            return
        for entry in list(session.waiting_.values()):
            self.waiting_.withdraw(entry)
        for record in list(session.permits_.values()):
            self.assigner_.release(record, PermitOutcome.UNUSED, -1, now)
        self.sessions_.close(router)
        self._drain_all(now)

    def _request(self, router, message, now):
        session = self.sessions_.get_active(router, now)
        if session is None:
            self.state_.count("permits_refused", RefusalReason.STALE_VIEW.value)
            refused = PermitRefused(message.request_id, RefusalReason.STALE_VIEW, STALE_RETRY_MS)
            self.state_.actions_.append(Send(router, refused))
        elif message.request_id in session.permits_:
            record = session.permits_[message.request_id]
            if record.grant is not None:
                self.state_.actions_.append(Send(router, record.grant))
        elif message.request_id not in session.waiting_:
            self.waiting_.request(session, message, now)

    def _release(self, router, message, now):
        session = self.sessions_.get(router)
        if session is None:
            return
        session.confirmed_.append(message.request_id)
        record = session.permits_.get(message.request_id)
        if record is None:
            session.note_ended(message.request_id)
            return
        self.assigner_.release(record, message.outcome, message.first_token_ms, now)
        self.waiting_.drain(record.service, now)

    def _withdraw(self, router, message, now):
        session = self.sessions_.get(router)
        entry = session.waiting_.get(message.request_id) if session else None
        if entry is not None:
            session.confirmed_.append(message.request_id)
            self.waiting_.withdraw(entry)
            return
        self._release(router, PermitReleased(message.request_id, PermitOutcome.UNUSED), now)

    def _see_upstream(self, event, now):
        self.watch_.see(event.announcement, now)
        self._drain_all(now)

    def _lose_upstream(self, event, now):
        self.watch_.lose(event.upstream_id)
        self._drain_all(now)

    def _note_load(self, message, now):
        self.watch_.note_load(message, now)

    def _note_cache(self, message, now):
        self.watch_.note_cache(message)

    def _configure(self, event, now):
        if event.fleet_state.revision < self.state_.fleet_state_.revision:
            return
        self.state_.configure(event.fleet_state)
        self._drain_all(now)

    def _begin_takeover(self, event, now):
        self.takeover_.begin(event.routers, now, self.takeover_ms / 1000)

    def _learn_suspects(self, event, now):
        for suspect in event.suspects:
            self.state_.suspects_.learn(suspect.fingerprint, suspect.boots, now)

    def _drain_all(self, now):
        for service in list(self.state_.services_.values()):
            self.waiting_.drain(service, now)
