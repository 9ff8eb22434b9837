"""Comparison of the results of a service's upstreams at a controller."""

import math
from dataclasses import dataclass, field

from sassafrashook.ejection._results import LOG_SCALE, Ejection, EjectionReason, UpstreamResults

# Evidence counts half after this time. A shorter one leaves too few results of an upstream with a
# few requests a second to tell 45 in 100 from its peers; a longer one delays the return.
HALF_LIFE_S = 5.0
# An upstream is ejected if the lower bound of its failure share exceeds the upper bound of its
# peers' by this margin. A general failure share of up to 5 in 100 alone ejects nothing.
MIN_EXCESS = 0.05
# Width of the bounds, in standard deviations: wide to eject, since all upstreams are compared
# several times a second, and one to keep ejected, since trials are few. With 3.0, a sound one of 70
# upstreams that all fail 5 in 100 was ejected in 3 of 12 runs of 20 s.
EJECT_DEVIATIONS = 3.5
KEEP_DEVIATIONS = 1.0
# Multiples of the peers' mean (geometric) response time. Engines of one service differ by up to
# 2.5 for less than a second because of the load of their hosts.
EJECT_SLOWNESS = 3.0
KEEP_SLOWNESS = 2.0
MIN_TIMED = 8.0  # measured times, with decay, that a comparison of times needs
MIN_LOG_VARIANCE = 0.1  # lower bound of the variance of the logarithms of response times
# Share of a service's upstreams that may be ejected at once; the others must bear their load. Of
# two or three upstreams, one may be.
MAX_EJECTED_SHARE = 1 / 3
MIN_ROUTERS = 2  # routers that must have reported failures, or times, of an ejected upstream
# Weight to which the evidence of an upstream is reduced at its ejection, so that the results of
# trials soon outweigh it.
EJECTED_WEIGHT = 8.0
MIN_KEEP_WEIGHT = 1.0  # with less evidence left, an ejection ends
MIN_WEIGHT = 0.05  # evidence below this is removed
MAX_BOOTS = 10_000  # boots with evidence; others are left out
ROUTERS_TTL_S = 10.0  # time for which a router counts as having reported


@dataclass(slots=True)
class _Evidence:
    """Decayed results of one boot.

    :ivar failed_routers: latest time and number of routers with failures, by origin of the results.
    :ivar timed_routers: the same for routers with measured times.
    """

    updated_at: float
    succeeded: float = 0.0
    failed: float = 0.0
    timed: float = 0.0
    log_sum: float = 0.0
    log_square_sum: float = 0.0
    failed_routers: dict = field(default_factory=dict)
    timed_routers: dict = field(default_factory=dict)

    @property
    def weight(self):
        """Number of responses, with decay."""
        return self.succeeded + self.failed

    def decay(self, now):
        """Reduce the evidence by its age."""
        self.scale(0.5 ** ((now - self.updated_at) / HALF_LIFE_S))
        self.updated_at = now

    def scale(self, factor):
        """Multiply all sums by a factor."""
        self.succeeded *= factor
        self.failed *= factor
        self.timed *= factor
        self.log_sum *= factor
        self.log_square_sum *= factor

    def add(self, other):
        """Add results; ``other`` is an :class:`_Evidence` or an :class:`UpstreamResults`."""
        self.succeeded += other.succeeded
        self.failed += other.failed
        self.timed += other.timed
        self.log_sum += other.log_sum
        self.log_square_sum += other.log_square_sum

    def subtract(self, other):
        """Subtract evidence that was added before."""
        self.succeeded = max(0.0, self.succeeded - other.succeeded)
        self.failed = max(0.0, self.failed - other.failed)
        self.timed = max(0.0, self.timed - other.timed)
        self.log_sum -= other.log_sum
        self.log_square_sum -= other.log_square_sum

    def compute_failure_bounds(self, deviations):
        """Return the Wilson score bounds of the failure share."""
        total, square = self.weight, deviations * deviations
        if total <= 0:
            return 0.0, 1.0
        share = self.failed / total
        center = share + square / (2 * total)
        spread = deviations * math.sqrt(share * (1 - share) / total + square / (4 * total * total))
        divisor = 1 + square / total
        return (center - spread) / divisor, (center + spread) / divisor

    def compute_log_mean(self):
        """Return the mean of the logarithms of the measured times in milliseconds."""
        return self.log_sum / self.timed / LOG_SCALE

    def compute_log_variance(self):
        """Return the variance of the logarithms of the measured times."""
        mean_square = self.log_square_sum / self.timed / LOG_SCALE
        return max(MIN_LOG_VARIANCE, mean_square - self.compute_log_mean() ** 2)


