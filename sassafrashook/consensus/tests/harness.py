"""Randomised runs: cores over files in memory, and a queue of timed events with faults.

Every check raises :class:`ViolationError`; a run is decided by its seed alone.
"""

import contextlib
import heapq
import random
from dataclasses import dataclass, field
from hashlib import blake2b

from sassafrashook.consensus import (
    Apply,
    InvariantError,
    Persist,
    Persisted,
    Proposal,
    ProposalAppended,
    ProposalRejected,
    ProposalsSubmitted,
    ReadConfirmed,
    ReadRequested,
    ReplaceMember,
    ReplicaCore,
    ReplicaStorage,
    Restore,
    Role,
    RoleChanged,
    SendMessage,
    Snapshot,
    SnapshotSaved,
    TakeSnapshot,
    TransferLeadership,
)
from sassafrashook.storage import DataFolder, StorageError
from sassafrashook.storage.tests.memory import CrashError, MemoryFileSystem

GROUP = "main"
DRIFT = 0.05
PARAMETERS = {
    "heartbeat_ms": 50,
    "election_min_ms": 200,
    "election_max_ms": 400,
    "drift_fraction": DRIFT,
    "snapshot_entries": 15,
    "trailing_entries": 4,
    "snapshot_piece_bytes": 8,
    "max_in_flight_entries": 6,
    "max_batch_entries": 3,
}


class ViolationError(AssertionError):
    """A promise of the replicated log was broken."""


@dataclass
class Faults:
    """What happens in a run, and which mechanism is switched off.

    :param core: class of the cores.
    :param early: whether writes are reported as synced before they are.
    :param ignored_syncs: parts of paths whose syncs do nothing.
    :param keeps_identity: whether a host whose disk was lost comes back under its old identity.
    :param founders: number of hosts that found the group, 0 for all; the leader admits the rest.
    """

    duration_s: float = 6.0
    loss: float = 0.05
    duplication: float = 0.05
    slow_share: float = 0.1
    slow_s: float = 0.3
    restart_s: float = 0.5
    proposals_per_s: float = 40.0
    disk_slow_s: float = 0.2
    fault_interval_s: float = 0.4
    crash_weight: int = 4
    cut_weight: int = 4
    freeze_weight: int = 3
    disk_weight: int = 2
    transfer_weight: int = 1
    drift: float = DRIFT
    core: type = ReplicaCore
    early: bool = False
    ignored_syncs: tuple = ()
    keeps_identity: bool = False
    parameters: dict = field(default_factory=dict)
    founders: int = 0


