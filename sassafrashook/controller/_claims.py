"""Claims of routers, committed many at a time."""

from collections import Counter, deque
from dataclasses import dataclass

import gevent
from gevent.event import Event
from returns.result import Failure

from sassafrashook.controller._service import ControllerService
from sassafrashook.gateways import ProposalError, ProposalFailure
from sassafrashook.messages import (
    ClaimCompleted,
    ClaimDecided,
    ClaimRequested,
    ClaimStatus,
    Message,
    RecordedAnswer,
)
from sassafrashook.state import Claim, ClaimBatch, CompleteClaim
from sassafrashook.tasks import spawn_task
from sassafrashook.telemetry import log_event
from sassafrashook.utils import Interval

__all__ = ["ClaimService"]


@dataclass(slots=True, frozen=True)
class _PendingClaim:
    sender: str
    message: Message


class ClaimService(ControllerService):
    """Decides on calls that run at most once, through the replicated log.

    :param proposer: a :class:`CommandProposer`.
    :param sender: a :class:`~sassafrashook.gateways.Sender`.
    :param metrics: counts ``claims`` by status; any object with ``count(metric, reason)``.
    :param max_batch: entries in one proposal.
    :param max_batch_bytes: recorded bodies in one proposal; a single larger one still goes.
    :param max_queue: entries that may wait; further ones are ``unavailable``.
    :param max_account_queue: entries of one client account that may wait.
    :param max_proposals: proposals under way at once.
    :param commit_timeout_ms: how long one proposal may take.
    :param max_answer_bytes: longest body that is put into the log.

    Attributes: ``counts_``, decisions by status; ``batches_``, proposals made.

    :raises ParameterError: from :meth:`start`.

    See also :class:`sassafrashook.state.ClaimTable`, which decides.

    Example::

        >>> from sassafrashook.controller import ClaimService
        >>> ClaimService(proposer=None, sender=None).max_batch
        256
    """

    handled_messages = (ClaimRequested, ClaimCompleted)
    _parameter_constraints = {
        "max_batch": Interval(int, 1, 10_000),
        "max_batch_bytes": Interval(int, 1, 67_108_864),
        "max_queue": Interval(int, 1, 1_000_000),
        "max_account_queue": Interval(int, 1, 1_000_000),
        "max_proposals": Interval(int, 1, 64),
        "commit_timeout_ms": Interval(int, 1, 60_000),
        "max_answer_bytes": Interval(int, 0, 1_048_576),
    }

    def __init__(
        self,
        proposer,
        sender,
        metrics=None,
        max_batch=256,
        max_batch_bytes=1_048_576,
        max_queue=10_000,
        max_account_queue=2_500,
        max_proposals=4,
        commit_timeout_ms=2_000,
        max_answer_bytes=65_536,
    ):
        self.proposer = proposer
        self.sender = sender
        self.metrics = metrics
        self.max_batch = max_batch
        self.max_batch_bytes = max_batch_bytes
        self.max_queue = max_queue
        self.max_account_queue = max_account_queue
        self.max_proposals = max_proposals
        self.commit_timeout_ms = commit_timeout_ms
        self.max_answer_bytes = max_answer_bytes

    def start(self):
        """Start the committing tasks."""
        self.validate_parameters()
        self.counts_ = Counter()
        self.batches_ = 0
        self._queue = deque()
        self._account_counts = Counter()
        self._filled = Event()
        self._is_stopping = False
        self._tasks = [spawn_task(self._run) for _ in range(self.max_proposals)]

    def stop(self):
        """Refuse what still waits, let proposals under way end, and end the tasks."""
        self._is_stopping = True
        while self._queue:
            self._answer(self._pop(), ClaimStatus.UNAVAILABLE)
        self._filled.set()
        gevent.joinall(self._tasks, timeout=self.commit_timeout_ms / 1000)
        gevent.killall(self._tasks)

    def deliver(self, sender, message):
        """Queue a claim or a completion."""
        pending = _PendingClaim(sender, message)
        if not self._has_room(message.account):
            self._answer(pending, ClaimStatus.UNAVAILABLE)
            return
        self._queue.append(pending)
        self._account_counts[message.account] += 1
        self._filled.set()

    def _run(self):
        while not self._is_stopping:
            self._filled.wait()
            batch = self._take_batch()
            if not batch:
                continue
            try:
                self._commit(batch)
            except Exception as error:  # a fault must not end the task or hide a grant
                log_event("claims_failed", level="error", error=repr(error))
                self._answer_all(batch, ProposalError(ProposalFailure.UNKNOWN))

    def _take_batch(self):
        batch = []
        room = self.max_batch_bytes
        while self._queue and len(batch) < self.max_batch:
            size = _body_bytes(self._queue[0].message)
            if batch and size > room:
                break
            room -= size
            batch.append(self._pop())
        if not self._queue and not self._is_stopping:
            self._filled.clear()
        return batch

    def _has_room(self, account):
        if self._is_stopping or len(self._queue) >= self.max_queue:
            return False
        return self._account_counts[account] < self.max_account_queue

    def _pop(self):
        pending = self._queue.popleft()
        account = pending.message.account
        self._account_counts[account] -= 1
        if not self._account_counts[account]:
            del self._account_counts[account]
        return pending

    def _commit(self, batch):
        self.batches_ += 1
        command = ClaimBatch([self._build_entry(pending.message) for pending in batch])
        deadline = self.proposer.clock() + self.commit_timeout_ms / 1000
        result = self.proposer.propose(command, deadline)
        if isinstance(result, Failure):
            self._answer_all(batch, result.failure())
            return
        replies = result.unwrap().entries
        for pending, reply in zip(batch, replies, strict=True):
            self._answer(pending, reply.status, reply.answer)

    def _answer_all(self, batch, error):
        is_unknown = error.failure == ProposalFailure.UNKNOWN
        status = ClaimStatus.UNKNOWN if is_unknown else ClaimStatus.UNAVAILABLE
        log_event("claims_undecided", level="warning", count=len(batch), reason=error.failure)
        for pending in batch:
            self._answer(pending, status)

    def _answer(self, pending, status, answer=None):
        self.counts_[str(status)] += 1
        if self.metrics is not None:
            self.metrics.count("claims", str(status))
        decision = ClaimDecided(pending.message.claim_id, status, answer)
        self.sender.send(pending.sender, decision)

    def _build_entry(self, message):
        if isinstance(message, ClaimRequested):
            return Claim(
                message.attempt,
                message.account,
                message.service,
                message.key,
                message.digest,
                message.deadline_unix_ms,
            )
        return CompleteClaim(
            message.attempt,
            message.account,
            message.service,
            message.key,
            self._shorten(message.answer),
        )

    def _shorten(self, answer):
        if len(answer.body) <= self.max_answer_bytes:
            return answer
        return RecordedAnswer(answer.verdict, answer.status, answer.content_type, b"", True)


def _body_bytes(message):
    return len(message.answer.body) if isinstance(message, ClaimCompleted) else 0
