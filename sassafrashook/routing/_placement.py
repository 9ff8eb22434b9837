"""Multi-probe consistent hashing of conversations with bounded loads.

Each upstream has one point on a ring of 64-bit numbers. A conversation probes the ring at a fixed
number of positions, and its preference order sorts the probes by the distance from their position
to the next point. This spreads conversations almost evenly with a single point per upstream,
remaps few conversations when an upstream joins or leaves, and costs O(log n) per decision.
"""

import math
from bisect import bisect_left, insort

PROBE_FACTORS = range(1, 22)  # multiples of the step at which a conversation probes the ring
RING_BITS = 64
RING_MASK = 2**RING_BITS - 1
STEP_MULTIPLIER = 0x9E3779B97F4A7C15  # derives the step between probes from the key
ROUNDING_TOLERANCE = 1e-9


def compute_load_bound(load_bound, running_count, upstream_count):
    """Return how many requests one upstream may run, including the request to be placed.

    :param load_bound: allowed ratio of an upstream's load to the mean load, at least 1.
    :param running_count: number of requests that run on all upstreams, excluding the new one.
    :param upstream_count: number of placeable upstreams, at least 1.
    """
    return math.ceil(load_bound * (running_count + 1) / upstream_count - ROUNDING_TOLERANCE)


def _is_eligible(upstream, bound, excluded):
    return 0 <= upstream.grouped_load_if_free_ < bound and upstream.upstream_id not in excluded


def _remove_point(points, point):
    index = bisect_left(points, point)
    del points[index]


class PlacementGroup:
    """The upstreams that can serve the same service and model.

    :param load_bound: allowed ratio of an upstream's load to the mean load.

    :ivar running_: number of requests that run on the placeable upstreams.
    :ivar limit_: sum of the limits of the placeable upstreams.
    :ivar points_: sorted ring points of the placeable upstreams.
    :ivar upstreams_: placeable upstreams by ring point.
    :ivar load_buckets_: sorted ring points of the upstreams that are free for another request,
        one list per load; the index is the load.
    """

    __slots__ = ("load_bound", "running_", "limit_", "points_", "upstreams_", "load_buckets_")

    def __init__(self, load_bound):
        self.load_bound = load_bound
        self.running_ = 0
        self.limit_ = 0
        self.points_ = []
        self.upstreams_ = {}
        self.load_buckets_ = []

    def add(self, upstream):
        """Add a placeable upstream and its load."""
        insort(self.points_, upstream.point)
        self.upstreams_[upstream.point] = upstream
        self.running_ += upstream.grouped_load_
        self.limit_ += upstream.grouped_limit_
        self._insert_into_bucket(upstream)

    def remove(self, upstream):
        """Remove an upstream and subtract its load and limit from the sums."""
        _remove_point(self.points_, upstream.point)
        del self.upstreams_[upstream.point]
        self.running_ -= upstream.grouped_load_
        self.limit_ -= upstream.grouped_limit_
        self._remove_from_bucket(upstream)

    def update(self, upstream, load, limit, load_if_free):
        """Update the load and the limit of a placeable upstream.

        :param load: its new load.
        :param limit: its new limit.
        :param load_if_free: its new load if it is free for another request, else -1.
        """
        if load_if_free != upstream.grouped_load_if_free_:
            self._remove_from_bucket(upstream)
            if load_if_free >= 0:
                insort(self._get_bucket(load_if_free), upstream.point)
        self.running_ += load - upstream.grouped_load_
        self.limit_ += limit - upstream.grouped_limit_

    def compute_bound(self):
        """Return how many requests one upstream may run, including the next one."""
        return compute_load_bound(self.load_bound, self.running_, len(self.points_))

    def has_capacity(self):
        """Return whether any upstream can accept another request."""
        return bool(self.points_) and any(self.load_buckets_[: self.compute_bound()])

    def find(self, key, excluded):
        """Return the most preferred upstream that can accept a request, or ``None``.

        :param key: 64-bit hash of the conversation.
        :param excluded: ids of upstreams that must not be chosen.
        """
        bound = self.compute_bound() if self.points_ else 0
        if not any(self.load_buckets_[:bound]):
            return None
        probes = self._compute_probes(key)
        first = self.upstreams_[min(probes) & RING_MASK]
        if _is_eligible(first, bound, excluded):
            return first
        for probe in sorted(probes):
            upstream = self.upstreams_[probe & RING_MASK]
            if _is_eligible(upstream, bound, excluded):
                return upstream
        return self._find_nearest(key, bound, excluded)

    def list_by_ring_order(self, key):
        """Return the upstreams that a conversation's probes hit, most preferred first."""
        points = dict.fromkeys(probe & RING_MASK for probe in sorted(self._compute_probes(key)))
        return [self.upstreams_[point] for point in points]

    def _compute_probes(self, key):
        """Return one integer per probe: distance to the next point (high bits) and that point."""
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
        for bucket in self.load_buckets_[:bound]:
            start = bisect_left(bucket, key)
            for offset in range(min(len(bucket), len(excluded) + 1)):
                point = bucket[(start + offset) % len(bucket)]
                distance = (point - key) & RING_MASK
                upstream = self.upstreams_[point]
                if distance < best_distance and upstream.upstream_id not in excluded:
                    best, best_distance = upstream, distance
        return best

    def _get_bucket(self, load):
        while len(self.load_buckets_) <= load:
            self.load_buckets_.append([])
        return self.load_buckets_[load]

    def _insert_into_bucket(self, upstream):
        if upstream.grouped_load_if_free_ >= 0:
            insort(self._get_bucket(upstream.grouped_load_if_free_), upstream.point)

    def _remove_from_bucket(self, upstream):
        if upstream.grouped_load_if_free_ >= 0:
            _remove_point(self.load_buckets_[upstream.grouped_load_if_free_], upstream.point)
