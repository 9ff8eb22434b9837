"""Replicated log in memory with injected failures, a manual clock and an outbox, for tests."""

import gevent
import gevent.event
from returns.result import Failure, Success

from sassafrashook.interfaces import ProposalError, ProposalErrorReason, ReplicatedLog
from sassafrashook.messages import Message

CONTROLLER_NAME = "c1"


class FakeLog(ReplicatedLog):
    """Log that applies each command to all replicas in one order.

    :param states: the replicas' state machines.
    :param sync_s: duration of a simulated sync to disk, seconds; 0 applies each command at once.
    :ivar term: term of the leader, 0 if this replica does not lead.
    :ivar failures: one entry for each of the next proposals: ``None``; ``not_accepted``: refused;
        ``lost``: not committed, outcome unknown; ``answer_lost``: committed, outcome unknown.
    """

    def __init__(self, states, sync_s=0.0):
        self.states = states
        self.sync_s = sync_s
        self.term = 1
        self.leader_name = CONTROLLER_NAME
        self.entries = []
        self.failures = []
        self._pending = []
        self._is_syncing = False

    def propose(self, command, deadline):
        failure = self.failures.pop(0) if self.failures else None
        if self.term == 0 or failure == "not_accepted":
            kind = (
                ProposalErrorReason.NOT_LEADER
                if self.term == 0
                else ProposalErrorReason.NOT_ACCEPTED
            )
            return Failure(ProposalError(kind, self.leader_name))
        if failure == "lost":
            return Failure(ProposalError(ProposalErrorReason.UNKNOWN))
        reply = self._commit(command)
        if failure == "answer_lost":
            return Failure(ProposalError(ProposalErrorReason.UNKNOWN))
        return Success(reply)

    def confirm_read(self, deadline):
        if self.term == 0:
            return Failure(ProposalError(ProposalErrorReason.NOT_LEADER, self.leader_name))
        return Success(len(self.entries))

    def get_leader(self):
        return self.leader_name

    def get_leading_term(self, now):
        return self.term

    def _commit(self, command):
        """Apply a command; proposals that arrive during a sync are committed by the next one."""
        if not self.sync_s:
            return self._apply(command)
        result = gevent.event.AsyncResult()
        self._pending.append((command, result))
        if not self._is_syncing:
            self._is_syncing = True
            gevent.spawn(self._sync)
        return result.get()

    def _sync(self):
        while self._pending:
            batch, self._pending = self._pending, []
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
    """Manually advanced time, in seconds, used as both the monotonic and the wall clock."""

    def __init__(self, now=1_000.0):
        self.now = now

    def __call__(self):
        return self.now

    def wall_ms(self):
        return int(self.now * 1000)

    def sleep(self, seconds):
        self.now += seconds


class Outbox:
    """Records sent messages with their recipients."""

    def __init__(self):
        self.sent = []

    def send(self, peer, message: Message):
        self.sent.append((peer, message))
        return True

    def pop_messages(self, message_type):
        """Remove and return the recorded messages of one type."""
        messages = [message for _, message in self.sent if isinstance(message, message_type)]
        self.sent = [entry for entry in self.sent if not isinstance(entry[1], message_type)]
        return messages
