"""Simulation of a group whose hosts are lost and replaced, with the timeouts of the controllers."""

import math

from sassafrashook.consensus import ReplicaCore, Role, Snapshot
from sassafrashook.consensus._messages import SnapshotPiece
from sassafrashook.consensus.tests.harness import (
    INITIAL_STATE,
    PLANNED_STOP_TIMEOUT_S,
    FaultConfig,
    Simulation,
)

# Time after its return or its first start from which a host no longer counts as lost.
CATCH_UP_S = 4.0
PARAMETERS = {
    "automatic_membership": True,
    "tolerated_losses": 2,
    "heartbeat_ms": 80,
    "election_min_ms": 480,
    "election_max_ms": 960,
    "snapshot_entries": 1,
    "trailing_entries": 2,
    "snapshot_piece_bytes": 256 * 1024,
}
SPARE_HOSTS = 2
START_S = 8.0  # for the transfer of the state to all hosts but the first
FAULTS_S = 40.0
RECOVERY_S = 12.0
MAX_DOWN_S = 1.5
STATE_BYTES = 600_000
LINK_BYTES_PER_S = 750_000  # 6 Mbit/s


class LossBudget:
    """Tells which further losses a deployment has to bear.

    A host counts as lost while it is down or frozen, and until ``CATCH_UP_S`` after that or after
    its first start. A host that is removed for good counts as lost until its successor has run
    for ``CATCH_UP_S``. Where more hosts are lost at once than tolerated, the service may be
    suspended until all are back, so that each of them counts as lost until the last one doesn't.

    :param tolerated_losses: number of hosts that may be lost at the same time.
    """

    def __init__(self, tolerated_losses):
        self.tolerated_losses = tolerated_losses
        self._lost_until = {}

    def record_loss(self, name, back_at, now):
        """Record that a host is lost until ``back_at``, seconds, or for good with ``inf``."""
        self._lost_until[name] = max(self._lost_until.get(name, 0.0), back_at + CATCH_UP_S)
        lost = [key for key, until in self._lost_until.items() if now < until]
        if len(lost) > self.tolerated_losses:
            last = max(self._lost_until[key] for key in lost if self._lost_until[key] < math.inf)
            for key in lost:
                self._lost_until[key] = max(self._lost_until[key], last)

    def record_successor(self, removed, successor):
        """Record that a host that was removed for good has a successor."""
        self._lost_until[removed] = self._lost_until.get(successor, 0.0)

    def allows_loss(self, name, now):
        """Return whether a host may lose its disk or be removed now."""
        others = sum(now < until for key, until in self._lost_until.items() if key != name)
        return others < self.tolerated_losses


