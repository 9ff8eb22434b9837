"""Simulated rollouts: routers, one leader and the answers of upstreams, without a network."""

import heapq
import itertools
import random
from dataclasses import dataclass
from types import SimpleNamespace

from sassafrashook.rollouts import (
    RolloutBounds,
    RolloutLeader,
    RolloutState,
    RolloutTable,
    RouterReport,
    RouterRollouts,
    StartRollout,
)

SERVICE = "s"
BOUNDS = RolloutBounds(0.1, 50, 5_000)
ROUTES = ("chats", "plans", "orders", "counts")
OLD, NEW = "v1", "v2"
MEDIAN_S = 0.4
LINK_DELAY_S = 0.03
COMMIT_DELAY_S = 0.05
END_S = 40.0


@dataclass(slots=True, frozen=True)
class Fault:
    """How the new version is bad.

    :param failing: share of its answers that fail.
    :param slowness: factor of its durations.
    :param begins_s: when it becomes bad, in seconds after the order.
    :param route: the only route that is affected, or ``None``.
    :param min_running: smallest number of running requests of an upstream that is affected.
    """

    failing: float = 0.0
    slowness: float = 1.0
    begins_s: float = 0.0
    route: str | None = None
    min_running: int = 0


@dataclass(slots=True)
class Upstream:
    registration: object
    name_hash: int
    cold_until: float = 0.0
    running: int = 0
    slowness: float = 1.0
    failing: float = 0.0

    def is_cold(self, now):
        return now < self.cold_until


class SimulatedRollout:
    """One rollout that is ordered at time 0.

    :param outages: pairs of start and end of the times without a leader.
    :param report_delay_s: delay of all reports of routers.
    """

    def __init__(
        self,
        seed,
        fault=None,
        duration_s=12.0,
        router_count=79,
        upstream_count=70,
        rate=320.0,
        outages=(),
        report_delay_s=LINK_DELAY_S,
        cut_routers=0,
    ):
        self.rng = random.Random(seed)
        self.fault = fault or Fault()
        self.duration_s = duration_s
        self.rate = rate
        self.outages = outages
        self.report_delay_s = report_delay_s
        self.cut_at = self.rng.uniform(0, duration_s) if cut_routers else None
        self.numbers = itertools.count()
        self.events = []
        self.now = 0.0
        self.table = RolloutTable()
        deadline_ms = round(duration_s * 1_000)
        self.table.apply(1, StartRollout(SERVICE, NEW, [OLD], 0, deadline_ms))
        self.leader = None
        self.routers = [
            RouterRollouts(True, random.Random(self.rng.random()), boot=1)
            for _ in range(router_count)
        ]
        self.cut = set(range(cut_routers))
        for router in self.routers:
            router.merge(self.table.list_all(), 1)
        self.upstreams = [
            self.make_upstream(version, number)
            for version in (OLD, NEW)
            for number in range(upstream_count)
        ]
        self.sent = self.sent_new = self.bad_new = 0
        self.fiftieth_bad_at = None
        self.last_new_at = 0.0
        self.running_old = 0
        self.unfinished_at_end = None
        self.ended_s = None

    def make_upstream(self, version, number):
        name = f"{version}-{number}"
        registration = SimpleNamespace(
            upstream_id=name, version=version, service=SERVICE, boot_ms=0
        )
        upstream = Upstream(registration, self.rng.getrandbits(64))
        if version == NEW:
            upstream.cold_until = self.rng.uniform(2.0, 3.5)
        if self.rng.random() < 0.03:  # slow hosts and failing upstreams of either version
            upstream.slowness = 2.5
        if self.rng.random() < 0.01:
            upstream.failing = 0.5
        return upstream

    def schedule(self, delay_s, call, *arguments):
        heapq.heappush(self.events, (self.now + delay_s, next(self.numbers), call, arguments))

    @property
    def rollout(self):
        return self.table.rollouts_[SERVICE]

    def run(self):
        self.schedule(self.rng.expovariate(self.rate), self.send_request)
        self.schedule(0.0, self.poll)
        self.schedule(0.1, self.decide)
        while self.events and self.now < END_S:
            self.now, _, call, arguments = heapq.heappop(self.events)
            if self.ended_s is not None and self.now > self.ended_s + 6.0:
                break
            call(*arguments)
        return self

    def send_request(self):
        self.schedule(self.rng.expovariate(self.rate), self.send_request)
        number = self.rng.randrange(len(self.routers))
        router, route = self.routers[number], self.rng.choice(ROUTES)
        choice = router.choose(SERVICE, self.now)
        candidates = choice.select(self.upstreams, self.now)
        upstream = min(
            self.rng.sample(candidates, min(2, len(candidates))), key=lambda u: u.running
        )
        is_new = upstream.registration.version == NEW
        is_cold = upstream.is_cold(self.now)
        handle = router.begin_attempt(upstream.registration, route, not is_cold, self.now)
        duration_s = MEDIAN_S * self.rng.lognormvariate(0, 0.5) * upstream.slowness
        failing = max(0.01, upstream.failing)
        if self.now <= self.duration_s:
            self.sent += 1
            self.sent_new += is_new
        if is_new:
            self.last_new_at = self.now
            if is_cold:
                duration_s *= 4
            if self.is_affected(upstream, route):
                failing = max(failing, self.fault.failing)
                duration_s *= self.fault.slowness
        upstream.running += 1
        self.running_old += not is_new
        is_bad = self.rng.random() < failing
        self.schedule(duration_s, self.end_request, router, upstream, handle, is_bad)

    def is_affected(self, upstream, route):
        fault = self.fault
        return (
            self.now >= fault.begins_s
            and fault.route in (None, route)
            and upstream.running >= fault.min_running
        )

    def end_request(self, router, upstream, handle, is_bad):
        router.end_attempt(handle, is_bad, self.now)
        upstream.running -= 1
        if upstream.registration.version == OLD:
            self.running_old -= 1
        elif is_bad:
            self.bad_new += 1
            if self.bad_new == 50:
                self.fiftieth_bad_at = self.now

    def has_leader(self):
        return not any(begin <= self.now < end for begin, end in self.outages)

    def is_cut(self, number):
        return number in self.cut and self.now >= self.cut_at

    def poll(self):
        self.schedule(0.25, self.poll)
        if self.has_leader():
            for number in range(len(self.routers)):
                if not self.is_cut(number):
                    self.schedule(LINK_DELAY_S, self.answer_poll, number, self.rollout)

    def answer_poll(self, number, rollout):
        router = self.routers[number]
        router.renew(rollout, 1.5, self.now)
        _, index, running, longest_ms, totals = router.report(SERVICE, self.now)
        self.schedule(self.report_delay_s, self.receive, number, index, running, longest_ms, totals)

    def receive(self, number, index, running, longest_ms, totals):
        if self.leader is not None:
            report = RouterReport(self.now, index, 1, running, longest_ms, totals)
            self.leader.record(f"r{number}", report)

    def decide(self):
        self.schedule(0.1, self.decide)
        if not self.has_leader():
            self.leader = None
            return
        if not self.rollout.is_in_progress:
            return
        if self.leader is None:
            self.leader = RolloutLeader(self.rollout, BOUNDS)
        new = [u for u in self.upstreams if u.registration.version == NEW]
        warm = sum(not upstream.is_cold(self.now) for upstream in new)
        names = [f"r{n}" for n in range(len(self.routers)) if not self.is_cut(n)]
        now_ms = round(self.now * 1_000)
        command = self.leader.decide(self.rollout, names, warm, len(new), self.now, now_ms)
        if command is not None:
            self.schedule(COMMIT_DELAY_S, self.commit, command)

    def commit(self, command):
        self.table.apply(self.table.index_ + 1, command)
        if not self.rollout.is_in_progress and self.ended_s is None:
            self.ended_s = self.now
            self.unfinished_at_end = self.running_old
        for number in range(len(self.routers)):
            if not self.is_cut(number):
                self.schedule(LINK_DELAY_S, self.answer_poll, number, self.rollout)

    @property
    def state(self):
        return self.rollout.state

    @property
    def is_completed_in_time(self):
        is_completed = self.state is RolloutState.COMPLETED
        return is_completed and self.ended_s <= self.duration_s and not self.unfinished_at_end

    @property
    def excess(self):
        """Number of requests to the new version above the bound."""
        return self.sent_new - (BOUNDS.share * self.sent + BOUNDS.tolerance)


