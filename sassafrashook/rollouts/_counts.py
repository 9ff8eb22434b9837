"""Counts of attempts by software version, route and upstream."""

import bisect

import msgspec

__all__ = ["BUCKET_EDGES_S", "AttemptCounter", "AttemptTotals"]

BUCKET_RATIO = 1.5
BUCKET_COUNT = 20
# Upper edges of the buckets of durations, 10 ms to 22 s; the last bucket has none.
BUCKET_EDGES_S = tuple(0.01 * BUCKET_RATIO**n for n in range(BUCKET_COUNT - 1))


class AttemptTotals(msgspec.Struct, frozen=True, array_like=True):
    """Attempts of one router at the upstreams of one version, on one route.

    :param is_new: whether the version is the one that the rollout leads to.
    :param route: name of the route.
    :param upstream_id: name of the upstream; empty for the old versions, which are summed.
    :param sent: number of attempts, including those that are no evidence.
    :param bad: number of those that failed.
    :param durations: pairs of bucket and number of the attempts that are evidence. Attempts
        without a reply are at ``-1 - bucket`` of their age.
    """

    is_new: bool
    route: str
    upstream_id: str
    sent: int
    bad: int
    durations: list[tuple[int, int]]


class _Entry:
    """Attempts with the same version, route and upstream.

    :ivar running: :class:`_Running` by number.
    """

    __slots__ = ("sent", "bad", "durations", "running")

    def __init__(self):
        self.sent = 0
        self.bad = 0
        self.durations = {}
        self.running = {}

    def add_duration(self, key):
        """Count a duration in a bucket."""
        self.durations[key] = self.durations.get(key, 0) + 1


class _Running:
    """One running attempt."""

    __slots__ = ("began_at", "is_evidence", "has_reply")

    def __init__(self, began_at, is_evidence):
        self.began_at = began_at
        self.is_evidence = is_evidence
        self.has_reply = False


class AttemptCounter:
    """Counts the attempts of one router at the upstreams of one service since an order.

    :param to: version that the rollout leads to.

    >>> counter = AttemptCounter("v2")
    >>> handle = counter.begin("v2", "chats", "u1", is_evidence=True, now=0.0)
    >>> counter.record_reply(handle, now=0.2)
    >>> counter.end(handle, is_bad=False, now=0.3)
    >>> [(totals.sent, totals.bad, totals.durations) for totals in counter.collect(now=9.0)]
    [(1, 0, [(8, 1)])]
    """

    def __init__(self, to):
        self.to = to
        self._entries = {}
        self._number = 0

    def begin(self, version, route, upstream_id, is_evidence, now):
        """Record that an attempt begins.

        :param is_evidence: whether its result says something of the version; an upstream that is
            cold may be slow.
        :param now: monotonic seconds.
        :returns: a handle for the other methods.
        """
        is_new = version == self.to
        key = (is_new, route, upstream_id if is_new else "")
        entry = self._entries.setdefault(key, _Entry())
        self._number += 1
        entry.sent += 1
        entry.running[self._number] = _Running(now, is_evidence)
        return entry, self._number

    def record_reply(self, handle, now):
        """Record that the whole response, or the first event of a stream, has arrived."""
        entry, number = handle
        running = entry.running[number]
        if running.is_evidence and not running.has_reply:
            running.has_reply = True
            entry.add_duration(find_bucket(now - running.began_at))

    def end(self, handle, is_bad, now):
        """Record that an attempt has ended.

        :param is_bad: whether it failed; ``None`` if it was given up without a result.
        """
        entry, number = handle
        if is_bad is not None:
            self.record_reply(handle, now)
        running = entry.running.pop(number)
        if not running.is_evidence:
            return
        if not running.has_reply:
            entry.add_duration(-1 - find_bucket(now - running.began_at))
        entry.bad += is_bad is True

    def collect(self, now):
        """Return the list of :class:`AttemptTotals`.

        :param now: monotonic seconds.
        """
        totals = []
        for (is_new, route, upstream_id), entry in self._entries.items():
            durations = dict(entry.durations)
            for running in entry.running.values():
                if running.is_evidence and not running.has_reply:
                    key = -1 - find_bucket(now - running.began_at)
                    durations[key] = durations.get(key, 0) + 1
            pairs = sorted(durations.items())
            totals.append(AttemptTotals(is_new, route, upstream_id, entry.sent, entry.bad, pairs))
        return totals


def find_bucket(duration_s):
    """Return the number of the bucket of a duration."""
    return bisect.bisect_left(BUCKET_EDGES_S, duration_s)
