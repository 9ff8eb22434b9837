"""Core state machine of the owner, which grants permits and counts running requests."""

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
from sassafrashook.routing._admission_scheduler import AdmissionScheduler
from sassafrashook.routing._assignment import Assigner
from sassafrashook.routing._events import (
    FleetStateChanged,
    RecordedSuspectsLoaded,
    RegisteredRoutersLoaded,
    RouterMessageReceived,
    Suspect,
    UpstreamAnnounced,
    UpstreamLeft,
)
from sassafrashook.routing._isolation import IsolationScheduler
from sassafrashook.routing._sessions import SessionTable
from sassafrashook.routing._state import OwnerState
from sassafrashook.routing._takeover import Takeover
from sassafrashook.routing._watch import UpstreamTracker
from sassafrashook.utils import Interval

QUARANTINE_RESEND_INTERVAL_S = 1.0
STALE_VIEW_RETRY_MS = 500


class PermitLedger(Core):
    """Decides which request runs on which upstream, and when.

    A ledger serves one term of one owner. It keeps an exact count of the requests that run on each
    upstream, and routers send nothing to an upstream without a permit. The load bound therefore
    holds across all routers.

    :param epoch: number of the leading term that it serves, at least 1; messages call it the epoch.
    :param rng: random generator with a ``uniform`` method, used only to spread retry times.
    :param lease_ms: lease of a router's session, in milliseconds.
    :param takeover_ms: how long the first grant waits for known routers to report, in milliseconds;
        at least the sum of ``use_within_ms`` and the delay of load reports.
    :param use_within_ms: how long a permit may still be used after its grant, in milliseconds;
        the field of the same name in ``PermitGranted`` counts from the request instead.
    :param max_queue_size: maximum number of requests that wait for one service.
    :param max_account_queue_size: maximum number of waiting requests of one account per service;
        further ones are refused with the reason ``account_share``.
    :param max_account_fraction: largest fraction of a group's limit, the sum of the limits of its
        placeable upstreams, that one account may use.
    :param max_holder_hints: number of conversations for which the last holder is remembered.

    :ivar state_: the :class:`OwnerState`: upstreams, services, suspects and settings.
    :ivar sessions_: the routers' sessions, a :class:`SessionTable`.

    :raises ParameterError: if a parameter is outside its range.

    See Also
    --------
    PermitClient : requests and releases permits on a router.

    Examples
    --------
    >>> import random
    >>> from sassafrashook.configuration import FleetState
    >>> from sassafrashook.messages import *
    >>> from sassafrashook.routing import *
    >>> ledger = PermitLedger(epoch=1, rng=random.Random(1))
    >>> ledger.handle(RegisteredRoutersLoaded(()), now=0.0)
    []
    >>> ledger.handle(FleetStateChanged(FleetState(revision=1)), now=0.0)
    []
    >>> engine = UpstreamAnnouncement("e1", UpstreamKind.ENGINE, "advice", "127.0.0.1", 8000,
    ...     "muscat-a", "b1", 1, 1, capacity=8, cold_capacity=1, valid_ms=5000)
    >>> ledger.handle(UpstreamAnnounced(engine), now=0.0)
    []
    >>> opened = SessionOpened("r1", "boot", sequence=1, epoch=1)
    >>> ledger.handle(RouterMessageReceived("r1", opened), now=0.0)[0].message.lease_ms
    2000
    >>> query = PermitRequested(1, "advice", 42, "shop", "chat", 1000, 60000, 7)
    >>> ledger.handle(RouterMessageReceived("r1", query), now=0.1)[0].message.upstream_id
    'e1'
    """

    _parameter_constraints = {
        "epoch": Interval(int, 1),
        "lease_ms": Interval(int, 100, 60_000),
        "takeover_ms": Interval(int, 0, 600_000),
        "use_within_ms": Interval(int, 10, 1_000),
        "max_queue_size": Interval(int, 1),
        "max_account_queue_size": Interval(int, 1),
        "max_account_fraction": Interval(float, 0.1, 1.0),
        "max_holder_hints": Interval(int, 1),
    }

    def __init__(
        self,
        epoch,
        rng,
        lease_ms=2_000,
        takeover_ms=2_500,
        use_within_ms=1_000,
        max_queue_size=10_000,
        max_account_queue_size=1_000,
        max_account_fraction=0.9,
        max_holder_hints=65_536,
    ):
        self.epoch = epoch
        self.rng = rng
        self.lease_ms = lease_ms
        self.takeover_ms = takeover_ms
        self.use_within_ms = use_within_ms
        self.max_queue_size = max_queue_size
        self.max_account_queue_size = max_account_queue_size
        self.max_account_fraction = max_account_fraction
        self.max_holder_hints = max_holder_hints
        self.validate_parameters()
        self.state_ = OwnerState(self)
        self.assigner_ = Assigner(self.state_)
        self.isolation_ = IsolationScheduler(self.state_, self.assigner_)
        self.admission_ = AdmissionScheduler(self.state_, self.assigner_, self.isolation_)
        self.takeover_ = Takeover(self.state_, self.assigner_)
        self.upstream_tracker_ = UpstreamTracker(self.state_, self.assigner_, self.takeover_)
        self.sessions_ = SessionTable(epoch, lease_ms)
        self.next_quarantine_resend_ = 0.0
        self._handlers = {
            RouterMessageReceived: self._handle_message,
            UpstreamAnnounced: self._handle_announcement,
            UpstreamLeft: self._handle_departure,
            FleetStateChanged: self._handle_fleet_state,
            RegisteredRoutersLoaded: self._begin_takeover,
            RecordedSuspectsLoaded: self._restore_suspects,
            SessionOpened: self._handle_session_opened,
            SessionClosed: self._handle_session_closed,
            PermitRequested: self._handle_request,
            PermitReleased: self._handle_release,
            PermitWithdrawn: self._handle_withdrawal,
            LoadReport: self._handle_load_report,
            CacheEvent: self._handle_cache_event,
        }

    def handle(self, event, now):
        """Process one event; :mod:`sassafrashook.routing` lists the event classes.

        :returns: :class:`Send`, :class:`Quarantine`, :class:`RecordSuspect` and :class:`Count`
            actions.
        """
        self._handlers[type(event)](event, now)
        return self._collect_actions()

    def advance(self, now):
        """Process all deadlines that have passed."""
        self.takeover_.advance(now)
        self.admission_.expire(now)
        self.assigner_.expire(now)
        self.state_.upstreams_.expire(now)
        self.state_.suspects_.expire(now)
        if self.state_.suspects_.pending_quarantines_ and now >= self.next_quarantine_resend_:
            self.next_quarantine_resend_ = now + QUARANTINE_RESEND_INTERVAL_S
            pending = sorted(self.state_.suspects_.pending_quarantines_)
            self.state_.actions_.extend(Quarantine(fingerprint) for fingerprint in pending)
        self._grant_all_waiting(now)
        return self._collect_actions()

    def next_deadline(self):
        """Return the time in seconds of the next :meth:`advance` call, or ``None``."""
        candidates = [
            self.takeover_.next_deadline(),
            self.admission_.deadlines_.next_deadline(),
            self.assigner_.deadlines_.next_deadline(),
            self.state_.upstreams_.next_deadline(),
            self.state_.suspects_.expiries_.next_deadline(),
            self.isolation_.next_deadline(),
            self.next_quarantine_resend_ if self.state_.suspects_.pending_quarantines_ else None,
        ]
        return min((deadline for deadline in candidates if deadline is not None), default=None)

    def count_running(self, upstream_id):
        """Return the number of requests counted as running on an upstream."""
        upstream = self.state_.upstreams_.get(upstream_id)
        return upstream.load if upstream else 0

    def _collect_actions(self):
        suspects = self.state_.suspects_
        for fingerprint in suspects.take_changed() if suspects.changed_suspects_ else ():
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

    def _handle_session_opened(self, router, message, now):
        session, holdings = self.sessions_.open(router, message, now)
        if session is None:
            self.state_.count("sessions_ignored", router)
            return
        if holdings is not None:
            self._reconcile_holdings(session, holdings, now)
        accepted = SessionAccepted(
            sequence=message.sequence,
            epoch=self.epoch,
            lease_ms=self.lease_ms,
            revision=self.state_.fleet_state_.revision,
            needs_holdings=not session.holdings_known_,
            released=session.pop_ends_to_confirm(),
        )
        self.state_.actions_.append(Send(router, accepted))
        self._grant_all_waiting(now)

    def _reconcile_holdings(self, session, holdings, now):
        held = {holding.request_id for holding in holdings}
        for entry in list(session.waiting_.values()):
            self.admission_.withdraw(entry)
        for record in list(session.permits_.values()):
            if record.request_id not in held:
                self.assigner_.release(record, PermitOutcome.UNUSED, -1, now)
        for holding in holdings:
            self.takeover_.adopt(session, holding, now)
        session.early_releases_.clear()
        self.takeover_.record_router_report(session, now)

    def _handle_session_closed(self, router, message, now):
        session = self.sessions_.get(router)
        if session is None or session.boot_id != message.boot_id:
            return
        for entry in list(session.waiting_.values()):
            self.admission_.withdraw(entry)
        for record in list(session.permits_.values()):
            self.assigner_.release(record, PermitOutcome.UNUSED, -1, now)
        self.sessions_.close(router)
        self._grant_all_waiting(now)

    def _handle_request(self, router, message, now):
        session = self.sessions_.get_active(router, now)
        if session is None:
            self.state_.count("permits_refused", RefusalReason.STALE_VIEW.value)
            refused = PermitRefused(
                message.request_id, RefusalReason.STALE_VIEW, STALE_VIEW_RETRY_MS
            )
            self.state_.actions_.append(Send(router, refused))
        elif message.request_id in session.permits_:
            record = session.permits_[message.request_id]
            if record.grant is not None:
                self.state_.actions_.append(Send(router, record.grant))
        elif message.request_id not in session.waiting_:
            self.admission_.admit(session, message, now)

    def _handle_release(self, router, message, now):
        session = self.sessions_.get(router)
        if session is None:
            return
        session.releases_to_confirm_.append(message.request_id)
        record = session.permits_.get(message.request_id)
        if record is None:
            session.record_early_end(message.request_id)
            return
        self.assigner_.release(record, message.outcome, message.first_token_ms, now)
        self.admission_.grant_waiting(record.service, now)

    def _handle_withdrawal(self, router, message, now):
        session = self.sessions_.get(router)
        entry = session.waiting_.get(message.request_id) if session else None
        if entry is not None:
            session.releases_to_confirm_.append(message.request_id)
            self.admission_.withdraw(entry)
            return
        self._handle_release(router, PermitReleased(message.request_id, PermitOutcome.UNUSED), now)

    def _handle_announcement(self, event, now):
        self.upstream_tracker_.handle_announcement(event.announcement, now)
        self._grant_all_waiting(now)

    def _handle_departure(self, event, now):
        self.upstream_tracker_.handle_departure(event.upstream_id)
        self._grant_all_waiting(now)

    def _handle_load_report(self, message, now):
        self.upstream_tracker_.handle_load_report(message, now)

    def _handle_cache_event(self, message, now):
        self.upstream_tracker_.handle_cache_event(message)

    def _handle_fleet_state(self, event, now):
        if event.fleet_state.revision < self.state_.fleet_state_.revision:
            return
        self.state_.configure(event.fleet_state)
        self._grant_all_waiting(now)

    def _begin_takeover(self, event, now):
        self.takeover_.begin(event.routers, now, self.takeover_ms / 1000)

    def _restore_suspects(self, event, now):
        for suspect in event.suspects:
            self.state_.suspects_.restore_suspect(suspect.fingerprint, suspect.boots, now)

    def _grant_all_waiting(self, now):
        for service in list(self.state_.services_.values()):
            self.admission_.grant_waiting(service, now)
