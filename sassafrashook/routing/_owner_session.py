"""A router's session with the current owner: discovery, opening, renewal and failover."""

from dataclasses import dataclass
from enum import StrEnum

from sassafrashook.base import Send
from sassafrashook.messages import SessionOpened

RENEWALS_PER_LEASE = 3
MAX_MISSED_RENEWALS = 2
MAX_CLOCK_DRIFT = 0.01  # fraction of the lease
PROBE_INTERVAL_S = 0.1
REPLY_TIMEOUT_S = 0.5
MAX_SENT_MESSAGES = 16


class SessionPhase(StrEnum):
    """States of a session."""

    SEARCHING = "searching"
    OPENING = "opening"
    OPEN = "open"


@dataclass(slots=True, frozen=True)
class SentSessionMessage:
    """A message to a controller, kept to match its reply: a probe, an opening or a renewal.

    :param controller: name of the controller that it was sent to.
    :param sent_at: time of sending, in seconds.
    """

    controller: str
    sent_at: float


class OwnerSession:
    """One router's session with the owner.

    :param router: name of the router.
    :param boot_id: boot id of the router's process.
    :param controllers: names of the controllers, any of which may be the owner.

    :ivar phase_: the :class:`SessionPhase`.
    :ivar owner_: name of the owner, empty while searching.
    :ivar epoch_: highest epoch seen so far, 0 if none.
    :ivar confirmed_until_: time until which the owner's last confirmation is valid, in seconds.
    :ivar revision_: highest configuration revision that an owner has sent.
    """

    def __init__(self, router, boot_id, controllers):
        self.router = router
        self.boot_id = boot_id
        self.controllers = controllers
        self.phase_ = SessionPhase.SEARCHING
        self.owner_ = ""
        self.epoch_ = 0
        self.confirmed_until_ = float("-inf")
        self.revision_ = 0
        self.sequence_ = 0
        self.sent_messages_ = {}
        self.next_send_ = float("-inf")
        self.next_controller_index_ = 0
        self.reply_deadline_ = float("inf")
        self.lease_s_ = 1.0

    def is_open(self):
        """Return whether permit requests may be sent to the owner."""
        return self.phase_ == SessionPhase.OPEN

    def start_search(self, now):
        """Abandon the session and start searching for the owner immediately."""
        self.phase_ = SessionPhase.SEARCHING
        self.owner_ = ""
        self.reply_deadline_ = float("inf")
        self.next_send_ = min(self.next_send_, now)

    def is_lost(self, now):
        """Return whether the owner has missed its reply deadline."""
        return self.phase_ != SessionPhase.SEARCHING and now >= self.reply_deadline_

    def poll(self, holdings, now):
        """Return the message that is due: a probe, an opening of the session or a renewal.

        :param holdings: all permits in use, sent while the session is being opened.
        :returns: the actions to perform.
        """
        if now < self.next_send_:
            return []
        if self.phase_ == SessionPhase.SEARCHING:
            controller = self.controllers[self.next_controller_index_ % len(self.controllers)]
            self.next_controller_index_ += 1
            self.next_send_ = now + PROBE_INTERVAL_S
            return [self._make_session_opened(controller, 0, [], now)]
        if self.phase_ == SessionPhase.OPENING:
            self.next_send_ = now + REPLY_TIMEOUT_S
            return [self._make_session_opened(self.owner_, self.epoch_, holdings, now)]
        self.next_send_ = now + self.lease_s_ / RENEWALS_PER_LEASE
        return [self._make_session_opened(self.owner_, self.epoch_, [], now)]

    def make_probe(self, controller, now):
        """Return a probe of a controller that has announced itself as the new owner.

        :returns: the actions to perform.
        """
        if controller not in self.controllers or controller == self.owner_:
            return []
        return [self._make_session_opened(controller, 0, [], now)]

    def handle_accepted(self, name, message, now):
        """Process a :class:`~sassafrashook.messages.SessionAccepted`.

        :returns: the phase that the session enters, or ``None`` if the phase stays the same.
        """
        sent = self.sent_messages_.get(message.sequence)
        if sent is None or sent.controller != name or message.epoch < self.epoch_:
            return None
        self.lease_s_ = message.lease_ms / 1000
        confirmed_until = sent.sent_at + self.lease_s_ * (1 - MAX_CLOCK_DRIFT)
        self.confirmed_until_ = max(self.confirmed_until_, confirmed_until)
        self.revision_ = max(self.revision_, message.revision)
        is_known = self.owner_ == name and self.epoch_ == message.epoch
        if message.needs_holdings:
            return self._begin_opening(name, message.epoch, is_known, message.sequence, now)
        if not is_known or self.phase_ == SessionPhase.SEARCHING:
            return None
        self._extend_answer_deadline(now)
        if self.phase_ == SessionPhase.OPEN:
            return None
        self.phase_ = SessionPhase.OPEN
        self.next_send_ = now + self.lease_s_ / RENEWALS_PER_LEASE
        return self.phase_

    def handle_redirected(self, name, message, now):
        """Process a :class:`~sassafrashook.messages.SessionRedirected`.

        :class:`PermitClient` passes an announcement of a new owner, which has sequence 0, to
        :meth:`make_probe` instead.

        :returns: whether the message ended the current session.
        """
        if message.sequence == 0:
            return self._switch_owner(name, message.owner, now)
        sent = self.sent_messages_.pop(message.sequence, None)
        if sent is None or sent.controller != name:
            return False
        is_lost = self.owner_ == name
        if is_lost:
            self.start_search(now)
        if self.phase_ == SessionPhase.SEARCHING:
            self._schedule_probe(message.owner, now)
        return is_lost

    def _switch_owner(self, name, owner, now):
        if name != owner or owner == self.owner_:
            return False
        self.start_search(now)
        self._schedule_probe(owner, now)
        return True

    def _schedule_probe(self, owner, now):
        if owner in self.controllers:
            self.next_controller_index_ = self.controllers.index(owner)
            self.next_send_ = now

    def _begin_opening(self, name, epoch, is_known, sequence, now):
        if is_known and (self.phase_ == SessionPhase.OPENING or sequence < self.sequence_):
            return None
        self.phase_ = SessionPhase.OPENING
        self.owner_ = name
        self.epoch_ = epoch
        self.next_send_ = now
        self._extend_answer_deadline(now)
        return self.phase_

    def _extend_answer_deadline(self, now):
        renewals_s = self.lease_s_ / RENEWALS_PER_LEASE * MAX_MISSED_RENEWALS
        self.reply_deadline_ = now + renewals_s + REPLY_TIMEOUT_S

    def _make_session_opened(self, controller, epoch, holdings, now):
        self.sequence_ += 1
        self.sent_messages_[self.sequence_] = SentSessionMessage(controller, now)
        self.sent_messages_.pop(self.sequence_ - MAX_SENT_MESSAGES, None)
        opened = SessionOpened(self.router, self.boot_id, self.sequence_, epoch, holdings)
        return Send(controller, opened)
