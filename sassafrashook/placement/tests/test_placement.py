"""Upstream selection of one router, and the bounds that hold for the sum over all routers."""

import random

import msgspec
import pytest
from returns.result import Failure, Success

from sassafrashook.ejection import Ejection, EjectionReason
from sassafrashook.outcomes import RefusalReason
from sassafrashook.placement import Placement, PlacementQuery, RetryBudget, SharedRateLimiter
from sassafrashook.placement._upstreams import RESTART_KNOWN_S
from sassafrashook.registry import Registration, RegistrationState
from sassafrashook.routes import Service

SERVICE = Service("advisor", 12.0)
NAMES = [f"u{number}" for number in range(9)]
ROUTERS = [f"r{number}" for number in range(7)]


def make_registration(name, boot=1, sequence=1, zone="z0", slots=96):
    host = f"10.0.0.{int(name[1:]) + 1}"
    return Registration(
        name, boot, sequence, RegistrationState.READY, "advisor", host, 80, zone, "v1", slots
    )


def make_placement(names=NAMES, router="r0", cold_until=0.0, registrations=None):
    warmup = SharedRateLimiter(router, 1.5, 5)
    warmup.set_routers(ROUTERS)
    rate_limiter = SharedRateLimiter(router, 1.5, 5, 4.0)
    rate_limiter.set_routers(ROUTERS)
    placement = Placement(warmup, rate_limiter, random.Random(router))
    registrations = registrations or [make_registration(name) for name in names]
    placement.set_registrations(
        registrations, {r.upstream_id: cold_until for r in registrations}, 0.0
    )
    return placement


def choose(placement, session_part_hash=None, now=10.0, excluded_keys=()):
    return placement.choose(
        PlacementQuery(SERVICE, session_part_hash, frozenset(excluded_keys)), now
    )


def get_name(result):
    return result.unwrap().registration.upstream_id


def test_routers_choose_same_upstream_for_session():
    for session in range(0, 10**6, 99_991):
        names = {get_name(choose(make_placement(router=r), session)) for r in ROUTERS}
        assert len(names) == 1


def test_sessions_spread_evenly_over_upstreams():
    placement = make_placement()
    rng = random.Random(1)
    counts = dict.fromkeys(NAMES, 0)
    for _ in range(9_000):
        counts[get_name(choose(placement, rng.getrandbits(64)))] += 1
    assert max(counts.values()) < 1.2 * 1_000


def test_only_sessions_of_leaving_upstream_move():
    rng = random.Random(2)
    sessions = [rng.getrandbits(64) for _ in range(2_000)]
    before, after = make_placement(), make_placement(NAMES[1:])
    moved = [s for s in sessions if get_name(choose(before, s)) != get_name(choose(after, s))]
    assert all(get_name(choose(before, s)) == NAMES[0] for s in moved)


@pytest.mark.parametrize(("slowdown", "is_failing"), [(None, True), (1.0, False)])
def test_failure_rate_decays_only_where_results_are_known_fleet_wide(slowdown, is_failing):
    """Guards against leaving out an upstream for the rest of its boot after four failures."""
    placement = make_placement()
    state = placement.upstreams_["u0"]
    state.slowdown_ = slowdown
    for _ in range(8):
        state.record_response(False)
    placement.set_remote_loads({}, 0.0)
    for _ in range(8):
        state.record_response(False)
    placement.set_remote_loads({}, 5.0)
    assert state.is_failing() == is_failing


def test_ejected_upstream_gets_trials_and_what_the_others_have_no_room_for():
    """Guards against an ejected upstream that can't come back, and against refused requests."""
    placement = make_placement(NAMES[:3])
    placement.ejections_.update([Ejection("u0", 1, EjectionReason.SLOW, 0.0, 4.0)], 1, 10.0)
    names = [get_name(choose(placement, now=10.0 + n / 100)) for n in range(99)]
    assert "u0" not in names
    query = PlacementQuery(SERVICE, allows_trial=True)
    placement.ejections_.update([Ejection("u0", 1, EjectionReason.SLOW, 0.0, 4.0)], 1, 12.0)
    assert [get_name(placement.choose(query, 12.0)) == "u0" for _ in range(3)] == [True] + 2 * [
        False
    ]
    for name in NAMES[1:3]:
        placement.upstreams_[name].running_ = 96 * 3
    assert get_name(choose(placement, now=12.1)) == "u0"


