"""Choice among a few upstreams by when the caller would get the first event."""

import math

MAX_COMPARED = 3  # upstreams that are compared for a request
# An upstream later in the order is chosen only if its first event is expected earlier than that of
# the first one by this factor. Below it, sessions would move for differences within the error.
HYSTERESIS = 1.25
# Time to the first event at an upstream that has not cached the prompt, as a multiple of that at
# one that has, until enough was measured.
DEFAULT_UNCACHED_FACTOR = 3.0
MIN_UNCACHED_FACTOR = 1.0
MIN_SAMPLES = 20
WEIGHT = 0.02  # weight of the newest time in the moving averages
MIN_TIME_MS = 0.1


class FirstEventModel:
    """Times to the first event of the services' requests at one router.

    The mean logarithm of the time per prompt token is kept by service and by whether the upstream
    had cached the prompt.
    """

    def __init__(self):
        self._means = {}

    def record(self, upstream, tokens, is_cached, time_ms):
        """Record the time to the first event of a request.

        :param upstream: its :class:`~sassafrashook.placement.UpstreamState`.
        :param tokens: number of tokens of its prompt, 0 if it has none.
        :param is_cached: whether the upstream had cached the part that its session shares.
        :param time_ms: the time, in milliseconds.
        """
        if upstream.slowdown_ is None:
            return
        key = (upstream.registration.service, is_cached, tokens > 0)
        log_time = math.log(max(MIN_TIME_MS, time_ms) / max(1, tokens))
        count, mean = self._means.get(key, (0, 0.0))
        if count >= MIN_SAMPLES:
            upstream.speed_.record_measured(math.exp(log_time - mean))
        mean += max(WEIGHT, 1 / (count + 1)) * (log_time - mean)
        self._means[key] = (count + 1, mean)

    def compute_uncached_factor(self, service):
        """Return how much longer a prompt takes where it is not cached, at least 1.

        :param service: name of the service.
        """
        cached_count, cached = self._means.get((service, True, True), (0, 0.0))
        uncached_count, uncached = self._means.get((service, False, True), (0, 0.0))
        if min(cached_count, uncached_count) < MIN_SAMPLES:
            return DEFAULT_UNCACHED_FACTOR
        return max(MIN_UNCACHED_FACTOR, math.exp(uncached - cached))

    def prefer_earliest(self, ordered, holder_keys, loads, get_slots, now):
        """Put the upstream with the earliest expected first event first, of the first few.

        Nothing changes unless the first upstream states how long work takes.

        :param ordered: list of :class:`~sassafrashook.placement.UpstreamState`, in the order in
            which to try them.
        :param holder_keys: keys of the upstreams that hold the session's part, ``None`` for a
            request without a prompt.
        :param loads: load by key.
        :param get_slots: called with an upstream; returns its number of slots.
        :param now: monotonic seconds.
        :returns: the list in the changed order.
        """
        if len(ordered) < 2 or ordered[0].slowdown_ is None:
            return ordered
        compared = ordered[:MAX_COMPARED]
        factor = 1.0
        if holder_keys:
            factor = self.compute_uncached_factor(ordered[0].registration.service)

        def compute_cost(state):
            waiting = max(1.0, (loads[state.key] + 1) / get_slots(state))
            is_uncached = bool(holder_keys) and state.key not in holder_keys
            return state.speed_.compute(now) * waiting * (factor if is_uncached else 1.0)

        costs = [compute_cost(state) for state in compared]
        best = min(range(len(compared)), key=costs.__getitem__)
        if best == 0 or costs[best] * HYSTERESIS >= costs[0]:
            return ordered
        return [ordered[best], *ordered[:best], *ordered[best + 1 :]]
