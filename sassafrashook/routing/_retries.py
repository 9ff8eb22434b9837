"""Budgets for retries, by account and by upstream."""

from sassafrashook.base import Parametrized
from sassafrashook.gateways import RetryRules
from sassafrashook.outcomes import RefusalReason, Verdict
from sassafrashook.utils import Interval

NAMES_MAX = 16_384


class TokenBucket:
    """Tokens that flow in with offered requests, and slowly with time.

    Attributes
    ----------
    tokens_ : tokens left; a new bucket holds one.
    updated_ : seconds of the last refill.
    offered_ : offered requests at the last refill.
    """

    __slots__ = ("tokens_", "updated_", "offered_")

    def __init__(self, offered, now):
        self.tokens_ = 1.0
        self.updated_ = now
        self.offered_ = offered

    def refill(self, rules, ratio, offered, now):
        """Add what flowed in since the last refill.

        :param rules: the :class:`RetryBudgets`.
        :param ratio: tokens for each offered request.
        :param offered: requests offered so far.
        """
        gained = ratio * (offered - self.offered_)
        gained += rules.floor_per_second * max(0.0, now - self.updated_)
        self.tokens_ = min(rules.burst, self.tokens_ + gained)
        self.updated_ = now
        self.offered_ = offered


class RetryBudgets(RetryRules, Parametrized):
    """Allows a retry only if it is safe and both its account and its upstream have budget left.

    :param ratio: tokens that each offered request adds to its account's budget.
    :param upstream_ratio: tokens that each offered request, of any account, adds to each
        upstream's budget.
    :param floor_per_second: tokens that flow in with time, so that rare requests may be retried.
    :param burst: most tokens of one budget.

    Attributes
    ----------
    accounts_ : a :class:`TokenBucket` for each account.
    upstreams_ : a :class:`TokenBucket` for each upstream.

    :raises ParameterError: if a parameter is outside its range.

    See Also
    --------
    PermitLedger : decides where a retry runs.

    Examples
    --------
    >>> from sassafrashook.outcomes import Verdict
    >>> from sassafrashook.routing import RetryBudgets
    >>> budgets = RetryBudgets()
    >>> budgets.refuse_retry("shop", "e1", Verdict.NOT_RUN, repeatable=False, now=0.0)
    >>> budgets.refuse_retry("shop", "e1", Verdict.NOT_RUN, repeatable=False, now=0.0).value
    'retry_budget'
    >>> budgets.refuse_retry("shop", "e1", Verdict.RAN, repeatable=False, now=0.0).value
    'upstream_broke'
    """

    _parameter_constraints = {
        "ratio": Interval(float, 0.0, 1.0),
        "upstream_ratio": Interval(float, 0.0, 1.0),
        "floor_per_second": Interval(float, 0.0, 1_000.0),
        "burst": Interval(float, 1.0, 1_000_000.0),
    }

    def __init__(self, ratio=0.08, upstream_ratio=0.04, floor_per_second=0.01, burst=5):
        self.ratio = ratio
        self.upstream_ratio = upstream_ratio
        self.floor_per_second = floor_per_second
        self.burst = burst
        self.validate_parameters()
        self.accounts_ = {}
        self.upstreams_ = {}
        self.offered_ = {}
        self.offered_total_ = 0

    def note_request(self, account, now):
        """Count one offered request towards its account's budget and the upstreams'."""
        if account not in self.offered_ and len(self.offered_) >= NAMES_MAX:
            _drop_oldest(self.offered_)
        self.offered_[account] = self.offered_.get(account, 0) + 1
        self.offered_total_ += 1

    def refuse_retry(self, account, upstream_id, verdict: Verdict, repeatable, now):
        """Decide on one retry; see :class:`~sassafrashook.gateways.RetryRules`."""
        if verdict != Verdict.NOT_RUN and not repeatable:
            return RefusalReason.UPSTREAM_BROKE
        offered = self.offered_.get(account, 0)
        by_account = _find_bucket(self.accounts_, account, offered, now)
        by_upstream = _find_bucket(self.upstreams_, upstream_id, self.offered_total_, now)
        by_account.refill(self, self.ratio, offered, now)
        by_upstream.refill(self, self.upstream_ratio, self.offered_total_, now)
        if by_account.tokens_ < 1 or by_upstream.tokens_ < 1:
            return RefusalReason.RETRY_BUDGET
        by_account.tokens_ -= 1
        by_upstream.tokens_ -= 1
        return None


def _find_bucket(buckets, name, offered, now):
    bucket = buckets.get(name)
    if bucket is None:
        if len(buckets) >= NAMES_MAX:
            _drop_oldest(buckets)
        bucket = buckets[name] = TokenBucket(offered, now)
    return bucket


def _drop_oldest(mapping):
    del mapping[next(iter(mapping))]
