"""Simulation of a service whose upstreams are slow now and then, without a network."""

import heapq
import itertools
import random

from sassafrashook.hedging import HedgingPolicy

WORK_MS = 45.0
SLOW_FACTOR = 10.0  # of a slow response, for example on a host that is short of processor time
TARGET_MS = 220.0
MAX_UTILIZATION = 0.7  # of the service's slots, above which no second attempt begins
SERVICE = "ledger"


class SimulatedService:
    """Plays requests through routers that each choose the less loaded of two upstreams.

    :param upstreams: number of upstreams.
    :param slots: number of requests that an upstream runs at once; others wait there.
    :param utilization: mean share of the slots that the requests take without second attempts.
    :param slow_share: share of the responses that are slow.
    :param extra_share: the operators' limit.
    :param routers: number of routers.
    :param seed: seed of all random numbers.
    :param always_slow: whether all responses are slow, at the same utilization.

    :ivar durations_ms_: durations of the requests, as callers see them.
    :ivar extra_count_: number of second attempts.
    """

    def __init__(self, upstreams, slots, utilization, slow_share, extra_share, routers, seed=1,
                 always_slow=False):  # fmt: skip
        self.rng = random.Random(seed)
        self.slots = slots
        self.slow_share = 1.0 if always_slow else slow_share
        mean_ms = WORK_MS * (1 + (SLOW_FACTOR - 1) * self.slow_share)
        self.arrivals_per_ms = utilization * upstreams * slots / mean_ms
        self.policies = [HedgingPolicy(extra_share) for _ in range(routers)]
        self.running = [0] * upstreams
        self.waiting = [[] for _ in range(upstreams)]
        self.durations_ms_ = []
        self.extra_count_ = 0
        self.ended = set()
        self.upstream_by_attempt = {}
        self.events = []
        self.numbers = itertools.count()

    def play(self, requests):
        """Play a number of requests; :returns: this object."""
        at = 0.0
        for request in range(requests):
            at += self.rng.expovariate(self.arrivals_per_ms)
            self._schedule(at, self._arrive, request, at)
        while self.events:
            now, _, handle, arguments = heapq.heappop(self.events)
            handle(now, *arguments)
        return self

    def quantile(self, share):
        """Return the duration that a share of the requests does not exceed, in milliseconds."""
        ordered = sorted(self.durations_ms_)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

    def _schedule(self, at, handle, *arguments):
        heapq.heappush(self.events, (at, next(self.numbers), handle, arguments))

    def _load(self, upstream):
        return self.running[upstream] + len(self.waiting[upstream])

    def _choose(self, excluded=None):
        names = [name for name in range(len(self.running)) if name != excluded]
        return min(self.rng.sample(names, min(2, len(names))), key=self._load)

    def _arrive(self, now, request, arrived_at):
        policy = self.rng.choice(self.policies)
        policy.record_request(SERVICE)
        first = self._choose()
        self._send(now, (request, 0), first, arrived_at, policy)
        delay_s = policy.compute_delay_s(SERVICE, TARGET_MS, now / 1_000)
        if delay_s is not None:
            self._schedule(now + delay_s * 1_000, self._hedge, request, first, arrived_at, policy)

    def _hedge(self, now, request, first, arrived_at, policy):
        total = sum(self.running) + sum(map(len, self.waiting))
        is_busy = total > MAX_UTILIZATION * self.slots * len(self.running)
        if request in self.ended or is_busy:
            return
        second = self._choose(first)
        if self._load(second) < self.slots and policy.try_consume(SERVICE):
            self.extra_count_ += 1
            self._send(now, (request, 1), second, arrived_at, policy)

    def _send(self, now, attempt, upstream, arrived_at, policy):
        job = (attempt, arrived_at, now, policy)
        if self.running[upstream] < self.slots:
            self._begin(now, upstream, job)
        else:
            self.waiting[upstream].append(job)

    def _begin(self, now, upstream, job):
        self.running[upstream] += 1
        self.upstream_by_attempt[job[0]] = upstream
        is_slow = self.rng.random() < self.slow_share
        work_ms = WORK_MS * (SLOW_FACTOR if is_slow else 1.0) * self.rng.uniform(0.8, 1.2)
        self._schedule(now + work_ms, self._end, job)

    def _end(self, now, job):
        (request, number), arrived_at, sent_at, policy = job
        if (request, number) not in self.upstream_by_attempt:
            return  # cancelled
        self._free(now, (request, number))
        self.ended.add(request)
        self.durations_ms_.append(now - arrived_at)
        policy.record_duration(SERVICE, now - sent_at, now / 1_000)
        self._free(now, (request, 1 - number))

    def _free(self, now, attempt):
        """Free the place of an attempt, if it has one, for those that wait there."""
        upstream = self.upstream_by_attempt.pop(attempt, None)
        if upstream is None:
            return
        self.running[upstream] -= 1
        while self.waiting[upstream] and self.running[upstream] < self.slots:
            job = self.waiting[upstream].pop(0)
            if job[0][0] not in self.ended:
                self._begin(now, upstream, job)