class OutlierDetector:
    """Collects results of all routers, and decides which upstreams are ejected.

    An upstream is compared with the other upstreams of its service that are not ejected, so that
    nothing is ejected while all fail alike. Every controller decides for its own routers, from the
    results of all.

    :ivar ejections_: :class:`Ejection` by key of the upstream's boot.

    >>> detector = OutlierDetector()
    >>> for router in ("r1", "r2"):
    ...     for name in "abc":
    ...         failed = 10 if name == "a" else 0
    ...         results = UpstreamResults(name, 1, 10 - failed, failed)
    ...         detector.record_router(router, [results], now=0.0)
    >>> new, _ = detector.update({"s": [("a", 1), ("b", 1), ("c", 1)]}, now=0.2)
    >>> [ejection.upstream_id for ejection, _ in new]
    ['a']
    """

    def __init__(self):
        self.ejections_ = {}
        self._evidence = {}
        self._unshared = {}

    def record_router(self, name, results, now):
        """Add the results that one of the controller's own routers reported.

        :param results: iterable of :class:`~sassafrashook.ejection.UpstreamResults`.
        """
        for item in results:
            self._add(name, item, now)
            if item.key in self._unshared or len(self._unshared) < MAX_BOOTS:
                self._unshared.setdefault(item.key, []).append((name, item))

    def record_controller(self, name, results, now):
        """Add the results of another controller's routers."""
        for item in results:
            self._add(name, item, now)

    def _add(self, origin, item, now):
        evidence = self._evidence.get(item.key)
        if evidence is None:
            if len(self._evidence) >= MAX_BOOTS:
                return
            evidence = self._evidence[item.key] = _Evidence(now)
        evidence.decay(now)
        evidence.add(item)
        if item.failed:
            evidence.failed_routers[origin] = (now, item.routers)
        if item.timed:
            evidence.timed_routers[origin] = (now, item.routers)

    def take_shared(self):
        """Return and clear the results of own routers that the other controllers lack, summed.

        :returns: list of :class:`~sassafrashook.ejection.UpstreamResults`.
        """
        unshared, self._unshared = self._unshared, {}
        return [_sum_results(key, pairs) for key, pairs in unshared.items()]

    def update(self, keys_by_service, now):
        """Decide again which upstreams are ejected.

        :param keys_by_service: keys of the boots of usable upstreams, by service.
        :param now: monotonic seconds.
        :returns: the new ejections, and those that have ended; each as a pair with a description
            of the evidence.
        """
        if not self._evidence:
            return [], []
        for key, evidence in list(self._evidence.items()):
            evidence.decay(now)
            if max(evidence.weight, evidence.timed) < MIN_WEIGHT:
                del self._evidence[key]
        previous, self.ejections_ = self.ejections_, {}
        for keys in keys_by_service.values():
            self._update_service(keys, previous, now)
        new = [e for key, e in self.ejections_.items() if key not in previous]
        ended = [e for key, e in previous.items() if key not in self.ejections_]
        changes = [(e, self._describe(e.key, now)) for e in (*new, *ended)]
        for ejection in new:
            evidence = self._evidence[ejection.key]
            evidence.scale(min(1.0, EJECTED_WEIGHT / max(evidence.weight, evidence.timed)))
        return changes[: len(new)], changes[len(new) :]

    def _describe(self, key, now):
        """Return the evidence on an upstream as text for the log."""
        evidence = self._evidence.get(key, _Evidence(now))
        return (
            f"succeeded:{evidence.succeeded:.1f},failed:{evidence.failed:.1f},"
            f"timed:{evidence.timed:.1f},"
            f"failed_at_routers:{_count_recent(evidence.failed_routers, now)}"
        )

    def _update_service(self, keys, previous, now):
        """Add the ejections of one service to ``ejections_``."""
        known = {key: self._evidence[key] for key in keys if key in self._evidence}
        peers = _Evidence(now)
        for key, evidence in known.items():
            if key not in previous:
                peers.add(evidence)
        found = []
        for key, evidence in known.items():
            is_kept = key in previous
            others = _Evidence(now)
            others.add(peers)
            if not is_kept:
                others.subtract(evidence)
            ejection = _compare(key, evidence, others, is_kept, now)
            if ejection is not None:
                found.append(ejection)
        found.sort(key=lambda e: (e.key not in previous, -e.failure_share, -e.slowness))
        limit = max(int(len(keys) * MAX_EJECTED_SHARE), 1) if len(keys) > 1 else 0
        self.ejections_.update((e.key, e) for e in found[:limit])


