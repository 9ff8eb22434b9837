"""Abstract interfaces between subjects that run in one process.

Each subject's drivers depend on these and not on one another; tests put small fakes behind them.
All of them may block the calling greenlet up to the deadline they are given, and no longer.
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
    "ProposalFailure",
    "ReplicatedLog",
    "RetryRules",
    "Sender",
]


class Sender(ABC):
    """Sends typed messages to named peers; it never blocks and may lose a message."""

    @abstractmethod
    def send(self, peer, message):
        """Queue one message.

        :param peer: name of the process to send to.
        :param message: a :class:`~sassafrashook.messages.Message`.
        :returns: whether it was queued; ``False`` means that it was certainly not sent.
        """


class ProposalFailure(StrEnum):
    """Why a proposal brought no reply."""

    NOT_LEADER = "not_leader"
    NOT_ACCEPTED = "not_accepted"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class ProposalError:
    """A proposal without a reply.

    :param failure: ``not_leader`` and ``not_accepted`` are certain: it will never be committed
        under this proposal; ``unknown`` means that it may yet be.
    :param leader: name of the replica believed to lead, or empty.
    """

    failure: ProposalFailure
    leader: str = ""


class ReplicatedLog(ABC):
    """One replica's side of a replicated log."""

    @abstractmethod
    def propose(self, command, deadline):
        """Commit and apply one command, blocking until then.

        :param command: encoded command, ``bytes``.
        :param deadline: monotonic seconds.
        :returns: ``Success`` of the state machine's reply, or ``Failure`` of a
            :class:`ProposalError`.
        """

    @abstractmethod
    def confirm_read(self, deadline):
        """Wait until the local state machine holds everything committed before the call.

        :returns: ``Success`` of the applied index, or ``Failure`` of a :class:`ProposalError`.
        """

    @abstractmethod
    def leader(self):
        """Return the name of the replica believed to lead, or an empty string."""

    @abstractmethod
    def leading_term(self, now):
        """Return this replica's term while a quorum has confirmed that it leads, else 0.

        The confirmation ends at a stored deadline that is earlier, by the drift margin, than the
        moment another replica can be elected.
        """


@dataclass(slots=True)
class Permit:
    """A permit to run one request at one upstream.

    :param use_by: monotonic seconds; the first byte must not leave after this.
    :param priority: what to tell the upstream; a smaller number is more urgent.
    """

    request_id: int
    upstream_id: str
    boot_id: str
    host: str
    port: int
    use_by: float
    priority: int


class PermitSource(ABC):
    """Where a router's request handlers get their permits."""

    @abstractmethod
    def acquire(self, query, deadline):
        """Wait for a permit.

        :param query: a :class:`~sassafrashook.messages.PermitRequested`; its ``request_id`` and
            ``waiting_ms`` are filled in by the source.
        :param deadline: monotonic seconds until which the request may wait.
        :returns: ``Success`` of a :class:`Permit`, or ``Failure`` of a
            :class:`~sassafrashook.outcomes.Refusal` with verdict ``not_run``.
        """

    @abstractmethod
    def release(self, permit, outcome, first_token_ms=-1):
        """Give a permit back; called exactly once for each permit acquired.

        :param outcome: a :class:`~sassafrashook.messages.PermitOutcome`.
        """


class ClaimSource(ABC):
    """Where a router's request handlers claim calls that run at most once."""

    @abstractmethod
    def claim(self, request, deadline):
        """Claim a call.

        :param request: a :class:`~sassafrashook.messages.ClaimRequested`; its ``claim_id`` is
            filled in by the source. It is resent with the same ``attempt`` until the deadline.
        :returns: a :class:`~sassafrashook.messages.ClaimDecided`; ``unavailable`` or ``unknown``
            when no decision arrived in time.
        """

    @abstractmethod
    def complete(self, completion, deadline):
        """Record the outcome of a claimed call.

        :param completion: a :class:`~sassafrashook.messages.ClaimCompleted`; its ``claim_id`` is
            filled in by the source.
        :returns: whether the record was committed before the deadline.
        """


class RetryRules(ABC):
    """Decides whether a request may be sent again."""

    @abstractmethod
    def note_request(self, account, now):
        """Count one offered request of an account towards its retry budget."""

    @abstractmethod
    def refuse_retry(self, account, upstream_id, verdict: Verdict, repeatable, now):
        """Decide on one retry, and count it if it is allowed.

        :param upstream_id: where the failed attempt went.
        :param repeatable: whether the request may run more than once.
        :returns: ``None`` if the retry may go ahead, else a
            :class:`~sassafrashook.outcomes.RefusalReason`.
        """
