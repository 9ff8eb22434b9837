"""Callers that wait for the outcome of a proposal or a read."""

from dataclasses import dataclass, field

from gevent.event import AsyncResult
from returns.result import Failure, Success

from sassafrashook.interfaces import ProposalError, ProposalErrorReason

__all__ = ["ProposalWaiters", "Waiter"]


@dataclass(slots=True, eq=False)
class Waiter:
    """One waiting caller.

    :param token: identifies the proposal or read.
    :param command: encoded command; empty for a read.
    :param result: result that the caller waits for.
    :param submitted: for a proposal, whether its command was submitted to the core; for a read,
        whether the core has confirmed it.
    :param cancelled: whether the caller no longer waits.
    :param index: log index of the command, or 0 before it is appended; read index of a read.
    :param term: term of the log entry.
    """

    token: int
    command: bytes
    result: AsyncResult = field(default_factory=AsyncResult)
    submitted: bool = False
    cancelled: bool = False
    index: int = 0
    term: int = 0


class ProposalWaiters:
    """Matches log entries to waiting callers; an uncertain outcome is reported as ``unknown``."""

    def __init__(self):
        self._by_token = {}
        self._by_index = {}

    def add(self, waiter):
        """Add a caller whose command is submitted to the core."""
        self._by_token[waiter.token] = waiter

    def remove(self, waiter):
        """Remove a caller without a result."""
        self._by_token.pop(waiter.token, None)
        waiters = self._by_index.get(waiter.index, [])
        if waiter in waiters:
            waiters.remove(waiter)
        if not waiters:
            self._by_index.pop(waiter.index, None)

    def resolve(self, token, result):
        """Set the result of one caller."""
        waiter = self._by_token.get(token)
        if waiter is not None:
            self.remove(waiter)
            waiter.result.set(result)

    def record_appended(self, token, index, term):
        """Record the index and term at which a command was appended.

        Commands of different terms may have been appended at the same index.
        """
        waiter = self._by_token[token]
        waiter.index = index
        waiter.term = term
        self._by_index.setdefault(index, []).append(waiter)

    def resolve_applied(self, entry, reply):
        """Resolve the callers whose command was appended at the index of a committed entry.

        A command with the entry's term receives the reply. Commands of other terms were
        overwritten, so those proposals are never committed.
        """
        for waiter in list(self._by_index.get(entry.index, ())):
            if waiter.term == entry.term:
                self.resolve(waiter.token, Success(reply))
            else:
                self.resolve(waiter.token, _failure(ProposalErrorReason.NOT_ACCEPTED))

    def resolve_skipped(self, index):
        """Resolve callers up to ``index`` as unknown; a snapshot replaced their entries."""
        covered = [
            waiters for appended_index, waiters in self._by_index.items() if appended_index <= index
        ]
        for waiter in [waiter for waiters in covered for waiter in waiters]:
            self.resolve(waiter.token, _failure(ProposalErrorReason.UNKNOWN))

    def resolve_all(self, error):
        """Resolve all remaining callers with an error."""
        for token in list(self._by_token):
            self.resolve(token, Failure(error))


def _failure(failure):
    return Failure(ProposalError(failure))