def _compare(key, evidence, others, is_kept, now):
    """Compare an upstream with its peers.

    :param key: key of the upstream's boot.
    :param evidence: its :class:`_Evidence`.
    :param others: the summed :class:`_Evidence` of its peers.
    :param is_kept: whether it is ejected already.
    :returns: an :class:`Ejection`, or ``None`` if it may get requests.
    """
    if is_kept and max(evidence.weight, evidence.timed) < MIN_KEEP_WEIGHT:
        return None
    share = evidence.failed / evidence.weight if evidence.weight > 0 else 0.0
    slowness = _compute_slowness(evidence, others)
    if _is_failing(evidence, others, is_kept, now):
        return Ejection(*key, EjectionReason.FAILURES, round(share, 3), round(slowness, 2))
    if _is_slow(evidence, others, is_kept, now):
        return Ejection(*key, EjectionReason.SLOW, round(share, 3), round(slowness, 2))
    return None


def _is_failing(evidence, others, is_kept, now):
    if not is_kept and _count_recent(evidence.failed_routers, now) < MIN_ROUTERS:
        return False
    deviations = KEEP_DEVIATIONS if is_kept else EJECT_DEVIATIONS
    lower, _ = evidence.compute_failure_bounds(deviations)
    _, upper = others.compute_failure_bounds(deviations)
    return lower > upper + MIN_EXCESS


def _compute_slowness(evidence, others):
    """Return the response times as a multiple of the peers'; 1 if these are unknown."""
    if evidence.timed < MIN_KEEP_WEIGHT or others.timed < MIN_TIMED:
        return 1.0
    return math.exp(evidence.compute_log_mean() - others.compute_log_mean())


def _is_slow(evidence, others, is_kept, now):
    slowness = _compute_slowness(evidence, others)
    if is_kept:
        return slowness > KEEP_SLOWNESS
    is_timed = evidence.timed >= MIN_TIMED and others.timed >= MIN_TIMED
    if not is_timed or _count_recent(evidence.timed_routers, now) < MIN_ROUTERS:
        return False
    error = math.sqrt(others.compute_log_variance() * (1 / evidence.timed + 1 / others.timed))
    lower = slowness * math.exp(-EJECT_DEVIATIONS * error)
    return slowness >= EJECT_SLOWNESS and lower > KEEP_SLOWNESS


def _count_recent(routers, now):
    return sum(count for at, count in routers.values() if now < at + ROUTERS_TTL_S)


def _sum_results(key, pairs):
    """Return the sum of results of one boot.

    :param pairs: pairs of the router's name and its :class:`UpstreamResults`.
    """
    items = [item for _, item in pairs]
    failed = sum(item.failed for item in items)
    return UpstreamResults(
        *key,
        sum(item.succeeded for item in items),
        failed,
        sum(item.timed for item in items),
        sum(item.log_sum for item in items),
        sum(item.log_square_sum for item in items),
        len({name for name, item in pairs if item.failed or not failed}),
    )
