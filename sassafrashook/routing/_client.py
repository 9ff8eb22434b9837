"""Router side of the permit protocol.

A router sends a request to an upstream only under a permit. The *owner* is the controller that
counts running requests in the current term and grants permits. The router keeps a session with it.
"""

import msgspec

from sassafrashook.base import Core, Count, Send
from sassafrashook.interfaces import Permit
from sassafrashook.messages import (
    PermitGranted,
    PermitOutcome,
    PermitRefused,
    PermitReleased,
    PermitWithdrawn,
    SessionAccepted,
    SessionClosed,
    SessionRedirected,
)
from sassafrashook.outcomes import Refusal, RefusalReason, Verdict
from sassafrashook.routing._actions import Acquired, Refused
from sassafrashook.routing._deadlines import DeadlineTable
from sassafrashook.routing._events import (
    AcquireRequested,
    ControllerDisconnected,
    ControllerMessageReceived,
    ReleaseRequested,
    StopRequested,
    WithdrawRequested,
)
from sassafrashook.routing._holdings import HeldPermit, PendingRequest, make_holding
from sassafrashook.routing._owner_session import OwnerSession, SessionPhase
from sassafrashook.utils import hash_key

REPLY_MARGIN_MS = 20  # subtracted from the waiting time stated to the owner
RESEND_INTERVAL_S = 0.5
CONFIRM_TIMEOUT_S = 1.0
RETRY_AFTER_MIN_MS = 500
# Ids count up from a 48-bit hash of the boot id. Messages of an earlier boot may still arrive, so
# the ids of two boots must not overlap.
REQUEST_ID_BASE_SHIFT = 16
CRASH_RETENTION_S = 30.0


