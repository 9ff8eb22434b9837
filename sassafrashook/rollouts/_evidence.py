"""Test whether a version answers worse than the one that it replaces."""

import math
from collections import defaultdict
from dataclasses import dataclass

__all__ = ["Verdict", "judge", "sum_totals"]

# Rates of false alarms of one test, if the new version is as bad as the reference at most. Answers
# are tested some 50 times in a rollout, but the counts of these tests share most of their answers.
MAX_FALSE_ALARMS_FAILED = 1e-4
MAX_FALSE_ALARMS_SLOW = 1e-3
SUSPICION = 0.02  # a version with a less likely count isn't given more requests
# The reference is worse than the old version by these, so that a version is not reverted for a
# small difference, such as caches that it has yet to fill.
FAILED_FACTOR, FAILED_MARGIN = 1.5, 0.03
SLOW_FACTOR, SLOW_MARGIN = 2.0, 0.1
MIN_ADVERSE = 3
# An answer is slow if it takes longer than this quantile of the old version's answers, by this
# number of buckets (a factor of 2.25).
SLOW_QUANTILE, SLOW_BUCKETS = 0.75, 2
MIN_OLD_ANSWERS = 20
MIN_UPSTREAMS_TO_LEAVE_OUT = 3
ALL_ROUTES = "*"


@dataclass(slots=True, frozen=True)
class Verdict:
    """Result of all tests on the least likely count.

    :param is_bad: whether the new version is worse.
    :param is_suspected: whether it may be worse.
    :param answers: number of answers of the new version that are evidence.
    :param figures: description of the least likely count, for the log.
    """

    is_bad: bool
    is_suspected: bool
    answers: int
    figures: str


class _Sample:
    """Answers with the same version, route and upstream."""

    __slots__ = ("bad", "durations")

    def __init__(self):
        self.bad = 0
        self.durations = defaultdict(int)

    def add(self, totals):
        self.bad += totals.bad
        for bucket, count in totals.durations:
            self.durations[bucket] += count

    def subtract(self, earlier):
        """Return the answers since an earlier sample, and the attempts without a reply."""
        recent = _Sample()
        recent.bad = self.bad - earlier.bad
        for bucket, count in self.durations.items():
            recent.durations[bucket] = count - (earlier.durations[bucket] if bucket >= 0 else 0)
        return recent

    @property
    def answers(self):
        """Number of the answers."""
        return sum(count for bucket, count in self.durations.items() if bucket >= 0)

    def count_slow(self, threshold):
        """Return the number of attempts slower than a bucket, and of those known to be or not."""
        slow = sum(
            count
            for bucket, count in self.durations.items()
            if (bucket if bucket >= 0 else -1 - bucket) > threshold
        )
        quick = sum(count for bucket, count in self.durations.items() if 0 <= bucket <= threshold)
        return slow, slow + quick


def sum_totals(totals):
    """Return the sums of totals, as :func:`judge` takes them.

    :param totals: iterable of :class:`~sassafrashook.rollouts.AttemptTotals` of all routers.
    :returns: samples of the old version by route, and of the new one by route and upstream.
    """
    old, new = defaultdict(_Sample), defaultdict(lambda: defaultdict(_Sample))
    for entry in totals:
        for route in (entry.route, ALL_ROUTES):
            sample = new[route][entry.upstream_id] if entry.is_new else old[route]
            sample.add(entry)
    return old, new


def judge(sums, earlier=None):
    """Compare the new version with the old one, on each route and over all routes.

    :param sums: result of :func:`sum_totals`.
    :param earlier: an earlier result. The answers since then are tested too, as a version that
        turns bad has good answers from before.
    :returns: a :class:`Verdict`.
    """
    old, new = sums
    answers = sum(sample.answers for sample in new[ALL_ROUTES].values()) if new else 0
    tests = [
        test
        for route, samples in new.items()
        for test in _list_tests(route, old[route], list(samples.values()))
    ]
    for route, samples in new.items() if earlier is not None else ():
        before = earlier[1][route]
        recent = [sample.subtract(before[name]) for name, sample in samples.items()]
        tests += _list_tests(f"{route}:recent", old[route], recent)
    if not tests:
        return Verdict(False, False, answers, "-")
    likelihood, alarm, figures = min(tests, key=lambda test: test[0] / test[1])
    return Verdict(likelihood < alarm, likelihood < SUSPICION, answers, figures)


def _list_tests(route, old, samples):
    """Return the tests on one route: tuples of likelihood, rate of false alarms and figures."""
    old_answers = old.answers
    failed = [(sample.bad, sample.answers) for sample in samples]
    reference = FAILED_FACTOR * old.bad / max(1, old_answers) + FAILED_MARGIN
    tests = [_test(f"{route}:failed", failed, reference, MAX_FALSE_ALARMS_FAILED)]
    if old_answers >= MIN_OLD_ANSWERS:
        threshold = _find_slow_bucket(old, old_answers)
        old_slow, old_known = old.count_slow(threshold)
        slow = [sample.count_slow(threshold) for sample in samples]
        reference = SLOW_FACTOR * old_slow / max(1, old_known) + SLOW_MARGIN
        tests.append(_test(f"{route}:slow", slow, reference, MAX_FALSE_ALARMS_SLOW))
    return tests


def _find_slow_bucket(old, answers):
    """Return the bucket above which an answer is slow."""
    covered = 0
    for bucket in sorted(bucket for bucket in old.durations if bucket >= 0):
        covered += old.durations[bucket]
        if covered >= SLOW_QUANTILE * answers:
            return bucket + SLOW_BUCKETS
    return math.inf


def _test(name, samples, reference, alarm):
    """Test the adverse answers of all upstreams but the worst one against a reference.

    :param samples: pairs of adverse answers and answers, one for each upstream.
    """
    adverse = sum(count for count, _ in samples)
    answers = sum(count for _, count in samples)
    if len(samples) >= MIN_UPSTREAMS_TO_LEAVE_OUT:
        worst = max(samples)
        adverse, answers = adverse - worst[0], answers - worst[1]
    likelihood = 1.0
    if adverse >= MIN_ADVERSE:
        likelihood = compute_binomial_tail(adverse, answers, min(reference, 0.9))
    return likelihood, alarm, f"{name}:{adverse}/{answers}:reference={reference:.3f}"


def compute_binomial_tail(least, trials, probability):
    """Return the probability of ``least`` or more successes.

    >>> round(compute_binomial_tail(2, 3, 0.5), 6)
    0.5
    """
    if least > trials:
        return 0.0 if trials else 1.0
    if least <= trials * probability:
        return 1.0
    log_term = (
        math.lgamma(trials + 1)
        - math.lgamma(least + 1)
        - math.lgamma(trials - least + 1)
        + least * math.log(probability)
        + (trials - least) * math.log1p(-probability)
    )
    term = total = math.exp(log_term)
    odds = probability / (1 - probability)
    for successes in range(least, trials):
        term *= odds * (trials - successes) / (successes + 1)
        total += term
        if term < total * 1e-9:
            break
    return min(1.0, total)
