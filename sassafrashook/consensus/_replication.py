"""Log replication with flow control per member."""

from sassafrashook.consensus._actions import (
    InvariantError,
    ProposalAppended,
    ProposalRejected,
    Role,
)
from sassafrashook.consensus._messages import COMMAND, AppendAnswered, AppendRequested, Entry
from sassafrashook.consensus._progress import Progress
from sassafrashook.interfaces import ProposalErrorReason

__all__ = ["ReplicationMixin"]

RESEND_HEARTBEATS = 3
# Entries have a part of the link only, and configurations for routers may be sent before them.
TRANSMISSION_MARGIN = 2.5


class ReplicationMixin:
    """Replicates the log as leader and stores replicated entries as follower."""

    def _start_replication(self, now):
        self.progress_ = {}
        self.heartbeat_deadline_ = now
        self.verified_index_ = self.commit_index_
        self.leader_commit_ = 0
        self._last_leader_round = 0

    def _start_leading(self, now):
        self.progress_ = {}
        self._update_progress_members(now)
        self._rounds.clear()
        self.quorum_round_sent_at_ = now
        self._start_round(now)

    def _stop_leading(self):
        self.transfer_target_ = ""
        self._reject_reads()
        self.progress_ = {}

    def _update_progress_members(self, now):
        """Keep one :class:`Progress` per other member of the configurations in force."""
        others = {member.identity for member in self._list_other_members_in_force()}
        for identity in self.progress_.keys() - others:
            del self.progress_[identity]
        for identity in sorted(others - self.progress_.keys()):
            self.progress_[identity] = Progress(self.log_.last_index + 1, now)

    def _advance_leader(self, now):
        if now >= self.heartbeat_deadline_:
            self._resend_unacknowledged(now)
            self._start_round(now)
        self._continue_transfer(now)
        if self.role_ is Role.LEADER:
            self._advance_commit(now)
            self._advance_learners(now)
        self._adjust_membership(now)

    def _resend_unacknowledged(self, now):
        delay_s = self._compute_resend_delay_s()
        for progress in self.progress_.values():
            is_overdue = now >= progress.resend_timer_started_at + delay_s
            if is_overdue and progress.match_index < self.log_.last_index:
                progress.restart_probing(progress.match_index + 1, now)

    def _restart_transmission(self, identity, now):
        """Send again what was in flight to a process of a member that has ended."""
        progress = self.progress_.get(identity)
        if progress is not None:
            progress.restart_probing(progress.match_index + 1, now)
            progress.snapshot_offset = 0
            progress.snapshot_resend_at = now

    def _compute_resend_delay_s(self):
        """Return how long after its transmission began an unacknowledged batch is sent again.

        Entries to all members share the link. Entries that are resent while they are still being
        transmitted would fill it with copies.
        """
        in_flight_bytes = sum(
            progress.in_flight_bytes + progress.get_piece_bytes(self.snapshot_piece_bytes)
            for progress in self.progress_.values()
        )
        transmission_s = TRANSMISSION_MARGIN * in_flight_bytes / self.link_bytes_per_s
        return RESEND_HEARTBEATS * self.heartbeat_s_ + transmission_s

    def _on_proposals_submitted(self, event, now):
        failure = self._find_proposal_failure(now)
        for proposal in event.proposals:
            uncommitted = self.log_.last_index - self.commit_index_
            if failure is None and uncommitted >= self.max_uncommitted_entries:
                failure = ProposalErrorReason.NOT_ACCEPTED
            if failure is not None:
                rejection = ProposalRejected(proposal.token, failure, self.leader_)
                self._actions.append(rejection)
                continue
            entry = Entry(self.log_.last_index + 1, self.term_, COMMAND, proposal.command)
            self._append_entry(entry)
            self._actions.append(ProposalAppended(proposal.token, entry.index, entry.term))
        if failure is None:
            self._send_entries_to_all(now)

    def _find_proposal_failure(self, now):
        if self.role_ is not Role.LEADER:
            return ProposalErrorReason.NOT_LEADER
        if self.transfer_target_ or not self._has_lease(now):
            return ProposalErrorReason.NOT_ACCEPTED
        if not self._can_accept_commands():
            self.rejection_counts_["too_few_voters"] += 1
            return ProposalErrorReason.NOT_ACCEPTED
        return None

    def _send_entries_to_all(self, now):
        for member in self._list_other_members_in_force():
            self._send_entries(member, now)

    def _send_heartbeats(self, now):
        for member in self._list_other_members_in_force():
            progress = self.progress_[member.identity]
            is_in_log = progress.match_index >= self.log_.base_index
            self._send_append(member, progress.match_index if is_in_log else 0, [])
            self._send_entries(member, now)

    def _send_entries(self, member, now):
        """Send as many entries as the in-flight limits allow.

        While the match index of a member is being probed, only one batch is in flight.
        """
        progress = self.progress_[member.identity]
        if progress.next_index <= self.log_.base_index:
            self._send_snapshot(member, progress, now)
            return
        while progress.next_index <= self.log_.last_index and self._can_send_more(progress):
            entries = self.log_.read_batch(
                progress.next_index, self.max_batch_entries, self.max_batch_bytes
            )
            if not progress.in_flight:
                progress.resend_timer_started_at = now
            self._send_append(member, progress.next_index - 1, entries)
            progress.record_sent(entries)

    def _can_send_more(self, progress):
        if progress.probing:
            return not progress.in_flight
        if progress.in_flight_bytes >= self.max_in_flight_bytes:
            return False
        return progress.count_in_flight() < self.max_in_flight_entries

    def _send_append(self, member, previous_index, entries):
        request = AppendRequested(
            *self._header(member.identity),
            previous_index,
            self.log_.get_term(previous_index) or 0,
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
        progress.last_contact_at = now
        self._record_round(progress, message.round_number, now)
        if message.success:
            if progress.record_match(message.match_index, now):
                progress.probing = False
                self._advance_commit(now)
        elif message.hint_index < progress.match_index:
            self.rejection_counts_["hint_below_match"] += 1
        elif message.hint_index + 1 < progress.next_index:
            progress.restart_probing(message.hint_index + 1, now)
        self._continue_transfer(now)
        if self.role_ is Role.LEADER:
            self._advance_learners(now)
            self._continue_sending(message.identity, now)

    def _record_round(self, progress, round_number, now):
        if round_number > progress.acknowledged_round:
            progress.acknowledged_round = round_number
            self._update_quorum_round(now)

    def _continue_sending(self, identity, now):
        for member in self._list_other_members_in_force():
            if member.identity == identity and identity in self.progress_:
                self._send_entries(member, now)

    def _advance_commit(self, now):
        """Commit entries of the current term that are durable on this replica and enough voters.

        Enough is a quorum, and at least ``tolerated_losses + 1`` voters if there are as many.
        A quorum alone commits what precedes the first command: no one relies on it, and a new
        group of three voters could not grow with one of them lost otherwise.

        A committed change may let further entries be committed, as one configuration less counts.
        The others learn of it at once, because both count for them until then.
        """
        while self.role_ is Role.LEADER:
            min_copies = self.tolerated_losses + 1 if self._can_accept_commands() else 1
            synced_index = self._get_quorum().find_value(self._get_synced_index, min_copies)
            index = min(synced_index, self.durable_index_)
            if index <= self.commit_index_ or self.log_.get_term(index) != self.term_:
                return
            is_change = self.commit_index_ < self.configuration_index_ <= index
            self._commit_to(index)
            if self.commit_index_ < index:
                return  # a snapshot is being restored
            self._update_progress_members(now)
            self._update_quorum_round(now)
            if is_change:
                self._start_round(now)
            self._advance_learners(now)

    def _get_synced_index(self, identity):
        if identity == self.identity:
            return self.durable_index_
        return self.progress_[identity].match_index

    def _on_append_requested(self, message, now):
        if not self._accept_leader(message, now):
            return
        if not self._matches_previous_entry(message):
            self._reply_to_append(message, success=False)
            return
        for entry in message.entries:
            self._store_entry(entry)
        last_index = message.previous_index + len(message.entries)
        self.verified_index_ = max(self.verified_index_, last_index)
        self.leader_commit_ = message.commit_index
        self._commit_verified()
        if not message.entries or self.durable_index_ >= last_index:
            self._reply_to_append(message, success=True)

    def _accept_leader(self, message, now):
        """Recognize the sender as leader of its term.

        :returns: ``False`` if the sender's term is older; a negative reply has been sent then.
        :raises InvariantError: if the term has another leader already.
        """
        if message.term < self.term_:
            self._reply_to_append(message, success=False)
            return False
        if message.term == self.term_ and self.role_ is Role.LEADER:
            raise InvariantError(
                f"term {self.term_} has two leaders: {self.name} and {message.sender}"
            )
        known_leader = self.leader_identity_
        if message.term > self.term_ or not known_leader:
            self._become_follower(message.term, now, message.sender, message.identity)
        elif known_leader != message.identity:
            raise InvariantError(
                f"term {self.term_} has two leaders: {known_leader} and {message.identity}"
            )
        self._record_leader_contact(now)
        self._last_leader_round = message.round_number
        return True

    def _matches_previous_entry(self, message):
        previous = message.previous_index
        if previous <= self.commit_index_:
            return True
        return self.log_.get_term(previous) == message.previous_term

    def _store_entry(self, entry):
        if entry.index <= self.log_.base_index:
            return
        term = self.log_.get_term(entry.index)
        if term == entry.term:
            return
        if term is not None:
            self._truncate(entry.index)
        self._append_entry(entry)

    def _commit_verified(self):
        self._commit_to(min(self.leader_commit_, self.verified_index_, self.durable_index_))

    def _reply_to_append(self, message, success):
        hint = 0
        if not success and message.term == self.term_:
            hint = self._compute_hint_index(message.previous_index)
        answer = AppendAnswered(
            *self._header(message.identity),
            success,
            min(self.verified_index_, self.durable_index_),
            hint,
            message.round_number,
        )
        self._send(message.sender, answer)

    def _compute_hint_index(self, previous_index):
        """Return the last index that may match, skipping all entries of a conflicting term."""
        if previous_index > self.log_.last_index:
            return self.log_.last_index
        return max(self.log_.find_term_start(previous_index) - 1, self.commit_index_)

    def _acknowledge_synced(self, now):
        """Report the durable entries to the leader."""
        if self.role_ is Role.LEADER or not self.leader_identity_:
            return
        self._commit_verified()
        match = min(self.verified_index_, self.durable_index_)
        header = self._header(self.leader_identity_)
        self._send(self.leader_, AppendAnswered(*header, True, match, 0, self._last_leader_round))