class PermitClient(Core):
    """Acquires permits from the owner and releases them.

    The client finds the owner among the controllers, renews its session before the lease expires
    and reports the permits in use to each new owner. While no owner replies, requests wait until
    their deadline and are then refused with verdict ``not_run``.

    See also :class:`PermitLedger`, the owner's side.

    :param router: name of the router.
    :param boot_id: unique id of this start of the process.
    :param controllers: names of the controllers, any of which may be the owner.
    :param rng: random number generator with a ``uniform`` method; spreads retry times.
    :raises ParameterError: if a parameter is outside its range.
    :ivar session_: the :class:`OwnerSession`.
    :ivar pending_: waiting requests, by token.
    :ivar pending_by_id_: waiting requests that were sent to the owner, by request id.
    :ivar permits_: permits in use, and ended ones whose release is still to be sent, by request id.
    :ivar recent_crashes_: released permits whose upstream crashed within
        ``CRASH_RETENTION_S``, by request id; they are reported again to a new owner.
    :ivar unconfirmed_releases_: releases and withdrawals that the owner has not confirmed, each
        with the time in seconds when it was last sent, by request id.
    :ivar last_crash_replay_epoch_: epoch in which recent crashes were last reported again.
    :ivar deadlines_: deadlines of the waiting requests.
    :ivar resends_: times at which unanswered requests are sent again.
    :ivar stopping_: whether :class:`StopRequested` was received.
    :ivar closed_: whether the session was closed after :class:`StopRequested`.

    Examples
    --------
    >>> import random
    >>> from sassafrashook.messages import SessionAccepted
    >>> from sassafrashook.routing import ControllerMessageReceived, PermitClient
    >>> client = PermitClient("r1", "boot", ["c1"], random.Random(1))
    >>> client.advance(now=0.0)[0].peer
    'c1'
    >>> accepted = SessionAccepted(1, epoch=1, lease_ms=2000, revision=1, needs_holdings=True)
    >>> actions = client.handle(ControllerMessageReceived("c1", accepted), now=0.001)
    >>> actions[0].message.epoch
    1
    >>> accepted = SessionAccepted(2, epoch=1, lease_ms=2000, revision=1)
    >>> actions = client.handle(ControllerMessageReceived("c1", accepted), now=0.002)
    >>> client.has_valid_lease(now=1.0), client.has_valid_lease(now=2.0)
    (True, False)
    """

    def __init__(self, router, boot_id, controllers, rng):
        self.router = router
        self.boot_id = boot_id
        self.controllers = list(controllers)
        self.rng = rng
        self.session_ = OwnerSession(router, boot_id, self.controllers)
        self.pending_ = {}
        self.pending_by_id_ = {}
        self.permits_ = {}
        self.recent_crashes_ = {}
        self.last_crash_replay_epoch_ = 0
        self.deadlines_ = DeadlineTable()
        self.resends_ = DeadlineTable()
        self.request_id_base_ = hash_key("request", boot_id) >> REQUEST_ID_BASE_SHIFT
        self.last_request_id_ = self.request_id_base_
        self.stopping_ = False
        self.closed_ = False
        self.unconfirmed_releases_ = {}
        self.actions_ = []
        self._handlers = {
            AcquireRequested: self._start_request,
            WithdrawRequested: self._withdraw_request,
            ReleaseRequested: self._release_permit,
            ControllerMessageReceived: self._handle_message,
            ControllerDisconnected: self._handle_disconnect,
            StopRequested: self._begin_stop,
            SessionAccepted: self._accept_session,
            SessionRedirected: self._redirect_session,
            PermitGranted: self._handle_grant,
            PermitRefused: self._handle_refusal,
        }

    def has_valid_lease(self, now):
        """Return whether the lease of the session, which the owner's replies extend, is valid.

        Without a valid lease the router's view, its zones and configuration, may be out of date.

        :param now: the current time, seconds.
        """
        return now < self.session_.confirmed_until_

    def handle(self, event, now):
        """Handle one event.

        :param event: one of the events that :mod:`sassafrashook.routing` exports for routers.
        :param now: the current time, seconds.
        :returns: :class:`Send`, :class:`Acquired`, :class:`Refused` and :class:`Count` actions.
        """
        self._handlers[type(event)](event, now)
        self._renew_session(now)
        return self._take_actions()

    def advance(self, now):
        """Refuse expired requests, resend unanswered ones and renew the session.

        :param now: the current time, seconds.
        :returns: the same kinds of action as :meth:`handle`.
        """
        for pending in self.deadlines_.pop_due(now):
            self._refuse_expired(pending, now)
        if self.session_.is_lost(now):
            self._restart_search(now)
        for pending in self.resends_.pop_due(now):
            self._send_request(pending, now)
        self._renew_session(now)
        return self._take_actions()

    def next_deadline(self):
        """Return the time in seconds at which :meth:`advance` is due, or ``None``."""
        session = self.session_
        candidates = [self.deadlines_.next_deadline(), self.resends_.next_deadline()]
        if not self.closed_:
            candidates += [session.next_send_, session.reply_deadline_]
        return min((deadline for deadline in candidates if deadline is not None), default=None)

    def _take_actions(self):
        actions = self.actions_
        self.actions_ = []
        return actions

    def _renew_session(self, now):
        if self.stopping_ and not self.closed_ and not self._has_outstanding_work():
            self._close_session()
        if not self.closed_:
            self.actions_ += self.session_.poll(self._list_holdings(now), now)

    def _has_outstanding_work(self):
        """Return whether the owner may still count a request or permit for this router."""
        return bool(self.pending_ or self.permits_ or self.unconfirmed_releases_)

    def _close_session(self):
        self.closed_ = True
        if self.session_.owner_:
            closed = SessionClosed(self.router, self.boot_id)
            self.actions_.append(Send(self.session_.owner_, closed))

    def _start_request(self, event, now):
        pending = PendingRequest(event.token, event.query, event.deadline)
        if self.closed_:
            self._refuse(pending, RefusalReason.STOPPING, 0)
        elif now >= event.deadline:
            self._refuse(pending, RefusalReason.WAITING_TARGET, self._draw_retry_ms())
        else:
            self.pending_[event.token] = pending
            self.deadlines_.add(pending, event.deadline)
            self._send_request(pending, now)

    def _send_request(self, pending, now):
        if not self.session_.is_open():
            return
        if not pending.request_id:
            self.last_request_id_ += 1
            pending.request_id = self.last_request_id_
            pending.first_sent_at = now
            self.pending_by_id_[pending.request_id] = pending
        waiting_ms = max(1, int((pending.deadline - now) * 1000) - REPLY_MARGIN_MS)
        message = msgspec.structs.replace(
            pending.query, request_id=pending.request_id, waiting_ms=waiting_ms
        )
        self.actions_.append(Send(self.session_.owner_, message))
        self.resends_.add(pending, now + RESEND_INTERVAL_S)

    def _withdraw_request(self, event, now):
        pending = self.pending_.get(event.token)
        if pending is not None:
            self._remove_pending(pending, now, withdraw=True)

    def _remove_pending(self, pending, now, withdraw=False):
        del self.pending_[pending.token]
        self.deadlines_.remove(pending)
        if pending.request_id and withdraw and self.session_.is_open():
            self._send_until_confirmed(PermitWithdrawn(pending.request_id), now)
        self._reset_request(pending)

    def _reset_request(self, pending):
        self.pending_by_id_.pop(pending.request_id, None)
        self.resends_.remove(pending)
        pending.request_id = 0

    def _refuse_expired(self, pending, now):
        if self.session_.is_open():
            reason = RefusalReason.WAITING_TARGET
        elif self.has_valid_lease(now) or not self.session_.epoch_:
            reason = RefusalReason.NO_OWNER
        else:
            reason = RefusalReason.STALE_VIEW
        self._remove_pending(pending, now, withdraw=True)
        self._refuse(pending, reason, self._draw_retry_ms())

    def _refuse(self, pending, reason, retry_after_ms):
        refusal = Refusal(Verdict.NOT_RUN, reason, retry_after_ms)
        self.actions_.append(Refused(pending.token, refusal))

    def _release_permit(self, event, now):
        held = self.permits_.get(event.request_id)
        if held is None or held.release is not None:
            return
        held.release = PermitReleased(event.request_id, event.outcome, event.first_token_ms)
        if self.session_.is_open():
            self._send_release(held, now)

    def _send_release(self, held, now):
        del self.permits_[held.release.request_id]
        if held.release.outcome == PermitOutcome.CRASHED:
            self.recent_crashes_[held.release.request_id] = held
            held.deadline = now + CRASH_RETENTION_S
        self._send_until_confirmed(held.release, now)

    def _replay_crashes(self, now):
        """Add recent crashes to the permits reported to a new owner, once per epoch.

        Only the earlier owner received the releases that reported them.
        """
        if self.last_crash_replay_epoch_ == self.session_.epoch_:
            return
        self.last_crash_replay_epoch_ = self.session_.epoch_
        retained = {key: held for key, held in self.recent_crashes_.items() if held.deadline > now}
        self.recent_crashes_ = {}
        self.permits_.update(retained)

    def _handle_message(self, event, now):
        self._handlers[type(event.message)](event.name, event.message, now)

    def _accept_session(self, sender, message, now):
        phase = self.session_.handle_accepted(sender, message, now)
        if sender == self.session_.owner_ and message.epoch == self.session_.epoch_:
            self._handle_confirmed_releases(message.released, now)
        if phase == SessionPhase.OPENING:
            self._reset_all_requests()
            self.unconfirmed_releases_.clear()
            self._replay_crashes(now)
        elif phase == SessionPhase.OPEN:
            for held in [held for held in self.permits_.values() if held.release is not None]:
                self._send_release(held, now)
            for pending in list(self.pending_.values()):
                self._send_request(pending, now)

    def _handle_confirmed_releases(self, request_ids, now):
        """Drop the confirmed releases and withdrawals; resend those overdue, which may be lost."""
        for request_id in request_ids:
            self.unconfirmed_releases_.pop(request_id, None)
        if not self.session_.is_open():
            return
        overdue = [
            release
            for release, sent_at in self.unconfirmed_releases_.values()
            if sent_at + CONFIRM_TIMEOUT_S <= now
        ]
        for message in overdue:
            self._send_until_confirmed(message, now)

    def _send_until_confirmed(self, message, now):
        """Send a release or withdrawal, and keep it until the owner confirms it.

        :param message: a :class:`PermitReleased` or :class:`PermitWithdrawn`.
        """
        self.unconfirmed_releases_[message.request_id] = (message, now)
        self.actions_.append(Send(self.session_.owner_, message))

    def _redirect_session(self, sender, message, now):
        if message.sequence == 0:
            self.actions_.extend(self.session_.make_probe(sender, now))
        elif self.session_.handle_redirected(sender, message, now):
            self._reset_all_requests()

    def _handle_disconnect(self, event, now):
        if event.name == self.session_.owner_:
            self._restart_search(now)

    def _restart_search(self, now):
        self.session_.start_search(now)
        self._reset_all_requests()

    def _reset_all_requests(self):
        for pending in self.pending_.values():
            self._reset_request(pending)

    def _handle_grant(self, sender, message, now):
        pending = self.pending_by_id_.get(message.request_id)
        is_current = sender == self.session_.owner_ and message.epoch == self.session_.epoch_
        if pending is None or not is_current:
            if self._is_own_unheld_id(message.request_id):
                self._return_unused(sender, message, now)
            return
        send_deadline = pending.first_sent_at + message.use_within_ms / 1000
        if now >= send_deadline:
            self._return_late_grant(sender, pending, message, now)
            return
        permit = Permit(
            request_id=message.request_id,
            upstream_id=message.upstream_id,
            boot_id=message.boot_id,
            host=message.host,
            port=message.port,
            send_deadline=send_deadline,
            priority=message.priority,
        )
        self._remove_pending(pending, now)
        running_until = now + pending.query.running_ms / 1000
        self.permits_[permit.request_id] = HeldPermit(permit, pending.query, running_until)
        self.actions_.append(Acquired(pending.token, permit))

    def _is_own_unheld_id(self, request_id):
        """Return whether this process issued an id and holds no permit under it."""
        is_own_id = self.request_id_base_ < request_id <= self.last_request_id_
        return is_own_id and request_id not in self.permits_

    def _return_late_grant(self, sender, pending, message, now):
        """Return a permit that arrived too late to be used, and request another one."""
        self.actions_.append(Count("permits_late", message.upstream_id))
        self._return_unused(sender, message, now)
        self._reset_request(pending)
        self._send_request(pending, now)

    def _return_unused(self, sender, message, now):
        unused = PermitReleased(message.request_id, PermitOutcome.UNUSED)
        if sender == self.session_.owner_:
            self._send_until_confirmed(unused, now)
        else:
            self.actions_.append(Send(sender, unused))

    def _handle_refusal(self, sender, message, now):
        pending = self.pending_by_id_.get(message.request_id)
        if pending is None or sender != self.session_.owner_:
            return
        if message.reason == RefusalReason.STALE_VIEW:
            self._restart_search(now)
            return
        self._remove_pending(pending, now)
        self._refuse(pending, RefusalReason(message.reason), message.retry_after_ms)

    def _begin_stop(self, event, now):
        self.stopping_ = True

    def _draw_retry_ms(self):
        return int(RETRY_AFTER_MIN_MS * self.rng.uniform(1, 2))

    def _list_holdings(self, now):
        if self.session_.phase_ != SessionPhase.OPENING:
            return []
        return [make_holding(held, now) for held in self.permits_.values()]
