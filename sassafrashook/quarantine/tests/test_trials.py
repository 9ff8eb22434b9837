"""Tests of the gradual admission of suspected requests."""

from sassafrashook.quarantine import compute_trial_delay_s
from sassafrashook.quarantine._trials import TRIAL_STAGE_S

ROUTERS = [f"r{n}" for n in range(64)]


def test_number_of_admitting_routers_doubles_in_each_stage():
    delays_s = [compute_trial_delay_s(7, router, ROUTERS) for router in ROUTERS]
    for stage in range(7):
        assert sum(delay_s <= stage * TRIAL_STAGE_S for delay_s in delays_s) == 2**stage


def test_router_that_knows_no_others_admits_at_once():
    assert compute_trial_delay_s(7, "r1", ()) == 0.0
