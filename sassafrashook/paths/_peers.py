"""Selection of the routers through which requests are forwarded."""

# A router that can't be reached, or reaches no upstream of a service either, is not asked again for
# this time.
AVOIDANCE_S = 1.0
PROVEN_S = 5.0  # a router that served a request for a service is preferred for this time
MAX_PROVEN = 4  # once this number of routers has served requests, no others are tried
EXPLORATION_SHARE = 0.25  # of the requests, to routers that have not served one, up to that number
MAX_PEERS_PER_REQUEST = 4
# Number of peers, one after another, that reach no upstream of a service, after which none is asked
# for ``AVOIDANCE_S``: the upstreams themselves are probably down.
MAX_CONSECUTIVE_REFUSALS = 12
REACHED_S = 5.0  # a router to which a connection was opened counts as reached for this time
MIN_REACHED = 4  # routers are probed while fewer than this number are known to be reached
MAX_PROBES = 3  # per round


class PeerSelector:
    """Selects the routers through which requests for a service are forwarded.

    Routers that have served a request are preferred, then those that were reached lately.

    :param name: name of this router.
    :param rng: a ``random.Random``.
    """

    def __init__(self, name, rng):
        self.name = name
        self.rng = rng
        self._avoided_until = {}
        self._refusals = {}
        self._paused_until = {}
        self._proven_until = {}
        self._reached_until = {}

    def select(self, service, routers, excluded, now, is_reached_only=False):
        """Return the name of a router to forward a request to, ``None`` if there is none.

        :param service: name of the service.
        :param routers: names of all routers.
        :param excluded: names of the routers that the request was forwarded to already.
        :param now: monotonic seconds.
        :param is_reached_only: whether routers that may be out of reach must not be returned.
        """
        candidates = [
            name
            for name in routers
            if name != self.name
            and name not in excluded
            and now >= self._avoided_until.get((service, name), now)
        ]
        proven_until = self._proven_until.get(service, {})
        proven = [name for name in candidates if now < proven_until.get(name, now)]
        is_paused = now < self._paused_until.get(service, now)
        explores = len(proven) < MAX_PROVEN and self.rng.random() < EXPLORATION_SHARE
        if is_paused or (proven and not explores):
            return self._choose_any(proven)
        others = [name for name in candidates if name not in proven]
        reached = [name for name in others if now < self._reached_until.get(name, now)]
        if is_reached_only or reached:
            return self._choose_any(reached) or self._choose_any(proven)
        return self._choose_any(others) or self._choose_any(proven)

    def _choose_any(self, names):
        return self.rng.choice(names) if names else None

    def record_refusal(self, service, name, now):
        """Record that a router could not be reached, or reaches no upstream of a service.

        :param service: name of the service.
        :param name: name of the router.
        :param now: monotonic seconds.
        """
        self.record_failure(service, name, now)
        self._refusals[service] = self._refusals.get(service, 0) + 1
        if self._refusals[service] >= MAX_CONSECUTIVE_REFUSALS:
            self._refusals[service] = 0
            self._paused_until[service] = now + AVOIDANCE_S

    def record_failure(self, service, name, now):
        """Record that a router did not respond to a request, or not completely.

        :param service: name of the service.
        :param name: name of the router.
        :param now: monotonic seconds.
        """
        self._avoided_until[service, name] = now + AVOIDANCE_S
        self._reached_until.pop(name, None)
        self._proven_until.get(service, {}).pop(name, None)

    def record_success(self, service, name, now):
        """Record that a router reaches the upstreams of a service.

        :param service: name of the service.
        :param name: name of the router.
        :param now: monotonic seconds.
        """
        self._refusals.pop(service, None)
        self._proven_until.setdefault(service, {})[name] = now + PROVEN_S
        self._reached_until[name] = now + REACHED_S

    def record_probe(self, name, succeeded, now):
        """Record whether a connection to a router could be opened.

        :param name: name of the router.
        :param succeeded: whether it was opened.
        :param now: monotonic seconds.
        """
        if succeeded:
            self._reached_until[name] = now + REACHED_S
        else:
            self._reached_until.pop(name, None)

    def take_probe_targets(self, routers, now):
        """Return the names of the routers to be probed while upstreams can't be reached.

        :param routers: names of all routers.
        :param now: monotonic seconds.
        """
        others = [name for name in routers if name != self.name]
        unknown = [name for name in others if now >= self._reached_until.get(name, now)]
        if len(others) - len(unknown) >= MIN_REACHED:
            return []
        return self.rng.sample(unknown, min(MAX_PROBES, len(unknown)))
