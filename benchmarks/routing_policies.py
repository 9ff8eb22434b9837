"""Ways to choose an engine: baselines, and the exact count of the project's own ledger.

All see the same fleet; the baselines know the engines' loads from reports once a second.
"""

import random
from abc import ABC, abstractmethod

import msgspec

from sassafrashook.configuration import Configuration, FleetState, Service, WorkClass
from sassafrashook.messages import (
    LoadReport,
    PermitGranted,
    PermitOutcome,
    PermitRefused,
    PermitReleased,
    PermitRequested,
    SessionAccepted,
    SessionOpened,
    UpstreamAnnouncement,
    UpstreamKind,
)
from sassafrashook.routing import (
    FleetStateChanged,
    FromRouter,
    PermitLedger,
    RoutersKnown,
    Send,
    UpstreamLeft,
    UpstreamSeen,
    round_bound,
)
from sassafrashook.utils import rank_nodes

LOAD_BOUND = 1.25
SERVICE = "advice"
CLASSES = [
    WorkClass(name="counter", waiting_ms=1_000, completion_ms=20_000, priority=0),
    WorkClass(name="plan", waiting_ms=20_000, completion_ms=120_000, priority=9),
]
REPORT_BYTES = len(msgspec.msgpack.encode(LoadReport("engine-10", "8f3a1c22", 100, 10, 0)))
RENEWALS_PER_SECOND = 1.5
RUNNING_MS = 120_000


class Policy(ABC):
    """Chooses engines for requests.

    :param fleet: the :class:`~benchmarks.routing_fleet.BenchFleet`.

    Attributes
    ----------
    bytes_ : control bytes of all routers so far.
    """

    name = ""
    is_cost_of_reports_counted = True

    def __init__(self, fleet):
        self.fleet = fleet
        self.bytes_ = 0
        self.reported = {}
        self.own = {}
        self.orders = {}
        self.rng = random.Random(fleet.seed)

    @abstractmethod
    def choose(self, request):
        """Return an engine's name, or ``None`` to refuse."""

    def submit(self, request):
        """Place a request at once or refuse it."""
        name = self.choose(request)
        if name is None:
            self.fleet.refuse(request)
            return
        key = (request.router, name)
        self.own[key] = self.own.get(key, 0) + 1
        self.fleet.start(request, name)

    def finish(self, request, name):
        """Take note of an ended request."""
        self.own[request.router, name] -= 1

    def report(self):
        """Take the loads of this second."""
        self.reported = {name: self.fleet.load(name) for name in self.live()}
        if self.is_cost_of_reports_counted:
            self.bytes_ += REPORT_BYTES * len(self.reported) * self.fleet.routers

    def live(self):
        """Return the engines that this policy believes to take new work."""
        return self.fleet.live

    def order(self, request):
        """Return the live engines in the conversation's preference order."""
        if request.key not in self.orders:
            self.orders[request.key] = rank_nodes(request.key, list(self.fleet.engines))
        return [name for name in self.orders[request.key] if name in self.live()]

    def first_under(self, request, load, running):
        """Return the first engine in order whose load is under the bound."""
        order = self.order(request)
        bound = round_bound(LOAD_BOUND, running, len(order)) if order else 0
        return next((name for name in order if load(name) < bound), None)


class LocalOnly(Policy):
    """Affinity, bounded by the router's own counts."""

    name = "local knowledge only"
    is_cost_of_reports_counted = False

    def choose(self, request):
        """Bound the router's own share."""
        own = {name: self.own.get((request.router, name), 0) for name in self.live()}
        return self.first_under(request, own.get, sum(own.values()))


class TwoChoices(Policy):
    """The less loaded, by report, of two random engines."""

    name = "two random choices"

    def choose(self, request):
        """Compare two reports."""
        pair = self.rng.sample(sorted(self.live()), min(2, len(self.live())))
        return min(pair, key=lambda name: self.reported.get(name, 0), default=None)


class LeastLoaded(Policy):
    """The engine with the least reported load."""

    name = "least reported load"

    def choose(self, request):
        """Compare all reports."""
        return min(self.live(), key=lambda n: (self.reported.get(n, 0), self.rng.random()))


class Affinity(Policy):
    """The first engine in preference order."""

    name = "affinity, no bound"
    is_cost_of_reports_counted = False

    def choose(self, request):
        """Ignore loads."""
        return next(iter(self.order(request)), None)


class OwnerRouter(Policy):
    """Each engine is owned by one router, which counts exactly; the mean is a second old."""

    name = "owner router, second hop"
    hop_bytes = 120

    def choose(self, request):
        """Ask one owner after the other."""
        bound = round_bound(LOAD_BOUND, sum(self.reported.values()), max(1, len(self.live())))
        for name in self.order(request):
            self.bytes_ += self.hop_bytes
            if self.fleet.load(name) < bound:
                return name
        return None


