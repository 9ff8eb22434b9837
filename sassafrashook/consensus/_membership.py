"""Group membership: bootstrapping, and changes of one member at a time."""

import msgspec

from sassafrashook.consensus._actions import BootstrapState, Role
from sassafrashook.consensus._messages import CONFIGURATION, Entry, IdentityAnnounced, Member
from sassafrashook.consensus._quorums import Quorum

__all__ = ["MembershipMixin", "decode_members", "encode_members"]

ANNOUNCEMENT_TTL_HEARTBEATS = 10
# Silence after which a learner is removed, in multiples of ``election_max_ms``.
LEARNER_SILENCE_ELECTION_TIMEOUTS = 5
# Time that another identity of an initial member is announced before it is bound, in multiples of
# ``election_max_ms``.
BINDING_DELAY_ELECTION_TIMEOUTS = 2
CONTACT_HEARTBEATS = 3  # silence after which a member doesn't count as connected


def encode_members(members):
    """Encode the members of a configuration as the data of a log entry."""
    return msgspec.msgpack.encode(list(members))


def decode_members(data):
    """Decode the result of :func:`encode_members`."""
    return tuple(msgspec.msgpack.decode(data, type=list[Member]))


class MembershipMixin:
    """Maintains the membership configuration; the latest one in the log is in force.

    A group is bootstrapped once all initial members have durably bound the same identity to each
    name. A host that loses its disk later gets a new identity, while its name stays bound to the
    old one, so it can neither vote nor bootstrap the group a second time.

    If a host loses its disk before that, its name is bound to the new identity after a delay.
    Still only one set of bindings can be completed: that needs the agreement of all initial
    members, each holds one set at a time, and a member that has completed a set never changes it.
    """

    def _start_membership(self, bootstrap_state, now):
        self.bootstrap_state_ = bootstrap_state
        self.announced_identities_ = {}
        self.announcement_targets_ = set()
        self._peer_bindings = {}
        self._binding_deadlines = {}
        self.announce_deadline_ = now
        self._configurations = []
        if self.snapshot_:
            self._configurations = [(self.snapshot_.members_index, tuple(self.snapshot_.members))]
        elif bootstrap_state and bootstrap_state.completed:
            self._configurations = [(0, self._list_initial_members())]
        self._refresh_configuration()
        for entry in self.log_.entries:
            if entry.kind == CONFIGURATION and entry.index > self.configuration_index_:
                self._add_configuration(entry.index, decode_members(entry.data))
        is_new = bootstrap_state is None and self.configuration_index_ < 0 and self.term_ == 0
        if is_new and self.bootstrap and self.name in self.members:
            self._set_bootstrap_state({self.name: self.identity}, completed=False)
            self._complete_bootstrap_if_agreed(now)

    def _list_initial_members(self):
        bindings = self.bootstrap_state_.bindings
        return tuple(Member(name, bindings[name]) for name in sorted(bindings))

    def _refresh_configuration(self):
        latest = self._configurations[-1] if self._configurations else (-1, ())
        self.configuration_index_, self.configuration_ = latest
        if self.role_ in (Role.UNCONFIGURED, Role.LEARNER, Role.FOLLOWER):
            self.role_ = self._get_passive_role()

    def _add_configuration(self, index, members):
        self._configurations.append((index, members))
        self._refresh_configuration()

    def _drop_configurations(self, index):
        """Remove the configurations at ``index`` and above."""
        self._configurations = [c for c in self._configurations if c[0] < index]
        self._refresh_configuration()

    def _get_configuration_at(self, index):
        """Return the configuration in force at an index.

        :returns: its log index and its members, or ``None`` if it is unknown.
        """
        known = [c for c in self._configurations if c[0] <= index]
        return known[-1] if known else None

    def _is_voter(self, identity):
        return any(m.voter and m.identity == identity for m in self.configuration_)

    def _list_configurations_in_force(self):
        """Return the latest configuration, after the one before it until the change is committed.

        A change needs a quorum of both. A quorum that leaves out a lost voter need not share a
        voter with a quorum of the next configuration alone: that voter may have been part of it.
        """
        count = 2 if self.configuration_index_ > self.commit_index_ else 1
        return [members for _, members in self._configurations[-count:]]

    def _list_members_in_force(self):
        """Return the members of the configurations in force; the latest state of each identity."""
        members = {}
        for configuration in self._list_configurations_in_force():
            members |= {member.identity: member for member in configuration}
        return list(members.values())

    def _list_other_members_in_force(self):
        return [m for m in self._list_members_in_force() if m.identity != self.identity]

    def _list_voters_in_force(self):
        """Return all that are voters in a configuration in force."""
        configurations = self._list_configurations_in_force()
        voters = {m.identity: m for members in configurations for m in members if m.voter}
        return list(voters.values())

    def _get_quorum(self):
        """Return the :class:`Quorum` that votes, commits and leases of this replica need."""
        configurations = self._list_configurations_in_force()
        return Quorum(configurations, self.candidacy_lost_identities_)

    def _find_member(self, identity):
        for member in self.configuration_:
            if member.identity == identity:
                return member
        return None

    def _list_voter_names(self):
        return {member.name for member in self.configuration_ if member.voter}

    def _list_other_members(self, voters_only=False):
        others = [m for m in self.configuration_ if m.identity != self.identity]
        return [m for m in others if m.voter or not voters_only]

    def _set_bootstrap_state(self, bindings, completed):
        self.bootstrap_state_ = BootstrapState(bindings, completed)
        self._state_changed = True

    def _advance_unconfigured(self, now):
        if now < self.announce_deadline_:
            return
        self.announce_deadline_ = now + self.heartbeat_s_
        if not self._is_departing():
            self._announce_to_all()

    def _announce_to_all(self):
        self._announce_to(self._list_known_names())

    def _announce_to_nonvoters(self):
        """Announce this replica to the known replicas that it doesn't ask for votes.

        It may have been removed, and the leader may have joined after that.
        """
        self._announce_to(self._list_known_names() - self._list_voter_names())

    def _announce_to(self, names):
        for name in sorted(names - {self.name}):
            self._announce(name, "")

    def _list_known_names(self):
        members = (member.name for member in self.configuration_)
        return {*self.members, *self.announcement_targets_, *members}

    def _announce(self, name, recipient):
        bootstrap_state = self.bootstrap_state_ or BootstrapState({})
        message = IdentityAnnounced(
            *self._header(recipient), bootstrap_state.bindings, bootstrap_state.completed
        )
        self._send(name, message)

    def _on_identity_announced(self, message, now):
        if self._find_member(message.identity) is None:
            self.announced_identities_[message.sender] = (message.identity, now)
        self._join_bootstrap(message)
        bootstrap_state = self.bootstrap_state_
        if bootstrap_state is None:
            return
        if bootstrap_state.completed:
            if not message.completed:
                self._announce(message.sender, message.identity)
            return
        self._merge_bindings(message, now)

    def _join_bootstrap(self, message):
        """Take part in the bootstrap with a new disk once another member has bound its identity."""
        is_outside = self.bootstrap_state_ is None and self.configuration_index_ < 0
        is_bound = message.bindings.get(self.name) == self.identity
        if is_outside and is_bound and not message.completed and self.name in self.members:
            self._set_bootstrap_state({self.name: self.identity}, completed=False)

    def _merge_bindings(self, message, now):
        """Bind the sender's name to its identity if it may be bound, then try to bootstrap."""
        if message.completed:
            self._adopt_bootstrap_state(message.bindings, now)
            return
        if self.configuration_index_ >= 0:
            return  # a member of a group doesn't found another one
        if message.sender in self.members:
            self._bind_identity(message, now)
        if message.bindings.get(message.sender) == message.identity:
            self._peer_bindings[message.sender] = (message.identity, message.bindings)
            self._complete_bootstrap_if_agreed(now)

    def _bind_identity(self, message, now):
        """Bind the name of an initial member to the identity that it announces.

        An identity is bound at once if it is the first one of its name and takes part in the
        bootstrap itself. Any other one is that of a host that has lost its disk or its setting; it
        is bound after a delay, in which a group that exists would make itself known.
        """
        bindings, name, identity = self.bootstrap_state_.bindings, message.sender, message.identity
        if bindings.get(name) == identity:
            return
        is_first = name not in bindings and message.bindings.get(name) == identity
        delay_s = BINDING_DELAY_ELECTION_TIMEOUTS * self.election_max_s_
        announced, deadline = self._binding_deadlines.get(name, ("", now))
        if announced != identity:
            deadline = now + delay_s
            self._binding_deadlines[name] = (identity, deadline)
        if is_first or now >= deadline:
            self._peer_bindings.pop(name, None)
            self._set_bootstrap_state({**bindings, name: identity}, completed=False)

    def _adopt_bootstrap_state(self, bindings, now):
        """Adopt the bindings of a member that has completed the bootstrap.

        They replace other bindings that this replica has not completed.
        """
        if bindings.get(self.name) != self.identity:
            self.rejection_counts_["superseded_identity"] += 1
        else:
            self._complete_bootstrap(bindings, now)

    def _complete_bootstrap_if_agreed(self, now):
        """Complete the bootstrap if all initial members announced the same complete bindings."""
        if self.bootstrap_state_ is None or self.bootstrap_state_.completed:
            return
        bindings = self.bootstrap_state_.bindings
        if bindings.keys() != set(self.members):
            return
        others = [name for name in self.members if name != self.name]
        if all(self._peer_bindings.get(name) == (bindings[name], bindings) for name in others):
            self._complete_bootstrap(bindings, now)

    def _complete_bootstrap(self, bindings, now):
        self._set_bootstrap_state(bindings, completed=True)
        self._configurations.insert(0, (0, self._list_initial_members()))
        self._refresh_configuration()
        self._reset_election_deadline(now)

    def _can_accept_commands(self):
        """Return whether the group may commit commands.

        The loss of ``tolerated_losses`` disks leaves a majority only of at least
        ``2 * tolerated_losses + 1`` voters, so a new group accepts no command before the
        configuration with that many is committed.
        A group that has committed a command has had that many voters, or was founded by a version
        without this rule. It continues with fewer while lost disks are replaced: removing the
        identity of a lost disk doesn't lower the number of further losses that it tolerates.
        """
        snapshot = self.snapshot_
        if self._command_committed or (snapshot and snapshot.data != self.initial_state):
            return True
        committed = self._get_configuration_at(self.commit_index_)
        voter_counts = [
            sum(member.voter for member in members)
            for members in (self.configuration_, committed[1] if committed else ())
        ]
        return min(voter_counts) >= 2 * self.tolerated_losses + 1

    def _has_pending_change(self):
        """Return whether a further configuration change must wait."""
        own_term_committed = self.log_.get_term(self.commit_index_) == self.term_
        return self.configuration_index_ > self.commit_index_ or not own_term_committed

    def _get_announced_identity(self, name, now):
        """Return the identity that a host announced recently, or ``None``."""
        identity, announced_at = self.announced_identities_.get(name, (None, now))
        is_fresh = now <= announced_at + ANNOUNCEMENT_TTL_HEARTBEATS * self.heartbeat_s_
        return identity if is_fresh and self._find_member(identity) is None else None

    def find_replacement_error(self, name, now):
        """Return the reason why a member cannot be replaced now.

        :param name: name of the member.
        :param now: current time, seconds.
        :returns: ``not_leader``, ``not_another_member`` (the name of this replica, or an unknown
            name), ``no_new_identity``, ``change_in_progress``, or an empty string.
        """
        if self.role_ is not Role.LEADER:
            return "not_leader"
        if name == self.name or name not in self._list_known_names():
            return "not_another_member"
        if self._get_announced_identity(name, now) is None:
            return "no_new_identity"
        return "change_in_progress" if self._has_pending_change() else ""

    def find_replacement_identity(self, name, now):
        """Return the identity that replaces a member.

        It is the identity of the learner with that name, or else the recently announced identity
        that can be added as a learner now.

        :param name: name of the member.
        :param now: current time, seconds.
        :returns: an identity, or ``None``.
        """
        for member in self.configuration_:
            if member.name == name and not member.voter:
                return member.identity
        return (
            None
            if self.find_replacement_error(name, now)
            else self._get_announced_identity(name, now)
        )

    def is_replacement_complete(self, name, new_identity):
        """Return whether a replacement is complete.

        :param name: name of the member.
        :param new_identity: identity that replaces the previous one.
        :returns: whether this is the only identity of the name, a voter, and has synced the
            committed configuration that says so.
        """
        members = [m for m in self.configuration_ if m.name == name]
        if self.role_ is not Role.LEADER or self.configuration_index_ > self.commit_index_:
            return False
        if members != [Member(name, new_identity)]:
            return False
        return self._get_synced_index(new_identity) >= self.configuration_index_

    def _on_replace_member(self, event, now):
        if self.find_replacement_error(event.name, now):
            return
        self._propose_learner(event.name, now)

    def _propose_learner(self, name, now):
        """Propose the announced identity of a name as learner, replacing an earlier learner."""
        learner = Member(name, self._get_announced_identity(name, now), voter=False)
        kept = [m for m in self.configuration_ if m.voter or m.name != name]
        self._propose_members([*kept, learner], now)

    def _advance_learners(self, now):
        """Promote a learner that has synced all committed entries, and remove a silent learner.

        The old identity of the name is removed before the learner is promoted. With one change at
        a time, any quorums of two successive configurations share a voter. A replacement whose old
        identity is removed already is completed before another one begins, so that the group is
        at most one voter smaller meanwhile.
        """
        if self.role_ is not Role.LEADER or self._has_pending_change():
            return
        learners = [m for m in self.configuration_ if not m.voter]
        voter_names = self._list_voter_names()
        for learner in sorted(learners, key=lambda member: member.name in voter_names):
            if self._is_ready_to_vote(learner, now):
                self._propose_promotion(learner, now)
                return
        silent_s = LEARNER_SILENCE_ELECTION_TIMEOUTS * self.election_max_s_
        for learner in learners:
            if now >= self.progress_[learner.identity].last_contact_at + silent_s:
                self._propose_members([m for m in self.configuration_ if m is not learner], now)
                return

    def _is_ready_to_vote(self, learner, now):
        has_synced = self.progress_[learner.identity].match_index >= self.commit_index_
        return has_synced and self._is_connected(learner, now)

    def _is_connected(self, member, now):
        last_contact_at = self.progress_[member.identity].last_contact_at
        return now < last_contact_at + CONTACT_HEARTBEATS * self.heartbeat_s_

    def _adjust_membership(self, now):
        """Remove a lost voter, add a replica that announced itself, or else remove a silent voter.

        A spare voter that is known to be lost is removed without waiting for its silence.
        Learners don't delay the addition of others: one that is gone would keep the group from
        replacing another disk until it is removed for its silence.
        A group of ``2 * tolerated_losses + 1`` voters keeps its silent voters, since a smaller
        group would tolerate fewer losses.
        """
        if (
            not self.automatic_membership
            or self.role_ is not Role.LEADER
            or self._has_pending_change()
        ):
            return
        if self._remove_lost_voter(now):
            return
        for name in sorted(self.announced_identities_):
            if name != self.name and self._get_announced_identity(name, now) is not None:
                self._propose_learner(name, now)
                return
        self._remove_silent_voter(now)

    def _has_spare_voter(self):
        """Return whether the group stays large enough without one of its voters."""
        voters = [member for member in self.configuration_ if member.voter]
        return len(voters) > 2 * self.tolerated_losses + 1

    def _remove_lost_voter(self, now):
        """Remove a voter that is known to be lost, if the group can do without it.

        :returns: whether the change was proposed.
        """
        lost = [m for m in self.configuration_ if m.voter and m.identity in self.lost_identities_]
        if not lost or not self._has_spare_voter():
            return False
        self._propose_members([m for m in self.configuration_ if m is not lost[0]], now)
        return True

    def _remove_silent_voter(self, now):
        """Remove the voter that has been silent for longest, if the group can do without it.

        Its silence is compared with the latest round that a quorum acknowledged, so that a leader
        that was suspended doesn't take its own silence for that of others.
        """
        if not self._has_spare_voter():
            return
        voters = self._list_other_members(voters_only=True)
        member = min(voters, key=lambda voter: self.progress_[voter.identity].last_contact_at)
        silent_from = self.progress_[member.identity].last_contact_at
        if self.quorum_round_sent_at_ >= silent_from + self.election_min_s_:
            self._propose_members([m for m in self.configuration_ if m is not member], now)

    def _record_removed_replica(self, message, now):
        """Treat a vote request of a replica that is no longer a member as an announcement.

        A replica that was removed while it was unreachable still considers itself a member, so
        it does not announce itself.
        """
        if self.automatic_membership and self._find_member(message.identity) is None:
            self.announced_identities_[message.sender] = (message.identity, now)

    def _propose_promotion(self, learner, now):
        others = [m for m in self.configuration_ if m.name != learner.name]
        has_old = len(others) + 1 < len(self.configuration_)
        changed = Member(learner.name, learner.identity, voter=not has_old)
        self._propose_members([*others, changed], now)

    def _propose_members(self, members, now):
        index = self.log_.last_index + 1
        data = encode_members(members)
        self._append_entry(Entry(index, self.term_, CONFIGURATION, data))
        self._update_progress_members(now)
        self._send_entries_to_all(now)
