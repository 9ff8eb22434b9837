"""Unit tests of the replicated state, one rule each."""

import pytest

from sassafrashook.messages import ClaimStatus, RecordedAnswer
from sassafrashook.state import (
    AdoptVersion,
    AdvanceClock,
    ApplyConfiguration,
    Claim,
    ClaimBatch,
    CommandOutcome,
    CommandRefused,
    CompleteClaim,
    CompleteOrder,
    FleetStateMachine,
    ForgetRouter,
    IssueOrder,
    ModelHolders,
    OrderKind,
    OrderStatus,
    QuarantineFingerprint,
    RegisterRouter,
    SetZone,
    StateLimits,
    UnsupportedVersionError,
    decode_reply,
    encode_command,
)

ACCEPTED, CONFLICT, REFUSED = CommandOutcome
DOCUMENT = (
    b'{"classes": [{"name": "default", "waiting_ms": 500, "completion_ms": 9000}],'
    b' "services": [{"name": "chat", "kind": "engine"}]}'
)


def run(state, command, now_ms=1_000):
    return decode_reply(state.apply(1, encode_command(command, now_ms)))


def apply(state, command_id, expected, document=DOCUMENT, now_ms=1_000):
    return run(state, ApplyConfiguration(command_id, expected, document, now_ms + 10_000), now_ms)


def claim(state, attempt, key="k", digest="d", deadline_ms=5_000, now_ms=1_000, account="a"):
    entry = Claim(attempt, account, "s", key, digest, deadline_ms)
    return run(state, ClaimBatch([entry]), now_ms).entries[0]


def complete(state, attempt, verdict="ran", body=b"ok", key="k", now_ms=1_000):
    answer = RecordedAnswer(verdict, 200, "text/plain", body)
    entry = CompleteClaim(attempt, "a", "s", key, answer)
    return run(state, ClaimBatch([entry]), now_ms).entries[0]


def issue(state, command_id, upstream="u1", kind=OrderKind.LOAD_MODEL, now_ms=1_000, **fields):
    fields = {"checks_fencing": False, "deadline_ms": now_ms + 4_000, "model": "m@1", **fields}
    return run(state, IssueOrder(command_id, kind, upstream, "b1", **fields), now_ms)


def test_second_change_from_same_revision_conflicts():
    state = FleetStateMachine()
    assert apply(state, "first", 0).outcome == ACCEPTED
    second = apply(state, "second", 0, b"[]")
    assert (second.outcome, second.revision, second.winner) == (CONFLICT, 1, "first")


def test_resend_gets_first_reply_after_another_change():
    state = FleetStateMachine()
    first = apply(state, "first", 0)
    conflict = apply(state, "late", 0)
    assert apply(state, "other", 1).revision == 2
    assert apply(state, "first", 0, now_ms=3_000) == first
    assert apply(state, "late", 0, now_ms=3_000) == conflict
    assert state.revision == 2


def test_resent_drain_does_not_undo_later_restore():
    state = FleetStateMachine()
    drain = SetZone("c1", "brest-a", True, 9_000)
    run(state, drain)
    run(state, SetZone("c2", "brest-a", False, 9_000))
    assert run(state, drain).revision == 1
    assert state.get_fleet_state().drained_zones == []


def test_reused_command_id_is_refused():
    state = FleetStateMachine()
    apply(state, "c1", 0)
    assert apply(state, "c1", 1).reason == "command_id_reused"


def test_expired_command_is_refused_and_its_record_removed():
    state = FleetStateMachine()
    command = SetZone("c1", "brest-a", True, 9_000)
    run(state, command)
    assert run(state, command, 20_000).reason == "deadline_passed"
    assert not state.deduplicator_.records_


def test_full_command_table_refuses_without_evicting():
    state = FleetStateMachine(StateLimits(max_commands=1))
    apply(state, "c1", 0)
    assert apply(state, "c2", 1).reason == "too_many_commands"
    assert apply(state, "c1", 0).outcome == ACCEPTED


def test_quarantine_increments_revision_without_conflict():
    state = FleetStateMachine()
    apply(state, "c1", 0)
    run(state, QuarantineFingerprint(7, 60_000))
    assert (state.revision, state.get_fleet_state().quarantined) == (2, [7])
    assert apply(state, "c2", 1).revision == 3
    run(state, AdvanceClock(), 60_000)
    assert (state.revision, state.get_fleet_state().quarantined) == (4, [])


