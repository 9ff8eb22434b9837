"""Departure of a member that is about to stop."""

import math
from enum import Enum

from sassafrashook.consensus._actions import Role
from sassafrashook.consensus._messages import DepartureAnswered, DepartureRequested

__all__ = ["Departure", "DepartureMixin"]


class Departure(Enum):
    """Progress of the departure of a replica from its group.

    :cvar NONE: it was not asked to leave.
    :cvar REQUESTED: it asks the leader, which has not answered.
    :cvar DENIED: the group needs its vote.
    :cvar COMPLETED: it is no member.
    """

    NONE = "none"
    REQUESTED = "requested"
    DENIED = "denied"
    COMPLETED = "completed"

    @property
    def is_decided(self):
        """Whether the replica need not wait any longer."""
        return self in (Departure.DENIED, Departure.COMPLETED)


class DepartureMixin:
    """Removes a replica that stops from a group that stays large enough without its vote.

    A host that is removed for good stops like one that restarts. With ``2 * tolerated_losses + 2``
    voters, its vote would count towards the quorum until the leader removes it for its silence,
    and the group would tolerate one loss less meanwhile. A replica that restarts is added again.

    A departing replica starts no elections, and keeps asking the last known leader, which sends it
    no entries once it is removed.
    """

    def _start_departure(self):
        self.departure_ = Departure.NONE
        self.departure_deadline_ = math.inf

    def _on_leave_group(self, event, now):
        if self.departure_ is not Departure.NONE:
            return
        if self._find_member(self.identity) is None:
            self.departure_ = Departure.COMPLETED
        elif self.role_ is Role.LEADER or not self.automatic_membership:
            self.departure_ = Departure.DENIED
        else:
            self.departure_ = Departure.REQUESTED
            self.departure_deadline_ = now
            self._advance_departure(now)

    def _is_departing(self):
        return self.departure_ in (Departure.REQUESTED, Departure.COMPLETED)

    def _advance_departure(self, now):
        if now < self.departure_deadline_:
            return
        self.departure_deadline_ = now + self.heartbeat_s_
        if self.leader_identity_:
            request = DepartureRequested(*self._header(self.leader_identity_))
            self._send(self.leader_, request)

    def _on_departure_requested(self, message, now):
        """Remove the sender if the group has a spare voter.

        The answer is left to a later request while a change is being committed, and while a
        replica is being added that may become the spare voter.
        """
        if self.role_ is not Role.LEADER or not self.automatic_membership:
            return
        member = self._find_member(message.identity)
        if member is None:
            self.announced_identities_.pop(message.sender, None)
        if self._has_pending_change():
            return
        if member is None:
            self._answer_departure(message, removed=True)
        elif not member.voter or self._has_spare_voter():
            self._propose_members([m for m in self.configuration_ if m is not member], now)
        elif not self._has_additional_learner(now):
            self._answer_departure(message, removed=False)

    def _has_additional_learner(self, now):
        """Return whether a learner is connected that replaces no voter."""
        voter_names = self._list_voter_names()
        learners = [member for member in self.configuration_ if not member.voter]
        return any(m.name not in voter_names and self._is_connected(m, now) for m in learners)

    def _answer_departure(self, message, removed):
        self._send(message.sender, DepartureAnswered(*self._header(message.identity), removed))

    def _on_departure_answered(self, message, now):
        if self.departure_ is Departure.REQUESTED and message.identity == self.leader_identity_:
            self.departure_ = Departure.COMPLETED if message.removed else Departure.DENIED
            self.departure_deadline_ = math.inf
