"""Heartbeat rounds: the leader's lease, check-quorum and linearizable reads."""

from collections import deque
from dataclasses import dataclass

from sassafrashook.consensus._actions import ReadConfirmed, ReadRefused, Role
from sassafrashook.consensus._messages import ReadAnswered, ReadForwarded

__all__ = ["ReadMixin"]


@dataclass(slots=True)
class _Read:
    """A read that waits for a heartbeat round.

    :param round_number: a quorum must have answered this round.
    :param token: token of a local read, or request id of a forwarded one.
    :param peer: name and identity of the replica that forwarded it, or empty.
    """

    round_number: int
    token: int
    peer: str = ""
    identity: str = ""


class ReadMixin:
    """Proves that this replica still leads."""

    def _start_reads(self):
        self._reads = []
        self._rounds = deque()
        self.round_ = 0
        self._round_wanted = False
        self.quorum_contact_ = 0.0

    def leading_term(self, now):
        """Return the term while the lease holds, else 0.

        It is 0 until this term has committed, so that all older terms' commands are applied.

        :param now: seconds.
        """
        has_committed = self.log_.term_at(self.commit_index_) == self.term_
        return self.term_ if has_committed and self._holds_lease(now) else 0

    def lease_deadline(self):
        """Return until when a quorum has confirmed this leader, seconds on its own clock.

        A voter that answered a heartbeat votes for no one until ``election_min_ms`` after it
        received it, on its own clock, which may run faster; the lease is shorter by both drifts.
        """
        sent_at = self._quorum_sent_at()
        if sent_at is None:
            return float("-inf")
        drift = self.drift_fraction
        return sent_at + self.election_min_s_ * (1 - drift) / (1 + drift)

    def _holds_lease(self, now):
        return self.role_ is Role.LEADER and now < self.lease_deadline()

    def _quorum_round(self):
        voters = [member for member in self.configuration_ if member.voter]
        rounds = sorted(self._acknowledged_round(member) for member in voters)
        return rounds[(len(rounds) - 1) // 2]

    def _acknowledged_round(self, member):
        if member.identity == self.identity:
            return self.round_
        return self.progress_[member.identity].acknowledged_round

    def _quorum_sent_at(self):
        number = self._quorum_round()
        for round_number, sent_at in self._rounds:
            if round_number == number:
                return sent_at
        return None

    def _quorum_deadline(self):
        return self.quorum_contact_ + self.election_max_s_

    def _check_quorum(self, now):
        """Step down when no quorum has answered for too long."""
        if self.role_ is Role.LEADER and now >= self._quorum_deadline():
            self._become_follower(self.term_, now)

    def _start_round(self, now):
        self.round_ += 1
        self._rounds.append((self.round_, now))
        self._round_wanted = False
        self.promised_until_ = max(self.promised_until_, now + self.election_min_s_)
        self.heartbeat_deadline_ = now + self.heartbeat_s_
        self._send_heartbeats(now)
        self._note_round_progress(now)

    def _start_wanted_round(self, now):
        """Start a round for waiting reads unless one is under way."""
        if self._round_wanted and self._quorum_round() == self.round_:
            self._start_round(now)

    def _note_round_progress(self, now):
        number = self._quorum_round()
        while len(self._rounds) > 1 and self._rounds[1][0] <= number:
            self._rounds.popleft()
        if self._rounds[0][0] == number:
            self.quorum_contact_ = max(self.quorum_contact_, self._rounds[0][1])
        self._confirm_reads(number)

    def _confirm_reads(self, number):
        """Answer the reads whose round a quorum answered, in a term that has committed."""
        if not self._reads or self.log_.term_at(self.commit_index_) != self.term_:
            return
        waiting = [read for read in self._reads if read.round_number > number]
        for read in self._reads:
            if read.round_number <= number:
                self._answer_read(read, self.commit_index_)
        self._reads = waiting

    def _answer_read(self, read, index):
        if read.peer:
            answer = ReadAnswered(*self._header(read.identity), read.token, index)
            self._send(read.peer, answer)
        elif index >= 0:
            self._actions.append(ReadConfirmed(read.token, index))
        else:
            self._actions.append(ReadRefused(read.token, self.leader_))

    def _refuse_reads(self):
        for read in self._reads:
            self._answer_read(read, -1)
        self._reads = []

    def _on_read_offered(self, event, now):
        if self.role_ is Role.LEADER:
            self._add_read(_Read(self.round_ + 1, event.token))
        elif self.leader_identity_:
            request = ReadForwarded(*self._header(self.leader_identity_), event.token)
            self._send(self.leader_, request)
        else:
            self._actions.append(ReadRefused(event.token, self.leader_))

    def _add_read(self, read):
        self._reads.append(read)
        self._round_wanted = True

    def _on_read_forwarded(self, message, now):
        read = _Read(self.round_ + 1, message.request_id, message.sender, message.identity)
        if self.role_ is Role.LEADER:
            self._add_read(read)
        else:
            self._answer_read(read, -1)

    def _on_read_answered(self, message, now):
        if message.index >= 0:
            self._actions.append(ReadConfirmed(message.request_id, message.index))
        else:
            self._actions.append(ReadRefused(message.request_id, self.leader_))