class Host:
    """One host: files, clock, and a core while its process runs."""

    def __init__(self, run, name):
        self.run = run
        self.name = name
        self.rng = run.rng
        self.rate = 1 + self.rng.choice((-1, 0, 1)) * run.faults.drift
        self.offset = self.rng.uniform(0, 1000)
        self.files = MemoryFileSystem(run.faults.ignored_syncs)
        self.lost = False
        self.identities = 0
        self.core = None
        self.frozen_until = 0.0
        self.boot = 0

    def clock(self):
        return self.offset + self.run.now * self.rate

    def is_running(self):
        return self.core is not None and self.run.now >= self.frozen_until

    def start(self):
        if self.core is not None:
            return
        folder = DataFolder(self.files, "/data", self._draw_identity)
        folder.open()
        self.storage = ReplicaStorage(folder)
        recovered = self.storage.load()
        self.boot += 1
        self.jobs = []
        self.saving = None
        self.writing = False
        self.applied = 0
        self.wake_at = None
        self.digest = b""
        core = self.run.faults.core(
            self.name,
            folder.identity_,
            folder.boot_,
            f"{self.name}{self.boot}",
            self.run.names[: self.run.faults.founders or None],
            random.Random(self.rng.random()),
            GROUP,
            bootstrap=True,
            **{**PARAMETERS, **self.run.faults.parameters},
        )
        self.core = core
        actions = core.start(recovered, self.clock())
        core.add_contacts(self.run.names)
        self.perform(actions)

    def _draw_identity(self):
        if not self.run.faults.keeps_identity:
            self.identities += 1
        return f"{self.name}#{self.identities}"

    def stop(self):
        """End the process, perhaps in the middle of a write."""
        if self.core is None:
            return
        self.core = None
        if (self.jobs or self.saving) and self.rng.random() < 0.5:
            self.files.operations_left = self.rng.randint(0, 6)
            with contextlib.suppress(CrashError):
                if self.saving and self.rng.random() < 0.5:
                    self.storage.save_snapshot(self.saving)
                self.storage.persist(self.jobs)
        self.files.crash(self.rng)

    def lose_disk(self):
        bootstrap_state = self.core.bootstrap_state_ if self.core else None
        self.stop()
        self.files = MemoryFileSystem(self.run.faults.ignored_syncs)
        self.lost = True
        if self.run.faults.keeps_identity and bootstrap_state is not None:
            self._copy_genesis(bootstrap_state)

    def _copy_genesis(self, bootstrap_state):
        folder = DataFolder(self.files, "/data", self._draw_identity)
        folder.open()
        storage = ReplicaStorage(folder)
        storage.load()
        storage.persist([Persist(1, 0, "", bootstrap_state, ())])
        folder.close()

    def handle(self, event):
        """Hand in an event, later if the process is frozen."""
        if self.core is None:
            return
        if self.run.now < self.frozen_until:
            boot = self.boot
            self.run.at(self.frozen_until, lambda: boot == self.boot and self.handle(event))
            return
        self.perform(self.core.handle(event, self.clock()))

    def advance(self, moment):
        if moment != self.wake_at or self.core is None:
            return
        self.wake_at = None
        is_due = self.is_running() and self.clock() >= self.core.next_deadline()
        self.perform(self.core.advance(self.clock()) if is_due else [])

    def perform(self, actions):
        for action in actions:
            self.run.perform(self, action)
        if self.core is not None:
            self._wake()

    def _wake(self):
        """Keep one timer, for the core's next deadline or the end of a freeze."""
        wait = max(0.0, self.core.next_deadline() - self.clock()) / self.rate
        moment = max(self.run.now + wait + 1e-6, self.frozen_until)
        if self.wake_at is None or moment < self.wake_at:
            self.wake_at = moment
            self.run.at(moment, lambda: self.advance(moment))

    def save(self, snapshot):
        """Save a local snapshot beside the log."""
        self.saving = snapshot
        self._later(self.rng.uniform(0.0, 0.2), lambda: self._finish_saving(snapshot))

    def _finish_saving(self, snapshot):
        self.storage.save_snapshot(snapshot)
        self.saving = None
        self.handle(SnapshotSaved(snapshot))
        self._start_writing()

    def queue(self, job):
        self.jobs.append(job)
        if self.run.faults.early:
            self._later(0.0, lambda: self.handle(Persisted(job.sequence)))
        self._start_writing()

    def _start_writing(self):
        is_blocked = self.saving and any(job.snapshot for job in self.jobs)
        if self.writing or is_blocked or not self.jobs:
            return
        self.writing = True
        is_slow = self.rng.random() < self.run.faults.slow_share
        delay = self.rng.uniform(0.0, self.run.faults.disk_slow_s if is_slow else 0.01)
        jobs = list(self.jobs)
        self._later(delay, lambda: self._finish_writing(jobs))

    def _later(self, delay, function):
        boot = self.boot
        self.run.at(
            self.run.now + delay,
            lambda: self.core is not None and boot == self.boot and function(),
        )

    def _finish_writing(self, jobs):
        self.storage.persist(jobs)
        del self.jobs[: len(jobs)]
        self.writing = False
        self._start_writing()
        for job in jobs:
            self.handle(Persisted(job.sequence))