def test_claim_statuses():
    state = FleetStateMachine()
    assert claim(state, "a1").status == ClaimStatus.GRANTED
    assert claim(state, "a1").status == ClaimStatus.GRANTED
    assert claim(state, "a2").status == ClaimStatus.RUNNING
    assert claim(state, "a2", digest="x").status == ClaimStatus.CONFLICT
    assert complete(state, "a2").status == ClaimStatus.CONFLICT
    assert complete(state, "a1").status == ClaimStatus.RECORDED
    assert claim(state, "a1").status == ClaimStatus.RECORDED
    assert claim(state, "a3").answer.body == b"ok"
    assert complete(state, "a1", body=b"other").answer.body == b"ok"
    assert claim(state, "a4", key="k2", deadline_ms=1_000).status == ClaimStatus.EXPIRED
    assert claim(state, "a5", account="b").status == ClaimStatus.GRANTED


def test_unsent_attempt_releases_key_to_other_attempts_only():
    state = FleetStateMachine(StateLimits(max_released_attempts=2))
    claim(state, "a1")
    complete(state, "a1", "not_run", b"")
    assert claim(state, "a1").status == ClaimStatus.RECORDED
    assert claim(state, "a2", digest="x").status == ClaimStatus.CONFLICT
    assert claim(state, "a2").status == ClaimStatus.GRANTED
    assert claim(state, "a1").status == ClaimStatus.RUNNING
    assert complete(state, "a1").status == ClaimStatus.CONFLICT
    complete(state, "a2", "not_run", b"")
    assert claim(state, "a3").answer.verdict == "not_run"


def test_attempt_that_may_have_run_never_releases_key():
    state = FleetStateMachine()
    claim(state, "a1")
    complete(state, "a1", "may_have_run", b"")
    complete(state, "a1", "not_run", b"")
    assert claim(state, "a2").status == ClaimStatus.RECORDED


def test_refusal_is_permanent_except_for_query():
    state = FleetStateMachine()
    claim(state, "a1")
    assert claim(state, "a2").status == ClaimStatus.RUNNING
    assert claim(state, "a3", deadline_ms=1).status == ClaimStatus.RUNNING
    complete(state, "a1", "not_run", b"")
    assert claim(state, "a2").status == ClaimStatus.RUNNING
    assert claim(state, "a3").status == ClaimStatus.GRANTED


def test_only_uncertain_verdict_is_replaced():
    state = FleetStateMachine()
    claim(state, "a1")
    assert complete(state, "a1", "may_have_run", b"").answer.verdict == "may_have_run"
    assert complete(state, "a1", "ran").answer.verdict == "ran"
    assert complete(state, "a1", "not_run").answer.verdict == "ran"


def test_grant_is_not_repeated_after_deadline():
    state = FleetStateMachine()
    claim(state, "a1")
    assert claim(state, "a1", now_ms=5_000).status == ClaimStatus.EXPIRED
    assert claim(state, "a2", now_ms=5_000).status == ClaimStatus.RUNNING


def test_repeat_with_later_deadline_finds_retired_record():
    state = FleetStateMachine()
    claim(state, "a1")
    complete(state, "a1")
    late = claim(state, "a2", deadline_ms=900_000, now_ms=600_000)
    assert (late.status, late.answer.verdict) == (ClaimStatus.RECORDED, "ran")
    assert (late.answer.body, late.answer.truncated) == (b"", True)


def test_records_are_evicted_only_after_deadline():
    state = FleetStateMachine(StateLimits(max_claims=2))
    claim(state, "a1", "k1")
    claim(state, "a2", "k2", deadline_ms=50_000)
    assert claim(state, "a3", "k3").status == ClaimStatus.UNAVAILABLE
    assert claim(state, "a3", "k3", deadline_ms=90_000, now_ms=7_000).status == ClaimStatus.GRANTED
    assert claim(state, "a4", "k4", deadline_ms=90_000, now_ms=8_000).status == (
        ClaimStatus.UNAVAILABLE
    )
    assert claim(state, "a1", "k1", now_ms=8_000).status == ClaimStatus.EXPIRED
    assert claim(state, "b1", "k2", now_ms=8_000).status == ClaimStatus.RUNNING


def test_account_limit_leaves_capacity_for_others():
    state = FleetStateMachine(StateLimits(max_claims=4, max_account_claims=2))
    for number in range(2):
        claim(state, f"a{number}", f"k{number}")
    assert claim(state, "a9", "k9").status == ClaimStatus.UNAVAILABLE
    assert claim(state, "a9", "k9", account="b").status == ClaimStatus.GRANTED
    assert claim(state, "a9", "k9", deadline_ms=9_000, now_ms=7_000).status == ClaimStatus.GRANTED