def test_hot_session_stays_within_load_bound():
    placement = make_placement()
    for _ in range(90):
        choose(placement, 7).unwrap().running_ += 1
    loads = [state.running_ for state in placement.upstreams_.values()]
    mean = sum(loads) / len(loads)
    assert max(loads) <= 2 * mean + 3


def test_load_bound_mean_includes_drained_zones():
    registrations = [
        make_registration(name, zone="out" if int(name[1:]) < 3 else "in") for name in NAMES
    ]
    placement = make_placement(registrations=registrations)
    placement.set_drained_zones({"out"})
    for number in range(180):
        choose(placement, 7 if number % 2 else number * 7_919).unwrap().running_ += 1
    loads = [state.running_ for state in placement.upstreams_.values()]
    assert max(loads) <= 2 * sum(loads) / len(loads) + 3


def test_hot_session_exceeds_load_bound_if_not_enforced():
    placement = make_placement()
    placement.load_factor, placement.load_slack = 10.0, 100.0
    for _ in range(90):
        choose(placement, 7).unwrap().running_ += 1
    loads = [state.running_ for state in placement.upstreams_.values()]
    assert max(loads) > 2 * sum(loads) / len(loads) + 3


def test_promptless_requests_go_to_least_loaded_upstream():
    placement = make_placement()
    for _ in range(90):
        choose(placement).unwrap().running_ += 1
    assert {state.running_ for state in placement.upstreams_.values()} == {10}


def test_refusal_of_full_upstreams_has_retry_delay():
    placement = make_placement()
    for state in placement.upstreams_.values():
        state.running_ = state.registration.slots
    refusal = choose(placement, 7).failure()
    assert refusal.reason is RefusalReason.NO_CAPACITY
    assert refusal.retry_after_ms > 0


def test_drained_zone_gets_no_requests():
    registrations = [
        make_registration(name, zone="out" if int(name[1:]) % 2 else "in") for name in NAMES
    ]
    placement = make_placement(registrations=registrations)
    placement.set_drained_zones({"out"})
    for session in range(200):
        assert choose(placement, session * 7_919).unwrap().registration.availability_zone == "in"


def test_excluded_upstreams_are_not_chosen():
    placement = make_placement(NAMES[:2])
    first = choose(placement, 7).unwrap()
    second = choose(placement, 7, excluded_keys=[first.key]).unwrap()
    assert first is not second
    refused = choose(placement, 7, excluded_keys=[first.key, second.key])
    assert refused.failure().reason is RefusalReason.NO_UPSTREAM


def test_only_upstreams_of_stated_software_version_are_chosen():
    registrations = [
        msgspec.structs.replace(make_registration(name), version=f"v{int(name[1:]) % 3}")
        for name in NAMES
    ]
    placement = make_placement(registrations=registrations)
    query = PlacementQuery(SERVICE, None, frozenset(), "v1")
    names = {get_name(placement.choose(query, 10.0)) for _ in range(50)}
    assert names <= {"u1", "u4", "u7"}
    assert placement.has_active_candidate(query, 10.0)
    for name in ("u1", "u4", "u7"):
        placement.record_connect_failure(placement.upstreams_[name], 9.9, 10.0, False)
    assert not placement.has_active_candidate(query, 10.0)
    gone = PlacementQuery(SERVICE, None, frozenset(), "v9")
    assert placement.choose(gone, 10.0).failure().reason is RefusalReason.NO_UPSTREAM


