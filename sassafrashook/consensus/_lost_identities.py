"""Knowledge of voters whose disks are lost for good."""

from sassafrashook.consensus._messages import IdentityConfirmed, IdentityQueried

__all__ = ["LostIdentityMixin"]


class LostIdentityMixin:
    """Learns which identities of voters will never vote or store an entry again.

    A host has one data folder, and its process alone receives what is sent to the host's address.
    A process that answers a query with another identity than the one that the configuration names
    therefore runs after that one has ended. The answer repeats the query's id, so that a late or
    repeated message proves nothing. Only voters of the time of the query are concluded to be
    lost: an identity that becomes a member later may be newer than the answer.

    A replica that starts a candidacy asks all voters of a group with an even number of them, since
    only such a group can count without a lost voter.

    :ivar lost_identities_: identities of members that are known to be lost.
    :ivar candidacy_lost_identities_: the lost identities that were known when the latest candidacy
        of this replica started. They decide its quorums until its next candidacy.
    """

    def _start_loss_detection(self):
        self.lost_identities_ = frozenset()
        self.candidacy_lost_identities_ = frozenset()
        self._query_count = 0
        self._query_id = ""
        self._queried_voters = ()

    def _start_candidacy(self):
        """Fix the lost identities that the quorums of this candidacy may leave out."""
        voters = self._list_voters_in_force()
        self.lost_identities_ &= {member.identity for member in voters}
        self.candidacy_lost_identities_ = self.lost_identities_

    def _query_voters(self):
        """Ask the hosts of the voters for their identities."""
        sizes = [len(voters) for voters in self._get_quorum().voters]
        if all(size % 2 for size in sizes):
            return
        self._query_count += 1
        self._query_id = f"{self.boot_id}.{self._query_count}"
        self._queried_voters = tuple(self._list_voters_in_force())
        names = {member.name for member in self._queried_voters} - {self.name}
        for name in sorted(names):
            self._send(name, IdentityQueried(*self._header(""), self._query_id))

    def _on_identity_queried(self, message, now):
        answer = IdentityConfirmed(*self._header(message.identity), message.query_id)
        self._send(message.sender, answer)

    def _on_identity_confirmed(self, message, now):
        if message.query_id != self._query_id:
            self.rejection_counts_["stale_answer"] += 1
            return
        self.lost_identities_ |= {
            member.identity
            for member in self._queried_voters
            if member.name == message.sender and member.identity != message.identity
        }
