"""Heartbeat rounds, on which the leader lease, check-quorum and linearizable reads rest."""

from collections import deque
from dataclasses import dataclass

from sassafrashook.consensus._actions import ReadConfirmed, ReadRejected, Role
from sassafrashook.consensus._messages import ReadAnswered, ReadForwarded

__all__ = ["ReadMixin"]


@dataclass(slots=True)
class _PendingRead:
    """A read that waits for a heartbeat round to be acknowledged.

    :param round_number: round that a quorum must acknowledge.
    :param token: token of a local read, or request id of a forwarded read.
    :param peer: name of the replica that forwarded the read, or empty.
    :param identity: identity of that replica, or empty.
    """

    round_number: int
    token: int
    peer: str = ""
    identity: str = ""


class ReadMixin:
    """Confirms leadership by heartbeat rounds that a quorum acknowledged.

    ``quorum_round_sent_at_`` is the time at which the latest round that a quorum acknowledged was
    sent; a new leader starts with the time of its election.
    """

    def _start_reads(self):
        self._reads = []
        self._rounds = deque()
        self.round_ = 0
        self._round_requested = False
        self.quorum_round_sent_at_ = 0.0

    def get_leading_term(self, now):
        """Return the term while this replica holds the leader lease, else 0.

        The result is 0 until an entry of this term is committed, so that all commands of earlier
        terms are applied first.

        :param now: current time, seconds.
        """
        has_committed = self.log_.get_term(self.commit_index_) == self.term_
        return self.term_ if has_committed and self._has_lease(now) else 0

    def get_lease_deadline(self):
        """Return the end of the leader lease, seconds on this replica's clock.

        A voter that acknowledged a heartbeat grants no vote for ``election_min_ms`` after it
        received the heartbeat. Its clock may run faster and the leader's slower, so the lease is
        shortened by the drift of both clocks.
        """
        sent_at = self._get_quorum_sent_at()
        if sent_at is None:
            return float("-inf")
        drift = self.drift_fraction
        return sent_at + self.election_min_s_ * (1 - drift) / (1 + drift)

    def _has_lease(self, now):
        return self.role_ is Role.LEADER and now < self.get_lease_deadline()

    def _compute_quorum_round(self):
        return self._get_quorum().find_value(self._get_acknowledged_round)

    def _get_acknowledged_round(self, identity):
        if identity == self.identity:
            return self.round_
        return self.progress_[identity].acknowledged_round

    def _get_quorum_sent_at(self):
        quorum_round = self._compute_quorum_round()
        for round_number, sent_at in self._rounds:
            if round_number == quorum_round:
                return sent_at
        return None

    def _get_step_down_deadline(self):
        """Return the time at which the leader steps down unless a quorum answers, seconds."""
        return self.quorum_round_sent_at_ + self.election_max_s_

    def _check_quorum(self, now):
        """Step down if no quorum has answered within ``election_max_ms``."""
        if self.role_ is Role.LEADER and now >= self._get_step_down_deadline():
            self._become_follower(self.term_, now)

    def _start_round(self, now):
        self.round_ += 1
        self._rounds.append((self.round_, now))
        self._round_requested = False
        self.votes_withheld_until_ = max(self.votes_withheld_until_, now + self.election_min_s_)
        self.heartbeat_deadline_ = now + self.heartbeat_s_
        self._send_heartbeats(now)
        self._update_quorum_round(now)

    def _start_requested_round(self, now):
        """Start a round for pending reads unless the last round is still unacknowledged."""
        if self._round_requested and self._compute_quorum_round() == self.round_:
            self._start_round(now)

    def _update_quorum_round(self, now):
        quorum_round = self._compute_quorum_round()
        while len(self._rounds) > 1 and self._rounds[1][0] <= quorum_round:
            self._rounds.popleft()
        if self._rounds[0][0] == quorum_round:
            self.quorum_round_sent_at_ = max(self.quorum_round_sent_at_, self._rounds[0][1])
        self._confirm_reads(quorum_round)

    def _confirm_reads(self, quorum_round):
        """Reply to the reads whose round a quorum acknowledged.

        Reads wait until an entry of this term is committed, since the commit index may lag behind
        the previous leader's before that.
        """
        if not self._reads or self.log_.get_term(self.commit_index_) != self.term_:
            return
        pending = [read for read in self._reads if read.round_number > quorum_round]
        for read in self._reads:
            if read.round_number <= quorum_round:
                self._reply_to_read(read, self.commit_index_)
        self._reads = pending

    def _reply_to_read(self, read, index):
        if read.peer:
            answer = ReadAnswered(*self._header(read.identity), read.token, index)
            self._send(read.peer, answer)
        elif index >= 0:
            self._actions.append(ReadConfirmed(read.token, index))
        else:
            self._actions.append(ReadRejected(read.token, self.leader_))

    def _reject_reads(self):
        for read in self._reads:
            self._reply_to_read(read, -1)
        self._reads = []

    def _on_read_requested(self, event, now):
        if self.role_ is Role.LEADER:
            self._add_read(_PendingRead(self.round_ + 1, event.token))
        elif self.leader_identity_:
            request = ReadForwarded(*self._header(self.leader_identity_), event.token)
            self._send(self.leader_, request)
        else:
            self._actions.append(ReadRejected(event.token, self.leader_))

    def _add_read(self, read):
        self._reads.append(read)
        self._round_requested = True

    def _on_read_forwarded(self, message, now):
        read = _PendingRead(self.round_ + 1, message.request_id, message.sender, message.identity)
        if self.role_ is Role.LEADER:
            self._add_read(read)
        else:
            self._reply_to_read(read, -1)

    def _on_read_answered(self, message, now):
        if message.index >= 0:
            self._actions.append(ReadConfirmed(message.request_id, message.index))
        else:
            self._actions.append(ReadRejected(message.request_id, self.leader_))