def test_suspended_upstream_gets_no_requests_until_probe_succeeds():
    placement = make_placement(NAMES[:1])
    state = placement.upstreams_["u0"]
    placement.record_connect_failure(state, 9.9, 10.0, False)
    assert isinstance(choose(placement, 7, now=10.1), Failure)
    assert placement.paths_.take_probe_targets(10.1) == [state]
    placement.record_probe(state, True, 10.1, 10.2)
    assert isinstance(choose(placement, 7, now=10.3), Success)


def test_upstream_on_probation_is_rate_limited_until_next_registration():
    placement = make_placement(NAMES[:1])
    state = placement.upstreams_["u0"]
    placement.record_connect_failure(state, 9.9, 10.0, False)
    placement.record_probe(state, True, 10.1, 10.2)
    taken = [isinstance(choose(placement, 7, 10.3 + n * 0.01), Success) for n in range(50)]
    assert sum(taken) == 1
    placement.set_registrations([make_registration("u0", sequence=2)], {"u0": 0.0}, 10.9)
    assert isinstance(choose(placement, 7, 10.9), Success)
    assert isinstance(choose(placement, 7, 10.9), Success)


@pytest.mark.parametrize("routers", [5, 70, 300])
def test_every_router_sends_requests_to_upstream_that_has_not_restarted_while_out_of_reach(routers):
    names = [f"r{number}" for number in range(routers)]
    for name in names:
        placement = make_placement(NAMES[:1], router=name)
        placement.warmup.set_routers(names)
        state = placement.upstreams_["u0"]
        placement.record_connect_failure(state, 9.9, 10.0, True)
        placement.record_probe(state, True, 14.9, 15.0)
        assert isinstance(choose(placement, 7, now=10.0 + RESTART_KNOWN_S + 5.0), Success)


def test_new_boot_resets_upstream_state():
    placement = make_placement(NAMES[:1])
    placement.upstreams_["u0"].running_ = 5
    gone = placement.set_registrations([make_registration("u0", boot=2)], {"u0": 0.0}, 11.0)
    assert gone == [("u0", 1)]
    assert placement.upstreams_["u0"].running_ == 0


def test_cold_upstream_rate_limit_holds_over_all_routers():
    placements = [make_placement(["u0"], r, cold_until=100.0) for r in ROUTERS]
    sent = []
    for step in range(3_000):
        now = 10.0 + step / 1_000
        if isinstance(choose(placements[step % 7], 7, now), Success):
            sent.append(now)
    bound = SERVICE.cold_rate_per_s * 1.5 + 5
    assert max(sum(now <= at < now + 1 for at in sent) for now in sent) <= bound
    assert len(sent) >= 3 * SERVICE.cold_rate_per_s * 0.8


@pytest.mark.parametrize("routers", [1, 7, 76, 300])
def test_warmup_bound_holds_for_any_number_of_routers(routers):
    names = [f"r{number}" for number in range(routers)]
    sent = []
    for name in names:
        limiter = SharedRateLimiter(name, 1.5, 5)
        limiter.set_routers(names)
        sent += [step / 50 for step in range(150) if limiter.try_acquire("u0", 12.0, step / 50)]
    assert max(sum(now <= at < now + 1 for at in sent) for now in sent) <= 12 * 1.5 + 5
    assert len(sent) >= 12


def test_no_cold_requests_before_routers_are_known():
    assert not SharedRateLimiter("r0", 1.5, 5).try_acquire("u0", 12.0, 0.0)


def test_large_fleet_respects_warmup_bound_for_upstream_on_probation():
    names = [f"r{number}" for number in range(76)]
    sent = 0
    for name in names:
        placement = make_placement(["u0"], name)
        placement.warmup.set_routers(names)
        placement.record_connect_failure(placement.upstreams_["u0"], 9.9, 10.0, False)
        placement.record_probe(placement.upstreams_["u0"], True, 9.9, 10.0)
        taken = [isinstance(choose(placement, 7, 10.0 + n / 50), Success) for n in range(50)]
        sent += sum(taken)
    assert 0 < sent <= SERVICE.cold_rate_per_s * 1.5 + 5


