"""Retry budgets by account and by upstream."""

from sassafrashook.base import Parametrized
from sassafrashook.interfaces import RetryPolicy
from sassafrashook.outcomes import RefusalReason, Verdict
from sassafrashook.utils import Interval

BUCKETS_MAX = 16_384  # accounts, and upstreams, tracked at most; the oldest is evicted


class TokenBucket:
    """Token bucket that is refilled per request and, more slowly, with time.

    :param request_count: number of requests so far.
    :param now: the current time, seconds.
    :ivar tokens_: tokens left; a new bucket holds one.
    :ivar updated_: seconds of the last refill.
    :ivar request_count_: number of requests at the last refill.
    """

    __slots__ = ("tokens_", "updated_", "request_count_")

    def __init__(self, request_count, now):
        self.tokens_ = 1.0
        self.updated_ = now
        self.request_count_ = request_count

    def refill(self, budgets, ratio, request_count, now):
        """Add the tokens earned since the last refill, up to ``burst``.

        :param budgets: the :class:`RetryBudgets`.
        :param ratio: tokens per request.
        :param request_count: number of requests so far.
        :param now: the current time, seconds.
        """
        added_tokens = ratio * (request_count - self.request_count_)
        added_tokens += budgets.refill_per_second * max(0.0, now - self.updated_)
        self.tokens_ = min(budgets.burst, self.tokens_ + added_tokens)
        self.updated_ = now
        self.request_count_ = request_count


class RetryBudgets(RetryPolicy, Parametrized):
    """Allows a retry only if it is safe and both its account and its upstream have budget left.

    A request that may have run is retried only if it is repeatable.

    See also :class:`PermitLedger`, which decides where a retry runs.

    :param ratio: tokens that each request adds to its account's budget.
    :param upstream_ratio: tokens that each request, of any account, adds to each upstream's budget.
    :param refill_per_second: tokens added to each budget per second, so that an account with few
        requests may retry too.
    :param burst: largest number of tokens in one budget.
    :raises ParameterError: if a parameter is outside its range.
    :ivar accounts_: the :class:`TokenBucket` of each account.
    :ivar upstreams_: the :class:`TokenBucket` of each upstream.
    :ivar request_counts_: number of requests of each account.
    :ivar request_total_: number of requests of all accounts.

    Examples
    --------
    >>> from sassafrashook.outcomes import Verdict
    >>> from sassafrashook.routing import RetryBudgets
    >>> budgets = RetryBudgets()
    >>> budgets.check_retry("shop", "e1", Verdict.NOT_RUN, repeatable=False, now=0.0)
    >>> budgets.check_retry("shop", "e1", Verdict.NOT_RUN, repeatable=False, now=0.0).value
    'retry_budget'
    >>> budgets.check_retry("shop", "e1", Verdict.RAN, repeatable=False, now=0.0).value
    'upstream_broke'
    """

    _parameter_constraints = {
        "ratio": Interval(float, 0.0, 1.0),
        "upstream_ratio": Interval(float, 0.0, 1.0),
        "refill_per_second": Interval(float, 0.0, 1_000.0),
        "burst": Interval(float, 1.0, 1_000_000.0),
    }

    def __init__(self, ratio=0.08, upstream_ratio=0.04, refill_per_second=0.01, burst=5):
        self.ratio = ratio
        self.upstream_ratio = upstream_ratio
        self.refill_per_second = refill_per_second
        self.burst = burst
        self.validate_parameters()
        self.accounts_ = {}
        self.upstreams_ = {}
        self.request_counts_ = {}
        self.request_total_ = 0

    def record_request(self, account, now):
        """Count one request towards the budgets of its account and of every upstream."""
        if account not in self.request_counts_ and len(self.request_counts_) >= BUCKETS_MAX:
            _evict_oldest(self.request_counts_)
        self.request_counts_[account] = self.request_counts_.get(account, 0) + 1
        self.request_total_ += 1

    def check_retry(self, account, upstream_id, verdict: Verdict, repeatable, now):
        """Check one retry and charge it to both budgets if allowed.

        See :meth:`sassafrashook.interfaces.RetryPolicy.check_retry`.

        :returns: the :class:`~sassafrashook.outcomes.RefusalReason`, or ``None`` if allowed.
        """
        if verdict != Verdict.NOT_RUN and not repeatable:
            return RefusalReason.UPSTREAM_BROKE
        request_count = self.request_counts_.get(account, 0)
        account_bucket = _get_or_create_bucket(self.accounts_, account, request_count, now)
        upstream_bucket = _get_or_create_bucket(
            self.upstreams_, upstream_id, self.request_total_, now
        )
        account_bucket.refill(self, self.ratio, request_count, now)
        upstream_bucket.refill(self, self.upstream_ratio, self.request_total_, now)
        if account_bucket.tokens_ < 1 or upstream_bucket.tokens_ < 1:
            return RefusalReason.RETRY_BUDGET
        account_bucket.tokens_ -= 1
        upstream_bucket.tokens_ -= 1
        return None


def _get_or_create_bucket(buckets, name, request_count, now):
    bucket = buckets.get(name)
    if bucket is None:
        if len(buckets) >= BUCKETS_MAX:
            _evict_oldest(buckets)
        bucket = buckets[name] = TokenBucket(request_count, now)
    return bucket


def _evict_oldest(mapping):
    del mapping[next(iter(mapping))]
