"""Randomized commands on several replicas, with advancing clocks and restored snapshots."""

import os
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sassafrashook.messages import ClaimStatus, RecordedAnswer
from sassafrashook.state import (
    AdvanceClock,
    ApplyConfiguration,
    Claim,
    ClaimBatch,
    ClaimTable,
    CommandDeduplicator,
    CompleteClaim,
    CompleteOrder,
    FleetStateMachine,
    ForgetRouter,
    IssueOrder,
    ModelHolders,
    OrderJournal,
    OrderKind,
    OrderStatus,
    QuarantineFingerprint,
    RegisterRouter,
    SetZone,
    StateLimits,
    decode_reply,
    encode_command,
)

FIRST_SEED = int(os.environ.get("SEED", "1"))
SEEDS = range(FIRST_SEED, FIRST_SEED + 20 * int(os.environ.get("SOAK", "1")))
STEPS = 600
LIMITS = StateLimits(
    skew_margin_ms=50,
    max_claim_deadline_ahead_ms=5_000,
    claim_retention_ms=2_000,
    max_claims=12,
    max_account_claims=8,
    max_answer_bytes=20,
    max_total_answer_bytes=60,
    max_command_deadline_ahead_ms=2_000,
    max_commands=15,
    max_drained_zones=2,
    max_quarantined=3,
    max_routers=3,
    max_orders=30,
    max_concurrent_loads=2,
    order_delivery_margin_ms=100,
    announcement_lag_ms=1_000,
)
ALL_HOLDERS = ["u1", "u2", "u3"]


class ViolationError(Exception):
    """A guarantee of the replicated state was violated."""


