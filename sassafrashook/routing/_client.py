"""The router's side of the permits."""

import msgspec

from sassafrashook.base import Core, Count, Send
from sassafrashook.gateways import Permit
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
    ControllerLost,
    FromController,
    ReleaseRequested,
    StopRequested,
    WithdrawRequested,
)
from sassafrashook.routing._holdings import Held, Wait, make_holding
from sassafrashook.routing._owner_session import OwnerSession, SessionPhase
from sassafrashook.utils import hash_key

ANSWER_MARGIN_MS = 20
RESEND_S = 0.5
CONFIRM_S = 1.0
RETRY_AFTER_MS = 500
REQUEST_ID_BITS = 16  # ids of two boots must not meet, since old messages may still arrive
CRASHES_KEPT_S = 30.0


class PermitClient(Core):
    """Gets permits from whoever owns the running counts, and gives them back.

    It finds the owner among the controllers, renews its session before the lease ends, and tells a
    new owner what it holds. While no owner answers, requests wait up to their deadline and are
    then refused, ``not_run``.

    :param router: the router's name.
    :param boot_id: new for each start of the process.
    :param controllers: names of the processes that may be the owner.
    :param rng: source of randomness with a ``uniform`` method, for times to come back.

    Attributes
    ----------
    session_ : the :class:`OwnerSession`.
    waits_ : requests that wait, by token.
    held_ : permits in use, by request id.
    crashed_ : permits whose upstream crashed lately, told again to a new owner.
    unconfirmed_ : ends that the owner has not confirmed, with when they were told, by request id.
    closed_ : whether the session was closed after :class:`StopRequested`.

    :raises ParameterError: if a parameter is outside its range.

    See Also
    --------
    PermitLedger : the owner's side.

    Examples
    --------
    >>> import random
    >>> from sassafrashook.messages import SessionAccepted
    >>> from sassafrashook.routing import FromController, PermitClient
    >>> client = PermitClient("r1", "boot", ["c1"], random.Random(1))
    >>> client.advance(now=0.0)[0].peer
    'c1'
    >>> accepted = SessionAccepted(1, epoch=1, lease_ms=2000, revision=1, needs_holdings=True)
    >>> actions = client.handle(FromController("c1", accepted), now=0.001)
    >>> actions[0].message.epoch
    1
    >>> accepted = SessionAccepted(2, epoch=1, lease_ms=2000, revision=1)
    >>> actions = client.handle(FromController("c1", accepted), now=0.002)
    >>> client.is_fresh(now=1.0), client.is_fresh(now=2.0)
    (True, False)
    """

    def __init__(self, router, boot_id, controllers, rng):
        self.router = router
        self.boot_id = boot_id
        self.controllers = list(controllers)
        self.rng = rng
        self.session_ = OwnerSession(router, boot_id, self.controllers)
        self.waits_ = {}
        self.asked_ = {}
        self.held_ = {}
        self.crashed_ = {}
        self.replayed_epoch_ = 0
        self.deadlines_ = DeadlineTable()
        self.resends_ = DeadlineTable()
        self.first_request_id_ = hash_key("request", boot_id) >> REQUEST_ID_BITS
        self.request_id_ = self.first_request_id_
        self.stopping_ = False
        self.closed_ = False
        self.unconfirmed_ = {}
        self.actions_ = []
        self._handlers = {
            AcquireRequested: self._acquire,
            WithdrawRequested: self._withdraw,
            ReleaseRequested: self._release,
            FromController: self._handle_message,
            ControllerLost: self._lose_controller,
            StopRequested: self._stop,
            SessionAccepted: self._accept_session,
            SessionRedirected: self._redirect_session,
            PermitGranted: self._take_grant,
            PermitRefused: self._take_refusal,
        }

    def is_fresh(self, now):
        """Return whether the owner's confirmation of the router's view still holds."""
        return now < self.session_.fresh_until_

    def handle(self, event, now):
        """Take one event.

        :returns: :class:`Send`, :class:`Acquired`, :class:`Refused` and :class:`Count` actions.
        """
        self._handlers[type(event)](event, now)
        self._renew(now)
        return self._take_actions()

    def advance(self, now):
        """Refuse, resend and renew what has become due."""
        for wait in self.deadlines_.pop_due(now):
            self._give_up(wait, now)
        if self.session_.is_lost(now):
            self._reopen(now)
        for wait in self.resends_.pop_due(now):
            self._ask(wait, now)
        self._renew(now)
        return self._take_actions()

    def next_deadline(self):
        """Return when :meth:`advance` must be called next, or ``None``."""
        session = self.session_
        candidates = [self.deadlines_.next_deadline(), self.resends_.next_deadline()]
        if not self.closed_:
            candidates += [session.next_send_, session.answer_by_]
        return min((at for at in candidates if at is not None), default=None)

    def _take_actions(self):
        actions = self.actions_
        self.actions_ = []
        return actions

    def _renew(self, now):
        if self.stopping_ and not self.closed_ and not self._has_duties():
            self._close()
        if not self.closed_:
            self.actions_ += self.session_.renew(self._list_holdings(now), now)

    def _has_duties(self):
        """Return whether the owner may still count anything for this router."""
        return bool(self.waits_ or self.held_ or self.unconfirmed_)

    def _close(self):
        self.closed_ = True
        if self.session_.owner_:
            closed = SessionClosed(self.router, self.boot_id)
            self.actions_.append(Send(self.session_.owner_, closed))

    def _acquire(self, event, now):
        wait = Wait(event.token, event.query, event.deadline)
        if self.closed_:
            self._refuse(wait, RefusalReason.STOPPING, 0)
        elif now >= event.deadline:
            self._refuse(wait, RefusalReason.WAITING_TARGET, self._spread())
        else:
            self.waits_[event.token] = wait
            self.deadlines_.add(wait, event.deadline)
            self._ask(wait, now)

    def _ask(self, wait, now):
        if not self.session_.is_open():
            return
        if not wait.request_id:
            self.request_id_ += 1
            wait.request_id = self.request_id_
            wait.asked = now
            self.asked_[wait.request_id] = wait
        waiting_ms = max(1, int((wait.deadline - now) * 1000) - ANSWER_MARGIN_MS)
        message = msgspec.structs.replace(
            wait.query, request_id=wait.request_id, waiting_ms=waiting_ms
        )
        self.actions_.append(Send(self.session_.owner_, message))
        self.resends_.add(wait, now + RESEND_S)

    def _withdraw(self, event, now):
        wait = self.waits_.get(event.token)
        if wait is not None:
            self._forget(wait, now, withdraw=True)

    def _forget(self, wait, now, withdraw=False):
        del self.waits_[wait.token]
        self.deadlines_.remove(wait)
        if wait.request_id and withdraw and self.session_.is_open():
            self._end(PermitWithdrawn(wait.request_id), now)
        self._unask(wait)

    def _unask(self, wait):
        self.asked_.pop(wait.request_id, None)
        self.resends_.remove(wait)
        wait.request_id = 0

    def _give_up(self, wait, now):
        if self.session_.is_open():
            reason = RefusalReason.WAITING_TARGET
        elif self.is_fresh(now) or not self.session_.epoch_:
            reason = RefusalReason.NO_OWNER
        else:
            reason = RefusalReason.STALE_VIEW
        self._forget(wait, now, withdraw=True)
        self._refuse(wait, reason, self._spread())

    def _refuse(self, wait, reason, retry_after_ms):
        refusal = Refusal(Verdict.NOT_RUN, reason, retry_after_ms)
        self.actions_.append(Refused(wait.token, refusal))

    def _release(self, event, now):
        held = self.held_.get(event.request_id)
        if held is None or held.release is not None:
            return
        held.release = PermitReleased(event.request_id, event.outcome, event.first_token_ms)
        if self.session_.is_open():
            self._send_release(held, now)

    def _send_release(self, held, now):
        del self.held_[held.release.request_id]
        if held.release.outcome == PermitOutcome.CRASHED:
            self.crashed_[held.release.request_id] = held
            held.deadline = now + CRASHES_KEPT_S
        self._end(held.release, now)

    def _replay_crashes(self, now):
        """Hold again what an earlier owner was told of crashes, so that a new one learns of it."""
        if self.replayed_epoch_ == self.session_.epoch_:
            return
        self.replayed_epoch_ = self.session_.epoch_
        recent = {key: held for key, held in self.crashed_.items() if held.deadline > now}
        self.crashed_ = {}
        self.held_.update(recent)

    def _handle_message(self, event, now):
        self._handlers[type(event.message)](event.name, event.message, now)

    def _accept_session(self, name, message, now):
        phase = self.session_.accept(name, message, now)
        if name == self.session_.owner_ and message.epoch == self.session_.epoch_:
            self._confirm_ends(message.released, now)
        if phase == SessionPhase.OPENING:
            self._unask_all()
            self.unconfirmed_.clear()
            self._replay_crashes(now)
        elif phase == SessionPhase.OPEN:
            for held in [held for held in self.held_.values() if held.release is not None]:
                self._send_release(held, now)
            for wait in list(self.waits_.values()):
                self._ask(wait, now)

    def _confirm_ends(self, request_ids, now):
        """Forget what the owner knows to have ended, and tell it again of what may be lost."""
        for request_id in request_ids:
            self.unconfirmed_.pop(request_id, None)
        if not self.session_.is_open():
            return
        lost = [m for m, sent in self.unconfirmed_.values() if sent + CONFIRM_S <= now]
        for message in lost:
            self._end(message, now)

    def _end(self, message, now):
        """Tell the owner that a permit or a wait has ended, until it confirms that.

        :param message: a :class:`PermitReleased` or :class:`PermitWithdrawn`.
        """
        self.unconfirmed_[message.request_id] = (message, now)
        self.actions_.append(Send(self.session_.owner_, message))

    def _redirect_session(self, name, message, now):
        if message.sequence == 0:
            self.actions_.extend(self.session_.probe(name, now))
        elif self.session_.redirect(name, message, now):
            self._unask_all()

    def _lose_controller(self, event, now):
        if event.name == self.session_.owner_:
            self._reopen(now)

    def _reopen(self, now):
        self.session_.search(now)
        self._unask_all()

    def _unask_all(self):
        for wait in self.waits_.values():
            self._unask(wait)

    def _take_grant(self, name, message, now):
        wait = self.asked_.get(message.request_id)
        is_current = name == self.session_.owner_ and message.epoch == self.session_.epoch_
        if wait is None or not is_current:
            if self._is_unheld(message.request_id):
                self._return_unused(name, message, now)
            return
        use_by = wait.asked + message.use_within_ms / 1000
        if now >= use_by:
            self._return_late(name, wait, message, now)
            return
        permit = Permit(
            request_id=message.request_id,
            upstream_id=message.upstream_id,
            boot_id=message.boot_id,
            host=message.host,
            port=message.port,
            use_by=use_by,
            priority=message.priority,
        )
        self._forget(wait, now)
        running_until = now + wait.query.running_ms / 1000
        self.held_[permit.request_id] = Held(permit, wait.query, running_until)
        self.actions_.append(Acquired(wait.token, permit))

    def _is_unheld(self, request_id):
        """Return whether an id is of this process and no permit in use; others are not its own."""
        is_own = self.first_request_id_ < request_id <= self.request_id_
        return is_own and request_id not in self.held_

    def _return_late(self, name, wait, message, now):
        self.actions_.append(Count("permits_late", message.upstream_id))
        self._return_unused(name, message, now)
        self._unask(wait)
        self._ask(wait, now)

    def _return_unused(self, name, message, now):
        unused = PermitReleased(message.request_id, PermitOutcome.UNUSED)
        if name == self.session_.owner_:
            self._end(unused, now)
        else:
            self.actions_.append(Send(name, unused))

    def _take_refusal(self, name, message, now):
        wait = self.asked_.get(message.request_id)
        if wait is None or name != self.session_.owner_:
            return
        if message.reason == RefusalReason.STALE_VIEW:
            self._reopen(now)
            return
        self._forget(wait, now)
        self._refuse(wait, RefusalReason(message.reason), message.retry_after_ms)

    def _stop(self, event, now):
        self.stopping_ = True

    def _spread(self):
        return int(RETRY_AFTER_MS * self.rng.uniform(1, 2))

    def _list_holdings(self, now):
        if self.session_.phase_ != SessionPhase.OPENING:
            return []
        return [make_holding(held, now) for held in self.held_.values()]