class ReplacementSimulation(Simulation):
    """A group whose hosts lose their disks, restart, freeze and are replaced, within a budget.

    Processes may be killed or frozen beyond the budget, since that loses no disk. A state takes
    most of a second on the link of the leader.

    :param sends_signal: whether a host that is removed for good is stopped with SIGTERM.
    """

    def __init__(self, seed, size, tolerated_losses, core=ReplicaCore, sends_signal=True):
        self.sends_signal = sends_signal
        faults = FaultConfig(
            initial_size=min(3, size),
            parameters={
                **PARAMETERS,
                "tolerated_losses": tolerated_losses,
                "trailing_entries": 0,
                "link_bytes_per_s": LINK_BYTES_PER_S,
            },
            core=core,
            loss_probability=0.0,
            duplication_probability=0.0,
            slow_probability=0.02,
            proposals_per_s=4.0,
            disk_loss_weight=0,
        )
        super().__init__(seed, size + SPARE_HOSTS, faults)
        self.budget = LossBudget(tolerated_losses)
        self.spare_names = list(self.names[size:])
        self.used_names = list(self.names[:size])
        self.link_free_at = {}
        self.history = []

    def run_to_end(self):
        self.start_group()
        self.schedule(self.now, self._disrupt)
        self.run_until(START_S + FAULTS_S)
        self._stop_faults()
        self.run_until(self.now + RECOVERY_S)
        self._check_final_state()

    def start_group(self):
        """Start the hosts and wait until they have become voters."""
        for name in self.used_names:
            self.hosts[name].start()
        self.schedule(0.0, self.propose_to_random_host)
        self.run_until(START_S)
        for host in self.hosts.values():
            host.bootstrap = False

    def _stop_faults(self):
        self.faults_stopped = True
        for name in self.used_names:
            self.hosts[name].frozen_until = self.now
            self.hosts[name].start()

    def _check_final_state(self):
        last = len(self.committed)
        hosts = [self.hosts[name] for name in self.used_names]
        leaders = [h for h in hosts if h.core.get_leading_term(h.clock())]
        history = " ".join(self.history)
        self._require(len(leaders) == 1, f"no leader after the faults stopped: {history}")
        for host in hosts:
            self._require(
                host.applied_index > last - 20, f"{host.name} did not catch up: {history}"
            )

    def _disrupt(self):
        if self.faults_stopped:
            return
        weights = {
            self._lose_disks: 8,
            self._replace: 5,
            self._restart: 2,
            self._kill: 2,
            self._freeze_host: 2,
            self._kill_all: 0.2,
        }
        (disrupt,) = self.rng.choices(list(weights), list(weights.values()))
        disrupt(self._pick_host())
        self.schedule(self.now + self.rng.choice((0.02, 0.3, 1.0, 2.0)), self._disrupt)

    def _pick_host(self):
        """Return a random host in use, often the leader."""
        hosts = [self.hosts[name] for name in self.used_names]
        leaders = [h for h in hosts if h.core and h.core.role_ is Role.LEADER]
        return self.rng.choice(leaders if leaders and self.rng.random() < 0.3 else hosts)

    def _record(self, kind, host, down_s):
        self.budget.record_loss(host.name, self.now + down_s, self.now)
        self.history.append(f"{self.now:.2f}:{kind}({host.name},{down_s:.2f})")

    def _schedule_start(self, host, down_s):
        self.schedule(self.now + down_s, lambda: host.name in self.used_names and host.start())

    def _lose_disks(self, host):
        """Lose as many disks at once as the budget allows."""
        names = self.rng.sample(self.used_names, len(self.used_names))
        for name in (host.name, *names):
            if name in self.used_names and self.budget.allows_loss(name, self.now):
                self._lose_disk_of(self.hosts[name])

    def _lose_disk_of(self, host):
        """Lose a disk, and often once more while the host joins."""
        down_s = self.rng.uniform(0.0, MAX_DOWN_S)
        self._record("lose_disk", host, down_s)
        host.lose_disk()
        self._schedule_start(host, down_s)
        if self.rng.random() < 0.4:
            self.schedule(
                self.now + down_s + self.rng.uniform(0.0, 0.5), lambda: self._lose_again(host)
            )
        self.schedule(self.now + down_s + CATCH_UP_S, self._lose_more)

    def _lose_again(self, host):
        if not self.faults_stopped and host.name in self.used_names:
            self._lose_disk_of(host)

    def _lose_more(self):
        if not self.faults_stopped and self.rng.random() < 0.5:
            self._lose_disks(self._pick_host())

    def _kill(self, host):
        down_s = self.rng.uniform(0.0, MAX_DOWN_S)
        self._record("kill", host, down_s)
        host.stop()
        self._schedule_start(host, down_s)

    def _kill_all(self, _host):
        for name in self.used_names:
            self._kill(self.hosts[name])

    def _freeze_host(self, host):
        down_s = self.rng.uniform(0.0, MAX_DOWN_S)
        self._record("freeze", host, down_s)
        host.frozen_until = max(host.frozen_until, self.now + down_s)

    def _restart(self, host):
        if host.core is None:
            return
        down_s = self.rng.uniform(0.0, MAX_DOWN_S)
        self._record("restart", host, PLANNED_STOP_TIMEOUT_S + down_s)
        self.stop_as_planned(host, lambda _departure: self._schedule_start(host, down_s))

    def _replace(self, host):
        """Remove a host for good and add another, before or after the removal."""
        if not self.spare_names or not self.budget.allows_loss(host.name, self.now):
            return
        successor = self.hosts[self.spare_names[0]]
        delay_s = self.rng.choice((-2 * CATCH_UP_S, -CATCH_UP_S, -0.5, 0.0, 2.0))
        if not self.budget.allows_loss(successor.name, self.now):
            return
        self.spare_names.pop(0)
        if delay_s >= 0:
            self._remove(host)
            self.schedule(self.now + delay_s, lambda: self._add(successor, host))
        else:
            self._add(successor, None)
            self.schedule(self.now - delay_s, lambda: self._remove_later(host, successor))

    def _add(self, successor, removed):
        if self.faults_stopped:
            return
        self._record("add", successor, 0.0)
        self.used_names.append(successor.name)
        successor.start()
        if removed is not None:
            self.budget.record_successor(removed.name, successor.name)

    def _remove_later(self, host, successor):
        if self.faults_stopped or not self.budget.allows_loss(host.name, self.now):
            return
        self._remove(host)
        self.budget.record_successor(host.name, successor.name)

    def _remove(self, host):
        if host.name not in self.used_names:
            return
        self._record("remove", host, math.inf)
        self.used_names.remove(host.name)
        if self.sends_signal:
            self.stop_as_planned(host, lambda _departure: self._lose_more())
        else:
            host.stop()
            self._lose_more()

    def _take_snapshot(self, host, action):
        digest = host.digest.ljust(STATE_BYTES)
        host.start_snapshot(
            Snapshot(action.index, action.term, action.members_index, list(action.members), digest)
        )

    def _restore(self, host, snapshot):
        data = snapshot.data.rstrip(b" ") if snapshot.data != INITIAL_STATE else snapshot.data
        host.applied_index = snapshot.index
        expected = self.digests.get(snapshot.index)
        self._require(
            expected is not None and expected.rstrip(b" ") == data,
            f"snapshot {snapshot.index} differs from the applied state",
        )
        host.digest = expected

    def _transmit_message(self, sender, action):
        """Delay pieces of snapshots by their time on the sender's link.

        Pieces to a host without a process are dropped, as when a connection is refused.
        """
        if not isinstance(action.message, SnapshotPiece):
            super()._transmit_message(sender, action)
            return
        if self.hosts[action.peer].core is None:
            return
        begins_at = max(self.now, self.link_free_at.get(sender, 0.0))
        self.link_free_at[sender] = begins_at + len(action.message.data) / LINK_BYTES_PER_S
        self.schedule(
            self.link_free_at[sender] + self.rng.uniform(0.0005, 0.01),
            lambda: self._deliver_message(sender, action),
        )
