"""Requests claims of calls that run at most once from the controllers."""

import itertools
import time

import msgspec
from gevent.event import AsyncResult
from gevent.timeout import Timeout

from sassafrashook.interfaces import ClaimSource
from sassafrashook.messages import ClaimDecided, ClaimStatus

DECISION_TIMEOUT_MS = 300  # per controller


class ClaimClient(ClaimSource):
    """Sends claims to the controllers in turn until one of them decides.

    Unlike :class:`PermitDriver`, which runs a core, it holds the whole client side itself.

    :param sender: a :class:`~sassafrashook.interfaces.Sender`.
    :param controllers: names of all controllers.
    :param clock: returns monotonic seconds.

    :ivar next_index_: index of the controller to ask next, modulo the number of controllers; after
        a decision it stays at the controller that decided.
    :ivar pending_results_: pending results by claim id.

    See also :class:`PermitDriver`.

    >>> from sassafrashook.router.tests.fakes import UnreachableSender
    >>> client = ClaimClient(UnreachableSender(), ["controller-1"])
    >>> client.deliver("controller-1", ClaimDecided(1, ClaimStatus.GRANTED))
    """

    handled_messages = (ClaimDecided,)

    def __init__(self, sender, controllers, clock=time.monotonic):
        self.sender = sender
        self.controllers = controllers
        self.clock = clock
        self.next_index_ = 0
        self.pending_results_ = {}
        self._ids = itertools.count(1)

    def deliver(self, _sender, message):
        """Pass a decision to the waiting caller; drop it if no caller waits for it."""
        result = self.pending_results_.get(message.claim_id)
        if result is not None and not result.ready():
            result.set(message)

    def claim(self, request, deadline):
        """Claim a call; see :meth:`ClaimSource.claim`."""
        decision, may_have_arrived = self._request_decision(request, deadline)
        if decision is not None:
            return decision
        status = ClaimStatus.UNKNOWN if may_have_arrived else ClaimStatus.UNAVAILABLE
        return ClaimDecided(request.claim_id, status)

    def complete(self, completion, deadline):
        """Record an outcome; see :meth:`ClaimSource.complete`."""
        decision, _ = self._request_decision(completion, deadline)
        return decision is not None and decision.status is ClaimStatus.RECORDED

    def _request_decision(self, message, deadline):
        """Ask the controllers in turn until one decides or the deadline passes.

        :returns: the decision or ``None``, and whether a controller may have received the message.
        """
        may_have_arrived = False
        while self.clock() < deadline:
            controller = self.controllers[self.next_index_ % len(self.controllers)]
            decision, was_sent = self._send_and_wait(controller, message, deadline)
            if decision is not None and decision.status not in _UNDECIDED_STATUSES:
                return decision, True
            if was_sent and (decision is None or decision.status is ClaimStatus.UNKNOWN):
                may_have_arrived = True
            self.next_index_ += 1
        return None, may_have_arrived

    def _send_and_wait(self, controller, message, deadline):
        """Send the message with a new claim id to one controller and wait for its decision.

        :returns: the decision or ``None``, and whether the message was sent.
        """
        claim_id = next(self._ids)
        result = self.pending_results_[claim_id] = AsyncResult()
        try:
            was_sent = self.sender.send(
                controller, msgspec.structs.replace(message, claim_id=claim_id)
            )
            timeout_s = min(DECISION_TIMEOUT_MS / 1000, max(0.0, deadline - self.clock()))
            return result.get(timeout=timeout_s), was_sent
        except Timeout:
            return None, was_sent
        finally:
            del self.pending_results_[claim_id]


_UNDECIDED_STATUSES = (ClaimStatus.UNAVAILABLE, ClaimStatus.UNKNOWN)
