"""A simulated fleet in which requests with one prompt part crash each upstream that runs them.

Time is simulated. Routers detect crashes and exchange records through controllers as the daemons
do, over links that delay messages and lose reports. Routers and controllers restart with empty
ledgers.
"""

import itertools
import random

from sassafrashook.quarantine import (
    CrashDetector,
    CrashLedger,
    compute_traits,
    compute_trial_delay_s,
)
from sassafrashook.utils.tests.event_queue import EventQueue

DURATION_S = 40.0
POISON_STARTS_AT = 4.0
CONTACT_TIMEOUT_S = 3.0
REPORT_INTERVAL_S = 0.2
CRASH_REPORT_S = 3.0
PUBLISH_INTERVAL_S = 0.05
MAX_ATTEMPTS = 2
POISON_PART = "poison"


class Request:
    """One request of a client, with its further attempts.

    :ivar parts: identifiers of its prompt parts.
    :ivar content: what distinguishes it from other requests with these parts.
    :ivar request_id: identifier that each repetition by the client changes.
    :ivar is_suspected: whether it was suspected when it was first sent.
    :ivar attempts: number of attempts so far.
    :ivar client_retries: number of times that the client may still repeat it.
    """

    def __init__(self, parts, client_retries, content=""):
        self.parts = parts
        self.content = content
        self.traits = compute_traits(parts, "account", content)
        self.request_id = 0
        self.is_suspected = False
        self.attempts = 0
        self.client_retries = client_retries

    @property
    def is_poison(self):
        return POISON_PART in self.parts or POISON_PART in self.content


class Upstream:
    """An upstream that crashes 0.1 s after it begins to run a poison request.

    :ivar running: (request, router) of each running attempt by its number.
    """

    def __init__(self, name):
        self.name = name
        self.boot = 1
        self.is_up = True
        self.running = {}

    @property
    def key(self):
        return (self.name, self.boot)


class Router:
    """A router with its own ledger.

    :ivar names: names of all routers.
    :ivar started_at: time of its last start, in simulated seconds.
    """

    def __init__(self, name, names):
        self.name = name
        self.names = names
        self.restart(float("-inf"))

    def restart(self, now):
        self.started_at = now
        self.detector = CrashDetector()
        self.ledger = CrashLedger()

    def find_quarantine(self, request, now):
        """Return why a request is rejected, as the gateway does."""
        if request.attempts > 0:
            return self.ledger.find_quarantine(request.traits, now)
        return self.ledger.find_quarantine(
            request.traits, now, lambda trait: compute_trial_delay_s(trait, self.name, self.names)
        )

    def is_in_touch(self, now):
        return now >= self.started_at + CONTACT_TIMEOUT_S


class Controller:
    """A controller that passes records on to all nodes.

    :ivar held: (ledger of a node, revision that it holds) by node name.
    """

    def __init__(self, name):
        self.name = name
        self.restart()

    def restart(self):
        self.ledger = CrashLedger()
        self.held = {}


