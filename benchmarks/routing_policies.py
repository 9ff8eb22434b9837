"""Placement policies: baselines, and the exact count of the :class:`PermitLedger`.

All policies run on the same simulated fleet. The baselines learn the engines' loads from reports
that arrive once a second.
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
    PermitLedger,
    RegisteredRoutersLoaded,
    RouterMessageReceived,
    Send,
    UpstreamAnnounced,
    UpstreamLeft,
    compute_load_bound,
)
from sassafrashook.utils import rank_nodes

LOAD_BOUND = 1.25
SERVICE = "advice"
CLASSES = [
    WorkClass(name="counter", waiting_ms=1_000, completion_ms=20_000, priority=0),
    WorkClass(name="plan", waiting_ms=20_000, completion_ms=120_000, priority=9),
]
REPORT_BYTES = len(msgspec.msgpack.encode(LoadReport("engine-10", "8f3a1c22", 100, 10, 0)))
# A router renews its session three times per lease, which lasts 2 s.
SESSION_RENEWALS_PER_S = 1.5
RUNNING_MS = 120_000


class Policy(ABC):
    """Chooses engines for requests.

    :param fleet: the :class:`~benchmarks.routing_fleet.SimulatedFleet`.
    :ivar control_bytes_: control traffic of all routers so far, in bytes.
    :ivar reported_loads_: engine name to running requests, as last reported.
    :ivar router_loads_: (router, engine name) to requests that the router runs there.
    :ivar rankings_: conversation key to all engine names in the order of preference.
    """

    name = ""
    counts_report_bytes = True

    def __init__(self, fleet):
        self.fleet = fleet
        self.control_bytes_ = 0
        self.reported_loads_ = {}
        self.router_loads_ = {}
        self.rankings_ = {}
        self.rng = random.Random(fleet.seed)

    @abstractmethod
    def choose_engine(self, request):
        """Return an engine's name, or ``None`` to refuse the request."""

    def submit(self, request):
        """Start a request at the chosen engine or refuse it."""
        name = self.choose_engine(request)
        if name is None:
            self.fleet.refuse_request(request)
            return
        key = (request.router, name)
        self.router_loads_[key] = self.router_loads_.get(key, 0) + 1
        self.fleet.start_request(request, name)

    def handle_request_end(self, request, name):
        """Stop counting a request against its engine."""
        self.router_loads_[request.router, name] -= 1

    def update(self):
        """Read the engines' load reports; the fleet calls this once a second."""
        self.reported_loads_ = {
            name: self.fleet.count_running(name) for name in self.get_live_engines()
        }
        if self.counts_report_bytes:
            self.control_bytes_ += REPORT_BYTES * len(self.reported_loads_) * self.fleet.routers

    def get_live_engines(self):
        """Return the names of the engines that take new requests."""
        return self.fleet.live_

    def rank_engines(self, request):
        """Return the live engines in the conversation's order of preference."""
        if request.key not in self.rankings_:
            self.rankings_[request.key] = rank_nodes(request.key, list(self.fleet.engines))
        return [name for name in self.rankings_[request.key] if name in self.get_live_engines()]

    def find_below_bound(self, request, get_load, running):
        """Return the first engine in the order of preference whose load is below the bound.

        :param get_load: function from an engine's name to its load.
        :param running: total load, from which the bound is computed.
        """
        ranking = self.rank_engines(request)
        bound = compute_load_bound(LOAD_BOUND, running, len(ranking)) if ranking else 0
        return next((name for name in ranking if get_load(name) < bound), None)


class LocalCounts(Policy):
    """Bounded affinity, with only the router's own requests counted."""

    name = "local knowledge only"
    counts_report_bytes = False

    def choose_engine(self, request):
        """Return the first engine below the bound of the router's own requests."""
        loads = {
            name: self.router_loads_.get((request.router, name), 0)
            for name in self.get_live_engines()
        }
        return self.find_below_bound(request, loads.get, sum(loads.values()))


class TwoRandomChoices(Policy):
    """The engine with the lower reported load of two random ones."""

    name = "two random choices"

    def choose_engine(self, request):
        """Return the less loaded engine of a random pair."""
        pair = self.rng.sample(
            sorted(self.get_live_engines()), min(2, len(self.get_live_engines()))
        )
        return min(pair, key=lambda name: self.reported_loads_.get(name, 0), default=None)


class LeastReportedLoad(Policy):
    """The engine with the lowest reported load."""

    name = "least reported load"

    def choose_engine(self, request):
        """Return the least loaded engine; ties are broken at random."""
        return min(
            sorted(self.get_live_engines()),
            key=lambda n: (self.reported_loads_.get(n, 0), self.rng.random()),
        )


class UnboundedAffinity(Policy):
    """The first live engine in the order of preference, whatever its load."""

    name = "affinity, no bound"
    counts_report_bytes = False

    def choose_engine(self, request):
        """Return the preferred engine."""
        return next(iter(self.rank_engines(request)), None)


class OwnerRouter(Policy):
    """Each engine is owned by one router, which counts its load exactly.

    The mean load comes from the reports and is up to one second old.

    :cvar hop_bytes: size of one query to an owner.
    """

    name = "owner router, second hop"
    hop_bytes = 120

    def choose_engine(self, request):
        """Query the owners in the order of preference until an engine is below the bound."""
        bound = compute_load_bound(
            LOAD_BOUND, sum(self.reported_loads_.values()), max(1, len(self.get_live_engines()))
        )
        for name in self.rank_engines(request):
            self.control_bytes_ += self.hop_bytes
            if self.fleet.count_running(name) < bound:
                return name
        return None


