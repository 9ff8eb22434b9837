"""Tests of retry budgets."""

from sassafrashook.outcomes import RefusalReason, Verdict
from sassafrashook.routing import RetryBudgets


def measure_retry_ratio(budgets, requests=5_000, retries_per_request=3):
    """Return allowed retries per request when all requests fail and are retried."""
    allowed = 0
    for index in range(requests):
        now = index * 0.01
        account, upstream = f"a{index % 10}", f"e{index % 7}"
        budgets.note_request(account, now)
        for _ in range(retries_per_request):
            reason = budgets.check_retry(account, upstream, Verdict.NOT_RUN, False, now)
            allowed += reason is None
    return allowed / requests


def test_retries_stay_under_a_tenth_when_all_requests_fail():
    assert 0.05 < measure_retry_ratio(RetryBudgets()) < 0.1


def test_retries_exceed_a_tenth_without_budgets():
    assert measure_retry_ratio(RetryBudgets(ratio=1.0, upstream_ratio=1.0)) > 0.1


def test_budgets_of_accounts_and_upstreams_are_separate():
    budgets = RetryBudgets()
    for _ in range(100):
        budgets.check_retry("overloading", "e1", Verdict.NOT_RUN, True, 0.0)
    assert budgets.check_retry("light", "e2", Verdict.NOT_RUN, True, 0.0) is None


def test_only_safe_requests_are_retried():
    budgets = RetryBudgets()
    refuse = budgets.check_retry
    assert refuse("a", "e", Verdict.MAY_HAVE_RUN, False, 0.0) == RefusalReason.UPSTREAM_BROKE
    assert refuse("a", "e", Verdict.MAY_HAVE_RUN, True, 0.0) is None
