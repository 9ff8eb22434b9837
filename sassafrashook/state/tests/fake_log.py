"""A single in-memory log with several replicas, which can lose answers and leadership."""

import gevent
import gevent.event
from returns.result import Failure, Success

from sassafrashook.gateways import ProposalError, ProposalFailure, ReplicatedLog
from sassafrashook.messages import Message

NAME = "c1"


class FakeLog(ReplicatedLog):
    """Applies each command at once, or after a simulated sync, to every replica in one order."""

    def __init__(self, states, sync_s=0.0):
        self.states = states
        self.sync_s = sync_s
        self.term = 1
        self.leader_name = NAME
        self.entries = []
        self.failures = []
        self._waiting = []
        self._is_syncing = False

    def propose(self, command, deadline):
        failure = self.failures.pop(0) if self.failures else None
        if self.term == 0 or failure == "not_accepted":
            kind = ProposalFailure.NOT_LEADER if self.term == 0 else ProposalFailure.NOT_ACCEPTED
            return Failure(ProposalError(kind, self.leader_name))
        if failure == "lost":
            return Failure(ProposalError(ProposalFailure.UNKNOWN))
        reply = self._commit(command)
        if failure == "answer_lost":
            return Failure(ProposalError(ProposalFailure.UNKNOWN))
        return Success(reply)

    def confirm_read(self, deadline):
        if self.term == 0:
            return Failure(ProposalError(ProposalFailure.NOT_LEADER, self.leader_name))
        return Success(len(self.entries))

    def leader(self):
        return self.leader_name

    def leading_term(self, now):
        return self.term

    def _commit(self, command):
        """Apply now; with a sync, the proposals that arrive during it share the next one."""
        if not self.sync_s:
            return self._apply(command)
        result = gevent.event.AsyncResult()
        self._waiting.append((command, result))
        if not self._is_syncing:
            self._is_syncing = True
            gevent.spawn(self._sync)
        return result.get()

    def _sync(self):
        while self._waiting:
            batch, self._waiting = self._waiting, []
            gevent.sleep(self.sync_s)
            for command, result in batch:
                result.set(self._apply(command))
        self._is_syncing = False

    def _apply(self, command):
        self.entries.append(command)
        replies = {state.apply(len(self.entries), command) for state in self.states}
        assert len(replies) == 1, "replicas replied differently"
        return replies.pop()


class FakeClock:
    """One time for the monotonic and the wall clock."""

    def __init__(self, now=1_000.0):
        self.now = now

    def __call__(self):
        return self.now

    def wall_ms(self):
        return int(self.now * 1000)

    def sleep(self, seconds):
        self.now += seconds


class Outbox:
    """Keeps what was sent."""

    def __init__(self):
        self.sent = []

    def send(self, peer, message: Message):
        self.sent.append((peer, message))
        return True

    def take(self, kind):
        """Return the messages of one kind that were sent since the last call."""
        found = [message for _, message in self.sent if isinstance(message, kind)]
        self.sent = [entry for entry in self.sent if not isinstance(entry[1], kind)]
        return found
