"""Members: the founding of a group, and the replacement of one identity at a time."""

import msgspec

from sassafrashook.consensus._actions import Genesis, Role
from sassafrashook.consensus._messages import MEMBERS, Entry, IdentityAnnounced, Member

__all__ = ["MembershipMixin", "decode_members", "encode_members"]

ANNOUNCEMENT_HEARTBEATS = 10
SILENT_LEARNER_TIMEOUTS = 5
SILENT_VOTER_TIMEOUTS = 2  # longer than a restart of a process takes


def encode_members(members):
    """Return the data of an entry that holds a list of members."""
    return msgspec.msgpack.encode(list(members))


def decode_members(data):
    """Return the members that :func:`encode_members` encoded."""
    return tuple(msgspec.msgpack.decode(data, type=list[Member]))


class MembershipMixin:
    """Keeps the list of members, the newest in the log being in force.

    A group is founded once every initial member has bound the same identity to each name, and
    synced it. A host that lost its disk later finds another identity bound to its name, so that
    it can neither vote nor found the group again.
    """

    def _start_membership(self, genesis, now):
        self.genesis_ = genesis
        self.announced_ = {}
        self.contacts_ = set()
        self._shown = {}
        self.announce_deadline_ = now
        self._configurations = []
        if self.snapshot_:
            self._configurations = [(self.snapshot_.members_index, tuple(self.snapshot_.members))]
        elif genesis and genesis.sealed:
            self._configurations = [(0, self._founding_members())]
        self._refresh_configuration()
        for entry in self.log_.entries:
            if entry.kind == MEMBERS and entry.index > self.configuration_index_:
                self._add_configuration(entry.index, decode_members(entry.data))
        is_new = genesis is None and self.configuration_index_ < 0 and self.term_ == 0
        if is_new and self.bootstrap and self.name in self.members:
            self._set_genesis({self.name: self.identity}, sealed=False)
            self._seal_genesis(now)

    def _founding_members(self):
        bindings = self.genesis_.bindings
        return tuple(Member(name, bindings[name]) for name in sorted(bindings))

    def _refresh_configuration(self):
        newest = self._configurations[-1] if self._configurations else (-1, ())
        self.configuration_index_, self.configuration_ = newest
        if self.role_ in (Role.UNBOUND, Role.LEARNER, Role.FOLLOWER):
            self.role_ = self._passive_role()

    def _add_configuration(self, index, members):
        self._configurations.append((index, members))
        self._refresh_configuration()

    def _drop_configurations(self, index):
        """Forget the lists of members that the log holds from ``index`` on."""
        self._configurations = [c for c in self._configurations if c[0] < index]
        self._refresh_configuration()

    def _configuration_at(self, index):
        """Return index and members in force at an index, or ``None`` if they are not known."""
        known = [c for c in self._configurations if c[0] <= index]
        return known[-1] if known else None

    def _is_voter(self, identity):
        return any(m.voter and m.identity == identity for m in self.configuration_)

    def _has_quorum(self, identities):
        voters = [m.identity for m in self.configuration_ if m.voter]
        return sum(identity in identities for identity in voters) > len(voters) // 2

    def _member(self, identity):
        for member in self.configuration_:
            if member.identity == identity:
                return member
        return None

    def _other_members(self, voters_only=False):
        others = [m for m in self.configuration_ if m.identity != self.identity]
        return [m for m in others if m.voter or not voters_only]

    def _set_genesis(self, bindings, sealed):
        self.genesis_ = Genesis(bindings, sealed)
        self._state_changed = True

    def _advance_unbound(self, now):
        if now < self.announce_deadline_:
            return
        self.announce_deadline_ = now + self.heartbeat_s_
        self._announce_to_all()

    def _announce_to_all(self):
        for name in sorted(self._names() - {self.name}):
            self._announce(name, "")

    def _names(self):
        members = (member.name for member in self.configuration_)
        return {*self.members, *self.contacts_, *members}

    def _announce(self, name, recipient):
        genesis = self.genesis_ or Genesis({})
        message = IdentityAnnounced(*self._header(recipient), genesis.bindings, genesis.sealed)
        self._send(name, message)

    def _on_identity_announced(self, message, now):
        if self._member(message.identity) is None:
            self.announced_[message.sender] = (message.identity, now)
        genesis = self.genesis_
        if genesis is None:
            return
        if genesis.sealed:
            if not message.sealed:
                self._announce(message.sender, message.identity)
            return
        self._take_bindings(message, now)

    def _take_bindings(self, message, now):
        """Bind a name to the first identity heard, for good, then see if the group is founded."""
        bindings = self.genesis_.bindings
        if message.sealed:
            self._adopt_genesis(message.bindings, now)
            return
        if message.bindings.get(message.sender) != message.identity:
            return
        if message.sender in self.members and message.sender not in bindings:
            self._set_genesis({**bindings, message.sender: message.identity}, sealed=False)
        self._shown[message.sender] = (message.identity, message.bindings)
        self._seal_genesis(now)

    def _adopt_genesis(self, bindings, now):
        if bindings.get(self.name) != self.identity:
            self.refusals_["superseded_identity"] += 1
        elif any(bindings.get(n) != i for n, i in self.genesis_.bindings.items()):
            self.refusals_["conflicting_bindings"] += 1
        else:
            self._found_group(bindings, now)

    def _seal_genesis(self, now):
        """Found the group if every member showed the same complete bindings."""
        if self.genesis_ is None or self.genesis_.sealed:
            return
        bindings = self.genesis_.bindings
        if bindings.keys() != set(self.members):
            return
        others = [name for name in self.members if name != self.name]
        if all(self._shown.get(name) == (bindings[name], bindings) for name in others):
            self._found_group(bindings, now)

    def _found_group(self, bindings, now):
        self._set_genesis(bindings, sealed=True)
        self._configurations.insert(0, (0, self._founding_members()))
        self._refresh_configuration()
        self._reset_election_deadline(now)

    def _is_changing(self):
        """Whether a further change of members must wait."""
        own_term_committed = self.log_.term_at(self.commit_index_) == self.term_
        return self.configuration_index_ > self.commit_index_ or not own_term_committed

    def _announced_identity(self, name, now):
        """Return the identity that a host announced a short while ago, or ``None``."""
        identity, heard_at = self.announced_.get(name, (None, now))
        is_fresh = now <= heard_at + ANNOUNCEMENT_HEARTBEATS * self.heartbeat_s_
        return identity if is_fresh and self._member(identity) is None else None

    def find_obstacle(self, name, now):
        """Return why a member cannot be replaced now, or an empty string.

        :param name: name of the member.
        :param now: seconds.
        """
        if self.role_ is not Role.LEADER:
            return "not_leader"
        if name == self.name or name not in self._names():
            return "not_another_member"
        if self._announced_identity(name, now) is None:
            return "no_new_identity"
        return "change_in_progress" if self._is_changing() else ""

    def find_replacement(self, name, now):
        """Return the new identity that is being caught up, or could be.

        :param name: name of the member.
        :param now: seconds.
        :returns: an identity, or ``None``.
        """
        for member in self.configuration_:
            if member.name == name and not member.voter:
                return member.identity
        return None if self.find_obstacle(name, now) else self._announced_identity(name, now)

    def has_replaced(self, name, identity):
        """Return whether an identity alone votes under a name, and has synced that it does."""
        members = [m for m in self.configuration_ if m.name == name]
        if self.role_ is not Role.LEADER or self.configuration_index_ > self.commit_index_:
            return False
        if members != [Member(name, identity)]:
            return False
        return self._synced_index(members[0]) >= self.configuration_index_

    def _on_replace_member(self, event, now):
        if self.find_obstacle(event.name, now):
            return
        self._propose_learner(event.name, now)

    def _propose_learner(self, name, now):
        """Add the identity that a host announced, in place of an earlier learner of its name."""
        learner = Member(name, self._announced_identity(name, now), voter=False)
        kept = [m for m in self.configuration_ if m.voter or m.name != name]
        self._propose_members([*kept, learner], now)

    def _advance_replacement(self, now):
        """Turn a learner that has synced all that is committed into a voter.

        The old identity goes first: with one change at a time, any two successive lists of
        members have a voter in common in each pair of quorums.
        """
        if self.role_ is not Role.LEADER or self._is_changing():
            return
        for learner in [m for m in self.configuration_ if not m.voter]:
            progress = self.progress_[learner.identity]
            if progress.match_index >= self.commit_index_:
                self._advance_learner(learner, now)
                return
            if now >= progress.heard_at + SILENT_LEARNER_TIMEOUTS * self.election_max_s_:
                others = [m for m in self.configuration_ if m is not learner]
                self._propose_members(others, now)
                return

    def _advance_members(self, now):
        """Admit a replica that announced itself, then remove a voter that is not needed.

        A group of ``2 * tolerated_losses + 1`` voters keeps its silent ones, since a smaller
        group would bear fewer losses.
        """
        if not self.manages_members or self.role_ is not Role.LEADER or self._is_changing():
            return
        if any(not member.voter for member in self.configuration_):
            return
        for name in sorted(self.announced_):
            if name != self.name and self._announced_identity(name, now) is not None:
                self._propose_learner(name, now)
                return
        self._remove_silent(now)

    def _remove_silent(self, now):
        if len(self.configuration_) <= 2 * self.tolerated_losses + 1:
            return
        silent_s = SILENT_VOTER_TIMEOUTS * self.election_max_s_
        for member in self._other_members():
            if now >= self.progress_[member.identity].heard_at + silent_s:
                kept = [m for m in self.configuration_ if m is not member]
                self._propose_members(kept, now)
                return

    def _note_stranger(self, message, now):
        """Take a vote request of a replica that was removed while it was away as its announcement.

        It still holds itself to be a member, so it does not announce itself.
        """
        if self.manages_members and self._member(message.identity) is None:
            self.announced_[message.sender] = (message.identity, now)

    def _advance_learner(self, learner, now):
        others = [m for m in self.configuration_ if m.name != learner.name]
        has_old = len(others) + 1 < len(self.configuration_)
        changed = Member(learner.name, learner.identity, voter=not has_old)
        self._propose_members([*others, changed], now)

    def _propose_members(self, members, now):
        index = self.log_.last_index + 1
        data = encode_members(members)
        self._append_entry(Entry(index, self.term_, MEMBERS, data))
        self._sync_progress(now)
        self._send_entries_to_all(now)