class PreallocatedSlots(Policy):
    """Each engine's bound is divided among the routers for one second in advance.

    :ivar slots_: (router, engine name) to requests that the router may run there.
    """

    name = "preallocated slots"

    def update(self):
        """Assign each slot of the next second to a random router."""
        super().update()
        bound = compute_load_bound(
            LOAD_BOUND, sum(self.reported_loads_.values()), max(1, len(self.get_live_engines()))
        )
        self.slots_ = {}
        for name in sorted(self.get_live_engines()):
            for _ in range(bound):
                key = (self.rng.randrange(self.fleet.routers), name)
                self.slots_[key] = self.slots_.get(key, 0) + 1

    def choose_engine(self, request):
        """Return the first engine at which the router has a free slot."""
        router = request.router
        for name in self.rank_engines(request):
            if self.router_loads_.get((router, name), 0) < self.slots_.get((router, name), 0):
                return name
        return None


class ExactCount(Policy):
    """Permits from one :class:`PermitLedger`, which counts all running requests.

    :ivar pending_: requests without an answer from the ledger, by number.
    :ivar revision_: revision of the last fleet state given to the ledger.
    """

    name = "exact count (PermitLedger)"
    counts_report_bytes = False

    def __init__(self, fleet):
        super().__init__(fleet)
        self.ledger = PermitLedger(epoch=1, rng=random.Random(fleet.seed))
        self.pending_ = {}
        self.revision_ = 0
        self.apply_actions(self.ledger.handle(RegisteredRoutersLoaded(()), 0.0))
        self.set_drained_zones([])

    def choose_engine(self, request):
        """Not used: :meth:`submit` does not choose, since the ledger may answer later."""

    def submit(self, request):
        """Request a permit from the ledger."""
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
        self.pending_[request.number] = request
        self.send_to_ledger(request.router, query)

    def handle_engine_departure(self, name):
        """Tell the ledger that an engine left."""
        self.apply_actions(self.ledger.handle(UpstreamLeft(name), self.fleet.now_))

    def handle_request_end(self, request, name):
        """Release the request's permit."""
        outcome = PermitOutcome.CRASHED if request.failed else PermitOutcome.FINISHED
        self.send_to_ledger(request.router, PermitReleased(request.number, outcome))

    def update(self):
        """Renew the routers' sessions and announce the engines to the ledger."""
        now = self.fleet.now_
        for router in range(self.fleet.routers):
            opened = SessionOpened(f"r{router}", "boot", int(now * 10) + 1, 1)
            self.apply_actions(self.ledger.handle(RouterMessageReceived(f"r{router}", opened), now))
            size = len(msgspec.msgpack.encode(opened))
            size += len(msgspec.msgpack.encode(SessionAccepted(1, 1, 2_000, 1)))
            self.control_bytes_ += size * SESSION_RENEWALS_PER_S
        for engine in self.fleet.engines.values():
            if engine.is_up:
                announcement = _make_announcement(engine, int(now * 10) + 1)
                self.apply_actions(self.ledger.handle(UpstreamAnnounced(announcement), now))
        self.advance()

    def advance(self):
        """Advance the ledger's clock and apply the actions that are due."""
        self.apply_actions(self.ledger.advance(self.fleet.now_))

    def set_drained_zones(self, zones):
        """Publish a fleet state in which exactly these zones are drained.

        :param zones: names of the drained availability zones.
        """
        self.revision_ += 1
        services = [Service(name=SERVICE, kind=UpstreamKind.ENGINE)]
        configuration = Configuration(
            CLASSES, services, default_class="counter", load_bound=LOAD_BOUND
        )
        state = FleetState(self.revision_, configuration, sorted(zones))
        self.apply_actions(self.ledger.handle(FleetStateChanged(state), self.fleet.now_))

    def send_to_ledger(self, router, message):
        """Pass a router's message to the ledger and count its bytes."""
        self.control_bytes_ += len(msgspec.msgpack.encode(message))
        self.apply_actions(
            self.ledger.handle(RouterMessageReceived(f"r{router}", message), self.fleet.now_)
        )

    def apply_actions(self, actions):
        """Start the requests that got a permit and refuse those that were refused."""
        for action in actions:
            message = action.message if isinstance(action, Send) else None
            if isinstance(message, PermitGranted | PermitRefused):
                self.control_bytes_ += len(msgspec.msgpack.encode(message))
                request = self.pending_.pop(message.request_id)
                if isinstance(message, PermitGranted):
                    self.fleet.start_request(request, message.upstream_id)
                else:
                    self.fleet.refuse_request(request)


def _make_announcement(engine, sequence):
    return UpstreamAnnouncement(
        upstream_id=engine.name,
        kind=UpstreamKind.ENGINE,
        service=SERVICE,
        host="127.0.0.1",
        port=1,
        availability_zone=engine.zone,
        boot_id=f"b{engine.boot_count}",
        sequence=sequence,
        incarnation=engine.boot_count,
        capacity=engine.capacity,
        cold_capacity=engine.cold_capacity,
        valid_ms=3_000,
    )


POLICIES = (
    LocalCounts,
    TwoRandomChoices,
    LeastReportedLoad,
    UnboundedAffinity,
    OwnerRouter,
    PreallocatedSlots,
    ExactCount,
)