class Run:
    """One randomised run of a group.

    :param seed: decides everything.
    :param size: number of hosts.
    :param faults: a :class:`Faults`.
    """

    def __init__(self, seed, size=3, faults=None):
        self.faults = faults or Faults()
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.count = 0
        self.names = tuple("abcdef"[:size])
        self.hosts = {name: Host(self, name) for name in self.names}
        self.cuts = set()
        self.quiet = False
        self.committed = {}
        self.commit_terms = {}
        self.digests = {0: b""}
        self.leaders = {}
        self.reads = {}
        self.refused = set()
        self.repairs = 0

    def at(self, moment, function):
        self.count += 1
        heapq.heappush(self.events, (moment, self.count, function))

    def execute(self):
        """Run with faults, then heal everything and see that the group works.

        :raises ViolationError: when a promise is broken.
        """
        try:
            self._execute()
        except (InvariantError, StorageError) as error:
            raise ViolationError(repr(error)) from error

    def _execute(self):
        for host in self.hosts.values():
            host.start()
        self._run_until(1.5)
        self.at(self.now, self._propose)
        self.at(self.now, self._read)
        self.at(self.now, self._inject)
        self.at(self.now, self._repair)
        self._run_until(self.now + self.faults.duration_s)
        self._heal()
        self._run_until(self.now + 4.0)
        self._check_end()

    def _run_until(self, end):
        while self.events and self.events[0][0] <= end:
            moment, _, function = heapq.heappop(self.events)
            self.now = max(self.now, moment)
            function()
            self._check_leases()
        self.now = end
        self._check_logs()

    def perform(self, host, action):
        if isinstance(action, SendMessage):
            self._transmit(host.name, action)
        elif isinstance(action, Persist):
            host.queue(action)
        elif isinstance(action, Apply):
            self._apply(host, action.entries)
        elif isinstance(action, Restore):
            self._restore(host, action.snapshot)
        elif isinstance(action, TakeSnapshot):
            self._take_snapshot(host, action)
        elif isinstance(action, RoleChanged):
            self._check_leader(host, action)
        elif isinstance(action, ReadConfirmed):
            self._check_read(action)
        elif isinstance(action, ProposalRejected):
            self.refused.add(action.token)
        else:
            assert isinstance(action, ProposalAppended) or action is not None

    def _transmit(self, sender, action):
        if self.rng.random() < (0 if self.quiet else self.faults.loss):
            return
        copies = 2 if self.rng.random() < self.faults.duplication else 1
        for _ in range(copies):
            delay = self.rng.uniform(0.0005, 0.01)
            if not self.quiet and self.rng.random() < self.faults.slow_share:
                delay = self.rng.uniform(0.0, self.faults.slow_s)
            self.at(self.now + delay, lambda: self._arrive(sender, action))

    def _arrive(self, sender, action):
        if (sender, action.peer) not in self.cuts:
            self.hosts[action.peer].handle(action.message)

    def _apply(self, host, entries):
        for entry in entries:
            self._expect(entry.index == host.applied + 1, "applied out of order")
            known = self.committed.setdefault(entry.index, entry)
            self.commit_terms.setdefault(entry.index, host.core.term_)
            self._expect(known == entry, f"committed entry {entry.index} was lost")
            digest = blake2b(host.digest + entry.data, digest_size=8).digest()
            host.applied = entry.index
            host.digest = digest
            same = self.digests.setdefault(entry.index, digest) == digest
            self._expect(same, f"digests differ at {entry.index}")
            token = int(entry.data) if entry.kind == 1 else 0
            self._expect(token not in self.refused, "a refused command was committed")

    def _restore(self, host, snapshot):
        host.applied = snapshot.index
        host.digest = snapshot.data
        same = self.digests.get(snapshot.index) == snapshot.data
        self._expect(same, f"snapshot {snapshot.index} differs")

    def _take_snapshot(self, host, action):
        self._expect(action.index == host.applied, "snapshot at another index")
        members = list(action.members)
        host.save(Snapshot(action.index, action.term, action.members_index, members, host.digest))

    def _expect(self, condition, message):
        if not condition:
            raise ViolationError(f"at {self.now:.3f}: {message}")

    def _check_leader(self, host, action):
        if action.role is not Role.LEADER:
            return
        core = host.core
        first = self.leaders.setdefault(action.term, core.identity)
        self._expect(first == core.identity, f"term {action.term} has two leaders")
        for index, entry in self.committed.items():
            is_older = self.commit_terms[index] < action.term
            if is_older and index > core.log_.base_index:
                held = core.log_.get_term(index) == entry.term
                self._expect(held, f"leader of {action.term} lacks committed entry {index}")

    def _check_leases(self):
        leading = [h for h in self.hosts.values() if h.core and h.core.role_ is Role.LEADER]
        newest = max((host.core.term_ for host in leading), default=0)
        for host in leading:
            if host.core.term_ == newest and host.applied >= len(self.committed):
                continue
            has_lease = host.is_running() and host.core.leading_term(host.clock())
            self._expect(not has_lease, f"lease of term {host.core.term_} is out of date")

    def _check_logs(self):
        """Entries of the same index and term are equal, wherever they are."""
        seen = {}
        for host in self.hosts.values():
            for entry in host.core.log_.entries if host.core else ():
                known = seen.setdefault((entry.index, entry.term), entry)
                self._expect(known == entry, "logs do not match")

    def _check_read(self, action):
        floor = self.reads.pop(action.token, None)
        if floor is not None:
            self._expect(action.index >= floor, "a read missed a committed command")

    def _propose(self):
        token = self.count
        host = self.rng.choice(list(self.hosts.values()))
        leading = [h for h in self.hosts.values() if h.core and h.core.role_ is Role.LEADER]
        if leading and self.rng.random() < 0.8:
            host = self.rng.choice(leading)
        host.handle(ProposalsSubmitted((Proposal(token, b"%d" % token),)))
        self.at(self.now + self.rng.expovariate(self.faults.proposals_per_s), self._propose)

    def _read(self):
        host = self.rng.choice(list(self.hosts.values()))
        token = self.count
        self.reads[token] = len(self.committed)
        host.handle(ReadRequested(token))
        self.at(self.now + self.rng.expovariate(20), self._read)

    def _inject(self):
        if self.quiet:
            return
        faults = self.faults
        kinds = {
            self._crash: faults.crash_weight,
            self._cut: faults.cut_weight,
            self._freeze: faults.freeze_weight,
            self._lose_disk: faults.disk_weight,
            self._transfer: faults.transfer_weight,
        }
        (kind,) = self.rng.choices(list(kinds), list(kinds.values()))
        kind(self.rng.choice(list(self.hosts.values())))
        self.at(self.now + self.rng.expovariate(1 / faults.fault_interval_s), self._inject)

    def _crash(self, host):
        host.stop()
        self.at(self.now + self.rng.uniform(0.0, self.faults.restart_s), host.start)

    def _cut(self, host):
        others = [name for name in self.names if name != host.name]
        far = self.rng.sample(others, self.rng.randint(1, len(others)))
        kind = self.rng.randrange(3)
        cut = {(host.name, name) for name in far} if kind != 0 else set()
        cut |= {(name, host.name) for name in far} if kind != 1 else set()
        self.cuts |= cut
        self.at(self.now + self.rng.uniform(0.05, 1.2), lambda: self.cuts.difference_update(cut))

    def _freeze(self, host):
        host.frozen_until = self.now + self.rng.uniform(0.05, 1.0)

    def _transfer(self, host):
        host.handle(TransferLeadership())

    def _lose_disk(self, host):
        """Lose a disk, but never so many at once that a commit could be gone."""
        lost = sum(h.lost for h in self.hosts.values())
        bound = all(h.core and h.core.configuration_index_ >= 0 for h in self.hosts.values())
        if host.lost and self.rng.random() < 0.7:
            return
        if bound and (host.lost or lost < (len(self.names) - 1) // 2):
            host.lose_disk()
            self.at(self.now + self.rng.uniform(0.0, 0.3), host.start)

    def _repair(self):
        """Replace lost hosts, as an operator would; then, at times, lose a second one at once."""
        for host in self.hosts.values():
            leading = [h for h in self.hosts.values() if h.is_running()]
            leading = [h for h in leading if h.core.leading_term(h.clock())]
            if not host.lost or not leading:
                continue
            core = leading[0].core
            identity = host.core.identity if host.core else ""
            if core.has_replaced(host.name, identity):
                host.lost = False
                self.repairs += 1
                if not self.quiet and self.rng.random() < 0.5:
                    self._lose_disk(self.rng.choice(list(self.hosts.values())))
            elif core.manages_members:
                continue
            elif not core.find_replacement_error(host.name, leading[0].clock()):
                leading[0].handle(ReplaceMember(host.name))
        self.at(self.now + 0.05, self._repair)

    def _heal(self):
        self.quiet = True
        self.cuts.clear()
        for host in self.hosts.values():
            host.frozen_until = self.now
            host.start()

    def _check_end(self):
        last = len(self.committed)
        leading = [h for h in self.hosts.values() if h.core.leading_term(h.clock())]
        self._expect(len(leading) == 1, "no leader after everything was healed")
        for host in self.hosts.values():
            self._expect(not host.lost, f"{host.name} was not repaired")
            self._expect(host.applied > last - 20, f"{host.name} did not catch up")