def test_large_answers_are_recorded_without_body():
    state = FleetStateMachine(StateLimits(max_answer_bytes=4, max_total_answer_bytes=6))
    for key in ("k1", "k2"):
        claim(state, "a1", key)
    assert complete(state, "a1", body=b"12345", key="k1").answer.truncated
    claim(state, "a1", "k3")
    assert not complete(state, "a1", body=b"1234", key="k2").answer.truncated
    assert complete(state, "a1", body=b"1234", key="k3").answer.truncated
    assert state.claims_.total_answer_bytes_ == 4


@pytest.mark.parametrize("field", ["attempt", "key", "digest"])
def test_malformed_claim_does_not_affect_rest_of_batch(field):
    state = FleetStateMachine()
    valid = Claim("a", "a", "s", "k", "d", 5_000)
    malformed = Claim(
        **{**{f: getattr(valid, f) for f in valid.__struct_fields__}, field: "x" * 300}
    )
    statuses = [entry.status for entry in run(state, ClaimBatch([malformed, valid])).entries]
    assert statuses == [ClaimStatus.UNAVAILABLE, ClaimStatus.GRANTED]


def test_two_orders_do_not_drop_last_holder():
    state = FleetStateMachine()
    holders = [ModelHolders("m@1", ["u1", "u2"])]
    unload = {"kind": OrderKind.UNLOAD_MODEL, "drops": holders}
    first = issue(state, "c1", "u1", **unload)
    assert first.outcome == ACCEPTED
    assert issue(state, "c2", "u2", **unload).reason == "last_holder"
    role = {"kind": OrderKind.CHANGE_ROLE, "drops": holders, "role": "prefill"}
    assert issue(state, "c3", "u2", **role).reason == "last_holder"
    run(state, CompleteOrder(first.fencing, OrderStatus.REFUSED))
    assert issue(state, "c4", "u2", **unload).outcome == ACCEPTED


def test_order_without_fencing_waits_for_earlier_order():
    state = FleetStateMachine()
    first = issue(state, "c1")
    second = issue(state, "c2", now_ms=2_000)
    assert (second.reason, second.retry_at_unix_ms) == ("order_in_flight", 10_000)
    assert issue(state, "c2", now_ms=9_999).outcome == REFUSED
    third = issue(state, "c2", now_ms=10_000)
    assert (third.outcome, third.fencing) == (ACCEPTED, first.fencing + 1)
    assert issue(state, "c3", now_ms=10_001, checks_fencing=True).outcome == ACCEPTED


def test_order_deadline_is_limited():
    reply = issue(FleetStateMachine(), "c1", deadline_ms=1_000_000)
    assert reply.reason == "deadline_too_far"


def test_concurrent_weight_store_loads_are_limited():
    state = FleetStateMachine(StateLimits(max_concurrent_loads=2))
    fencing_tokens = [issue(state, f"c{n}", f"u{n}").fencing for n in range(2)]
    assert issue(state, "c9", "u9").reason == "weight_store_busy"
    assert issue(state, "c8", "u9", kind=OrderKind.EXPORT_CACHE).outcome == ACCEPTED
    run(state, CompleteOrder(fencing_tokens[0], OrderStatus.DONE))
    assert issue(state, "c9", "u8").outcome == ACCEPTED


def test_router_boots_stay_registered_until_removed():
    state = FleetStateMachine()
    for boot in ("b1", "b2"):
        run(state, RegisterRouter("r1", boot))
    run(state, ForgetRouter("r1", "b1"))
    assert list(state.routers_.routers_) == [("r1", "b2")]


def test_clock_never_decreases():
    state = FleetStateMachine()
    run(state, AdvanceClock(), 5_000)
    assert claim(state, "a1", deadline_ms=4_000, now_ms=1_000).status == ClaimStatus.EXPIRED
    assert state.clock_ms_ == 5_000


@pytest.mark.parametrize(
    ("entry", "reason"),
    [
        (b"", "malformed"),
        (b"\xc1\x00", "malformed"),
        (encode_command(AdvanceClock(), 2**64 - 1), "malformed"),
        (encode_command(AdvanceClock(), -1), "malformed"),
        (encode_command(AdvanceClock(), 1, version=2), "unsupported_version"),
        (encode_command(AdvanceClock(), 1, version=0), "unsupported_version"),
        (encode_command(CommandRefused("x"), 9_999), "unknown_command"),
    ],
)
def test_undecodable_commands_do_not_change_state(entry, reason):
    state = FleetStateMachine()
    before = state.digest
    assert decode_reply(state.apply(1, entry)) == CommandRefused(reason)
    assert state.digest == before


def test_adopting_unsupported_version_raises():
    state = FleetStateMachine()
    assert run(state, AdoptVersion(9)).reason == "version_skipped"
    with pytest.raises(UnsupportedVersionError):
        run(state, AdoptVersion(2))
