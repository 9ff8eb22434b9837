"""Leader election: pre-vote, votes, leader stickiness and leadership transfer."""

from sassafrashook.consensus._actions import InvariantError, Role
from sassafrashook.consensus._messages import (
    NOOP,
    ElectionRequested,
    Entry,
    VoteAnswered,
    VoteRequested,
)

__all__ = ["ElectionMixin"]


class ElectionMixin:
    """Runs elections and grants votes."""

    def _start_elections(self, now):
        self.role_ = Role.UNCONFIGURED
        self.leader_ = ""
        self.leader_identity_ = ""
        self.led_term_ = 0
        self.votes_ = set()
        self.transfer_target_ = ""
        self.transfer_deadline_ = 0.0
        self._withhold_votes_at_start(now)
        self._reset_election_deadline(now)

    def _withhold_votes_at_start(self, now):
        """Withhold votes for a full ``election_min_ms`` after a start.

        Contact with a leader is not persisted, so this replica may have heard from one right
        before the restart, and that leader may still rely on its lease.
        """
        self.votes_withheld_until_ = now + self.election_min_s_

    def _reset_election_deadline(self, now):
        timeout_s = self.rng.uniform(self.election_min_s_, self.election_max_s_)
        self.election_deadline_ = now + timeout_s

    def _record_leader_contact(self, now):
        self.votes_withheld_until_ = max(self.votes_withheld_until_, now + self.election_min_s_)
        self._reset_election_deadline(now)

    def _become_follower(self, term, now, leader="", leader_identity=""):
        if self.role_ is Role.LEADER:
            self._stop_leading()
        if term > self.term_:
            self._set_term(term)
        self.role_ = self._get_passive_role()
        self.leader_ = leader
        self.leader_identity_ = leader_identity
        self.votes_ = set()
        self.verified_index_ = self.commit_index_
        self._reset_election_deadline(now)

    def _get_passive_role(self):
        if self.configuration_index_ < 0:
            return Role.UNCONFIGURED
        return Role.FOLLOWER if self._is_voter(self.identity) else Role.LEARNER

    def _on_election_timeout(self, now):
        self._reset_election_deadline(now)
        if self._is_departing():
            return
        self.leader_ = ""
        self.leader_identity_ = ""
        if not self._is_voter(self.identity):
            self.election_deadline_ = now + self.heartbeat_s_
            self._announce_to_all()
            return
        self.role_ = Role.PRE_CANDIDATE
        self._start_candidacy()
        self.votes_ = {self.identity}
        self._request_votes(self.term_ + 1, pre_vote=True, transfer=False)
        if self.automatic_membership:
            self._announce_to_nonvoters()
        self._query_voters()
        self._count_votes(now)

    def _start_election(self, now, transfer):
        self._reset_election_deadline(now)
        self.role_ = Role.CANDIDATE
        self.leader_ = ""
        self.leader_identity_ = ""
        self._set_term(self.term_ + 1, self.identity)
        self._start_candidacy()
        self.votes_ = {self.identity}
        self._request_votes(self.term_, pre_vote=False, transfer=transfer)

    def _request_votes(self, term, pre_vote, transfer):
        log = self.log_
        for member in self._list_voters_in_force():
            if member.identity == self.identity:
                continue
            request = VoteRequested(
                *self._header(member.identity),
                term,
                log.last_index,
                log.last_term,
                pre_vote,
                transfer,
            )
            self._send(member.name, request)

    def _on_vote_requested(self, message, now):
        granted = self._can_grant_vote(message, now)
        if granted and not message.pre_vote:
            if message.candidate_term > self.term_:
                self._become_follower(message.candidate_term, now)
            if self.voted_for_ != message.identity:
                self._set_term(self.term_, message.identity)
            self._reset_election_deadline(now)
        answer = VoteAnswered(
            *self._header(message.identity), message.candidate_term, message.pre_vote, granted
        )
        self._send(message.sender, answer)

    def _can_grant_vote(self, message, now):
        if self.configuration_index_ < 0 or message.candidate_term < self.term_:
            return False
        if now < self.votes_withheld_until_ and not message.transfer:
            return False
        is_current = message.candidate_term == self.term_ and not message.pre_vote
        if is_current and self.voted_for_ not in ("", message.identity):
            return False
        log = self.log_
        return (message.last_term, message.last_index) >= (log.last_term, log.last_index)

    def _on_vote_answered(self, message, now):
        if message.term > self.term_:
            self._become_follower(message.term, now)
            return
        expected_role = Role.PRE_CANDIDATE if message.pre_vote else Role.CANDIDATE
        expected_term = self.term_ + 1 if message.pre_vote else self.term_
        if (
            self.role_ is expected_role
            and message.granted
            and message.candidate_term == expected_term
        ):
            self.votes_.add(message.identity)
            self._count_votes(now)

    def _count_votes(self, now):
        """Advance the election once a quorum has granted its vote and the own vote is durable."""
        if self.role_ not in (Role.PRE_CANDIDATE, Role.CANDIDATE):
            return
        if not self._get_quorum().is_met_by(self.votes_):
            return
        if self.role_ is Role.PRE_CANDIDATE:
            self._start_election(now, transfer=False)
        elif self.persisted_sequence_ >= self.state_sequence_ and not self._state_changed:
            self._become_leader(now)

    def _become_leader(self, now):
        if self.led_term_ >= self.term_ or self.voted_for_ != self.identity:
            raise InvariantError(
                f"cannot become leader of term {self.term_}: led term {self.led_term_},"
                f" voted for {self.voted_for_!r}"
            )
        self.led_term_ = self.term_
        self.role_ = Role.LEADER
        self.leader_ = self.name
        self.leader_identity_ = self.identity
        self._start_leading(now)
        self._append_entry(Entry(self.log_.last_index + 1, self.term_, NOOP))
        self._send_entries_to_all(now)

    def _on_transfer_leadership(self, event, now):
        if self.role_ is not Role.LEADER or self.transfer_target_:
            return
        voters = self._list_other_members(voters_only=True)
        candidates = [m for m in voters if event.target in ("", m.name)]
        if not candidates:
            return
        target = max(candidates, key=lambda m: self.progress_[m.identity].match_index)
        self.transfer_target_ = target.identity
        self.transfer_deadline_ = now + self.election_min_s_
        self._continue_transfer(now)

    def _continue_transfer(self, now):
        """Step down and request an election once the target has the complete log.

        Stepping down ends the lease at once, so voters need not wait until it expires.
        """
        if not self.transfer_target_:
            return
        progress = self.progress_.get(self.transfer_target_)
        if progress is None or now >= self.transfer_deadline_:
            self.transfer_target_ = ""
        elif progress.match_index == self.log_.last_index:
            target = self._find_member(self.transfer_target_)
            request = ElectionRequested(*self._header(target.identity))
            self._become_follower(self.term_, now)
            self._send(target.name, request)

    def _on_election_requested(self, message, now):
        is_current = message.term == self.term_ and message.identity == self.leader_identity_
        if is_current and self.role_ is Role.FOLLOWER:
            self._start_election(now, transfer=True)