FAULTS = {
    "failing": lambda rng: Fault(failing=rng.uniform(0.25, 0.8)),
    "slow": lambda rng: Fault(slowness=rng.uniform(3.0, 8.0)),
    "later": lambda rng: Fault(failing=rng.uniform(0.3, 0.8), begins_s=rng.uniform(2.0, 7.0)),
    "later_slow": lambda rng: Fault(slowness=rng.uniform(3.0, 8.0), begins_s=rng.uniform(2, 7)),
    "route": lambda rng: Fault(failing=rng.uniform(0.3, 0.8), route=rng.choice(ROUTES)),
    "load": lambda rng: Fault(failing=rng.uniform(0.3, 0.8), min_running=2),
}


def run_seeds(kind, seeds, **options):
    """Run one kind of version for each of the seeds and return the :class:`SimulatedRollout`."""
    results = []
    for seed in seeds:
        rng = random.Random(f"{kind}-{seed}")
        fault = FAULTS[kind](rng) if kind in FAULTS else None
        duration_s = rng.uniform(10.0, 15.0)
        results.append(SimulatedRollout(seed, fault, duration_s, **options).run())
    return results


def describe(kind, results):
    """Return a line with the figures of some results."""
    late = [
        result.last_new_at - result.fiftieth_bad_at
        for result in results
        if result.fiftieth_bad_at is not None and result.state is RolloutState.REVERTED
    ]
    exposures = sorted(result.sent_new for result in results)
    return (
        f"{kind}: runs={len(results)}"
        f" completed={sum(r.state is RolloutState.COMPLETED for r in results)}"
        f" in_time={sum(r.is_completed_in_time for r in results)}"
        f" reverted={sum(r.state is RolloutState.REVERTED for r in results)}"
        f" over_bound={sum(r.excess > 0 for r in results)}"
        f" sent_new_median={exposures[len(exposures) // 2]} max={exposures[-1]}"
        f" longest_after_50th_bad_s={max(late, default=0):.2f}"
    )
