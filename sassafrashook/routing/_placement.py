"""Placement by conversation under a hard load bound.

Each upstream has one point on a ring of 64-bit numbers. A conversation probes the ring at a fixed
number of positions; its preference order is the order of the distances from each position to the
next point. That spreads conversations nearly evenly with one point an upstream, moves only what
must move when an upstream comes or goes, and costs O(log n) a decision.
"""

import math
from bisect import bisect_left, insort

PROBE_FACTORS = range(1, 22)
RING_BITS = 64
RING_MASK = 2**RING_BITS - 1
STEP_MULTIPLIER = 0x9E3779B97F4A7C15
ROUNDING = 1e-9


def round_bound(load_bound, running, upstreams):
    """Return how many requests an upstream may run, the one to be placed included.

    :param load_bound: allowed multiple of the mean load, at least 1.
    :param running: requests that run at all the upstreams together, without the new one.
    :param upstreams: number of live upstreams, at least 1.
    """
    return math.ceil(load_bound * (running + 1) / upstreams - ROUNDING)


def _has_room(upstream, bound, excluded):
    return 0 <= upstream.counted_room < bound and upstream.upstream_id not in excluded


def _remove(points, point):
    index = bisect_left(points, point)
    del points[index]


class PlacementGroup:
    """The upstreams among which one kind of request is placed.

    :param load_bound: allowed multiple of the mean load.

    Attributes
    ----------
    running_ : requests that run at live upstreams.
    limit_ : sum of the live upstreams' own limits.
    points_ : sorted points of the live upstreams.
    rooms_ : sorted points of the upstreams below their own limit, by their number of requests.
    """

    __slots__ = ("load_bound", "running_", "limit_", "points_", "upstreams_", "rooms_")

    def __init__(self, load_bound):
        self.load_bound = load_bound
        self.running_ = 0
        self.limit_ = 0
        self.points_ = []
        self.upstreams_ = {}
        self.rooms_ = []

    def add(self, upstream):
        """Count a live upstream with its load."""
        insort(self.points_, upstream.point)
        self.upstreams_[upstream.point] = upstream
        self.running_ += upstream.counted_load
        self.limit_ += upstream.counted_limit
        self._open(upstream)

    def remove(self, upstream):
        """Stop counting an upstream; its counted load leaves the sum."""
        _remove(self.points_, upstream.point)
        del self.upstreams_[upstream.point]
        self.running_ -= upstream.counted_load
        self.limit_ -= upstream.counted_limit
        self._close(upstream)

    def replace(self, upstream, load, limit, room):
        """Count a changed load or limit of a live upstream.

        :param load: its new number of requests.
        :param limit: how many it may run now.
        :param room: its new number of requests if it may take one more, else -1.
        """
        if room != upstream.counted_room:
            self._close(upstream)
            if room >= 0:
                insort(self._row(room), upstream.point)
        self.running_ += load - upstream.counted_load
        self.limit_ += limit - upstream.counted_limit

    def bound(self):
        """Return how many requests one upstream may run, the next one included."""
        return round_bound(self.load_bound, self.running_, len(self.points_))

    def has_room(self):
        """Return whether any upstream may take one more request."""
        return bool(self.points_) and any(self.rooms_[: self.bound()])

    def find(self, key, excluded):
        """Return the first upstream in preference order that has room, or ``None``.

        :param key: 64-bit number of the conversation.
        :param excluded: names of upstreams that must not be chosen.
        """
        bound = self.bound() if self.points_ else 0
        if not any(self.rooms_[:bound]):
            return None
        probes = self._probe(key)
        first = self.upstreams_[min(probes) & RING_MASK]
        if _has_room(first, bound, excluded):
            return first
        for probe in sorted(probes):
            upstream = self.upstreams_[probe & RING_MASK]
            if _has_room(upstream, bound, excluded):
                return upstream
        return self._find_nearest(key, bound, excluded)

    def list_preferred(self, key):
        """Return the upstreams at a conversation's probes, most preferred first."""
        points = dict.fromkeys(probe & RING_MASK for probe in sorted(self._probe(key)))
        return [self.upstreams_[point] for point in points]

    def _probe(self, key):
        """Return a number for each probe: its distance to the next point, then that point."""
        points, size = self.points_, len(self.points_)
        step = (key * STEP_MULTIPLIER & RING_MASK) | 1
        probes = []
        for factor in PROBE_FACTORS:
            position = (key + factor * step) & RING_MASK
            point = points[bisect_left(points, position) - size]
            probes.append((point - position & RING_MASK) << RING_BITS | point)
        return probes

    def _find_nearest(self, key, bound, excluded):
        best = None
        best_distance = RING_MASK + 1
        for row in self.rooms_[:bound]:
            start = bisect_left(row, key)
            for offset in range(min(len(row), len(excluded) + 1)):
                point = row[(start + offset) % len(row)]
                distance = (point - key) & RING_MASK
                upstream = self.upstreams_[point]
                if distance < best_distance and upstream.upstream_id not in excluded:
                    best, best_distance = upstream, distance
        return best

    def _row(self, room):
        while len(self.rooms_) <= room:
            self.rooms_.append([])
        return self.rooms_[room]

    def _open(self, upstream):
        if upstream.counted_room >= 0:
            insort(self._row(upstream.counted_room), upstream.point)

    def _close(self, upstream):
        if upstream.counted_room >= 0:
            _remove(self.rooms_[upstream.counted_room], upstream.point)
