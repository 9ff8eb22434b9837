"""Routers and controllers that exchange results, with upstreams that fail or are slow."""

import heapq
import itertools
import random

from returns.result import Success

from sassafrashook.ejection import OutlierDetector, ResultCounter
from sassafrashook.placement import Placement, PlacementQuery, SharedRateLimiter
from sassafrashook.registry import Registration, RegistrationState
from sassafrashook.routes import Service

SERVICE = Service("orders", 0.0)
REPORT_INTERVAL_S = 0.2
SHARE_INTERVAL_S = 0.5
SEND_INTERVAL_S = 0.6  # of a controller's messages to its routers, lengthened by their number
CONTROLLERS = 5
LATENCY_MS = 60.0  # median
SIGMA = 0.7  # of the logarithm of the latencies
RETRYABLE_SHARE = 0.5


class SimulatedFleet:
    """Fleet under a constant load.

    :param routers: number of routers.
    :param upstreams: number of upstreams of the only service.
    :param seed: seed of all random choices.
    :param rate_per_s: client requests per second.
    :param failure_shares: share of failed responses by number of the upstream.
    :param slowdowns: factor of the latency by number of the upstream.
    :param exchanges_results: whether routers report results.

    :ivar now: simulated time in seconds.
    :ivar sent: requests, retries included, by number of the upstream.
    :ivar sent_at: times of the requests by number of the upstream.
    :ivar ended_failed: number of client requests that ended failed or were refused.
    :ivar latencies_ms: latencies of successful responses, in milliseconds.
    """

    def __init__(
        self, routers, upstreams, seed, rate_per_s, failure_shares=None, slowdowns=None,
        exchanges_results=True, general_failure_share=0.01,
    ):  # fmt: skip
        self.rng = random.Random(seed)
        self.now = 0.0
        self.rate_per_s = rate_per_s
        self.failure_shares = dict(failure_shares or {})
        self.slowdowns = dict(slowdowns or {})
        self.general_failure_share = general_failure_share
        registrations = [
            Registration(
                f"u{n}", 1, 1, RegistrationState.READY, "orders", "10.0.0.1", 8_000 + n, "z", "v1",
                96,
            )
            for n in range(upstreams)
        ]  # fmt: skip
        names = [f"r{n}" for n in range(routers)]
        self.routers = [self._make_router(name, names, registrations) for name in names]
        self.counters = [ResultCounter() for _ in names]
        self.detectors = [OutlierDetector() for _ in range(CONTROLLERS)]
        self.keys = [(r.upstream_id, r.boot_ms) for r in registrations]
        self.sent = [0] * upstreams
        self.sent_at = [[] for _ in range(upstreams)]
        self.ended = self.ended_failed = 0
        self.latencies_ms = []
        self.max_ejected = 0
        self._events = []
        self._numbers = itertools.count()
        self._schedule(0.0, self._arrive)
        if exchanges_results:
            for number in range(routers):
                self._schedule(self.rng.uniform(0, REPORT_INTERVAL_S), self._report, number)
            for number in range(CONTROLLERS):
                self._schedule(self.rng.uniform(0, SEND_INTERVAL_S), self._send, number)
                self._schedule(self.rng.uniform(0, SHARE_INTERVAL_S), self._share, number)

    def _make_router(self, name, names, registrations):
        limiters = [SharedRateLimiter(name, 1.5, 5), SharedRateLimiter(name, 1.5, 5, 4.0)]
        for limiter in limiters:
            limiter.set_routers(names)
        placement = Placement(*limiters, random.Random(self.rng.random()))
        placement.set_registrations(registrations, {r.upstream_id: 0.0 for r in registrations}, 0.0)
        return placement

    def _schedule(self, delay_s, action, *arguments):
        event = (self.now + delay_s, next(self._numbers), action, arguments)
        heapq.heappush(self._events, event)

    def run_until(self, until):
        while self._events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = until

    def reset_counts(self):
        self.sent = [0] * len(self.sent)
        self.ended = self.ended_failed = 0
        self.latencies_ms = []

    def _arrive(self):
        self._schedule(self.rng.expovariate(self.rate_per_s), self._arrive)
        is_retryable = self.rng.random() < RETRYABLE_SHARE
        self._attempt(self.rng.randrange(len(self.routers)), is_retryable, frozenset())

    def _attempt(self, router, is_retryable, excluded):
        query = PlacementQuery(SERVICE, excluded_keys=excluded, allows_trial=is_retryable)
        result = self.routers[router].choose(query, self.now)
        if not isinstance(result, Success):
            self.ended += 1
            self.ended_failed += 1
            return
        state = result.unwrap()
        state.running_ += 1
        number = int(state.registration.upstream_id[1:])
        self.sent[number] += 1
        self.sent_at[number].append(self.now)
        failure_share = self.failure_shares.get(number, self.general_failure_share)
        succeeded = self.rng.random() >= failure_share
        latency_ms = LATENCY_MS * self.rng.lognormvariate(0.0, SIGMA)
        latency_ms *= self.slowdowns.get(number, 1.0)
        delay_s = (latency_ms if succeeded else 5.0) / 1_000
        self._schedule(
            delay_s, self._end, router, state, is_retryable and not excluded, succeeded, latency_ms
        )

    def _end(self, router, state, may_retry, succeeded, latency_ms):
        state.running_ -= 1
        state.record_response(succeeded)
        self.counters[router].record(state.key, succeeded, latency_ms if succeeded else None)
        if not succeeded and may_retry:
            self._attempt(router, False, frozenset((state.key,)))
            return
        self.ended += 1
        self.ended_failed += not succeeded
        if succeeded:
            self.latencies_ms.append(latency_ms)

    def _report(self, router):
        results = self.counters[router].take()
        self.detectors[router % CONTROLLERS].record_router(f"r{router}", results, self.now)
        self._schedule(REPORT_INTERVAL_S, self._report, router)

    def _share(self, number):
        results = self.detectors[number].take_shared()
        for other, detector in enumerate(self.detectors):
            if other != number:
                detector.record_controller(f"c{number}", results, self.now)
        self._schedule(SHARE_INTERVAL_S, self._share, number)

    def _send(self, number):
        detector = self.detectors[number]
        detector.update({"orders": self.keys}, self.now)
        self.max_ejected = max(self.max_ejected, len(detector.ejections_))
        for router in self.routers[number::CONTROLLERS]:
            router.ejections_.update(detector.ejections_.values(), len(self.routers), self.now)
        self._schedule(SEND_INTERVAL_S, self._send, number)

    def list_ejected(self):
        """Return the sets of names of ejected upstreams, one for each controller."""
        return [{key[0] for key in detector.ejections_} for detector in self.detectors]