class RandomizedRun:
    """Applies random commands to replicas and checks the replies against the state's guarantees.

    Each key belongs to one call with one deadline. Its attempts and resends arrive early, late and
    long after the deadline.
    """

    def __init__(self, seed, state_class):
        self.rng = random.Random(seed)
        self.state_class = state_class
        self.replicas = [state_class(LIMITS) for _ in range(3)]
        self.now_ms = 1_000
        self.deadlines = {}
        self.granted = {}
        self.recorded = {}
        self.released_attempts = set()
        self.outcomes = {}
        self.sent = []
        self.revision = 0

    def run(self):
        for index in range(1, STEPS):
            self.now_ms += self.rng.choice((0, 1, 5, 30, 200))
            self.step(index)
            if self.rng.random() < 0.02:
                self.restore()
        self.compare()

    def step(self, index):
        command = self.choose()
        skewed_ms = self.now_ms - self.rng.choice((0, 0, 0, 40))
        replies = {r.apply(index, encode_command(command, skewed_ms)) for r in self.replicas}
        if len(replies) > 1:
            raise ViolationError("replicas replied differently")
        self.check(command, decode_reply(replies.pop()))
        if self.replicas[0].revision < self.revision:
            raise ViolationError("the revision decreased")
        self.revision = self.replicas[0].revision

    def restore(self):
        number = self.rng.randrange(len(self.replicas))
        replica = self.state_class(LIMITS)
        replica.restore(self.replicas[number].save())
        self.replicas[number] = replica
        self.compare()

    def compare(self):
        if len({replica.save() for replica in self.replicas}) > 1:
            raise ViolationError("replicas differ")

    def choose(self):
        if self.sent and self.rng.random() < 0.25:
            return self.rng.choice(self.sent[-40:])
        generators = (self.make_claims,) * 4 + (
            self.make_configuration_change,
            self.make_registry_command,
            self.make_order,
        )
        command = self.rng.choice(generators)()
        self.sent.append(command)
        return command

    def make_claims(self):
        return ClaimBatch([self.make_claim() for _ in range(self.rng.randint(1, 3))])

    def make_claim(self):
        newest_number = self.now_ms // 400
        key = f"k{self.rng.randint(max(0, newest_number - 12), newest_number)}"
        deadline_ms = self.deadlines.setdefault(key, self.now_ms + self.rng.randint(100, 1_500))
        attempt = f"{key}-{self.rng.randint(1, 4)}"
        account = f"a{choose_account_number(key)}"
        if self.rng.random() < 0.4:
            if key in self.granted and self.rng.random() < 0.7:
                attempt = self.granted[key][0]
            body = b"x" * self.rng.randint(0, 30)
            answer = RecordedAnswer(
                self.rng.choice(("ran", "may_have_run", "not_run", "not_run")), 200, "t", body
            )
            return CompleteClaim(attempt, account, "s", key, answer)
        return Claim(attempt, account, "s", key, self.rng.choice("ddde"), deadline_ms)

    def make_configuration_change(self):
        name = f"c{len(self.sent)}"
        deadline_ms = self.now_ms + self.rng.randint(100, 1_000)
        expected = max(0, self.revision - self.rng.choice((0, 0, 1)))
        if self.rng.random() < 0.5:
            return ApplyConfiguration(name, expected, name.encode(), deadline_ms)
        zone = f"z{self.rng.randint(1, 3)}"
        return SetZone(name, zone, self.rng.random() < 0.6, deadline_ms)

    def make_registry_command(self):
        router = (f"r{self.rng.randint(1, 4)}", f"b{self.rng.randint(1, 2)}")
        return self.rng.choice(
            (
                AdvanceClock,
                lambda: RegisterRouter(*router),
                lambda: ForgetRouter(*router),
                lambda: QuarantineFingerprint(
                    self.rng.randint(1, 6), self.now_ms + self.rng.randint(-50, 500)
                ),
                lambda: CompleteOrder(self.rng.randint(1, 30), self.rng.choice(list(OrderStatus))),
            )
        )()

    def make_order(self):
        kind = self.rng.choice(list(OrderKind))
        drops = []
        if kind in (OrderKind.UNLOAD_MODEL, OrderKind.CHANGE_ROLE):
            drops = [ModelHolders("m@1", ALL_HOLDERS)]
        return IssueOrder(
            f"c{len(self.sent)}",
            kind,
            self.rng.choice(ALL_HOLDERS),
            "b1",
            self.rng.random() < 0.5,
            self.now_ms + self.rng.randint(50, 300),
            "m@1",
            drops=drops,
        )

    def check(self, command, reply):
        if isinstance(command, ClaimBatch):
            for entry, decision in zip(command.entries, reply.entries, strict=True):
                self.check_claim(entry, decision)
        elif isinstance(command, ApplyConfiguration | SetZone):
            self.check_change(command, reply)
        elif isinstance(command, IssueOrder) and reply.fencing:
            self.check_order(command, reply)

    def check_claim(self, entry, decision):
        key = entry.key
        if decision.status == ClaimStatus.GRANTED:
            self.check_grant(entry)
        if decision.status == ClaimStatus.RECORDED and not self.is_repeated_release(entry):
            is_first = key not in self.recorded
            if is_first and isinstance(entry, CompleteClaim) and entry.answer.verdict == "not_run":
                self.released_attempts.add(entry.attempt)
            verdict = self.recorded.setdefault(key, decision.answer.verdict)
            if verdict == "ran" and decision.answer.verdict != "ran":
                raise ViolationError(f"the verdict on {key} changed")
            self.recorded[key] = decision.answer.verdict
            if isinstance(entry, Claim) and entry.digest != self.granted[key][1]:
                raise ViolationError(f"another body of {key} got the recorded answer")

    def is_repeated_release(self, entry):
        """Return whether an attempt that had released its key reported ``not_run`` again."""
        if not isinstance(entry, CompleteClaim) or entry.attempt == self.granted[entry.key][0]:
            return False
        if entry.attempt not in self.released_attempts or entry.answer.verdict != "not_run":
            raise ViolationError(
                f"{entry.key} recorded the outcome of an attempt that does not hold it"
            )
        return True

    def check_grant(self, entry):
        key = entry.key
        holder, digest = self.granted.get(key, (entry.attempt, entry.digest))
        if holder != entry.attempt and holder in self.released_attempts:
            self.recorded.pop(key)
        elif (holder, digest) != (entry.attempt, entry.digest):
            raise ViolationError(f"{key} was granted to two attempts or bodies")
        if entry.attempt in self.released_attempts:
            raise ViolationError(f"{key} was granted to an attempt that had released it")
        if digest != entry.digest:
            raise ViolationError(f"{key} was granted for another body")
        if key in self.recorded:
            raise ViolationError(f"{key} was granted after its outcome was recorded")
        if self.replicas[0].clock_ms_ >= self.deadlines[key]:
            raise ViolationError(f"{key} was granted after its deadline")
        self.granted[key] = (entry.attempt, entry.digest)

    def check_change(self, command, reply):
        if reply.reason in ("deadline_passed", "too_many_commands"):
            return
        if self.outcomes.setdefault(command.command_id, reply) != reply:
            raise ViolationError(f"{command.command_id} has two outcomes")

    def check_order(self, command, reply):
        drops = {
            record.upstream_id
            for record in self.replicas[0].orders_.orders_.values()
            if record.drops and record.status != OrderStatus.REFUSED
        }
        if drops >= set(ALL_HOLDERS):
            raise ViolationError("the last holder was dropped")


