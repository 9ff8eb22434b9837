"""Placement from one router's view, and the bounds that hold for the sum of all routers."""

import random

import msgspec
import pytest
from returns.result import Failure, Success

from sassafrashook.outcomes import RefusalReason
from sassafrashook.placement import Placement, PlacementQuery, RetryBudget, WarmupShares
from sassafrashook.registry import Registration, RegistrationState
from sassafrashook.routes import Service

SERVICE = Service("advisor", 12.0)
NAMES = [f"u{number}" for number in range(9)]
ROUTERS = [f"r{number}" for number in range(7)]


def make_entry(name, boot=1, sequence=1, zone="z0", slots=96):
    host = f"10.0.0.{int(name[1:]) + 1}"
    return Registration(
        name, boot, sequence, RegistrationState.READY, "advisor", host, 80, zone, "v1", slots
    )


def make_placement(names=NAMES, router="r0", cold_until=0.0, entries=None):
    warmup = WarmupShares(router, 1.5, 5)
    warmup.set_routers(ROUTERS)
    placement = Placement(warmup, random.Random(router))
    entries = entries or [make_entry(name) for name in names]
    placement.set_registrations(entries, {e.upstream_id: cold_until for e in entries}, 0.0)
    return placement


def choose(placement, session=None, now=10.0, excluded=()):
    return placement.choose(PlacementQuery(SERVICE, session, frozenset(excluded)), now)


def name_of(result):
    return result.unwrap().entry.upstream_id


def test_routers_choose_alike_for_a_session():
    for session in range(0, 10**6, 99_991):
        names = {name_of(choose(make_placement(router=r), session)) for r in ROUTERS}
        assert len(names) == 1


def test_sessions_spread_over_upstreams():
    placement = make_placement()
    rng = random.Random(1)
    counts = dict.fromkeys(NAMES, 0)
    for _ in range(9_000):
        counts[name_of(choose(placement, rng.getrandbits(64)))] += 1
    assert max(counts.values()) < 1.2 * 1_000


def test_few_sessions_move_when_an_upstream_leaves():
    rng = random.Random(2)
    sessions = [rng.getrandbits(64) for _ in range(2_000)]
    before, after = make_placement(), make_placement(NAMES[1:])
    moved = [s for s in sessions if name_of(choose(before, s)) != name_of(choose(after, s))]
    assert all(name_of(choose(before, s)) == NAMES[0] for s in moved)


def test_a_hot_session_stays_within_the_load_bound():
    placement = make_placement()
    for _ in range(90):
        choose(placement, 7).unwrap().running_ += 1
    loads = [state.running_ for state in placement.upstreams_.values()]
    mean = sum(loads) / len(loads)
    assert max(loads) <= 2 * mean + 3


def test_upstreams_of_drained_zones_count_in_the_mean_of_the_load_bound():
    entries = [make_entry(name, zone="out" if int(name[1:]) < 3 else "in") for name in NAMES]
    placement = make_placement(entries=entries)
    placement.set_drained_zones({"out"})
    for number in range(180):
        choose(placement, 7 if number % 2 else number * 7_919).unwrap().running_ += 1
    loads = [state.running_ for state in placement.upstreams_.values()]
    assert max(loads) <= 2 * sum(loads) / len(loads) + 3


def test_without_the_bound_a_hot_session_exceeds_it():
    placement = make_placement()
    placement.load_factor, placement.load_slack = 10.0, 100.0
    for _ in range(90):
        choose(placement, 7).unwrap().running_ += 1
    loads = [state.running_ for state in placement.upstreams_.values()]
    assert max(loads) > 2 * sum(loads) / len(loads) + 3


def test_calls_without_a_prompt_go_where_the_load_is_least():
    placement = make_placement()
    for _ in range(90):
        choose(placement).unwrap().running_ += 1
    assert {state.running_ for state in placement.upstreams_.values()} == {10}


def test_full_upstreams_refuse_with_a_time_to_come_back():
    placement = make_placement()
    for state in placement.upstreams_.values():
        state.running_ = state.entry.slots
    refusal = choose(placement, 7).failure()
    assert refusal.reason is RefusalReason.NO_CAPACITY
    assert refusal.retry_after_ms > 0


