"""Discrete-event simulation of engines with prefix caches and of clients whose chats return."""

import heapq
import itertools
import random
from collections import OrderedDict
from dataclasses import dataclass, field

from benchmarks.routing_policies import LOAD_BOUND
from sassafrashook.routing import compute_load_bound

CACHE_SIZE = 60  # conversations whose prefix one engine keeps
CONVERSATIONS_PER_ENGINE = 50
MEAN_SERVICE_S = 5.0
WARM_FINISHED_COUNT = 10_000  # finished requests after which any engine is warm
CRASH_FACTOR = 2  # an engine crashes above this multiple of its concurrency limit


@dataclass(eq=False)
class Request:
    """One chat request of a client; times are simulated seconds."""

    number: int
    router: int
    key: int
    account: str
    work_class: str
    arrived_at: float
    started_at: float = 0.0
    failed: bool = False


@dataclass(eq=False)
class Engine:
    """An engine that slows down above its concurrency limit and crashes far above it.

    :ivar boot_count: number of times that the engine has started.
    :ivar finished: requests finished since the last start; the default makes the engine warm.
    :ivar running: running requests by number.
    :ivar cache: keys of the cached conversations, least recently used first.
    """

    name: str
    zone: str
    capacity: int
    cold_capacity: int
    boot_count: int = 1
    finished: int = WARM_FINISHED_COUNT
    is_up: bool = True
    running: dict = field(default_factory=dict)
    cache: OrderedDict = field(default_factory=OrderedDict)

    def get_concurrency_limit(self):
        """Return how many requests run at full speed; each finished request raises it by one."""
        return min(self.capacity, self.cold_capacity + self.finished)

    def access_cache(self, key):
        """Cache a conversation's prefix and return whether it was cached before."""
        hit = self.cache.pop(key, None) is not None
        self.cache[key] = True
        if len(self.cache) > CACHE_SIZE:
            self.cache.popitem(last=False)
        return hit


