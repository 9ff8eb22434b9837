"""Linearizability of client histories with lost, duplicated and delayed messages."""

import os
import random
from heapq import heappop, heappush
from itertools import count

import pytest

from sassafrashook.messages import ClaimStatus, RecordedAnswer
from sassafrashook.state import (
    ApplyConfiguration,
    Claim,
    ClaimBatch,
    ClaimTable,
    CommandDeduplicator,
    CompleteClaim,
    FleetStateMachine,
    RevisionRegister,
    SetZone,
    decode_reply,
    encode_command,
)
from sassafrashook.state.tests.linearizability import Operation, is_linearizable

FIRST_SEED = int(os.environ.get("SEED", "1"))
SEEDS = range(FIRST_SEED, FIRST_SEED + 180 * int(os.environ.get("SOAK", "1")))
CLIENTS = 3
OPERATIONS = 5
SENDS = 3
NEVER_MS = 1_000_000


class SimulatedNetwork:
    """Simulated clients and network in front of one replicated state.

    Requests and replies may be lost, duplicated or delayed; applied commands are never lost.
    """

    def __init__(self, state, seed):
        self.state = state
        self.random = random.Random(seed)
        self.history = []
        self.now = 0.0
        self._finished_operations = []
        self._events = []
        self._event_numbers = count()

    def run(self, choose_call):
        for client in range(CLIENTS):
            self._schedule(1, self._start_operation, client, choose_call, OPERATIONS)
        while self._events:
            self.now, _, callback, arguments = heappop(self._events)
            callback(*arguments)
        return self.history

    def _schedule(self, max_delay, callback, *arguments):
        due_at = self.now + self.random.uniform(0, max_delay)
        heappush(self._events, (due_at, next(self._event_numbers), callback, arguments))

    def _start_operation(self, client, choose_call, remaining):
        if not remaining:
            return
        call = choose_call(self, f"{client}-{remaining}")
        operation = Operation(call, self.now)
        self.history.append(operation)
        next_operation = (client, choose_call, remaining - 1)
        self._send(operation, next_operation, SENDS)

    def _send(self, operation, next_operation, remaining_sends):
        """Deliver a request 0 to 2 times and resend it until a reply arrives or sends run out."""
        if operation in self._finished_operations:
            return
        if not remaining_sends:
            self._finished_operations.append(operation)
            self._start_operation(*next_operation)
            return
        for _ in range(self.random.choice((0, 1, 1, 2))):
            self._schedule(40, self._deliver_request, operation, next_operation)
        heappush(
            self._events,
            (
                self.now + 10,
                next(self._event_numbers),
                self._send,
                (operation, next_operation, remaining_sends - 1),
            ),
        )

    def _deliver_request(self, operation, next_operation):
        result = execute(self.state, operation.call, int(self.now))
        if self.random.random() < 0.6:
            self._schedule(5, self._deliver_reply, operation, next_operation, result)

    def _deliver_reply(self, operation, next_operation, result):
        if operation not in self._finished_operations:
            self._finished_operations.append(operation)
            operation.ended_at, operation.result = self.now, result
            self._schedule(5, self._start_operation, *next_operation)


def execute(state, call, now_ms):
    kind, *values = call
    if kind == "read":
        return state.revision, tuple(sorted(state.revisions_.drained_zones_))
    if kind == "claim":
        key, attempt, digest = values
        entry = Claim(attempt, "a", "s", key, digest, NEVER_MS)
        return propose(state, ClaimBatch([entry]), now_ms).entries[0].status
    if kind == "complete":
        key, attempt, verdict = values
        entry = CompleteClaim(attempt, "a", "s", key, RecordedAnswer(verdict, 200, "", b""))
        return propose(state, ClaimBatch([entry]), now_ms).entries[0].status
    if kind == "apply":
        command_id, expected = values
        reply = propose(state, ApplyConfiguration(command_id, expected, b"x", NEVER_MS), now_ms)
    else:
        command_id, drained = values
        reply = propose(state, SetZone(command_id, "z", drained, NEVER_MS), now_ms)
    return str(reply.outcome), reply.revision


def propose(state, command, now_ms):
    return decode_reply(state.apply(1, encode_command(command, now_ms)))


# Configuration


def choose_change(network, name):
    rng, state = network.random, network.state
    kind = rng.choice(("read", "apply", "apply", "zone", "zone"))
    if kind == "read":
        return (kind,)
    if kind == "apply":
        return kind, name, state.revision
    return kind, name, rng.random() < 0.5


def apply_change_specification(state, call):
    revision, zones = state
    kind, *values = call
    if kind == "read":
        return state, (revision, zones)
    if kind == "apply" and values[1] != revision:
        return state, ("conflict", revision)
    if kind == "zone":
        zones = ("z",) if values[1] else ()
    return (revision + 1, zones), ("accepted", revision + 1)


