"""Abstract model of elections, commits and membership changes, in which voters are lost for good.

It has no messages and no clocks: a replica may act on the state of another at any later step. All
counting is that of :class:`~sassafrashook.consensus._quorums.Quorum`.
"""

import random

from sassafrashook.consensus import Member
from sassafrashook.consensus._quorums import Quorum

NAMES = "abcdefgh"
KNOWN_LOSS_PROBABILITY = 0.7


class ModelViolationError(AssertionError):
    """Raised when two replicas lead one term, or a leader lacks an entry of an earlier one."""


class ModelReplica:
    """One replica: durable state, and what it knows while its process runs.

    :ivar log: entries, each its term and the voters of a configuration; ``None`` for a command.
    :ivar lost: lost identities that were known when the latest candidacy started.
    :ivar matched: number of entries that each replica has confirmed to this leader.
    """

    __slots__ = (
        "name",
        "term",
        "voted_for",
        "log",
        "commit",
        "role",
        "lost",
        "votes",
        "matched",
        "is_lost",
    )

    def __init__(self, name):
        self.name = name
        self.term = 0
        self.voted_for = None
        self.log = ()
        self.is_lost = False
        self.restart()

    def restart(self):
        """Forget what isn't durable."""
        self.commit = 0
        self.role = "follower"
        self.lost = frozenset()
        self.votes = set()
        self.matched = {}

    def adopt_term(self, term):
        if term > self.term:
            self.term, self.voted_for = term, None
            self.role = "follower"

    @property
    def position(self):
        return (self.log[-1][0] if self.log else 0, len(self.log))


class QuorumModel:
    """A random walk over the steps of a group.

    :param seed: seed of the walk.
    :param size: number of voters at the beginning.
    :param max_losses: number of voters that may be lost.
    :param fixes_lost_voters: whether a candidacy leaves out only voters that it knew to be lost
        when it started.
    :param counts_previous: whether the configuration before an uncommitted one counts as well.
    """

    def __init__(
        self, seed, size, max_losses=3, fixes_lost_voters=True, counts_previous=True, max_terms=4
    ):
        self.rng = random.Random(seed)
        self.initial = frozenset(NAMES[:size])
        self.replicas = {name: ModelReplica(name) for name in NAMES[: size + 2]}
        self.losses_left = max_losses
        self.fixes_lost_voters = fixes_lost_voters
        self.counts_previous = counts_previous
        self.max_terms = max_terms
        self.committed = {}
        self.leaders = {}

    def run(self, step_count):
        """Take random steps.

        :returns: the number of entries that were committed.
        :raises ModelViolationError: if a guarantee is violated.
        """
        steps = (
            self.campaign, self.vote, self.vote, self.vote, self.replicate, self.replicate,
            self.replicate, self.replicate, self.propose, self.change, self.lose, self.restart,
        )  # fmt: skip
        for _ in range(step_count):
            running = [r for r in self.replicas.values() if not r.is_lost]
            if not running:
                break
            self.rng.choice(steps)(self.rng.choice(running))
        return len(self.committed)

    def list_configurations(self, replica):
        """Return the (index, voters) of all configurations in the log of a replica."""
        entries = enumerate(replica.log, 1)
        return [(0, self.initial), *((i, entry[1]) for i, entry in entries if entry[1])]

    def get_quorum(self, replica):
        configurations = self.list_configurations(replica)
        is_pending = self.counts_previous and configurations[-1][0] > replica.commit
        voters = [names for _, names in configurations[-2 if is_pending else -1 :]]
        lost = replica.lost if self.fixes_lost_voters else self.draw_known_losses()
        return Quorum([[Member(n, n) for n in sorted(names)] for names in voters], lost)

    def draw_known_losses(self):
        """Return some of the lost voters, as a replica may know of each or not."""
        lost = [r.name for r in self.replicas.values() if r.is_lost]
        return frozenset(n for n in lost if self.rng.random() < KNOWN_LOSS_PROBABILITY)

    def campaign(self, replica):
        is_voter = replica.name in self.list_configurations(replica)[-1][1]
        if not is_voter or replica.role == "leader" or replica.term >= self.max_terms:
            return
        replica.adopt_term(replica.term + 1)
        replica.voted_for = replica.name
        replica.role = "candidate"
        replica.votes = {replica.name}
        replica.lost = self.draw_known_losses()

    def vote(self, voter):
        candidates = [r for r in self.replicas.values() if r.role == "candidate" and not r.is_lost]
        if not candidates:
            return
        candidate = self.rng.choice(candidates)
        if candidate.term < voter.term or candidate.position < voter.position:
            return
        voter.adopt_term(candidate.term)
        if voter.voted_for not in (None, candidate.name):
            return
        voter.voted_for = candidate.name
        candidate.votes.add(voter.name)
        if self.get_quorum(candidate).is_met_by(candidate.votes):
            self.lead(candidate)

    def lead(self, replica):
        if self.leaders.setdefault(replica.term, replica.name) != replica.name:
            raise ModelViolationError(f"term {replica.term} has two leaders")
        for index, (entry, term) in self.committed.items():
            if term < replica.term and replica.log[index - 1 : index] != (entry,):
                raise ModelViolationError(f"leader of {replica.term} lacks entry {index}")
        replica.role = "leader"
        replica.matched = {}
        replica.log += ((replica.term, None),)

    def pick_leader(self):
        leaders = [r for r in self.replicas.values() if r.role == "leader" and not r.is_lost]
        return self.rng.choice(leaders) if leaders else None

    def replicate(self, replica):
        """Copy a part of a leader's log to a replica, which confirms it."""
        leader = self.pick_leader()
        if leader is None or leader is replica or replica.term > leader.term:
            return
        replica.adopt_term(leader.term)
        replica.role = "follower"
        count = self.rng.randint(max(1, leader.matched.get(replica.name, 0)), len(leader.log))
        if replica.log[:count] != leader.log[:count]:
            replica.log = leader.log[:count]
        replica.commit = max(replica.commit, min(leader.commit, count))
        leader.matched[replica.name] = count
        self.commit(leader)

    def commit(self, leader):
        quorum = self.get_quorum(leader)
        matched = {**leader.matched, leader.name: len(leader.log)}
        count = quorum.find_value(lambda name: matched.get(name, 0))
        if count <= leader.commit or leader.log[count - 1][0] != leader.term:
            return
        leader.commit = count
        for index, entry in enumerate(leader.log[:count], 1):
            if self.committed.setdefault(index, (entry, leader.term))[0] != entry:
                raise ModelViolationError(f"entry {index} was committed twice")

    def propose(self, _replica):
        leader = self.pick_leader()
        if leader is not None:
            leader.log += ((leader.term, None),)

    def change(self, _replica):
        """Propose the addition of a voter or the removal of one, often of one that is lost.

        Without ``counts_previous``, a lost voter that the leader knows is always removed first.
        """
        leader = self.pick_leader()
        if leader is None or not leader.commit or leader.log[leader.commit - 1][0] != leader.term:
            return
        index, voters = self.list_configurations(leader)[-1]
        others = sorted(self.replicas.keys() - {leader.name})
        removes_lost = not self.counts_previous or self.rng.random() < 0.5
        name = self.rng.choice((removes_lost and sorted(voters & leader.lost)) or others)
        if index <= leader.commit and len(voters ^ {name}) > 1:
            leader.log += ((leader.term, voters ^ {name}),)

    def lose(self, replica):
        if self.losses_left and self.rng.random() < 0.3:
            self.losses_left -= 1
            replica.is_lost = True

    def restart(self, replica):
        if self.rng.random() < 0.2:
            replica.restart()