class SimulatedFleet:
    """Engines, routers and clients under one placement policy.

    :param policy_class: subclass of :class:`~benchmarks.routing_policies.Policy`.
    :param engines: number of engines.
    :param routers: number of routers.
    :param seed: seed of all random choices.
    :param mean_load: mean number of running requests per engine.
    :param capacity: concurrency limit of a warm engine.
    :param cold: concurrency limit of an engine that has just started.
    :ivar now_: simulated time in seconds.
    :ivar live_: names of the engines that take new requests.
    :ivar over_bound_: assignments that exceeded the load bound.
    :ivar skews_: samples of the largest load over the mean load.
    :ivar results_: pairs of each ended request and the time at which it ended.
    """

    def __init__(self, policy_class, engines, routers, seed, mean_load=10, capacity=64, cold=64):
        self.seed = seed
        self.routers = routers
        self.rng = random.Random(seed)
        self.now_ = 0.0
        self.events_ = []
        self.event_numbers = itertools.count()
        self.request_numbers = itertools.count(1)
        self.engines = {
            f"e{i}": Engine(f"e{i}", "abc"[i % 3], capacity, cold) for i in range(engines)
        }
        self.live_ = set(self.engines)
        self.keys = [self.rng.getrandbits(64) for _ in range(engines * CONVERSATIONS_PER_ENGINE)]
        self.seen_keys_ = set()
        self.arrival_rate = engines * mean_load / MEAN_SERVICE_S
        self.returns_ = self.cache_hits_ = self.assigned_ = self.over_bound_ = self.refused_ = 0
        self.skews_ = []
        self.results_ = []
        self.policy = policy_class(self)
        self.repeat(1.0, self.policy.update)
        self.repeat(0.1, self.sample_skew)
        self.schedule(0.0, self.generate_request)

    def schedule(self, delay, action, *arguments):
        """Schedule a call.

        :param delay: seconds from now.
        """
        heapq.heappush(
            self.events_, (self.now_ + delay, next(self.event_numbers), action, arguments)
        )

    def repeat(self, interval, action):
        """Call an action immediately and then at a fixed interval.

        :param interval: seconds between two calls.
        """
        action()
        self.schedule(interval, self.repeat, interval, action)

    def run(self, until):
        """Process all events up to a time.

        :param until: simulated time in seconds.
        """
        while self.events_[0][0] <= until:
            self.now_, _, action, arguments = heapq.heappop(self.events_)
            action(*arguments)
        self.now_ = until

    def count_running(self, name):
        """Return the number of requests that run at an engine."""
        return len(self.engines[name].running)

    def generate_request(self):
        """Submit the request of a random conversation and schedule the next arrival."""
        self.schedule(self.rng.expovariate(self.arrival_rate), self.generate_request)
        number = next(self.request_numbers)
        request = Request(
            number,
            self.rng.randrange(self.routers),
            self.rng.choice(self.keys),
            f"a{min(int(self.rng.expovariate(0.5)), 9)}",
            self.rng.choice(["counter", "plan"]),
            self.now_,
        )
        self.policy.submit(request)

    def start_request(self, request, name):
        """Start a request at an engine, which crashes if this overloads it too far."""
        engine = self.engines[name]
        request.started_at = self.now_
        engine.running[request.number] = request
        self.assigned_ += 1
        running = sum(self.count_running(live) for live in self.live_)
        bound = compute_load_bound(LOAD_BOUND, running - 1, max(1, len(self.live_)))
        self.over_bound_ += len(engine.running) > bound
        self.returns_ += request.key in self.seen_keys_
        self.cache_hits_ += engine.access_cache(request.key) and request.key in self.seen_keys_
        self.seen_keys_.add(request.key)
        service_s = self.rng.expovariate(1 / MEAN_SERVICE_S)
        slowdown = max(1.0, len(engine.running) / max(1, engine.get_concurrency_limit()))
        self.schedule(
            service_s * slowdown, self.complete_request, engine, engine.boot_count, request
        )
        if len(engine.running) > CRASH_FACTOR * engine.get_concurrency_limit():
            self.crash_engine(engine)

    def complete_request(self, engine, boot_count, request):
        """Complete a request unless its engine has restarted since the request began."""
        if engine.boot_count == boot_count:
            engine.finished += 1
            self.end_request(engine, request)

    def end_request(self, engine, request):
        """Remove a request from its engine and record the result."""
        del engine.running[request.number]
        self.results_.append((request, self.now_))
        self.policy.handle_request_end(request, engine.name)

    def refuse_request(self, request):
        """Record a request that was refused."""
        self.refused_ += 1
        request.failed = True
        self.results_.append((request, self.now_))

    def crash_engine(self, engine):
        """Restart an engine: its requests fail, and it is cold and has an empty cache."""
        engine.boot_count += 1
        engine.finished = 0
        engine.cache.clear()
        for request in list(engine.running.values()):
            request.failed = True
            self.end_request(engine, request)

    def remove_engine(self, name):
        """Take an engine out for 10 s."""
        engine = self.engines[name]
        self.live_.discard(name)
        engine.is_up = False
        if hasattr(self.policy, "handle_engine_departure"):
            self.policy.handle_engine_departure(name)
        self.schedule(10.0, self.restore_engine, engine)

    def restore_engine(self, engine):
        """Bring a removed engine back with an empty cache and no running requests."""
        engine.boot_count += 1
        engine.is_up = True
        engine.cache.clear()
        for request in list(engine.running.values()):
            self.end_request(engine, request)
        self.live_.add(engine.name)

    def sample_skew(self):
        """Record the largest load of a live engine over the mean load."""
        loads = [self.count_running(name) for name in self.live_]
        if sum(loads):
            self.skews_.append(max(loads) * len(loads) / sum(loads))

    def reset_counters(self):
        """Discard the measurements of the warm-up."""
        self.returns_ = self.cache_hits_ = self.assigned_ = self.over_bound_ = self.refused_ = 0
        self.skews_.clear()
        self.policy.control_bytes_ = 0
