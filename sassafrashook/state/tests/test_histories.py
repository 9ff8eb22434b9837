"""Histories of clients whose messages are lost, doubled and late, checked from outside."""

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
    CommandMemory,
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


class Network:
    """Timed events between clients and one replicated state that loses nothing it applied."""

    def __init__(self, state, seed):
        self.state = state
        self.random = random.Random(seed)
        self.history = []
        self.now = 0.0
        self._closed = []
        self._events = []
        self._numbers = count()

    def run(self, choose_call):
        for client in range(CLIENTS):
            self._later(1, self._begin, client, choose_call, OPERATIONS)
        while self._events:
            self.now, _, act, values = heappop(self._events)
            act(*values)
        return self.history

    def _later(self, delay, act, *values):
        moment = self.now + self.random.uniform(0, delay)
        heappush(self._events, (moment, next(self._numbers), act, values))

    def _begin(self, client, choose_call, left):
        if not left:
            return
        call = choose_call(self, f"{client}-{left}")
        operation = Operation(call, self.now)
        self.history.append(operation)
        follow = (client, choose_call, left - 1)
        self._send(operation, follow, SENDS)

    def _send(self, operation, follow, sends):
        """Send, perhaps twice or not at all; send again unless an answer came first."""
        if operation in self._closed:
            return
        if not sends:
            self._closed.append(operation)
            self._begin(*follow)
            return
        for _ in range(self.random.choice((0, 1, 1, 2))):
            self._later(40, self._arrive, operation, follow)
        heappush(
            self._events,
            (self.now + 10, next(self._numbers), self._send, (operation, follow, sends - 1)),
        )

    def _arrive(self, operation, follow):
        result = execute(self.state, operation.call, int(self.now))
        if self.random.random() < 0.6:
            self._later(5, self._answer, operation, follow, result)

    def _answer(self, operation, follow, result):
        if operation not in self._closed:
            self._closed.append(operation)
            operation.ended, operation.result = self.now, result
            self._later(5, self._begin, *follow)


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


def specify_change(state, call):
    revision, zones = state
    kind, *values = call
    if kind == "read":
        return state, (revision, zones)
    if kind == "apply" and values[1] != revision:
        return state, ("conflict", revision)
    if kind == "zone":
        zones = ("z",) if values[1] else ()
    return (revision + 1, zones), ("accepted", revision + 1)


# Once-records


def choose_claim(network, name):
    """Claim, or complete what some client was told it was granted, or what it never was."""
    rng = network.random
    key = rng.choice(("k1", "k2"))
    if rng.random() < 0.3:
        granted = [o.call for o in network.history if o.result == ClaimStatus.GRANTED]
        holder = next((c[2] for c in reversed(granted) if c[1] == key), name)
        return "complete", key, holder, rng.choice(("ran", "not_run", "not_run"))
    return "claim", key, name, rng.choice(("d1", "d1", "d1", "d2"))


def specify_claim(state, call):
    """State of a key: the attempt that holds it, its digest, its verdict, the released ones."""
    records = dict(state)
    kind, key, attempt, value = call
    record = records.get(key)
    if kind == "complete":
        records[key], result = specify_completion(record, attempt, value)
    else:
        records[key], result = specify_request(record, attempt, value)
    return tuple(sorted((k, r) for k, r in records.items() if r is not None)), result


def specify_completion(record, attempt, verdict):
    if record is None:
        return None, ClaimStatus.EXPIRED
    holder, digest, first, released = record
    if holder != attempt:
        repeats = attempt in released and verdict == "not_run"
        return record, ClaimStatus.RECORDED if repeats else ClaimStatus.CONFLICT
    if first:
        return record, ClaimStatus.RECORDED
    if verdict == "not_run":
        released = (*released, attempt)
    return (holder, digest, verdict, released), ClaimStatus.RECORDED


def specify_request(record, attempt, digest):
    if record is None:
        return (attempt, digest, "", ()), ClaimStatus.GRANTED
    holder, known, verdict, released = record
    if known != digest:
        return record, ClaimStatus.CONFLICT
    if verdict == "not_run" and attempt not in released:
        return (attempt, digest, "", released), ClaimStatus.GRANTED
    if verdict:
        return record, ClaimStatus.RECORDED
    return record, ClaimStatus.GRANTED if holder == attempt else ClaimStatus.RUNNING


CASES = {
    "configuration": (choose_change, specify_change, (0, ())),
    "claims": (choose_claim, specify_claim, ()),
}


def find_bad_seeds(case, state_class=FleetStateMachine):
    choose, specify, initial = CASES[case]
    bad = []
    for seed in SEEDS:
        history = Network(state_class(), seed).run(choose)
        if not is_linearizable(history, specify, initial):
            bad.append(seed)
    return bad


@pytest.mark.parametrize("case", CASES)
def test_histories_are_linearizable(case):
    assert find_bad_seeds(case) == []


# The checks, seen failing with one mechanism off each


class _Forgetful(CommandMemory):
    def recall(self, command):
        return False, None

    def remember(self, command, reply):
        pass


class _AnyRevision(RevisionRegister):
    def _matches(self, expected_revision):
        return True


class _AnyDigest(ClaimTable):
    def _matches_digest(self, record, command):
        return True


class _AnyAttempt(ClaimTable):
    def claim(self, command, now_ms):
        reply = super().claim(command, now_ms)
        if reply.status == ClaimStatus.RUNNING:
            return type(reply)(ClaimStatus.GRANTED)
        return reply


class _Overwriting(ClaimTable):
    def complete(self, command, now_ms):
        record = self.records_.get((command.account, command.service, command.key))
        if record is not None:
            record.attempt = command.attempt
        return super().complete(command, now_ms)


class _LateCopiesGranted(ClaimTable):
    def _refuse_attempt(self, record, command, now_ms):
        reply = super()._refuse_attempt(record, command, now_ms)
        record.refused = []
        return reply


@pytest.mark.parametrize(
    ("case", "part", "broken"),
    [
        ("configuration", "memory_class", _Forgetful),
        ("configuration", "revisions_class", _AnyRevision),
        ("claims", "claims_class", _AnyDigest),
        ("claims", "claims_class", _AnyAttempt),
        ("claims", "claims_class", _Overwriting),
        ("claims", "claims_class", _LateCopiesGranted),
    ],
)
def test_search_catches_a_missing_mechanism(case, part, broken):
    state_class = type("Broken", (FleetStateMachine,), {part: broken})
    assert find_bad_seeds(case, state_class)
