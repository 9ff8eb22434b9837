"""Permits for a router's requests: the task that owns the permit client."""

import itertools
import time

import gevent
from gevent.event import AsyncResult
from gevent.queue import Empty, Queue
from returns.result import Failure, Success

from sassafrashook.gateways import PermitSource
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
    Count,
    FromController,
    Refused,
    ReleaseRequested,
    Send,
    StopRequested,
    WithdrawRequested,
)
from sassafrashook.tasks import spawn_task

ANSWER_MARGIN_MS = 100
CLOSE_MS = 5_000
POLL_MS = 10


class PermitDriver(PermitSource):
    """Runs a permit client in one task; request handlers wait on their own results.

    :param core: a :class:`~sassafrashook.routing.PermitClient`.
    :param sender: a :class:`~sassafrashook.gateways.Sender`.
    :param count: called with (metric, reason).
    :param session_listener: called with (controller, message) for each accepted session.
    :param clock: returns monotonic seconds.

    :ivar waiting_: results by token.

    See also :class:`ClaimDriver`.
    """

    MESSAGE_TYPES = (PermitGranted, PermitRefused, SessionAccepted, SessionRedirected)

    def __init__(self, core, sender, count, session_listener, clock=time.monotonic):
        self.core = core
        self.sender = sender
        self.count = count
        self.session_listener = session_listener
        self.clock = clock
        self.waiting_ = {}
        self._inbox = Queue()
        self._tokens = itertools.count(1)
        self._task = None

    def start(self):
        """Start the task."""
        self._task = spawn_task(self._run)

    def stop(self):
        """End the task; nobody may wait for a permit any more."""
        if self._task is not None:
            self._task.kill()

    def close_session(self):
        """Take no more work and tell the owner once nothing is held."""
        self._inbox.put(StopRequested())
        deadline = self.clock() + CLOSE_MS / 1000
        while not self.core.closed_ and self.clock() < deadline:
            gevent.sleep(POLL_MS / 1000)

    def deliver(self, controller, message):
        """Take one message of a controller."""
        self._inbox.put(FromController(controller, message))
        if isinstance(message, SessionAccepted):
            self.session_listener(controller, message)

    def is_fresh(self):
        """Return whether the view of zones and configuration is confirmed recently enough."""
        return self.core.is_fresh(self.clock())

    def acquire(self, query, deadline):
        """Wait for a permit; see :meth:`PermitSource.acquire`."""
        token = next(self._tokens)
        result = self.waiting_[token] = AsyncResult()
        self._inbox.put(AcquireRequested(token, query, deadline))
        patience = max(0.0, deadline - self.clock()) + ANSWER_MARGIN_MS / 1000
        try:
            return result.get(timeout=patience)
        except gevent.Timeout:
            return Failure(_refuse_late())
        finally:
            self._forget(token, result)

    def release(self, permit, outcome, first_token_ms=-1):
        """Give a permit back; see :meth:`PermitSource.release`."""
        self._inbox.put(ReleaseRequested(permit.request_id, outcome, first_token_ms))

    def _forget(self, token, result):
        del self.waiting_[token]
        if not result.ready():
            self._inbox.put(WithdrawRequested(token))

    def _run(self):
        while True:
            self._carry_out(self.core.advance(self.clock()))
            self._carry_out(self._take_events())

    def _take_events(self):
        deadline = self.core.next_deadline()
        wait = None if deadline is None else max(0.0, deadline - self.clock())
        try:
            event = self._inbox.get(timeout=wait)
        except Empty:
            return []
        actions = list(self.core.handle(event, self.clock()))
        while not self._inbox.empty():
            actions.extend(self.core.handle(self._inbox.get_nowait(), self.clock()))
        return actions

    def _carry_out(self, actions):
        for action in actions:
            match action:
                case Send(peer=peer, message=message):
                    self.sender.send(peer, message)
                case Acquired(token=token, permit=permit):
                    self._hand_out(token, permit)
                case Refused(token=token, refusal=refusal):
                    self._finish(token, Failure(refusal))
                case Count(name=name, attribute=attribute):
                    self.count(name, attribute)

    def _hand_out(self, token, permit):
        if not self._finish(token, Success(permit)):
            self._inbox.put(ReleaseRequested(permit.request_id, PermitOutcome.UNUSED))

    def _finish(self, token, value):
        result = self.waiting_.get(token)
        if result is None:
            return False
        result.set(value)
        return True


def _refuse_late():
    return Refusal(Verdict.NOT_RUN, RefusalReason.NO_OWNER, ANSWER_MARGIN_MS, "no permit in time")
