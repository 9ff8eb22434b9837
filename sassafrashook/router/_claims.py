"""Claims of calls that run at most once, by messages to the controllers."""

import itertools
import time

import msgspec
from gevent.event import AsyncResult
from gevent.timeout import Timeout

from sassafrashook.gateways import ClaimSource
from sassafrashook.messages import ClaimDecided, ClaimStatus

RESEND_MS = 300


class ClaimDriver(ClaimSource):
    """Asks the controllers in turn until one decides.

    :param sender: a :class:`~sassafrashook.gateways.Sender`.
    :param controllers: names of all controllers.
    :param clock: returns monotonic seconds.

    :ivar favourite_: the controller that decided last.
    :ivar waiting_: results by claim id.

    See also :class:`PermitDriver`.

    >>> from sassafrashook.router.tests.fakes import SilentSender
    >>> driver = ClaimDriver(SilentSender(), ["controller-1"])
    >>> driver.deliver("controller-1", ClaimDecided(1, ClaimStatus.GRANTED))
    """

    MESSAGE_TYPES = (ClaimDecided,)

    def __init__(self, sender, controllers, clock=time.monotonic):
        self.sender = sender
        self.controllers = controllers
        self.clock = clock
        self.favourite_ = 0
        self.waiting_ = {}
        self._ids = itertools.count(1)

    def deliver(self, _sender, message):
        """Take one decision; one that nobody waits for is dropped."""
        result = self.waiting_.get(message.claim_id)
        if result is not None and not result.ready():
            result.set(message)

    def claim(self, request, deadline):
        """Claim a call; see :meth:`ClaimSource.claim`."""
        decision, was_sent = self._ask(request, deadline)
        if decision is not None:
            return decision
        status = ClaimStatus.UNKNOWN if was_sent else ClaimStatus.UNAVAILABLE
        return ClaimDecided(request.claim_id, status)

    def complete(self, completion, deadline):
        """Record an outcome; see :meth:`ClaimSource.complete`."""
        decision, _ = self._ask(completion, deadline)
        return decision is not None and decision.status is ClaimStatus.RECORDED

    def _ask(self, message, deadline):
        may_have_arrived = False
        while self.clock() < deadline:
            controller = self.controllers[self.favourite_ % len(self.controllers)]
            decision, was_sent = self._ask_once(controller, message, deadline)
            if decision is not None and decision.status not in _UNDECIDED:
                return decision, True
            if was_sent and (decision is None or decision.status is ClaimStatus.UNKNOWN):
                may_have_arrived = True
            self.favourite_ += 1
        return None, may_have_arrived

    def _ask_once(self, controller, message, deadline):
        claim_id = next(self._ids)
        result = self.waiting_[claim_id] = AsyncResult()
        try:
            was_sent = self.sender.send(
                controller, msgspec.structs.replace(message, claim_id=claim_id)
            )
            wait = min(RESEND_MS / 1000, max(0.0, deadline - self.clock()))
            return result.get(timeout=wait), was_sent
        except Timeout:
            return None, was_sent
        finally:
            del self.waiting_[claim_id]


_UNDECIDED = (ClaimStatus.UNAVAILABLE, ClaimStatus.UNKNOWN)