class GrantsAhead(Policy):
    """Each engine's bound is shared out to routers, a second ahead."""

    name = "expiring grants ahead"

    def report(self):
        """Deal out the slots of this second, some routers more than others."""
        super().report()
        bound = round_bound(LOAD_BOUND, sum(self.reported.values()), max(1, len(self.live())))
        self.slots = {}
        for name in sorted(self.live()):
            for _ in range(bound):
                key = (self.rng.randrange(self.fleet.routers), name)
                self.slots[key] = self.slots.get(key, 0) + 1

    def choose(self, request):
        """Use the first engine with a slot of this router left."""
        router = request.router
        for name in self.order(request):
            if self.own.get((router, name), 0) < self.slots.get((router, name), 0):
                return name
        return None


class ExactCount(Policy):
    """The project's permit ledger."""

    name = "exact count (PermitLedger)"
    is_cost_of_reports_counted = False

    def __init__(self, fleet):
        super().__init__(fleet)
        self.ledger = PermitLedger(epoch=1, rng=random.Random(fleet.seed))
        self.waiting = {}
        self.revision = 0
        self.act(self.ledger.handle(RoutersKnown(()), 0.0))
        self.drain_zones([])

    def choose(self, request):
        """Unused: answers may come later."""

    def submit(self, request):
        """Ask for a permit."""
        waiting_ms = next(c.waiting_ms for c in CLASSES if c.name == request.work_class)
        query = PermitRequested(
            request.number,
            SERVICE,
            request.key,
            request.account,
            request.work_class,
            waiting_ms,
            RUNNING_MS,
            request.number,
        )
        self.waiting[request.number] = request
        self.tell(request.router, query)

    def lose(self, name):
        """Hear that an engine left."""
        self.act(self.ledger.handle(UpstreamLeft(name), self.fleet.now))

    def finish(self, request, name):
        """Release the permit."""
        outcome = PermitOutcome.CRASHED if request.failed else PermitOutcome.FINISHED
        self.tell(request.router, PermitReleased(request.number, outcome))

    def report(self):
        """Announce the engines and renew the sessions."""
        now = self.fleet.now
        for router in range(self.fleet.routers):
            opened = SessionOpened(f"r{router}", "boot", int(now * 10) + 1, 1)
            self.act(self.ledger.handle(FromRouter(f"r{router}", opened), now))
            size = len(msgspec.msgpack.encode(opened))
            size += len(msgspec.msgpack.encode(SessionAccepted(1, 1, 2_000, 1)))
            self.bytes_ += size * RENEWALS_PER_SECOND
        for engine in self.fleet.engines.values():
            if engine.is_up:
                seen = _announce(engine, int(now * 10) + 1)
                self.act(self.ledger.handle(UpstreamSeen(seen), now))
        self.advance()

    def advance(self):
        """Do what is due."""
        self.act(self.ledger.advance(self.fleet.now))

    def drain_zones(self, zones):
        """Take zones out."""
        self.revision += 1
        services = [Service(name=SERVICE, kind=UpstreamKind.ENGINE)]
        configuration = Configuration(CLASSES, services, load_bound=LOAD_BOUND)
        state = FleetState(self.revision, configuration, sorted(zones))
        self.act(self.ledger.handle(FleetStateChanged(state), self.fleet.now))

    def tell(self, router, message):
        """Hand a router's message to the ledger."""
        self.bytes_ += len(msgspec.msgpack.encode(message))
        self.act(self.ledger.handle(FromRouter(f"r{router}", message), self.fleet.now))

    def act(self, actions):
        """Carry out grants and refusals."""
        for action in actions:
            message = action.message if isinstance(action, Send) else None
            if isinstance(message, PermitGranted | PermitRefused):
                self.bytes_ += len(msgspec.msgpack.encode(message))
                request = self.waiting.pop(message.request_id)
                if isinstance(message, PermitGranted):
                    self.fleet.start(request, message.upstream_id)
                else:
                    self.fleet.refuse(request)


def _announce(engine, sequence):
    return UpstreamAnnouncement(
        upstream_id=engine.name,
        kind=UpstreamKind.ENGINE,
        service=SERVICE,
        host="127.0.0.1",
        port=1,
        availability_zone=engine.zone,
        boot_id=f"b{engine.boots}",
        sequence=sequence,
        incarnation=engine.boots,
        capacity=engine.capacity,
        cold_capacity=engine.cold_capacity,
        valid_ms=3_000,
    )


POLICIES = (LocalOnly, TwoChoices, LeastLoaded, Affinity, OwnerRouter, GrantsAhead, ExactCount)
