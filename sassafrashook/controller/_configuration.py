"""Publishes the committed configuration, and knows which routers act on it."""

from dataclasses import dataclass, field

import gevent
import msgspec
from gevent.event import Event

from sassafrashook.controller._service import ControllerService
from sassafrashook.messages import (
    ConfigurationConfirmed,
    ConfigurationPublished,
    SessionClosed,
    SessionOpened,
)
from sassafrashook.state import digest_document
from sassafrashook.tasks import spawn_task
from sassafrashook.telemetry import log_event
from sassafrashook.utils import Interval

__all__ = ["ConfigurationService", "Rollout"]

ROLLOUT_POLL_MS = 20


class Rollout(msgspec.Struct, frozen=True):
    """How far a revision has come.

    :param in_force: whether no router that may take new work acts on an older revision.
    :param confirmed: names of routers that act on it, sorted.
    :param pending: routers that have not confirmed it and may still take new work.
    :param silent: routers that have not confirmed it and were silent for longer than any lease.
    """

    revision: int
    in_force: bool
    confirmed: list[str]
    pending: list[str]
    silent: list[str]


@dataclass(slots=True)
class _RouterProgress:
    boot_id: str
    heard_at: float
    revision: int = -1
    digest: str = ""
    sent_revision: int = -1
    send_again_at: float = 0.0


@dataclass(slots=True)
class _Publication:
    revision: int = -1
    digest: str = ""
    document: bytes = field(default=b"")


class ConfigurationService(ControllerService):
    """Sends the committed configuration to routers while this controller leads.

    :param log: a :class:`~sassafrashook.gateways.ReplicatedLog`.
    :param state: the local :class:`~sassafrashook.state.FleetStateMachine`.
    :param sender: a :class:`~sassafrashook.gateways.Sender`.
    :param clock: returns monotonic seconds.
    :param resend_ms: when an unconfirmed publication is sent again.
    :param silent_after_ms: silence after which a router takes no new work, since its lease is over.
    :param sleep: waits for a number of seconds.

    Attributes: ``routers_``, progress by router name.

    :raises ParameterError: from :meth:`start`.

    See also :class:`AdminApplication`, which waits for a rollout.

    Example::

        >>> from sassafrashook.controller import ConfigurationService
        >>> ConfigurationService(log=None, state=None, sender=None, clock=None).resend_ms
        500
    """

    handled_messages = (SessionOpened, SessionClosed, ConfigurationConfirmed)
    _parameter_constraints = {
        "resend_ms": Interval(int, 10, 60_000),
        "silent_after_ms": Interval(int, 100, 3_600_000),
    }

    def __init__(
        self, log, state, sender, clock, resend_ms=500, silent_after_ms=10_000, sleep=gevent.sleep
    ):
        self.log = log
        self.state = state
        self.sender = sender
        self.clock = clock
        self.resend_ms = resend_ms
        self.silent_after_ms = silent_after_ms
        self.sleep = sleep

    def start(self):
        """Start publishing."""
        self.validate_parameters()
        self.routers_ = {}
        self._term = 0
        self._term_began_at = self.clock()
        self._publication = _Publication()
        self._wake = Event()
        self.state.subscribe(self._wake.set)
        self._task = spawn_task(self._run)

    def stop(self):
        """Stop publishing."""
        self._task.kill()

    def deliver(self, sender, message):
        """Take a session or a confirmation of a router."""
        if message.router != sender:
            log_event("sender_mismatch", level="warning", sender=sender, router=message.router)
            return
        if isinstance(message, SessionClosed):
            self._forget(message)
            return
        progress = self._find_progress(message)
        progress.heard_at = self.clock()
        if isinstance(message, ConfigurationConfirmed) and message.revision >= progress.revision:
            progress.revision = message.revision
            progress.digest = message.digest
        if self._can_publish():
            self._send(message.router, progress, self.clock())

    def rollout(self, revision):
        """Return how far a revision has come, as this leader knows.

        :returns: a :class:`Rollout`.
        """
        self._note_term()
        self._encode_publication()
        confirmed, pending, silent = [], [], []
        for name in sorted(self._known_routers()):
            progress = self.routers_.get(name)
            if progress is not None and self._has_confirmed(progress, revision):
                confirmed.append(name)
            elif self._is_silent(progress):
                silent.append(name)
            else:
                pending.append(name)
        return Rollout(revision, not pending, confirmed, pending, silent)

    def wait_in_force(self, revision, deadline):
        """Block until a revision is in force everywhere, or the deadline has passed.

        :param deadline: monotonic seconds.
        :returns: the last :class:`Rollout`.
        """
        rollout = self.rollout(revision)
        while not rollout.in_force and self.clock() < deadline:
            self.sleep(ROLLOUT_POLL_MS / 1000)
            rollout = self.rollout(revision)
        return rollout

    def publish(self):
        """Send the publication to every router that is due for it.

        :returns: number of messages sent.
        """
        if not self._can_publish():
            return 0
        now = self.clock()
        return sum(self._send(name, progress, now) for name, progress in self.routers_.items())

    def _run(self):
        while True:
            self._wake.wait(self.resend_ms / 1000)
            self._wake.clear()
            try:
                self.publish()
            except Exception as error:  # a fault must not end the task
                log_event("publication_failed", level="error", error=repr(error))

    def _can_publish(self):
        self._note_term()
        return self.log.leading_term(self.clock()) != 0 and self._encode_publication()

    def _send(self, name, progress, now):
        publication = self._publication
        if self._has_confirmed(progress, publication.revision) or self._is_silent(progress):
            return 0
        if progress.sent_revision == publication.revision and now < progress.send_again_at:
            return 0
        progress.sent_revision = publication.revision
        progress.send_again_at = now + self.resend_ms / 1000
        message = ConfigurationPublished(
            publication.revision, publication.digest, publication.document
        )
        return int(self.sender.send(name, message))

    def _encode_publication(self):
        """Encode what is in force, once for each revision; returns whether it can be published."""
        if self._publication.revision == self.state.revision:
            return bool(self._publication.document)
        self._publication = _Publication(self.state.revision)
        try:
            document = msgspec.msgpack.encode(self.state.fleet_state())
        except msgspec.MsgspecError as error:
            log_event("document_unreadable", level="error", error=error)
            return False
        self._publication.document = document
        self._publication.digest = digest_document(document)
        return True

    def _note_term(self):
        term = self.log.leading_term(self.clock())
        if term not in (0, self._term):
            self._term = term
            self._term_began_at = self.clock()

    def _known_routers(self):
        registered = {name for name, _ in self.state.routers_.routers_}
        return registered | set(self.routers_)

    def _has_confirmed(self, progress, revision):
        if progress.revision < revision:
            return False
        published = self._publication
        return progress.revision != published.revision or progress.digest == published.digest

    def _is_silent(self, progress):
        heard_at = self._term_began_at if progress is None else progress.heard_at
        since = max(heard_at, self._term_began_at)
        return self.clock() - since > self.silent_after_ms / 1000

    def _find_progress(self, message):
        progress = self.routers_.get(message.router)
        if progress is None or progress.boot_id != message.boot_id:
            progress = _RouterProgress(message.boot_id, self.clock())
            self.routers_[message.router] = progress
        return progress

    def _forget(self, message):
        progress = self.routers_.get(message.router)
        if progress is not None and progress.boot_id == message.boot_id:
            del self.routers_[message.router]
