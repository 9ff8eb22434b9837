"""A router's session with the owner of the running counts: found, opened, renewed, found again."""

from dataclasses import dataclass
from enum import StrEnum

from sassafrashook.base import Send
from sassafrashook.messages import SessionOpened

RENEWALS_PER_LEASE = 3
RENEWALS_MISSED_MAX = 2
CLOCK_DRIFT = 0.01
PROBE_INTERVAL_S = 0.1
ANSWER_TIMEOUT_S = 0.5
RENEWALS_REMEMBERED = 16


class SessionPhase(StrEnum):
    """How far the session is."""

    SEARCHING = "searching"
    OPENING = "opening"
    OPEN = "open"


@dataclass(slots=True, frozen=True)
class Renewal:
    """One renewal on its way.

    :param controller: whom it was sent to.
    :param sent: seconds.
    """

    controller: str
    sent: float


class OwnerSession:
    """The session of one router.

    :param router: the router's name.
    :param boot_id: of the router's process.
    :param controllers: names of the processes that may be the owner.

    Attributes
    ----------
    phase_ : the :class:`SessionPhase`.
    owner_ : name of the owner, empty while searching.
    epoch_ : highest epoch heard of, 0 if none.
    fresh_until_ : seconds until which the owner's confirmation holds.
    revision_ : configuration revision that the owner last stated.
    """

    def __init__(self, router, boot_id, controllers):
        self.router = router
        self.boot_id = boot_id
        self.controllers = controllers
        self.phase_ = SessionPhase.SEARCHING
        self.owner_ = ""
        self.epoch_ = 0
        self.fresh_until_ = float("-inf")
        self.revision_ = 0
        self.sequence_ = 0
        self.renewals_ = {}
        self.next_send_ = float("-inf")
        self.candidate_ = 0
        self.answer_by_ = float("inf")
        self.lease_s_ = 1.0

    def is_open(self):
        """Return whether requests may be sent to the owner."""
        return self.phase_ == SessionPhase.OPEN

    def search(self, now):
        """Give the session up and look for the owner at once."""
        self.phase_ = SessionPhase.SEARCHING
        self.owner_ = ""
        self.answer_by_ = float("inf")
        self.next_send_ = min(self.next_send_, now)

    def is_lost(self, now):
        """Return whether the owner has been silent for too long."""
        return self.phase_ != SessionPhase.SEARCHING and now >= self.answer_by_

    def renew(self, holdings, now):
        """Send what is due: a probe to the next controller, or a renewal to the owner.

        :param holdings: every permit in use, sent while the session is being opened.
        :returns: the actions.
        """
        if now < self.next_send_:
            return []
        if self.phase_ == SessionPhase.SEARCHING:
            controller = self.controllers[self.candidate_ % len(self.controllers)]
            self.candidate_ += 1
            self.next_send_ = now + PROBE_INTERVAL_S
            return [self._open(controller, 0, [], now)]
        if self.phase_ == SessionPhase.OPENING:
            self.next_send_ = now + ANSWER_TIMEOUT_S
            return [self._open(self.owner_, self.epoch_, holdings, now)]
        self.next_send_ = now + self.lease_s_ / RENEWALS_PER_LEASE
        return [self._open(self.owner_, self.epoch_, [], now)]

    def probe(self, controller, now):
        """Ask a controller that says of itself that it became the owner.

        :returns: the actions.
        """
        if controller not in self.controllers or controller == self.owner_:
            return []
        return [self._open(controller, 0, [], now)]

    def accept(self, name, message, now):
        """Take a :class:`~sassafrashook.messages.SessionAccepted`.

        :returns: the phase that the session entered by it, or ``None``.
        """
        renewal = self.renewals_.get(message.sequence)
        if renewal is None or renewal.controller != name or message.epoch < self.epoch_:
            return None
        self.lease_s_ = message.lease_ms / 1000
        fresh_until = renewal.sent + self.lease_s_ * (1 - CLOCK_DRIFT)
        self.fresh_until_ = max(self.fresh_until_, fresh_until)
        self.revision_ = max(self.revision_, message.revision)
        is_known = self.owner_ == name and self.epoch_ == message.epoch
        if message.needs_holdings:
            return self._begin_opening(name, message.epoch, is_known, message.sequence, now)
        if not is_known or self.phase_ == SessionPhase.SEARCHING:
            return None
        self._expect_answer(now)
        if self.phase_ == SessionPhase.OPEN:
            return None
        self.phase_ = SessionPhase.OPEN
        self.next_send_ = now + self.lease_s_ / RENEWALS_PER_LEASE
        return self.phase_

    def redirect(self, name, message, now):
        """Take a :class:`~sassafrashook.messages.SessionRedirected`.

        A new owner says so of itself with sequence 0; then it is asked next.

        :returns: whether the session was lost by it.
        """
        if message.sequence == 0:
            return self._follow(name, message.owner, now)
        renewal = self.renewals_.pop(message.sequence, None)
        if renewal is None or renewal.controller != name:
            return False
        is_lost = self.owner_ == name
        if is_lost:
            self.search(now)
        if self.phase_ == SessionPhase.SEARCHING:
            self._ask_next(message.owner, now)
        return is_lost

    def _follow(self, name, owner, now):
        if name != owner or owner == self.owner_:
            return False
        self.search(now)
        self._ask_next(owner, now)
        return True

    def _ask_next(self, owner, now):
        if owner in self.controllers:
            self.candidate_ = self.controllers.index(owner)
            self.next_send_ = now

    def _begin_opening(self, name, epoch, is_known, sequence, now):
        if is_known and (self.phase_ == SessionPhase.OPENING or sequence < self.sequence_):
            return None
        self.phase_ = SessionPhase.OPENING
        self.owner_ = name
        self.epoch_ = epoch
        self.next_send_ = now
        self._expect_answer(now)
        return self.phase_

    def _expect_answer(self, now):
        renewals_s = self.lease_s_ / RENEWALS_PER_LEASE * RENEWALS_MISSED_MAX
        self.answer_by_ = now + renewals_s + ANSWER_TIMEOUT_S

    def _open(self, controller, epoch, holdings, now):
        self.sequence_ += 1
        self.renewals_[self.sequence_] = Renewal(controller, now)
        self.renewals_.pop(self.sequence_ - RENEWALS_REMEMBERED, None)
        opened = SessionOpened(self.router, self.boot_id, self.sequence_, epoch, holdings)
        return Send(controller, opened)
