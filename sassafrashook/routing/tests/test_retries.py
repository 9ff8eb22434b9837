"""Retry budgets."""

from sassafrashook.outcomes import RefusalReason, Verdict
from sassafrashook.routing import RetryBudgets


def run_brown_out(budgets, requests=5_000, retries_each=3):
    """Offer requests that all fail and are all retried; return retries for each request."""
    allowed = 0
    for index in range(requests):
        now = index * 0.01
        account, upstream = f"a{index % 10}", f"e{index % 7}"
        budgets.note_request(account, now)
        for _ in range(retries_each):
            refusal = budgets.refuse_retry(account, upstream, Verdict.NOT_RUN, False, now)
            allowed += refusal is None
    return allowed / requests


def test_retries_under_a_brown_out_stay_under_a_tenth():
    assert 0.05 < run_brown_out(RetryBudgets()) < 0.1


def test_without_budgets_the_check_fails():
    assert run_brown_out(RetryBudgets(ratio=1.0, upstream_ratio=1.0)) > 0.1


def test_one_account_or_upstream_does_not_use_up_the_others():
    budgets = RetryBudgets()
    for _ in range(100):
        budgets.refuse_retry("surge", "e1", Verdict.NOT_RUN, True, 0.0)
    assert budgets.refuse_retry("calm", "e2", Verdict.NOT_RUN, True, 0.0) is None


def test_only_what_is_safe_is_retried():
    budgets = RetryBudgets()
    refuse = budgets.refuse_retry
    assert refuse("a", "e", Verdict.MAY_HAVE_RUN, False, 0.0) == RefusalReason.UPSTREAM_BROKE
    assert refuse("a", "e", Verdict.MAY_HAVE_RUN, True, 0.0) is None