class SimulatedFleet(EventQueue):
    """Runs one seed.

    :ivar sound_duration_s: bounds of the duration of a sound request, in seconds.
    :ivar crashes: time of each crash, in simulated seconds, and the trait of the content that
        crashed the upstream.
    :ivar poison_sends: the same of each poison request that a router in touch sent.
    :ivar sound_arrivals: (time, whether it was rejected) of the first attempts of sound requests
        that share a part with poison requests, at routers in touch.
    """

    def __init__(self, seed):
        super().__init__()
        self.rng = rng = random.Random(seed)
        names = [f"r{n}" for n in range(rng.choice((3, 6, 7, 12, 40)))]
        self.routers = [Router(name, names) for name in names]
        self.controllers = [Controller(f"c{n}") for n in range(rng.choice((3, 5)))]
        self.upstreams = [Upstream(f"u{n}") for n in range(rng.choice((4, 5, 9, 20)))]
        self.poison_rate = rng.choice((0.3, 1.0, 3.0, 6.0))
        self.sound_rate = rng.choice((10.0, 30.0, 60.0))
        self.poison_index = rng.randrange(3)
        self.first_parts = [f"f{n}" for n in range(rng.choice((2, 4, 8)))]
        self.sound_duration_s = (0.1, 1.5)
        self.crashes = []
        self.poison_sends = []
        self.sound_arrivals = []
        self._numbers = itertools.count()

    def run(self):
        """Play all events; :returns: this fleet."""
        rng = self.rng
        self.schedule(0.0, self.create_sound_request)
        self.schedule(POISON_STARTS_AT, self.create_poison_request)
        for router in self.routers:
            self.schedule(rng.uniform(0, REPORT_INTERVAL_S), self.report, router)
        for controller in self.controllers:
            self.schedule(rng.uniform(0, PUBLISH_INTERVAL_S), self.publish, controller)
        for _ in range(rng.randrange(len(self.routers) + 1)):
            self.schedule(rng.uniform(0, DURATION_S), self.restart_router, rng.choice(self.routers))
        for _ in range(rng.randrange(3)):
            controller = rng.choice(self.controllers)
            self.schedule(rng.uniform(0, DURATION_S), controller.restart)
        self.run_until(DURATION_S)
        return self

    def create_sound_request(self):
        rng = self.rng
        first = rng.choice(self.first_parts)
        session = f"{first}-{rng.randrange(40)}"
        request = Request((first, session, f"own{next(self._numbers)}"), rng.randrange(2))
        self.arrive(request)
        self.schedule(rng.expovariate(self.sound_rate), self.create_sound_request)

    def create_poison_request(self):
        rng = self.rng
        parts = [self.first_parts[0], f"{self.first_parts[0]}-0", f"own{next(self._numbers)}"]
        parts.insert(self.poison_index, POISON_PART)
        self.arrive(Request(tuple(parts), rng.randrange(3)))
        self.schedule(rng.expovariate(self.poison_rate), self.create_poison_request)

    def arrive(self, request):
        """Handle a request of a client at any router."""
        request.attempts = 0
        request.request_id = next(self._numbers)
        router = self.rng.choice(self.routers)
        is_rejected = self.send(request, router)
        if self.is_counted_as_sound(request) and router.is_in_touch(self.now):
            self.sound_arrivals.append((self.now, is_rejected))

    def is_counted_as_sound(self, request):
        """Return whether a sound request could be mistaken for a poison request."""
        return not request.is_poison and self.first_parts[0] in request.parts

    def send(self, request, router):
        """Send a request to an upstream.

        :returns: whether the router rejected it because of a quarantine.
        """
        if router.find_quarantine(request, self.now) is not None:
            return True
        available = [upstream for upstream in self.upstreams if upstream.is_up]
        if not available or request.attempts >= MAX_ATTEMPTS:
            self.retry_unplaced(request)
            return False
        if request.attempts == 0:
            request.is_suspected = router.ledger.is_suspected(request.traits, self.now)
        request.attempts += 1
        upstream, attempt = self.rng.choice(available), next(self._numbers)
        upstream.running[attempt] = (request, router)
        if request.is_poison:
            if router.is_in_touch(self.now):
                self.poison_sends.append((self.now, request.traits[-1]))
            self.schedule(0.1, self.crash, upstream, upstream.boot, request.traits[-1])
        else:
            duration_s = self.rng.uniform(*self.sound_duration_s)
            self.schedule(duration_s, self.complete, upstream, attempt)
        return False

    def complete(self, upstream, attempt):
        request, router = upstream.running.pop(attempt, (None, None))
        if request is not None:
            router.ledger.record_completion(request.traits, self.now)

    def crash(self, upstream, boot, content):
        if not upstream.is_up or upstream.boot != boot:
            return
        self.crashes.append((self.now, content))
        upstream.is_up = False
        running, upstream.running = upstream.running, {}
        for request, router in running.values():
            router.detector.record_interruption(
                upstream.key, request.request_id, request.traits, self.now
            )
            self.retry(request, router)
        for router in dict.fromkeys(router for _, router in running.values()):
            delay_s = self.rng.uniform(0.01, 0.3)
            self.schedule(delay_s, self.detect_crash, router, upstream.key)
        self.schedule(self.rng.uniform(2.5, 3.5), self.start_upstream, upstream)

    def retry(self, request, router):
        """Resume a broken-off request at another upstream, or let its client repeat it."""
        may_resume = request.attempts < MAX_ATTEMPTS and not request.is_suspected
        if may_resume and self.rng.random() < 0.7:
            self.schedule(0.001, self.send, request, router)
        elif request.client_retries > 0:
            request.client_retries -= 1
            self.schedule(self.rng.uniform(0.05, 0.5), self.arrive, request)

    def retry_unplaced(self, request):
        """Let the client of a request that no upstream can take come back; not by default."""

    def start_upstream(self, upstream):
        upstream.boot += 1
        upstream.is_up = True

    def detect_crash(self, router, key):
        interrupted = router.detector.record_refused_connection(key, self.now)
        if interrupted:
            traits = [request.traits for request in interrupted]
            origins = [request.request_id for request in interrupted]
            router.ledger.record_crash(key, traits, origins, self.now)

    def report(self, router):
        """Send recent observations of a router to one controller; some reports are lost."""
        records = router.ledger.list_observed(self.now - CRASH_REPORT_S, self.now)
        controller = self.rng.choice(self.controllers)
        if records and self.rng.random() > 0.2:
            self.schedule(self.rng.uniform(0.002, 0.1), self.deliver, controller.ledger, records)
        self.schedule(REPORT_INTERVAL_S, self.report, router)

    def publish(self, controller):
        """Send changed records to all nodes."""
        ledger = controller.ledger
        for node in (*self.routers, *self.controllers):
            held_ledger, revision = controller.held.get(node.name, (None, 0))
            if held_ledger is not node.ledger:
                revision = 0  # the node has restarted
            if node is controller or revision == ledger.revision_:
                continue
            is_router = node in self.routers
            list_changes = ledger.list_changes_for_routers if is_router else ledger.list_changes
            records = list_changes(revision, self.now)
            controller.held[node.name] = (node.ledger, ledger.revision_)
            self.schedule(self.rng.uniform(0.002, 0.1), self.deliver, node.ledger, records)
        self.schedule(PUBLISH_INTERVAL_S, self.publish, controller)

    def deliver(self, ledger, records):
        for record in records:
            ledger.merge(record, self.now)

    def restart_router(self, router):
        """Restart a router, which breaks off its requests without a crash of an upstream."""
        for upstream in self.upstreams:
            remaining = {n: pair for n, pair in upstream.running.items() if pair[1] is not router}
            upstream.running = remaining
        router.restart(self.now)


