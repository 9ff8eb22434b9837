"""Replication of entries, with a bound on what is in flight to each member."""

from sassafrashook.consensus._actions import InvariantError, ProposalAppended, ProposalRefused, Role
from sassafrashook.consensus._messages import COMMAND, AppendAnswered, AppendRequested, Entry
from sassafrashook.consensus._progress import Progress
from sassafrashook.gateways import ProposalFailure

__all__ = ["ReplicationMixin"]

RESEND_HEARTBEATS = 3


class ReplicationMixin:
    """Sends the leader's log to the other members, and follows a leader's log."""

    def _start_replication(self, now):
        self.progress_ = {}
        self.heartbeat_deadline_ = now
        self.verified_index_ = self.commit_index_
        self.leader_commit_ = 0
        self._last_round = 0

    def _start_leading(self, now):
        self.progress_ = {}
        self._sync_progress(now)
        self._rounds.clear()
        self.quorum_contact_ = now
        self._start_round(now)

    def _stop_leading(self):
        self.transfer_target_ = ""
        self._refuse_reads()
        self.progress_ = {}

    def _sync_progress(self, now):
        """Keep one progress for each other member of the newest configuration."""
        others = {member.identity for member in self._other_members()}
        for identity in self.progress_.keys() - others:
            del self.progress_[identity]
        for identity in sorted(others - self.progress_.keys()):
            self.progress_[identity] = Progress(self.log_.last_index + 1, now)

    def _advance_leader(self, now):
        if now >= self.heartbeat_deadline_:
            self._resend_lost(now)
            self._start_round(now)
        self._advance_transfer(now)
        if self.role_ is Role.LEADER:
            self._advance_commit(now)
            self._advance_replacement(now)
        self._advance_members(now)

    def _resend_lost(self, now):
        for progress in self.progress_.values():
            overdue = now >= progress.last_progress_at + RESEND_HEARTBEATS * self.heartbeat_s_
            if overdue and progress.match_index < self.log_.last_index:
                progress.restart(progress.match_index + 1, now)

    def _on_proposals_offered(self, event, now):
        failure = self._find_failure(now)
        for proposal in event.proposals:
            uncommitted = self.log_.last_index - self.commit_index_
            if failure is None and uncommitted >= self.max_uncommitted_entries:
                failure = ProposalFailure.NOT_ACCEPTED
            if failure is not None:
                refusal = ProposalRefused(proposal.token, failure, self.leader_)
                self._actions.append(refusal)
                continue
            entry = Entry(self.log_.last_index + 1, self.term_, COMMAND, proposal.command)
            self._append_entry(entry)
            self._actions.append(ProposalAppended(proposal.token, entry.index, entry.term))
        if failure is None:
            self._send_entries_to_all(now)

    def _find_failure(self, now):
        if self.role_ is not Role.LEADER:
            return ProposalFailure.NOT_LEADER
        if self.transfer_target_ or not self._holds_lease(now):
            return ProposalFailure.NOT_ACCEPTED
        return None

    def _send_entries_to_all(self, now):
        for member in self._other_members():
            self._send_entries(member, now)

    def _send_heartbeats(self, now):
        for member in self._other_members():
            progress = self.progress_[member.identity]
            is_held = progress.match_index >= self.log_.base_index
            self._send_append(member, progress.match_index if is_held else 0, [])
            self._send_entries(member, now)

    def _send_entries(self, member, now):
        """Send what the limits allow; a member that is being probed gets one batch at a time."""
        progress = self.progress_[member.identity]
        if progress.next_index <= self.log_.base_index:
            self._send_snapshot(member, progress, now)
            return
        while progress.next_index <= self.log_.last_index and self._has_room(progress):
            entries = self.log_.read_batch(
                progress.next_index, self.max_batch_entries, self.max_batch_bytes
            )
            if not progress.in_flight:
                progress.last_progress_at = now
            self._send_append(member, progress.next_index - 1, entries)
            progress.note_sent(entries)

    def _has_room(self, progress):
        if progress.probing:
            return not progress.in_flight
        if progress.in_flight_bytes >= self.max_in_flight_bytes:
            return False
        return progress.count_in_flight() < self.max_in_flight_entries

    def _send_append(self, member, previous_index, entries):
        request = AppendRequested(
            *self._header(member.identity),
            previous_index,
            self.log_.term_at(previous_index) or 0,
            self.commit_index_,
            self.round_,
            entries,
        )
        self._send(member.name, request)

    def _on_append_answered(self, message, now):
        if message.term > self.term_:
            self._become_follower(message.term, now)
            return
        progress = self.progress_.get(message.identity)
        if self.role_ is not Role.LEADER or message.term < self.term_ or progress is None:
            return
        progress.heard_at = now
        self._note_round(progress, message.round_number, now)
        if message.success:
            if progress.note_match(message.match_index, now):
                progress.probing = False
                self._advance_commit(now)
        elif message.hint_index < progress.match_index:
            self.refusals_["hint_below_match"] += 1
        elif message.hint_index + 1 < progress.next_index:
            progress.restart(message.hint_index + 1, now)
        self._advance_transfer(now)
        if self.role_ is Role.LEADER:
            self._advance_replacement(now)
            self._continue_sending(message.identity, now)

    def _note_round(self, progress, round_number, now):
        if round_number > progress.acknowledged_round:
            progress.acknowledged_round = round_number
            self._note_round_progress(now)

    def _continue_sending(self, identity, now):
        member = self._member(identity)
        if member is not None and identity in self.progress_:
            self._send_entries(member, now)

    def _advance_commit(self, now):
        """Commit what enough voters have synced in this term, this replica included."""
        if self.role_ is not Role.LEADER:
            return
        voters = [member for member in self.configuration_ if member.voter]
        synced = sorted(self._synced_index(member) for member in voters)
        copies = max(len(synced) // 2 + 1, min(self.tolerated_losses + 1, len(synced)))
        index = min(synced[len(synced) - copies], self.durable_index_)
        if index > self.commit_index_ and self.log_.term_at(index) == self.term_:
            self._commit_to(index)
            self._note_round_progress(now)
            self._advance_replacement(now)

    def _synced_index(self, member):
        if member.identity == self.identity:
            return self.durable_index_
        return self.progress_[member.identity].match_index

    def _on_append_requested(self, message, now):
        if not self._follow(message, now):
            return
        if not self._matches(message):
            self._answer_append(message, success=False)
            return
        for entry in message.entries:
            self._take_entry(entry)
        last_index = message.previous_index + len(message.entries)
        self.verified_index_ = max(self.verified_index_, last_index)
        self.leader_commit_ = message.commit_index
        self._commit_verified()
        if not message.entries or self.durable_index_ >= last_index:
            self._answer_append(message, success=True)

    def _follow(self, message, now):
        """Accept the sender as leader of its term; answer and refuse if the term is over."""
        if message.term < self.term_:
            self._answer_append(message, success=False)
            return False
        if message.term == self.term_ and self.role_ is Role.LEADER:
            raise InvariantError(f"term {self.term_} has a second leader {message.sender}")
        known = self.leader_identity_
        if message.term > self.term_ or not known:
            self._become_follower(message.term, now, message.sender, message.identity)
        elif known != message.identity:
            raise InvariantError(f"term {self.term_} is led by {known} and {message.identity}")
        self._note_leader_contact(now)
        self._last_round = message.round_number
        return True

    def _matches(self, message):
        previous = message.previous_index
        if previous <= self.commit_index_:
            return True
        return self.log_.term_at(previous) == message.previous_term

    def _take_entry(self, entry):
        if entry.index <= self.log_.base_index:
            return
        term = self.log_.term_at(entry.index)
        if term == entry.term:
            return
        if term is not None:
            self._truncate(entry.index)
        self._append_entry(entry)

    def _commit_verified(self):
        self._commit_to(min(self.leader_commit_, self.verified_index_, self.durable_index_))

    def _answer_append(self, message, success):
        hint = 0
        if not success and message.term == self.term_:
            hint = self._find_hint(message.previous_index)
        answer = AppendAnswered(
            *self._header(message.identity),
            success,
            min(self.verified_index_, self.durable_index_),
            hint,
            message.round_number,
        )
        self._send(message.sender, answer)

    def _find_hint(self, previous_index):
        """Return the last index that may match, skipping a whole conflicting term."""
        if previous_index > self.log_.last_index:
            return self.log_.last_index
        return max(self.log_.find_term_start(previous_index) - 1, self.commit_index_)

    def _acknowledge_synced(self, now):
        """Tell the leader what has become durable."""
        if self.role_ is Role.LEADER or not self.leader_identity_:
            return
        self._commit_verified()
        match = min(self.verified_index_, self.durable_index_)
        header = self._header(self.leader_identity_)
        self._send(self.leader_, AppendAnswered(*header, True, match, 0, self._last_round))
