"""Abstract interfaces between the components of one process.

Drivers depend on these interfaces instead of on one another, so that tests can replace each by a
small fake. A method with a deadline may block the calling greenlet until that deadline, no longer.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from sassafrashook.outcomes import Verdict

__all__ = [
    "ClaimSource",
    "Permit",
    "PermitSource",
    "ProposalError",
    "ProposalErrorReason",
    "ReplicatedLog",
    "RetryPolicy",
    "Sender",
]


class Sender(ABC):
    """Sends typed messages to named peers without blocking or guaranteeing delivery."""

    @abstractmethod
    def send(self, peer, message):
        """Queue one message for sending.

        :param peer: name of the process to send to.
        :param message: a :class:`~sassafrashook.messages.Message`.
        :returns: whether the message was queued; ``False`` guarantees that it was not sent.
        """


class ProposalErrorReason(StrEnum):
    """Why a proposal returned no reply."""

    NOT_LEADER = "not_leader"
    NOT_ACCEPTED = "not_accepted"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class ProposalError:
    """Describes a proposal that returned no reply.

    :param reason: after ``not_leader`` and ``not_accepted`` the command is never committed by
        this proposal; after ``unknown`` it may have been or may still be committed.
    :param leader: name of the presumed leader, or empty.
    """

    reason: ProposalErrorReason
    leader: str = ""


class ReplicatedLog(ABC):
    """A replicated log as seen by one of its replicas."""

    @abstractmethod
    def propose(self, command, deadline):
        """Propose one command and wait until it is committed and applied.

        :param command: encoded command, ``bytes``.
        :param deadline: monotonic seconds.
        :returns: ``Success`` of the state machine's reply, or ``Failure`` of a
            :class:`ProposalError`.
        """

    @abstractmethod
    def confirm_read(self, deadline):
        """Wait until the local state machine has applied all commands committed before the call.

        :param deadline: monotonic seconds.
        :returns: ``Success`` of the applied index, or ``Failure`` of a :class:`ProposalError`.
        """

    @abstractmethod
    def get_leader(self):
        """Return the name of the presumed leader, or an empty string."""

    @abstractmethod
    def get_leading_term(self, now):
        """Return this replica's term while a quorum confirms its leadership, else 0.

        Uses a leader lease, which ends before the earliest election of another replica, by a margin
        for clock drift.

        :param now: the current time, monotonic seconds.
        """


@dataclass(slots=True)
class Permit:
    """Allows one request to run at one upstream.

    :param boot_id: boot of the upstream for which the permit is valid.
    :param send_deadline: monotonic seconds; the first byte must not be sent after this time.
    :param priority: priority that the upstream receives; a smaller number is more urgent.
    """

    request_id: int
    upstream_id: str
    boot_id: str
    host: str
    port: int
    send_deadline: float
    priority: int


class PermitSource(ABC):
    """Provides permits to the request handlers of a router."""

    @abstractmethod
    def acquire(self, query, deadline):
        """Wait until a permit is granted or refused.

        :param query: the message to send, a :class:`~sassafrashook.messages.PermitRequested`; its
            ``request_id`` and ``waiting_ms`` are filled in by this method.
        :param deadline: monotonic seconds until which the request may wait.
        :returns: ``Success`` of a :class:`Permit`, or ``Failure`` of a
            :class:`~sassafrashook.outcomes.Refusal` with verdict ``not_run``.
        """

    @abstractmethod
    def release(self, permit, outcome, first_token_ms=-1):
        """Release a permit; must be called exactly once for each acquired permit.

        :param outcome: a :class:`~sassafrashook.messages.PermitOutcome`.
        :param first_token_ms: time from the first byte sent to the first event received,
            milliseconds; -1 if there is none.
        """


class ClaimSource(ABC):
    """Lets the request handlers of a router claim requests that must run at most once."""

    @abstractmethod
    def claim(self, request, deadline):
        """Claim a request before it is sent.

        :param request: a :class:`~sassafrashook.messages.ClaimRequested`; its ``claim_id`` is
            filled in by this method. Until a controller decides or the deadline passes, the
            message is sent again with a new ``claim_id`` and the same ``attempt``.
        :param deadline: monotonic seconds.
        :returns: a :class:`~sassafrashook.messages.ClaimDecided`; ``unavailable`` or ``unknown``
            if no decision arrived before the deadline.
        """

    @abstractmethod
    def complete(self, completion, deadline):
        """Record the outcome of a claimed request.

        :param completion: a :class:`~sassafrashook.messages.ClaimCompleted`; its ``claim_id`` is
            filled in by this method.
        :param deadline: monotonic seconds.
        :returns: whether the record was committed before the deadline.
        """


class RetryPolicy(ABC):
    """Decides whether a request may be sent again."""

    @abstractmethod
    def record_request(self, account, now):
        """Count one request, which increases the budgets of its account and of every upstream.

        :param account: name of the client account.
        :param now: the current time, monotonic seconds.
        """

    @abstractmethod
    def check_retry(self, account, upstream_id, verdict: Verdict, repeatable, now):
        """Decide whether a request may be retried.

        An allowed retry is charged to the budgets of the account and of the upstream.

        :param account: name of the client account.
        :param upstream_id: upstream of the failed attempt.
        :param verdict: whether the failed attempt may have run.
        :param repeatable: whether the request may run more than once.
        :param now: the current time, monotonic seconds.
        :returns: ``None`` if the retry is allowed, else a
            :class:`~sassafrashook.outcomes.RefusalReason`.
        """
