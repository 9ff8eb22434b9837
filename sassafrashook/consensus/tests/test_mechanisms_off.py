"""Mutation tests: simulations must detect the violation when a mechanism is disabled."""

from dataclasses import replace
from unittest.mock import patch

import pytest

from sassafrashook.consensus import ReplicaCore, Role
from sassafrashook.consensus.tests.harness import FaultConfig, Simulation, ViolationError


class WithoutLeaseDeadline(ReplicaCore):
    def _has_lease(self, now):
        return self.role_ is Role.LEADER


class WithoutVoteWithholding(ReplicaCore):
    def _can_grant_vote(self, message, now):
        self.votes_withheld_until_ = now
        return super()._can_grant_vote(message, now)


class WithoutVoteWithholdingAtStart(ReplicaCore):
    def _withhold_votes_at_start(self, now):
        self.votes_withheld_until_ = now


class WithoutDriftMargin(ReplicaCore):
    def get_lease_deadline(self):
        sent_at = self._get_quorum_sent_at()
        return float("-inf") if sent_at is None else sent_at + self.election_min_s_


class WithoutReadRound(ReplicaCore):
    def _add_read(self, read):
        self._reply_to_read(read, self.commit_index_)


class WithoutCommitInOwnTermForReads(ReplicaCore):
    def _confirm_reads(self, quorum_round):
        for read in [read for read in self._reads if read.round_number <= quorum_round]:
            self._reply_to_read(read, self.commit_index_)
            self._reads.remove(read)


class WithoutLogComparison(ReplicaCore):
    def _can_grant_vote(self, message, now):
        with patch.object(type(self.log_), "last_term", -1):
            return super()._can_grant_vote(message, now)


class WithoutReplacementCheck(ReplicaCore):
    def is_replacement_complete(self, name, new_identity):
        return any(m.identity == new_identity for m in self.configuration_)


LEASE_FAULTS = {
    "duration_s": 20.0,
    "slow_probability": 0.0,
    "partition_weight": 12,
    "mean_fault_interval_s": 0.3,
    "disk_loss_weight": 0,
    "max_restart_delay_s": 0.02,
}
LOST_COMMIT = "lacks committed entry"
STALE_LEASE = "is out of date"
STALE_READ = "a read missed"
CORRUPTION = "CorruptionError"
MECHANISMS = {
    "acknowledgement before sync": (
        2,
        LOST_COMMIT,
        FaultConfig(reports_before_sync=True, crash_weight=12, max_slow_write_s=0.4),
    ),
    "snapshot not synced": (
        1,
        CORRUPTION,
        FaultConfig(ignored_syncs=("snapshot",), crash_weight=12),
    ),
    "log not synced": (2, CORRUPTION, FaultConfig(ignored_syncs=("wal",), crash_weight=12)),
    "identity reused after disk loss": (
        1,
        LOST_COMMIT,
        FaultConfig(reuses_identity=True, disk_loss_weight=8),
    ),
    "replacement reported too early": (
        1,
        "no leader after the faults stopped",
        FaultConfig(core=WithoutReplacementCheck, disk_loss_weight=12),
    ),
    "no lease deadline": (10, STALE_LEASE, FaultConfig(core=WithoutLeaseDeadline)),
    "votes not withheld": (
        6,
        STALE_LEASE,
        FaultConfig(core=WithoutVoteWithholding, **LEASE_FAULTS),
    ),
    "votes not withheld at start": (
        16,
        STALE_LEASE,
        FaultConfig(
            core=WithoutVoteWithholdingAtStart,
            parameters={"heartbeat_ms": 150, "election_max_ms": 210},
            proposals_per_s=2.0,
            crash_weight=20,
            **LEASE_FAULTS,
        ),
    ),
    "no drift margin": (
        33,
        STALE_LEASE,
        FaultConfig(
            core=WithoutDriftMargin,
            clock_drift=0.25,
            parameters={"drift_fraction": 0.25, "election_max_ms": 210},
            **LEASE_FAULTS,
        ),
    ),
    "no read round": (2, STALE_READ, FaultConfig(core=WithoutReadRound)),
    "reads before commit in own term": (
        3,
        STALE_READ,
        FaultConfig(core=WithoutCommitInOwnTermForReads),
    ),
    "no log comparison": (8, LOST_COMMIT, FaultConfig(core=WithoutLogComparison)),
}


@pytest.mark.parametrize("name", MECHANISMS)
def test_simulation_fails_only_without_mechanism(name):
    first_seed, expected, faults = MECHANISMS[name]
    seed = find_violation(first_seed, expected, faults)
    print(f"seed={seed}")
    with_mechanism = replace(
        faults, core=ReplicaCore, reports_before_sync=False, ignored_syncs=(), reuses_identity=False
    )
    Simulation(seed, 3, with_mechanism).run_to_end()


def find_violation(first_seed, expected, faults):
    """Return a seed whose simulation fails with the expected violation.

    :param first_seed: seed that is tried first, as it is known to fail.
    :param expected: text that the violation contains.
    :param faults: a :class:`FaultConfig` with the mechanism disabled.
    """
    for seed in (first_seed, *range(1, 200)):
        try:
            Simulation(seed, 3, faults).run_to_end()
        except ViolationError as error:
            if expected in str(error):
                return seed
    raise AssertionError(f"no seed led to the violation {expected!r}")
