"""Routers that choose among upstreams whose hosts change their speed many times a second."""

import heapq
import itertools
import random

from sassafrashook.placement import Placement, PlacementQuery, SharedRateLimiter
from sassafrashook.registry import Registration, RegistrationState
from sassafrashook.routes import Service

SERVICE = Service("chat", 0.0)
SLOW_SHARE = 0.15  # of the time
SLOW_FACTOR = 2.5
CHANGE_S = 0.6  # mean time between two draws of a host's speed
USUAL_S = 0.1  # median time to the first event of a cached prompt
SIGMA = 0.15  # of its logarithm
UNCACHED_FACTOR = 2.5
LATE_S = 0.22  # a later first event is late: a slow host is, and an uncached prompt as well
RUNTIME_S = 1.0  # of a request after its first event, with a usual speed
SESSIONS_PER_UPSTREAM = 6
REPORTED = 1.25


class SimulatedFleet:
    """Fleet under a constant load, whose routers learn of each slow figure after ``age_s``.

    :param age_s: age of a figure when the other routers learn of it, in seconds; ``None`` if no
        upstream states how long work takes.
    :param has_prompts: whether requests belong to sessions whose prompts upstreams cache.

    :ivar max_running: largest number of requests at one upstream.
    """

    def __init__(self, routers, upstreams, rate_per_s, seed, age_s, has_prompts, slots=16):
        self.rng = random.Random(seed)
        self.now, self.age_s, self.rate_per_s = 0.0, age_s, rate_per_s
        registrations = [
            Registration(
                f"u{n}", 1, 1, RegistrationState.READY, "chat", "10.0.0.1", 8_000 + n, "z", "v1",
                slots,
            )
            for n in range(upstreams)
        ]  # fmt: skip
        names = [f"r{n}" for n in range(routers)]
        self.routers = []
        for name in names:
            limiters = [SharedRateLimiter(name, 1.5, 5), SharedRateLimiter(name, 1.5, 5, 4.0)]
            placement = Placement(*limiters, random.Random(self.rng.random()))
            placement.set_registrations(
                registrations, {r.upstream_id: 0.0 for r in registrations}, 0.0
            )
            self.routers.append(placement)
        self.speeds = [1.0] * upstreams
        self.running = [0] * upstreams
        self.cached = [set() for _ in range(upstreams)]
        self.sessions = [None]
        if has_prompts:
            count = upstreams * SESSIONS_PER_UPSTREAM
            self.sessions = [self.rng.getrandbits(64) for _ in range(count)]
        self.first_events_s = []
        self.max_running = 0
        self._events, self._numbers = [], itertools.count()
        for number in range(upstreams):
            self._change_speed(number)
        self._schedule(0.0, self._arrive)
        self._schedule(0.0, self._share_loads)

    def _schedule(self, delay_s, action, *arguments):
        heapq.heappush(self._events, (self.now + delay_s, next(self._numbers), action, arguments))

    def run_until(self, until):
        while self._events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def compute_late_share(self):
        """Return the share of requests with a late first event."""
        return sum(time_s > LATE_S for time_s in self.first_events_s) / len(self.first_events_s)

    def _change_speed(self, number):
        self.speeds[number] = SLOW_FACTOR if self.rng.random() < SLOW_SHARE else 1.0
        self._schedule(self.rng.expovariate(1 / CHANGE_S), self._change_speed, number)

    def _share_loads(self):
        totals = {f"u{n}": running for n, running in enumerate(self.running)}
        for placement in self.routers:
            own = placement.list_local_loads()
            others = {name: total - own.get(name, 0) for name, total in totals.items()}
            placement.set_remote_loads(others, self.now)
        self._schedule(0.6, self._share_loads)

    def _arrive(self):
        self._schedule(self.rng.expovariate(self.rate_per_s), self._arrive)
        placement = self.rng.choice(self.routers)
        session = self.rng.choice(self.sessions)
        query = PlacementQuery(SERVICE, session)
        state = placement.choose(query, self.now).unwrap()
        placement.record_placement(query, state, self.now)
        number = int(state.registration.upstream_id[1:])
        state.running_ += 1
        self.running[number] += 1
        self.max_running = max(self.max_running, self.running[number])
        is_cached = session is None or session in self.cached[number]
        if session is not None:
            self.cached[number].add(session)
            for other in self.routers:
                other.record_remote_cached_parts(
                    [(session, state.registration.upstream_id)], self.now
                )
        speed = self.speeds[number]
        time_s = USUAL_S * self.rng.lognormvariate(0.0, SIGMA) * speed
        time_s *= 1.0 if is_cached else UNCACHED_FACTOR
        self._schedule(time_s, self._begin, placement, state, is_cached, session, time_s)
        self._schedule(time_s + RUNTIME_S * speed, self._end, state, number)

    def _begin(self, placement, state, is_cached, session, time_s):
        self.first_events_s.append(time_s)
        if self.age_s is None:
            return
        speed = self.speeds[int(state.registration.upstream_id[1:])]
        state.slowdown_ = speed
        state.speed_.record_stated(speed, self.now)
        tokens = 0 if session is None else 1_000
        placement.first_events_.record(state, tokens, is_cached, time_s * 1_000)
        if speed >= REPORTED:
            self._schedule(self.age_s, self._tell, state.key, speed, self.now)

    def _tell(self, key, speed, heard_at):
        for placement in self.routers:
            placement.record_remote_slowdowns([(key, speed, heard_at)])

    def _end(self, state, number):
        state.running_ -= 1
        self.running[number] -= 1
