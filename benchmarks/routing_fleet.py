"""A queue of timed events: engines with prompt caches, and callers whose chats return."""

import heapq
import itertools
import random
from collections import OrderedDict
from dataclasses import dataclass, field

from benchmarks.routing_policies import LOAD_BOUND
from sassafrashook.routing import round_bound

CACHE_CONVERSATIONS = 60
CONVERSATIONS_PER_ENGINE = 50
SERVICE_S = 5.0
FALL_OVER_FACTOR = 2


@dataclass(eq=False)
class Request:
    """One caller's request."""

    number: int
    router: int
    key: int
    account: str
    work_class: str
    arrived: float
    started: float = 0.0
    failed: bool = False


@dataclass(eq=False)
class Engine:
    """An engine: too much work makes it slow, far too much while cold makes it fall over."""

    name: str
    zone: str
    capacity: int
    cold_capacity: int
    boots: int = 1
    finished: int = 10_000
    is_up: bool = True
    running: dict = field(default_factory=dict)
    cache: OrderedDict = field(default_factory=OrderedDict)

    def bears(self):
        """Return how many requests it bears at once."""
        return min(self.capacity, self.cold_capacity + self.finished)

    def use_cache(self, key):
        """Return whether a conversation's prefix was cached, and cache it."""
        hit = self.cache.pop(key, None) is not None
        self.cache[key] = True
        if len(self.cache) > CACHE_CONVERSATIONS:
            self.cache.popitem(last=False)
        return hit


class BenchFleet:
    """Engines, routers and callers under one policy.

    :param mean_load: requests that run at an engine on average.
    """

    def __init__(self, policy_class, engines, routers, seed, mean_load=10, capacity=64, cold=64):
        self.seed = seed
        self.routers = routers
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.numbers = itertools.count(1)
        self.engines = {
            f"e{i}": Engine(f"e{i}", "abc"[i % 3], capacity, cold) for i in range(engines)
        }
        self.live = set(self.engines)
        self.keys = [self.rng.getrandbits(64) for _ in range(engines * CONVERSATIONS_PER_ENGINE)]
        self.seen = set()
        self.rate = engines * mean_load / SERVICE_S
        self.returns = self.hits = self.assigned = self.over = self.refused = 0
        self.skews = []
        self.results = []
        self.policy = policy_class(self)
        self.every(1.0, self.policy.report)
        self.every(0.1, self.sample)
        self.at(0.0, self.arrive)

    def at(self, delay, action, *arguments):
        """Schedule an action."""
        heapq.heappush(self.events, (self.now + delay, next(self.order), action, arguments))

    def every(self, interval, action):
        """Do an action now and regularly."""
        action()
        self.at(interval, self.every, interval, action)

    def run(self, until):
        """Let time pass."""
        while self.events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.now = until

    def load(self, name):
        """Return how many requests run at an engine."""
        return len(self.engines[name].running)

    def arrive(self):
        """A caller's chat starts or returns."""
        self.at(self.rng.expovariate(self.rate), self.arrive)
        number = next(self.numbers)
        request = Request(
            number,
            self.rng.randrange(self.routers),
            self.rng.choice(self.keys),
            f"a{min(int(self.rng.expovariate(0.5)), 9)}",
            self.rng.choice(["counter", "plan"]),
            self.now,
        )
        self.policy.submit(request)

    def start(self, request, name):
        """A request begins to run at an engine."""
        engine = self.engines[name]
        request.started = self.now
        engine.running[request.number] = request
        self.assigned += 1
        running = sum(self.load(live) for live in self.live)
        bound = round_bound(LOAD_BOUND, running - 1, max(1, len(self.live)))
        self.over += len(engine.running) > bound
        self.returns += request.key in self.seen
        self.hits += engine.use_cache(request.key) and request.key in self.seen
        self.seen.add(request.key)
        length = self.rng.expovariate(1 / SERVICE_S)
        slowness = max(1.0, len(engine.running) / max(1, engine.bears()))
        self.at(length * slowness, self.end, engine, engine.boots, request)
        if len(engine.running) > FALL_OVER_FACTOR * engine.bears():
            self.restart(engine)

    def end(self, engine, boots, request):
        """A request's answer is whole."""
        if engine.boots == boots:
            engine.finished += 1
            self.settle(engine, request)

    def settle(self, engine, request):
        """A request no longer runs."""
        del engine.running[request.number]
        self.results.append((request, self.now))
        self.policy.finish(request, engine.name)

    def refuse(self, request):
        """A request was given up."""
        self.refused += 1
        request.failed = True
        self.results.append((request, self.now))

    def restart(self, engine):
        """An engine falls over: what runs is lost, and it is cold and empty afterwards."""
        engine.boots += 1
        engine.finished = 0
        engine.cache.clear()
        for request in list(engine.running.values()):
            request.failed = True
            self.settle(engine, request)

    def churn(self, name):
        """An engine leaves for ten seconds and returns with an empty cache."""
        engine = self.engines[name]
        self.live.discard(name)
        engine.is_up = False
        if hasattr(self.policy, "lose"):
            self.policy.lose(name)
        self.at(10.0, self.come_back, engine)

    def come_back(self, engine):
        """An engine is there again."""
        engine.boots += 1
        engine.is_up = True
        engine.cache.clear()
        for request in list(engine.running.values()):
            self.settle(engine, request)
        self.live.add(engine.name)

    def sample(self):
        """Record the skew."""
        loads = [self.load(name) for name in self.live]
        if sum(loads):
            self.skews.append(max(loads) * len(loads) / sum(loads))

    def forget(self):
        """Start to measure now."""
        self.returns = self.hits = self.assigned = self.over = self.refused = 0
        self.skews.clear()
        self.policy.bytes_ = 0