def test_recalled_upstream_gets_no_requests_after_expiry():
    registration = msgspec.structs.replace(
        make_registration("u0"), state=RegistrationState.RECALLED
    )
    placement = make_placement(registrations=[registration], cold_until=12.4)
    assert isinstance(choose(placement, 7, 11.0), Success)
    assert choose(placement, 7, 12.5).failure().reason is RefusalReason.NO_UPSTREAM


def test_restored_zone_is_presumed_cold():
    placement = make_placement(["u0"])
    placement.presume_zone_cold("z0", until=13.0)
    taken = [isinstance(choose(placement, 7, 10.0 + n * 0.01), Success) for n in range(50)]
    assert sum(taken) < 5


def test_retries_of_all_routers_stay_within_fleet_budget():
    budgets = [RetryBudget(0.2, 52, 10.0) for _ in ROUTERS]
    requests, retries = [], []
    rng = random.Random(3)
    for step in range(40_000):
        now = step / 1_000
        budget = rng.choice(budgets)
        budget.record_request(now)
        requests.append(now)
        if budget.try_consume(len(ROUTERS), now):
            retries.append(now)
    for end in range(10, 40):
        spent = sum(end - 10 <= at < end for at in retries)
        assert spent <= 0.2 * sum(end - 10 <= at < end for at in requests) + 52
    assert len(retries) > 0.1 * len(requests)


def record_placement(placement, name, part, now=10.0):
    query = PlacementQuery(SERVICE, part)
    placement.record_placement(query, placement.upstreams_[name], now)


def find_prompt_source(placement, name, part, now=20.0):
    source = placement.find_prompt_source(
        PlacementQuery(SERVICE, part), placement.upstreams_[name], now
    )
    return source.registration.upstream_id if source is not None else None


def test_source_is_most_recent_holder():
    placement = make_placement()
    record_placement(placement, "u3", 7)
    record_placement(placement, "u4", 7, 11.0)
    assert find_prompt_source(placement, "u5", 7) == "u4"
    assert find_prompt_source(placement, "u3", 7) is None


def test_holders_announced_by_other_routers_are_sources():
    first, second = make_placement(router="r0"), make_placement(router="r1")
    record_placement(first, "u3", 7)
    second.record_remote_cached_parts(first.take_new_cached_parts(), 10.5)
    assert find_prompt_source(second, "u5", 7) == "u3"
    assert first.take_new_cached_parts() == []


def test_use_by_one_router_keeps_holder_known_to_others():
    first, second, third = (make_placement(router=r) for r in ROUTERS[:3])
    record_placement(first, "u3", 7, 10.0)
    announced = first.take_new_cached_parts()
    second.record_remote_cached_parts(announced, 10.2)
    third.record_remote_cached_parts(announced, 10.2)
    for now in (20.0, 29.0, 38.0):
        record_placement(second, "u3", 7, now)
        third.record_remote_cached_parts(second.take_new_cached_parts(), now + 0.2)
    assert find_prompt_source(third, "u5", 7, 42.0) == "u3"


def test_leaving_holder_is_source_until_it_stops():
    placement = make_placement()
    record_placement(placement, "u3", 7)
    rest = [make_registration(name) for name in NAMES if name != "u3"]
    leaving = [(make_registration("u3"), 13.0)]
    placement.set_registrations(rest, dict.fromkeys(NAMES, 0.0), 11.0, leaving)
    assert find_prompt_source(placement, "u5", 7, 12.0) == "u3"
    assert find_prompt_source(placement, "u5", 7, 13.0) != "u3"


def test_default_source_is_first_other_upstream_in_session_order():
    placement = make_placement()
    first = get_name(choose(placement, 7))
    second = get_name(choose(placement, 7, excluded_keys=[(first, 1)]))
    others = [name for name in NAMES if name != first]
    assert {find_prompt_source(placement, other, 7) for other in others} == {first}
    assert find_prompt_source(placement, first, 7) == second