def test_a_drained_zone_gets_nothing():
    entries = [make_entry(name, zone="out" if int(name[1:]) % 2 else "in") for name in NAMES]
    placement = make_placement(entries=entries)
    placement.set_drained_zones({"out"})
    for session in range(200):
        assert choose(placement, session * 7_919).unwrap().entry.availability_zone == "in"


def test_tried_upstreams_are_left_out():
    placement = make_placement(NAMES[:2])
    first = choose(placement, 7).unwrap()
    second = choose(placement, 7, excluded=[first.key]).unwrap()
    assert first is not second
    refused = choose(placement, 7, excluded=[first.key, second.key])
    assert refused.failure().reason is RefusalReason.NO_UPSTREAM


def test_a_suspended_upstream_gets_nothing_until_a_trial_succeeds():
    placement = make_placement(NAMES[:1])
    state = placement.upstreams_["u0"]
    state.note_unreachable(10.0)
    assert isinstance(choose(placement, 7, now=10.1), Failure)
    assert placement.list_trials(10.1) == [state]
    state.note_trial(True, 10.2)
    assert isinstance(choose(placement, 7, now=10.3), Success)


def test_one_that_was_down_gets_a_trickle_until_it_is_heard_of():
    placement = make_placement(NAMES[:1])
    state = placement.upstreams_["u0"]
    state.note_unreachable(10.0)
    state.note_trial(True, 10.2)
    taken = [isinstance(choose(placement, 7, 10.3 + n * 0.01), Success) for n in range(50)]
    assert sum(taken) == 1
    placement.set_registrations([make_entry("u0", sequence=2)], {"u0": 0.0}, 10.9)
    assert isinstance(choose(placement, 7, 10.9), Success)
    assert isinstance(choose(placement, 7, 10.9), Success)


def test_a_new_boot_is_another_upstream():
    placement = make_placement(NAMES[:1])
    placement.upstreams_["u0"].running_ = 5
    gone = placement.set_registrations([make_entry("u0", boot=2)], {"u0": 0.0}, 11.0)
    assert gone == [("u0", 1)]
    assert placement.upstreams_["u0"].running_ == 0


def test_all_routers_together_keep_to_what_a_cold_upstream_bears():
    placements = [make_placement(["u0"], r, cold_until=100.0) for r in ROUTERS]
    sent = []
    for step in range(3_000):
        now = 10.0 + step / 1_000
        if isinstance(choose(placements[step % 7], 7, now), Success):
            sent.append(now)
    bound = SERVICE.cold_per_s * 1.5 + 5
    assert max(sum(now <= at < now + 1 for at in sent) for now in sent) <= bound
    assert len(sent) >= 3 * SERVICE.cold_per_s * 0.8


@pytest.mark.parametrize("routers", [1, 7, 76, 300])
def test_shares_of_a_cold_upstream_keep_the_bound_at_any_size(routers):
    names = [f"r{number}" for number in range(routers)]
    sent = []
    for name in names:
        shares = WarmupShares(name, 1.5, 5)
        shares.set_routers(names)
        sent += [step / 50 for step in range(150) if shares.take("u0", 12.0, step / 50)]
    assert max(sum(now <= at < now + 1 for at in sent) for now in sent) <= 12 * 1.5 + 5
    assert len(sent) >= 12


def test_a_router_that_knows_of_no_routers_sends_nothing_cold():
    assert not WarmupShares("r0", 1.5, 5).take("u0", 12.0, 0.0)


def test_routers_of_a_large_fleet_try_a_distrusted_upstream_within_its_cold_bound():
    names = [f"r{number}" for number in range(76)]
    sent = 0
    for name in names:
        placement = make_placement(["u0"], name)
        placement.warmup.set_routers(names)
        placement.upstreams_["u0"].distrusted_ = True
        taken = [isinstance(choose(placement, 7, 10.0 + n / 50), Success) for n in range(50)]
        sent += sum(taken)
    assert 0 < sent <= SERVICE.cold_per_s * 1.5 + 5


def test_a_recalled_upstream_gets_nothing_after_its_time():
    entry = msgspec.structs.replace(make_entry("u0"), state=RegistrationState.RECALLED)
    placement = make_placement(entries=[entry], cold_until=12.4)
    assert isinstance(choose(placement, 7, 11.0), Success)
    assert choose(placement, 7, 12.5).failure().reason is RefusalReason.NO_UPSTREAM


