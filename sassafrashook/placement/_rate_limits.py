"""Request rate limits of upstreams, divided between routers."""

from sassafrashook.base import Parametrized
from sassafrashook.utils import Interval, hash_key, rank_nodes

MAX_CACHED_RANKINGS = 10_000  # the cache is cleared when it holds more
BUCKET_CAPACITY = 1.0  # tokens; bounds the burst of one router to one request


class SharedRateLimiter(Parametrized):
    """Divides the request rate that an upstream can take between routers without coordination.

    Each router has a token bucket per upstream with a capacity of one token. In any window, all
    routers together therefore send at most their own number plus the number of requests that the
    upstream can take in that window. If there are so many routers that this could exceed the limit,
    rendezvous hashing of upstream and router selects the routers that may send at all.

    :param name: name of this router.
    :param factor: largest allowed number of requests in a window, as a multiple of what the
        upstream can take.
    :param tolerance: number of requests per window that are allowed in addition to that multiple.
    :param window_s: length of the window, in seconds.

    :ivar routers_: sorted names of all known routers.

    >>> limiter = SharedRateLimiter("r1", factor=1.5, tolerance=5)
    >>> limiter.set_routers(["r1", "r2"])
    >>> limiter.try_acquire("engine", 20.0, now=0.0), limiter.try_acquire("engine", 20.0, now=0.01)
    (True, False)
    """

    _parameter_constraints = {
        "factor": Interval(float, 1.0),
        "tolerance": Interval(float, 0.0),
        "window_s": Interval(float, 0.001),
    }

    def __init__(self, name, factor, tolerance, window_s=1.0):
        self.name = name
        self.factor = factor
        self.tolerance = tolerance
        self.window_s = window_s
        self.routers_ = ()
        self._buckets = {}
        self._senders = {}
        self.validate_parameters()

    def set_routers(self, names):
        """Replace the set of known routers. This router is always included.

        :param names: names of the routers.
        """
        routers = tuple(sorted({*names, self.name}))
        if routers != self.routers_:
            self.routers_ = routers
            self._senders = {}

    def compute_rate(self, upstream_id, total_rate):
        """Return the requests per second that this router may send to an upstream.

        The rate is 0 until :meth:`set_routers` is called, because the number of routers that share
        the upstream is unknown before.

        :param upstream_id: name of the upstream.
        :param total_rate: requests per second that the upstream can take from all routers.
        """
        if not self.routers_:
            return 0.0
        # In any window, n senders together send up to total_rate * window_s + n requests. One
        # sender less than the limit allows keeps the sum below the limit.
        surplus = total_rate * self.window_s * (self.factor - 1) + self.tolerance
        max_senders = int(min(surplus, len(self.routers_) + 1)) - 1
        if max_senders <= 0:
            return 0.0
        if len(self.routers_) <= max_senders:
            return total_rate / len(self.routers_)
        return total_rate / max_senders if self._is_sender(upstream_id, max_senders) else 0.0

    def _is_sender(self, upstream_id, max_senders):
        """Return whether this router is one of those that may send to an upstream.

        Ranking all routers takes longer than everything else that a placement does, so the result
        is kept until the set of routers changes.
        """
        key = (upstream_id, max_senders)
        if key not in self._senders:
            if len(self._senders) >= MAX_CACHED_RANKINGS:
                self._senders.clear()
            ranked = rank_nodes(hash_key(upstream_id), self.routers_)
            self._senders[key] = self.name in ranked[:max_senders]
        return self._senders[key]

    def try_acquire(self, upstream_id, total_rate, now):
        """Take one token of an upstream's bucket if there is one.

        :param upstream_id: name of the upstream.
        :param total_rate: requests per second that the upstream can take from all routers.
        :param now: monotonic seconds.
        :returns: whether one request may be sent.
        """
        rate = self.compute_rate(upstream_id, total_rate)
        if rate <= 0:
            return False
        tokens, updated_at = self._buckets.get(upstream_id, (BUCKET_CAPACITY, now))
        tokens = min(BUCKET_CAPACITY, tokens + (now - updated_at) * rate)
        if tokens < BUCKET_CAPACITY:
            self._buckets[upstream_id] = (tokens, now)
            return False
        self._buckets[upstream_id] = (tokens - BUCKET_CAPACITY, now)
        return True
