"""Callers that wait for the outcome of their proposals."""

from dataclasses import dataclass, field

from gevent.event import AsyncResult
from returns.result import Failure, Success

from sassafrashook.gateways import ProposalError, ProposalFailure

__all__ = ["ProposalWaiters", "Waiter"]


@dataclass(slots=True, eq=False)
class Waiter:
    """One caller.

    :param offered: whether the core was offered the command.
    :param abandoned: whether the caller has gone.
    :param index: where the command was appended, 0 if it was not yet.
    """

    token: int
    command: bytes
    result: AsyncResult = field(default_factory=AsyncResult)
    offered: bool = False
    abandoned: bool = False
    index: int = 0
    term: int = 0


class ProposalWaiters:
    """Finds the caller of each committed entry, and tells only what is certain."""

    def __init__(self):
        self._by_token = {}
        self._by_index = {}

    def add(self, waiter):
        """Remember a caller whose command is offered to the core."""
        self._by_token[waiter.token] = waiter

    def forget(self, waiter):
        """Drop a caller."""
        self._by_token.pop(waiter.token, None)
        claims = self._by_index.get(waiter.index, [])
        if waiter in claims:
            claims.remove(waiter)
        if not claims:
            self._by_index.pop(waiter.index, None)

    def resolve(self, token, result):
        """Answer one caller."""
        waiter = self._by_token.get(token)
        if waiter is not None:
            self.forget(waiter)
            waiter.result.set(result)

    def note_appended(self, token, index, term):
        """Take in where a command was appended; in another term another may claim the place."""
        waiter = self._by_token[token]
        waiter.index = index
        waiter.term = term
        self._by_index.setdefault(index, []).append(waiter)

    def note_applied(self, entry, reply):
        """Answer the callers of a committed place: its own entry, or certainly not."""
        for waiter in list(self._by_index.get(entry.index, ())):
            if waiter.term == entry.term:
                self.resolve(waiter.token, Success(reply))
            else:
                self.resolve(waiter.token, _failure(ProposalFailure.NOT_ACCEPTED))

    def note_skipped(self, index):
        """A snapshot covers all places up to ``index``; what they held is not known."""
        covered = [claims for place, claims in self._by_index.items() if place <= index]
        for waiter in [waiter for claims in covered for waiter in claims]:
            self.resolve(waiter.token, _failure(ProposalFailure.UNKNOWN))

    def resolve_all(self, error):
        """Answer every caller that is left."""
        for token in list(self._by_token):
            self.resolve(token, Failure(error))


def _failure(failure):
    return Failure(ProposalError(failure))
