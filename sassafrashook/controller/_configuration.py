"""Publishes the committed fleet state to routers and tracks their confirmations."""

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
    """Progress of a revision over all routers.

    :param in_force: whether every router that may still accept requests applies this revision or a
        newer one.
    :param confirmed: sorted names of the routers that confirmed the revision.
    :param pending: routers that have not confirmed it and may still accept requests.
    :param silent: routers that have not confirmed it and whose leases have expired, since nothing
        was received from them for longer than any lease lasts.
    """

    revision: int
    in_force: bool
    confirmed: list[str]
    pending: list[str]
    silent: list[str]


@dataclass(slots=True)
class _RouterProgress:
    boot_id: str
    last_message_at: float
    revision: int = -1
    digest: str = ""
    sent_revision: int = -1
    resend_at: float = 0.0


@dataclass(slots=True)
class _Publication:
    revision: int = -1
    digest: str = ""
    document: bytes = field(default=b"")


class ConfigurationService(ControllerService):
    """Sends the committed configuration to routers while this controller leads.

    :param log: a :class:`~sassafrashook.interfaces.ReplicatedLog`.
    :param state: the local :class:`~sassafrashook.state.FleetStateMachine`.
    :param sender: a :class:`~sassafrashook.interfaces.Sender`.
    :param clock: returns monotonic seconds.
    :param resend_ms: interval after which an unconfirmed publication is resent, milliseconds.
    :param silence_timeout_ms: time without a message after which a router accepts no new requests
        because its lease has expired, milliseconds.
    :param sleep: blocks for a number of seconds.

    :ivar routers_: progress by router name.

    :raises ParameterError: from :meth:`start`.

    See also :class:`AdminApplication`, which waits for rollouts.

    Example::

        >>> from sassafrashook.controller import ConfigurationService
        >>> ConfigurationService(log=None, state=None, sender=None, clock=None).resend_ms
        500
    """

    handled_messages = (SessionOpened, SessionClosed, ConfigurationConfirmed)
    _parameter_constraints = {
        "resend_ms": Interval(int, 10, 60_000),
        "silence_timeout_ms": Interval(int, 100, 3_600_000),
    }

    def __init__(
        self,
        log,
        state,
        sender,
        clock,
        resend_ms=500,
        silence_timeout_ms=10_000,
        sleep=gevent.sleep,
    ):
        self.log = log
        self.state = state
        self.sender = sender
        self.clock = clock
        self.resend_ms = resend_ms
        self.silence_timeout_ms = silence_timeout_ms
        self.sleep = sleep

    def start(self):
        """Start the publishing task."""
        self.validate_parameters()
        self.routers_ = {}
        self._term = 0
        self._term_started_at = self.clock()
        self._publication = _Publication()
        self._state_changed = Event()
        self.state.subscribe(self._state_changed.set)
        self._task = spawn_task(self._run)

    def stop(self):
        """Stop the publishing task."""
        self._task.kill()

    def deliver(self, peer, message):
        """Handle a session message or a confirmation from a router."""
        if message.router != peer:
            log_event("sender_mismatch", level="warning", sender=peer, router=message.router)
            return
        if isinstance(message, SessionClosed):
            self._remove_router(message)
            return
        progress = self._get_or_create_progress(message)
        progress.last_message_at = self.clock()
        if isinstance(message, ConfigurationConfirmed) and message.revision >= progress.revision:
            progress.revision = message.revision
            progress.digest = message.digest
        if self._can_publish():
            self._send_if_due(message.router, progress, self.clock())

    def compute_rollout(self, revision):
        """Return the progress of a revision as far as this leader knows.

        :returns: a :class:`Rollout`.
        """
        self._update_term()
        self._refresh_publication()
        confirmed, pending, silent = [], [], []
        for name in sorted(self._list_routers()):
            progress = self.routers_.get(name)
            if progress is not None and self._has_confirmed(progress, revision):
                confirmed.append(name)
            elif self._is_silent(progress):
                silent.append(name)
            else:
                pending.append(name)
        return Rollout(revision, not pending, confirmed, pending, silent)

    def wait_until_in_force(self, revision, deadline):
        """Block until a revision is in force on all routers or the deadline has passed.

        :param deadline: monotonic seconds.
        :returns: the most recent :class:`Rollout`.
        """
        rollout = self.compute_rollout(revision)
        while not rollout.in_force and self.clock() < deadline:
            self.sleep(ROLLOUT_POLL_MS / 1000)
            rollout = self.compute_rollout(revision)
        return rollout

    def publish(self):
        """Send the current revision to every router that has not confirmed it and is due for it.

        :returns: number of messages sent.
        """
        if not self._can_publish():
            return 0
        now = self.clock()
        return sum(
            self._send_if_due(name, progress, now) for name, progress in self.routers_.items()
        )

    def _run(self):
        while True:
            self._state_changed.wait(self.resend_ms / 1000)
            self._state_changed.clear()
            try:
                self.publish()
            except Exception as error:  # an unexpected error must not end the task
                log_event("publication_failed", level="error", error=repr(error))

    def _can_publish(self):
        self._update_term()
        return self.log.get_leading_term(self.clock()) != 0 and self._refresh_publication()

    def _send_if_due(self, name, progress, now):
        publication = self._publication
        if self._has_confirmed(progress, publication.revision) or self._is_silent(progress):
            return 0
        if progress.sent_revision == publication.revision and now < progress.resend_at:
            return 0
        progress.sent_revision = publication.revision
        progress.resend_at = now + self.resend_ms / 1000
        message = ConfigurationPublished(
            publication.revision, publication.digest, publication.document
        )
        return int(self.sender.send(name, message))

    def _refresh_publication(self):
        """Encode the current revision unless cached; return whether it can be published."""
        if self._publication.revision == self.state.revision:
            return bool(self._publication.document)
        self._publication = _Publication(self.state.revision)
        try:
            document = msgspec.msgpack.encode(self.state.get_fleet_state())
        except msgspec.MsgspecError as error:
            log_event("fleet_state_encoding_failed", level="error", error=error)
            return False
        self._publication.document = document
        self._publication.digest = digest_document(document)
        return True

    def _update_term(self):
        term = self.log.get_leading_term(self.clock())
        if term not in (0, self._term):
            self._term = term
            self._term_started_at = self.clock()

    def _list_routers(self):
        registered = {name for name, _ in self.state.routers_.routers_}
        return registered | set(self.routers_)

    def _has_confirmed(self, progress, revision):
        if progress.revision < revision:
            return False
        published = self._publication
        return progress.revision != published.revision or progress.digest == published.digest

    def _is_silent(self, progress):
        last_message_at = self._term_started_at if progress is None else progress.last_message_at
        silent_since = max(last_message_at, self._term_started_at)
        return self.clock() - silent_since > self.silence_timeout_ms / 1000

    def _get_or_create_progress(self, message):
        progress = self.routers_.get(message.router)
        if progress is None or progress.boot_id != message.boot_id:
            progress = _RouterProgress(message.boot_id, self.clock())
            self.routers_[message.router] = progress
        return progress

    def _remove_router(self, message):
        progress = self.routers_.get(message.router)
        if progress is not None and progress.boot_id == message.boot_id:
            del self.routers_[message.router]