def choose_account_number(key):
    return sum(key.encode()) % 3


def find_violations(state_class=FleetStateMachine):
    violations = []
    for seed in SEEDS:
        try:
            RandomizedRun(seed, state_class).run()
        except (ViolationError, AssertionError) as error:
            violations.append(f"seed {seed}: {error}")
    return violations


def test_guarantees_hold_on_every_replica():
    assert find_violations() == []


# The checks must fail when any one mechanism is disabled


class _NoDeadlineCheck(ClaimTable):
    """Treats each claim as if its deadline had not passed; records still expire."""

    def claim(self, command, now_ms):
        return super().claim(command, min(now_ms, command.deadline_ms - 1))


class _ExpiresTooEarly(ClaimTable):
    """Removes a record while its call may still be repeated."""

    def expire(self, now_ms):
        super().expire(now_ms + LIMITS.max_claim_deadline_ahead_ms)


class _NoDigestCheck(ClaimTable):
    def _matches_digest(self, record, command):
        return True


class _AnyOutcomeReleases(ClaimTable):
    """Releases a key whatever the recorded outcome is."""

    def complete(self, command, now_ms):
        reply = super().complete(command, now_ms)
        record = self.records_.get((command.account, command.service, command.key))
        if record is not None and record.answer is not None:
            record.released_attempts = list({*record.released_attempts, record.attempt})
        return reply


class _ForgetsReleasedAttempts(ClaimTable):
    def _regrant(self, record, command):
        super()._regrant(record, command)
        record.released_attempts = []


class _NoCommandDeduplication(CommandDeduplicator):
    def find_reply(self, command):
        return False, None

    def record_reply(self, command, reply):
        pass


class _CommandsExpireTooEarly(CommandDeduplicator):
    def expire(self, now_ms):
        super().expire(now_ms + 300)


class _NoLastHolderCheck(OrderJournal):
    def _check_last_holder(self, command):
        return None


class _RestoreReordersRecords(ClaimTable):
    def restore(self, data):
        super().restore(data)
        self.records_ = dict(sorted(self.records_.items(), reverse=True))


class _RestoreLosesActiveQueue(ClaimTable):
    def restore(self, rows):
        super().restore(rows)
        self._active_queue = []


@pytest.mark.parametrize(
    ("part", "faulty_class", "message"),
    [
        ("claims_class", _NoDeadlineCheck, "granted"),
        ("claims_class", _ExpiresTooEarly, "granted to two attempts"),
        ("claims_class", _NoDigestCheck, "another body"),
        ("claims_class", _AnyOutcomeReleases, "granted to two attempts"),
        ("claims_class", _ForgetsReleasedAttempts, "an attempt that had released it"),
        ("deduplicator_class", _NoCommandDeduplication, "two outcomes"),
        ("deduplicator_class", _CommandsExpireTooEarly, "two outcomes"),
        ("orders_class", _NoLastHolderCheck, "last holder"),
        ("claims_class", _RestoreReordersRecords, "replicas differ"),
        ("claims_class", _RestoreLosesActiveQueue, "replicas"),
    ],
)
def test_checks_detect_disabled_mechanism(part, faulty_class, message):
    state_class = type("Broken", (FleetStateMachine,), {part: faulty_class})
    assert any(message in violation for violation in find_violations(state_class))


# Input that no correct proposer produces


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=80))
def test_replicas_reply_alike_to_arbitrary_bytes(data):
    states = [FleetStateMachine(), FleetStateMachine()]
    assert states[0].apply(1, data) == states[1].apply(1, data)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.integers(0, 10_000), st.binary(min_size=1, max_size=3), st.data())
def test_replicas_reply_alike_to_corrupted_commands(seed, patch, data):
    run = RandomizedRun(seed, FleetStateMachine)
    encoded = bytearray(encode_command(run.choose(), 1_000))
    position = data.draw(st.integers(0, len(encoded) - 1))
    encoded[position : position + len(patch)] = patch
    states = [FleetStateMachine(LIMITS), FleetStateMachine(LIMITS)]
    assert states[0].apply(1, bytes(encoded)) == states[1].apply(1, bytes(encoded))
    assert states[0].save() == states[1].save()
    states[0].restore(states[1].save())