def list_order(placement, session_part_hash):
    """Return the names of all upstreams in a session's order of preference."""
    order = []
    while len(order) < len(NAMES):
        order.append(
            get_name(
                choose(placement, session_part_hash, excluded_keys=[(name, 1) for name in order])
            )
        )
    return order


def test_session_stays_at_second_upstream_that_holds_its_part():
    placement = make_placement()
    _, second, *_ = list_order(placement, 7)
    record_placement(placement, second, 7)
    assert get_name(choose(placement, 7, 11.0)) == second


def test_session_returns_from_third_upstream_and_copies_its_part():
    placement = make_placement()
    first, _, third, *_ = list_order(placement, 7)
    record_placement(placement, third, 7)
    assert get_name(choose(placement, 7, 11.0)) == first
    assert find_prompt_source(placement, first, 7, 11.0) == third


def test_holder_of_other_part_does_not_affect_source():
    placement = make_placement()
    first, second, *_ = list_order(placement, 7)
    record_placement(placement, first, 99)
    query = PlacementQuery(SERVICE, 7)
    assert placement.find_prompt_source(query, placement.upstreams_[first], 20.0).key == (second, 1)


def choose_for_version(placement, now=10.0):
    return placement.choose(PlacementQuery(SERVICE, 7, software_version="v1"), now)


def test_stream_does_not_go_on_at_upstream_that_may_have_restarted_with_another_version():
    placement = make_placement(names=NAMES[:1])
    (state,) = placement.upstreams_.values()
    placement.record_connect_failure(state, 4.9, 5.0, False)
    placement.record_probe(state, True, 6.9, 7.0)
    state.record_response(True)
    # Elapsed time proves nothing: no registration of the new boot may have arrived.
    for now in (5.0 + RESTART_KNOWN_S, 600.0):
        refusal = choose_for_version(placement, now).failure()
        # A router that reaches no upstream itself then asks another router.
        assert (refusal.reason, refusal.candidates) == (RefusalReason.NO_UPSTREAM, 1)
    assert isinstance(choose(placement, 7, now=600.0), Success)
    placement.set_registrations([make_registration("u0", sequence=2)], {"u0": 0.0}, 601.0)
    assert isinstance(choose_for_version(placement, 601.0), Success)


def test_stream_does_not_go_on_at_upstream_that_is_known_from_saved_state_only():
    recalled = msgspec.structs.replace(
        make_registration(NAMES[0]), state=RegistrationState.RECALLED
    )
    placement = make_placement(registrations=[recalled], cold_until=20.0)
    assert isinstance(choose_for_version(placement), Failure)


@pytest.mark.parametrize("upstreams", [5, 70, 300])
@pytest.mark.parametrize("session_part_hash", [None, 7])
def test_router_that_reaches_one_upstream_keeps_it_within_load_bound(upstreams, session_part_hash):
    names = [f"u{number}" for number in range(upstreams)]
    placement = make_placement(registrations=[make_registration(name, slots=8) for name in names])
    placement.set_remote_loads(dict.fromkeys(names[1:], 4), 10.0)
    for name in names[1:]:
        placement.record_connect_failure(placement.upstreams_[name], 9.9, 10.0, False)
    reached = placement.upstreams_["u0"]
    reached.path.record_connection(10.0)
    query = PlacementQuery(SERVICE, session_part_hash, keeps_load_bound=True)
    results = []
    for _ in range(20):
        results.append(placement.choose(query, 10.1))
        reached.running_ += isinstance(results[-1], Success)
    refusal = results[-1].failure()
    assert reached.running_ == 8
    assert (refusal.suspended, refusal.is_local) == (upstreams - 1, True)
    assert refusal.full + refusal.over_bound == 1


def test_load_bound_does_not_refuse_requests_while_all_upstreams_are_reached():
    placement = make_placement(registrations=[make_registration("u0", slots=8)])
    query = PlacementQuery(SERVICE, None, keeps_load_bound=True)
    placement.upstreams_["u0"].running_ = 9
    assert isinstance(placement.choose(query, 10.0), Success)
