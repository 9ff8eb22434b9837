"""Commits the claims of routers to the replicated log in batches."""

from collections import Counter, deque
from dataclasses import dataclass

import gevent
from gevent.event import Event
from returns.result import Failure

from sassafrashook.controller._service import ControllerService
from sassafrashook.interfaces import ProposalError, ProposalErrorReason
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
class _QueuedMessage:
    peer: str
    message: Message


class ClaimService(ControllerService):
    """Decides claims of calls that run at most once by committing them to the replicated log.

    Queued claims and completions are proposed in batches, several proposals at a time.

    :param proposer: a :class:`CommandProposer`.
    :param sender: a :class:`~sassafrashook.interfaces.Sender`.
    :param metrics: any object with ``count(metric, reason)``, or ``None``; ``claims`` counts the
        decisions by status.
    :param max_batch: maximum number of entries in one proposal.
    :param max_batch_bytes: maximum total size of the recorded bodies in one proposal; a larger body
        is proposed on its own.
    :param max_queue_size: maximum number of queued entries; further ones are answered
        ``unavailable``.
    :param max_account_queue_size: maximum number of queued entries of one client account.
    :param max_proposals: maximum number of concurrent proposals.
    :param commit_timeout_ms: timeout of one proposal, milliseconds.
    :param max_answer_bytes: maximum size of a body that is stored in the log; larger bodies are
        omitted and the answer is marked as truncated.

    :ivar decision_counts_: number of decisions by status.
    :ivar proposal_count_: number of proposals made.

    :raises ParameterError: from :meth:`start`.

    See also :class:`sassafrashook.state.ClaimTable`, which decides each claim.

    Example::

        >>> from sassafrashook.controller import ClaimService
        >>> ClaimService(proposer=None, sender=None).max_batch
        256
    """

    handled_messages = (ClaimRequested, ClaimCompleted)
    _parameter_constraints = {
        "max_batch": Interval(int, 1, 10_000),
        "max_batch_bytes": Interval(int, 1, 67_108_864),
        "max_queue_size": Interval(int, 1, 1_000_000),
        "max_account_queue_size": Interval(int, 1, 1_000_000),
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
        max_queue_size=10_000,
        max_account_queue_size=2_500,
        max_proposals=4,
        commit_timeout_ms=2_000,
        max_answer_bytes=65_536,
    ):
        self.proposer = proposer
        self.sender = sender
        self.metrics = metrics
        self.max_batch = max_batch
        self.max_batch_bytes = max_batch_bytes
        self.max_queue_size = max_queue_size
        self.max_account_queue_size = max_account_queue_size
        self.max_proposals = max_proposals
        self.commit_timeout_ms = commit_timeout_ms
        self.max_answer_bytes = max_answer_bytes

    def start(self):
        """Start the tasks that commit batches."""
        self.validate_parameters()
        self.decision_counts_ = Counter()
        self.proposal_count_ = 0
        self._queue = deque()
        self._account_counts = Counter()
        self._queue_not_empty = Event()
        self._is_stopping = False
        self._tasks = [spawn_task(self._run) for _ in range(self.max_proposals)]

    def stop(self):
        """Reject queued entries, wait for proposals in progress, and stop the tasks."""
        self._is_stopping = True
        while self._queue:
            self._send_decision(self._dequeue(), ClaimStatus.UNAVAILABLE)
        self._queue_not_empty.set()
        gevent.joinall(self._tasks, timeout=self.commit_timeout_ms / 1000)
        gevent.killall(self._tasks)

    def deliver(self, peer, message):
        """Queue a claim or a completion."""
        queued = _QueuedMessage(peer, message)
        if not self._can_enqueue(message.account):
            self._send_decision(queued, ClaimStatus.UNAVAILABLE)
            return
        self._queue.append(queued)
        self._account_counts[message.account] += 1
        self._queue_not_empty.set()

    def _run(self):
        while not self._is_stopping:
            self._queue_not_empty.wait()
            batch = self._dequeue_batch()
            if not batch:
                continue
            try:
                self._commit_batch(batch)
            except Exception as error:  # the task must survive; the batch may be committed
                log_event("claims_failed", level="error", error=repr(error))
                self._fail_batch(batch, ProposalError(ProposalErrorReason.UNKNOWN))

    def _dequeue_batch(self):
        batch = []
        remaining_bytes = self.max_batch_bytes
        while self._queue and len(batch) < self.max_batch:
            size = _get_body_size(self._queue[0].message)
            if batch and size > remaining_bytes:
                break
            remaining_bytes -= size
            batch.append(self._dequeue())
        if not self._queue and not self._is_stopping:
            self._queue_not_empty.clear()
        return batch

    def _can_enqueue(self, account):
        if self._is_stopping or len(self._queue) >= self.max_queue_size:
            return False
        return self._account_counts[account] < self.max_account_queue_size

    def _dequeue(self):
        queued = self._queue.popleft()
        account = queued.message.account
        self._account_counts[account] -= 1
        if not self._account_counts[account]:
            del self._account_counts[account]
        return queued

    def _commit_batch(self, batch):
        self.proposal_count_ += 1
        command = ClaimBatch([self._build_entry(queued.message) for queued in batch])
        deadline = self.proposer.clock() + self.commit_timeout_ms / 1000
        result = self.proposer.propose(command, deadline)
        if isinstance(result, Failure):
            self._fail_batch(batch, result.failure())
            return
        replies = result.unwrap().entries
        for queued, reply in zip(batch, replies, strict=True):
            self._send_decision(queued, reply.status, reply.answer)

    def _fail_batch(self, batch, error):
        is_unknown = error.reason == ProposalErrorReason.UNKNOWN
        status = ClaimStatus.UNKNOWN if is_unknown else ClaimStatus.UNAVAILABLE
        log_event("claims_undecided", level="warning", count=len(batch), reason=error.reason)
        for queued in batch:
            self._send_decision(queued, status)

    def _send_decision(self, queued, status, answer=None):
        self.decision_counts_[str(status)] += 1
        if self.metrics is not None:
            self.metrics.count("claims", str(status))
        decision = ClaimDecided(queued.message.claim_id, status, answer)
        self.sender.send(queued.peer, decision)

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
            self._omit_large_body(message.answer),
        )

    def _omit_large_body(self, answer):
        if len(answer.body) <= self.max_answer_bytes:
            return answer
        return RecordedAnswer(answer.verdict, answer.status, answer.content_type, b"", True)


def _get_body_size(message):
    return len(message.answer.body) if isinstance(message, ClaimCompleted) else 0
