"""Each mechanism that a promise rests on is switched off, and the runs are seen to fail."""

from dataclasses import replace
from unittest.mock import patch

import pytest

from sassafrashook.consensus import ReplicaCore, Role
from sassafrashook.consensus.tests.harness import Faults, Run, ViolationError


class WithoutLeaseDeadline(ReplicaCore):
    def _has_lease(self, now):
        return self.role_ is Role.LEADER


class WithoutVotersPromise(ReplicaCore):
    def _can_grant_vote(self, message, now):
        self.votes_withheld_until_ = now
        return super()._can_grant_vote(message, now)


class WithoutPromiseAtStart(ReplicaCore):
    def _withhold_votes_at_start(self, now):
        self.votes_withheld_until_ = now


class WithoutDriftMargin(ReplicaCore):
    def get_lease_deadline(self):
        sent_at = self._get_quorum_sent_at()
        return float("-inf") if sent_at is None else sent_at + self.election_min_s_


class WithoutReadRound(ReplicaCore):
    def _add_read(self, read):
        self._reply_to_read(read, self.commit_index_)


class WithoutOwnTermForReads(ReplicaCore):
    def _confirm_reads(self, number):
        for read in [read for read in self._reads if read.round_number <= number]:
            self._reply_to_read(read, self.commit_index_)
            self._reads.remove(read)


class WithoutLogComparison(ReplicaCore):
    def _can_grant_vote(self, message, now):
        with patch.object(type(self.log_), "last_term", -1):
            return super()._can_grant_vote(message, now)


class WithoutCompletedRepair(ReplicaCore):
    def has_replaced(self, name, identity):
        return any(m.identity == identity for m in self.configuration_)


LEASES = {
    "duration_s": 20.0,
    "slow_share": 0.0,
    "cut_weight": 12,
    "fault_interval_s": 0.3,
    "disk_weight": 0,
    "restart_s": 0.02,
}
LOST = "lacks committed entry"
LEASE = "is out of date"
READ = "a read missed"
CORRUPT = "CorruptionError"
MECHANISMS = {
    "acknowledged before sync": (2, LOST, Faults(early=True, crash_weight=12, disk_slow_s=0.4)),
    "snapshot not synced": (1, CORRUPT, Faults(ignored_syncs=("snapshot",), crash_weight=12)),
    "log not synced": (2, CORRUPT, Faults(ignored_syncs=("wal",), crash_weight=12)),
    "lost disk votes again": (1, LOST, Faults(keeps_identity=True, disk_weight=8)),
    "repair reported too early": (
        1,
        "no leader after everything was healed",
        Faults(core=WithoutCompletedRepair, disk_weight=12),
    ),
    "no lease deadline": (10, LEASE, Faults(core=WithoutLeaseDeadline)),
    "no voters' promise": (6, LEASE, Faults(core=WithoutVotersPromise, **LEASES)),
    "no promise at start": (
        16,
        LEASE,
        Faults(
            core=WithoutPromiseAtStart,
            parameters={"heartbeat_ms": 150, "election_max_ms": 210},
            proposals_per_s=2.0,
            crash_weight=20,
            **LEASES,
        ),
    ),
    "no drift margin": (
        33,
        LEASE,
        Faults(
            core=WithoutDriftMargin,
            drift=0.25,
            parameters={"drift_fraction": 0.25, "election_max_ms": 210},
            **LEASES,
        ),
    ),
    "no read round": (2, READ, Faults(core=WithoutReadRound)),
    "reads before own term": (3, READ, Faults(core=WithoutOwnTermForReads)),
    "no log comparison": (8, LOST, Faults(core=WithoutLogComparison)),
}


@pytest.mark.parametrize("name", MECHANISMS)
def test_runs_fail_only_without_mechanism(name):
    first_seed, expected, faults = MECHANISMS[name]
    seed = find_violation(first_seed, expected, faults)
    print(f"seed={seed}")
    whole = replace(faults, core=ReplicaCore, early=False, ignored_syncs=(), keeps_identity=False)
    Run(seed, 3, whole).execute()


def find_violation(first_seed, expected, faults):
    """Return the first seed whose run breaks the expected promise, beginning with a likely one."""
    for seed in (first_seed, *range(1, 200)):
        try:
            Run(seed, 3, faults).execute()
        except ViolationError as error:
            if expected in str(error):
                return seed
    raise AssertionError(f"no run ended with: {expected}")
