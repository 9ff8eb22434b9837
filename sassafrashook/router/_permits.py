"""Runs the permit client that acquires permits for the requests of a router."""

import itertools
import time

import gevent
from gevent.event import AsyncResult
from gevent.queue import Empty, Queue
from returns.result import Failure, Success

from sassafrashook.interfaces import PermitSource
from sassafrashook.messages import (
    PermitGranted,
    PermitOutcome,
    PermitRefused,
    SessionAccepted,
    SessionRedirected,
)
from sassafrashook.outcomes import Refusal, RefusalReason, Verdict
from sassafrashook.routing import (
    Acquired,
    AcquireRequested,
    ControllerMessageReceived,
    Count,
    Refused,
    ReleaseRequested,
    Send,
    StopRequested,
    WithdrawRequested,
)
from sassafrashook.tasks import spawn_task

# Time that the permit client may take to reply after the deadline; without a reply by then, the
# request is refused with the same time as its retry delay.
GRANT_TIMEOUT_MARGIN_MS = 100
CLOSE_TIMEOUT_MS = 5_000
CLOSE_POLL_INTERVAL_MS = 10


class PermitDriver(PermitSource):
    """Runs a permit client in one task; each request handler waits for its own result.

    :param core: a :class:`~sassafrashook.routing.PermitClient`.
    :param sender: a :class:`~sassafrashook.interfaces.Sender`.
    :param count: called with (metric, reason).
    :param on_session_accepted: called with (controller, message) for each accepted session; the
        message is a :class:`~sassafrashook.messages.SessionAccepted`.
    :param clock: returns monotonic seconds.

    :ivar pending_results_: pending results by token.

    See also :class:`ClaimClient`.
    """

    handled_messages = (PermitGranted, PermitRefused, SessionAccepted, SessionRedirected)

    def __init__(self, core, sender, count, on_session_accepted, clock=time.monotonic):
        self.core = core
        self.sender = sender
        self.count = count
        self.on_session_accepted = on_session_accepted
        self.clock = clock
        self.pending_results_ = {}
        self._inbox = Queue()
        self._tokens = itertools.count(1)
        self._task = None

    def start(self):
        """Start the task that runs the permit client."""
        self._task = spawn_task(self._run)

    def stop(self):
        """Stop the task; no caller may be waiting for a permit."""
        if self._task is not None:
            self._task.kill()

    def close_session(self):
        """Stop acquiring permits and wait for the session to close, at most ``CLOSE_TIMEOUT_MS``.

        The permit client closes the session once all permits are released.
        """
        self._inbox.put(StopRequested())
        deadline = self.clock() + CLOSE_TIMEOUT_MS / 1000
        while not self.core.closed_ and self.clock() < deadline:
            gevent.sleep(CLOSE_POLL_INTERVAL_MS / 1000)

    def deliver(self, controller, message):
        """Queue a message of a controller."""
        self._inbox.put(ControllerMessageReceived(controller, message))
        if isinstance(message, SessionAccepted):
            self.on_session_accepted(controller, message)

    def has_valid_lease(self):
        """Return whether the session lease is valid, and with it the zones and configuration."""
        return self.core.has_valid_lease(self.clock())

    def acquire(self, query, deadline):
        """Wait for a permit; see :meth:`PermitSource.acquire`."""
        token = next(self._tokens)
        result = self.pending_results_[token] = AsyncResult()
        self._inbox.put(AcquireRequested(token, query, deadline))
        timeout_s = max(0.0, deadline - self.clock()) + GRANT_TIMEOUT_MARGIN_MS / 1000
        try:
            return result.get(timeout=timeout_s)
        except gevent.Timeout:
            return Failure(_build_timeout_refusal())
        finally:
            self._remove_request(token, result)

    def release(self, permit, outcome, first_token_ms=-1):
        """Release a permit; see :meth:`PermitSource.release`."""
        self._inbox.put(ReleaseRequested(permit.request_id, outcome, first_token_ms))

    def _remove_request(self, token, result):
        del self.pending_results_[token]
        if not result.ready():
            self._inbox.put(WithdrawRequested(token))

    def _run(self):
        while True:
            self._execute_actions(self.core.advance(self.clock()))
            self._execute_actions(self._process_inbox())

    def _process_inbox(self):
        deadline = self.core.next_deadline()
        timeout_s = None if deadline is None else max(0.0, deadline - self.clock())
        try:
            event = self._inbox.get(timeout=timeout_s)
        except Empty:
            return []
        actions = list(self.core.handle(event, self.clock()))
        while not self._inbox.empty():
            actions.extend(self.core.handle(self._inbox.get_nowait(), self.clock()))
        return actions

    def _execute_actions(self, actions):
        for action in actions:
            match action:
                case Send(peer=peer, message=message):
                    self.sender.send(peer, message)
                case Acquired(token=token, permit=permit):
                    self._complete_acquire(token, permit)
                case Refused(token=token, refusal=refusal):
                    self._set_result(token, Failure(refusal))
                case Count(name=name, attribute=attribute):
                    self.count(name, attribute)

    def _complete_acquire(self, token, permit):
        """Pass the permit to its caller, or release it if the caller no longer waits."""
        if not self._set_result(token, Success(permit)):
            self._inbox.put(ReleaseRequested(permit.request_id, PermitOutcome.UNUSED))

    def _set_result(self, token, value):
        result = self.pending_results_.get(token)
        if result is None:
            return False
        result.set(value)
        return True


def _build_timeout_refusal():
    return Refusal(
        Verdict.NOT_RUN, RefusalReason.NO_OWNER, GRANT_TIMEOUT_MARGIN_MS, "no permit in time"
    )