# Claims


def choose_claim(network, name):
    """Choose a claim, or the completion of an attempt that was or was not granted the key."""
    rng = network.random
    key = rng.choice(("k1", "k2"))
    if rng.random() < 0.3:
        granted = [o.call for o in network.history if o.result == ClaimStatus.GRANTED]
        holder = next((c[2] for c in reversed(granted) if c[1] == key), name)
        return "complete", key, holder, rng.choice(("ran", "not_run", "not_run"))
    return "claim", key, name, rng.choice(("d1", "d1", "d1", "d2"))


def apply_claim_specification(state, call):
    """Apply a call to records of ``(holder, digest, verdict, released_attempts)`` by key."""
    records = dict(state)
    kind, key, attempt, value = call
    record = records.get(key)
    if kind == "complete":
        records[key], result = apply_completion_specification(record, attempt, value)
    else:
        records[key], result = apply_request_specification(record, attempt, value)
    return tuple(sorted((k, r) for k, r in records.items() if r is not None)), result


def apply_completion_specification(record, attempt, verdict):
    if record is None:
        return None, ClaimStatus.EXPIRED
    holder, digest, recorded, released_attempts = record
    if holder != attempt:
        is_repeat = attempt in released_attempts and verdict == "not_run"
        return record, ClaimStatus.RECORDED if is_repeat else ClaimStatus.CONFLICT
    if recorded:
        return record, ClaimStatus.RECORDED
    if verdict == "not_run":
        released_attempts = (*released_attempts, attempt)
    return (holder, digest, verdict, released_attempts), ClaimStatus.RECORDED


def apply_request_specification(record, attempt, digest):
    if record is None:
        return (attempt, digest, "", ()), ClaimStatus.GRANTED
    holder, claimed_digest, verdict, released_attempts = record
    if claimed_digest != digest:
        return record, ClaimStatus.CONFLICT
    if verdict == "not_run" and attempt not in released_attempts:
        return (attempt, digest, "", released_attempts), ClaimStatus.GRANTED
    if verdict:
        return record, ClaimStatus.RECORDED
    return record, ClaimStatus.GRANTED if holder == attempt else ClaimStatus.RUNNING


CASES = {
    "configuration": (choose_change, apply_change_specification, (0, ())),
    "claims": (choose_claim, apply_claim_specification, ()),
}


def find_failing_seeds(case, state_class=FleetStateMachine):
    choose, specification, initial = CASES[case]
    failing = []
    for seed in SEEDS:
        history = SimulatedNetwork(state_class(), seed).run(choose)
        if not is_linearizable(history, specification, initial):
            failing.append(seed)
    return failing


@pytest.mark.parametrize("case", CASES)
def test_histories_are_linearizable(case):
    assert find_failing_seeds(case) == []


# With any one mechanism disabled, at least one seed must give a history that isn't linearizable


class _NoDeduplication(CommandDeduplicator):
    def find_reply(self, command):
        return False, None

    def record_reply(self, command, reply):
        pass


class _NoRevisionCheck(RevisionRegister):
    def _matches_revision(self, expected_revision):
        return True


class _NoDigestCheck(ClaimTable):
    def _matches_digest(self, record, command):
        return True


class _GrantsRunningClaims(ClaimTable):
    def claim(self, command, now_ms):
        reply = super().claim(command, now_ms)
        if reply.status == ClaimStatus.RUNNING:
            return type(reply)(ClaimStatus.GRANTED)
        return reply


class _CompletionTakesOverClaim(ClaimTable):
    def complete(self, command, now_ms):
        record = self.records_.get((command.account, command.service, command.key))
        if record is not None:
            record.attempt = command.attempt
        return super().complete(command, now_ms)


class _ForgetsRefusedAttempts(ClaimTable):
    def _record_refused_attempt(self, record, command, now_ms):
        reply = super()._record_refused_attempt(record, command, now_ms)
        record.refused_attempts = []
        return reply


@pytest.mark.parametrize(
    ("case", "part", "faulty_class"),
    [
        ("configuration", "deduplicator_class", _NoDeduplication),
        ("configuration", "revisions_class", _NoRevisionCheck),
        ("claims", "claims_class", _NoDigestCheck),
        ("claims", "claims_class", _GrantsRunningClaims),
        ("claims", "claims_class", _CompletionTakesOverClaim),
        ("claims", "claims_class", _ForgetsRefusedAttempts),
    ],
)
def test_checker_detects_disabled_mechanism(case, part, faulty_class):
    state_class = type("Broken", (FleetStateMachine,), {part: faulty_class})
    assert find_failing_seeds(case, state_class)