def test_a_zone_that_returns_is_presumed_cold():
    placement = make_placement(["u0"])
    placement.make_cold("z0", until=13.0)
    taken = [isinstance(choose(placement, 7, 10.0 + n * 0.01), Success) for n in range(50)]
    assert sum(taken) < 5


def test_retries_of_all_routers_stay_within_the_budget():
    budgets = [RetryBudget(0.2, 52, 10.0) for _ in ROUTERS]
    requests, retries = [], []
    rng = random.Random(3)
    for step in range(40_000):
        now = step / 1_000
        budget = rng.choice(budgets)
        budget.note_request(now)
        requests.append(now)
        if budget.spend(len(ROUTERS), now):
            retries.append(now)
    for end in range(10, 40):
        spent = sum(end - 10 <= at < end for at in retries)
        assert spent <= 0.2 * sum(end - 10 <= at < end for at in requests) + 52
    assert len(retries) > 0.1 * len(requests)


def note(placement, name, part, now=10.0):
    query = PlacementQuery(SERVICE, part)
    placement.note_begun(query, placement.upstreams_[name], now)


def find_source(placement, name, part, now=20.0):
    source = placement.find_source(PlacementQuery(SERVICE, part), placement.upstreams_[name], now)
    return source.entry.upstream_id if source is not None else None


def test_a_part_is_copied_from_its_latest_holder():
    placement = make_placement()
    note(placement, "u3", 7)
    note(placement, "u4", 7, 11.0)
    assert find_source(placement, "u5", 7) == "u4"
    assert find_source(placement, "u3", 7) is None


def test_holders_are_learnt_from_other_routers():
    first, second = make_placement(router="r0"), make_placement(router="r1")
    note(first, "u3", 7)
    second.note_placed(first.take_placed(), 10.5)
    assert find_source(second, "u5", 7) == "u3"
    assert first.take_placed() == []


def test_use_by_any_router_keeps_a_holder_known_to_all():
    first, second, third = (make_placement(router=r) for r in ROUTERS[:3])
    note(first, "u3", 7, 10.0)
    told = first.take_placed()
    second.note_placed(told, 10.2)
    third.note_placed(told, 10.2)
    for now in (20.0, 29.0, 38.0):
        note(second, "u3", 7, now)
        third.note_placed(second.take_placed(), now + 0.2)
    assert find_source(third, "u5", 7, 42.0) == "u3"


def test_a_leaving_holder_is_a_source():
    placement = make_placement()
    note(placement, "u3", 7)
    rest = [make_entry(name) for name in NAMES if name != "u3"]
    leaving = [(make_entry("u3"), 13.0)]
    placement.set_registrations(rest, dict.fromkeys(NAMES, 0.0), 11.0, leaving)
    assert find_source(placement, "u5", 7, 12.0) == "u3"
    assert find_source(placement, "u5", 7, 13.0) != "u3"


def test_without_knowledge_the_first_others_in_the_sessions_order_are_sources():
    placement = make_placement()
    first = name_of(choose(placement, 7))
    second = name_of(choose(placement, 7, excluded=[(first, 1)]))
    others = [name for name in NAMES if name != first]
    assert {find_source(placement, other, 7) for other in others} == {first}
    assert find_source(placement, first, 7) == second


def list_order(placement, session):
    """Return the names of all upstreams in a session's order."""
    order = []
    while len(order) < len(NAMES):
        order.append(name_of(choose(placement, session, excluded=[(name, 1) for name in order])))
    return order


def test_a_session_stays_with_the_second_upstream_of_its_order():
    placement = make_placement()
    _, second, *_ = list_order(placement, 7)
    note(placement, second, 7)
    assert name_of(choose(placement, 7, 11.0)) == second


def test_a_session_returns_from_a_later_one_which_is_the_source():
    placement = make_placement()
    first, _, third, *_ = list_order(placement, 7)
    note(placement, third, 7)
    assert name_of(choose(placement, 7, 11.0)) == first
    assert find_source(placement, first, 7, 11.0) == third


def test_another_part_of_an_upstream_says_nothing_of_a_sessions_source():
    placement = make_placement()
    first, second, *_ = list_order(placement, 7)
    note(placement, first, 99)
    query = PlacementQuery(SERVICE, 7)
    assert placement.find_source(query, placement.upstreams_[first], 20.0).key == (second, 1)