class RepeatedContentFleet(SimulatedFleet):
    """A fleet with a small service that two contents crash, which clients send again and again.

    The requests have no prompt. Clients that find no upstream come back, so that repeats pile up
    until the upstreams have started again. Some sound contents are repeated as well.
    """

    def __init__(self, seed):
        super().__init__(seed)
        self.upstreams = self.upstreams[:3]
        self.poison_rate = self.rng.choice((1.0, 2.0, 4.0))
        self.sound_duration_s = (0.02, 0.3)

    def create_sound_request(self):
        rng = self.rng
        is_repeated = rng.random() < 0.3
        content = f"popular{rng.randrange(5)}" if is_repeated else f"own{next(self._numbers)}"
        self.arrive(Request((), 1, content))
        self.schedule(rng.expovariate(self.sound_rate), self.create_sound_request)

    def create_poison_request(self):
        rng = self.rng
        self.arrive(Request((), 1, f"{POISON_PART}{rng.randrange(2)}"))
        self.schedule(rng.expovariate(self.poison_rate), self.create_poison_request)

    def is_counted_as_sound(self, request):
        return not request.is_poison

    def retry_unplaced(self, request):
        if request.client_retries > 0 and request.attempts == 0:
            request.client_retries -= 1
            self.schedule(self.rng.uniform(0.3, 0.9), self.arrive, request)
