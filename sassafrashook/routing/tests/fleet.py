"""Discrete-event simulation of routers, owners and fake engines, with checks of the loads.

The checks rely only on the ledger's counts of running requests: the number of requests that really
run on an engine must never exceed its count, and the counts must obey the load bound.
"""

import heapq
import itertools
import math
import random
from dataclasses import dataclass, field

from sassafrashook.messages import (
    LoadReport,
    PermitGranted,
    PermitOutcome,
    PermitRequested,
    SessionOpened,
    SessionRedirected,
)
from sassafrashook.routing import (
    Acquired,
    AcquireRequested,
    ControllerMessageReceived,
    FleetStateChanged,
    PermitClient,
    PermitLedger,
    Quarantine,
    RecordedSuspectsLoaded,
    RecordSuspect,
    Refused,
    RegisteredRoutersLoaded,
    ReleaseRequested,
    RouterIdentity,
    RouterMessageReceived,
    Send,
    UpstreamAnnounced,
)
from sassafrashook.routing.tests.builders import SERVICE, make_announcement, make_fleet_state

ZONES = ("a", "b", "c")
ZONE_DEADLINE_S = 3.0
USE_WITHIN_S = 1.0  # a permit granted before the quarantine may still be used this long
DETECTION_S = 2.0  # time for the owner to learn of a new boot if announcements are lost or late
LOAD_BOUND = 1.25
CAPACITY = 8
COLD_CAPACITY = 2


@dataclass
class Faults:
    """Probabilities of faults.

    :param lost: probability that a message is lost.
    :param late: probability that a message is delayed by up to two seconds.
    :param duplicated: probability that a message is delivered twice.
    :param paused: probability that a router pauses between a permit and its use.
    """

    lost: float = 0.0
    late: float = 0.0
    duplicated: float = 0.0
    paused: float = 0.0


@dataclass
class Engine:
    """A fake engine that warms up with finished answers and crashes on poison requests."""

    name: str
    zone: str
    incarnation: int = 1
    born: float = -math.inf
    sequence: int = 0
    finished: int = 0
    leaving_since: float = math.inf
    running: dict = field(default_factory=dict)

    @property
    def boot(self):
        return f"{self.name}-{self.incarnation}"

    def compute_capacity(self):
        """Return how many requests it can run now."""
        return min(CAPACITY, COLD_CAPACITY + self.finished)


class Fleet:
    """A simulated fleet of routers and engines with one owner at a time.

    :param seed: seed of the random generator.
    :param engines: number of engines.
    :param routers: number of routers.
    :param faults: the :class:`Faults`.
    :param ledger_class: class of the owner; a test may pass one with a mechanism switched off.
    :param config_bound: load bound configured in the ledger, if it differs from the checked bound.
    :param pause_s: maximum pause of a router between a permit and its use, in seconds.
    """

    is_dispatch_checked = True

    def __init__(
        self,
        seed,
        engines=6,
        routers=4,
        faults=None,
        ledger_class=PermitLedger,
        config_bound=None,
        pause_s=3.0,
    ):
        self.rng = random.Random(seed)
        self.faults = faults or Faults()
        self.ledger_class = ledger_class
        self.pause_s = pause_s
        self.now = 0.0
        self.events_ = []
        self.order_ = itertools.count()
        self.epoch = 0
        self.ledger = None
        self.owner = ""
        self.drained = {}
        self.quarantined = {}
        self.revision = 0
        self.load_bound = config_bound or LOAD_BOUND
        self.engines = {f"e{i}": Engine(f"e{i}", ZONES[i % 3]) for i in range(engines)}
        self.boots = {f"r{i}": 1 for i in range(routers)}
        self.clients = {}
        self.replaced_routers = []
        self.suspects = {}
        self.tokens = itertools.count(1)
        self.fingerprints = itertools.count(1)
        self.poison_fingerprints = set()
        self.may_have_missed_reports = False
        self.crashes_by_fingerprint = {}
        self.answers = {"complete": 0, "refused": 0, "broken": 0}
        self.violations = []
        self.checked_grants = set()
        for router in self.boots:
            self.start_router(router)
        self.start_owner("c1")
        self.repeat(0.5, self.announce_all)
        self.repeat(1.0, self.report_all)

    # -- time -----------------------------------------------------------------------------------
    def schedule(self, delay, action, *arguments):
        heapq.heappush(self.events_, (self.now + delay, next(self.order_), action, arguments))

    def repeat(self, interval, action):
        action()
        self.schedule(interval, self.repeat, interval, action)

    def run(self, seconds):
        until = self.now + seconds
        while self.events_ and self.events_[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.events_)
            action(*arguments)
        self.now = until

    def deliver(self, action, *arguments):
        """Deliver a message, which the faults may lose, delay or duplicate."""
        self.may_have_missed_reports |= self.faults.lost > 0 or self.faults.late > 0
        if self.rng.random() < self.faults.lost:
            return
        copies = 2 if self.rng.random() < self.faults.duplicated else 1
        for _ in range(copies):
            delay = self.rng.uniform(0.001, 0.005)
            if self.rng.random() < self.faults.late:
                delay = self.rng.uniform(0.1, 2.0)
            self.schedule(delay, action, *arguments)

    # -- owner ----------------------------------------------------------------------------------
    def start_owner(self, name):
        self.epoch += 1
        self.owner = name
        self.ledger = self.ledger_class(epoch=self.epoch, rng=random.Random(self.epoch))
        known = [RouterIdentity(router, f"{router}-{boot}") for router, boot in self.boots.items()]
        known += [router for router, until in self.replaced_routers if until > self.now]
        self.handle_owner_event(self.ledger, FleetStateChanged(self.advance_fleet_state()))
        self.handle_owner_event(self.ledger, RecordedSuspectsLoaded(tuple(self.suspects.values())))
        self.handle_owner_event(
            self.ledger, RegisteredRoutersLoaded(tuple(known) if self.epoch > 1 else ())
        )
        self.announce_all()

    def stop_owner(self, downtime_s=1.0):
        """Stop the owner and start another one later."""
        self.ledger, self.owner = None, ""
        self.may_have_missed_reports = True
        self.schedule(downtime_s, self.start_owner, f"c{self.epoch % 3 + 1}")

    def advance_fleet_state(self):
        self.revision += 1
        drained = list(self.drained)
        return make_fleet_state(
            self.revision, drained, self.quarantined, [("shop", 1), ("surge", 1)], self.load_bound
        )

    def handle_owner_event(self, ledger, event):
        if ledger is self.ledger is not None:
            self.perform_owner_actions(ledger, ledger.handle(event, self.now))
            self.schedule_owner(ledger)

    def schedule_owner(self, ledger):
        due = ledger.next_deadline()
        if due is not None:
            self.schedule(max(0.0, due - self.now), self.advance_owner, ledger)

    def advance_owner(self, ledger):
        due = ledger.next_deadline()
        if ledger is self.ledger and due is not None and due <= self.now:
            self.perform_owner_actions(ledger, ledger.advance(self.now))
            self.schedule_owner(ledger)

    def perform_owner_actions(self, ledger, actions):
        for action in actions:
            if isinstance(action, Send):
                if isinstance(action.message, PermitGranted):
                    self.check_grant(ledger, action.peer, action.message)
                self.deliver(self.receive_from_controller, action.peer, self.owner, action.message)
            elif isinstance(action, Quarantine):
                self.schedule(0.05, self.quarantine, action.fingerprint)
            elif isinstance(action, RecordSuspect):
                self.suspects[action.suspect.fingerprint] = action.suspect
            elif action.name == "invariant_violations":
                self.violations.append(f"invariant {action.attribute}")

    def quarantine(self, fingerprint):
        self.quarantined.setdefault(fingerprint, self.now)
        self.handle_owner_event(self.ledger, FleetStateChanged(self.advance_fleet_state()))

    def receive_from_router(self, router, controller, message):
        if controller == self.owner:
            self.handle_owner_event(self.ledger, RouterMessageReceived(router, message))
        elif isinstance(message, SessionOpened):
            redirect = SessionRedirected(message.sequence, self.owner)
            self.deliver(self.receive_from_controller, router, controller, redirect)

    # -- routers --------------------------------------------------------------------------------
    def start_router(self, router):
        boot_id = f"{router}-{self.boots[router]}"
        client = PermitClient(router, boot_id, ["c1", "c2", "c3"], random.Random(boot_id))
        self.clients[router] = client
        self.advance_router(router, client, always=True)

    def restart_router(self, router):
        dead = RouterIdentity(router, f"{router}-{self.boots[router]}")
        self.replaced_routers.append((dead, self.now + 8.0))
        self.boots[router] += 1
        self.start_router(router)

    def receive_from_controller(self, router, name, message):
        client = self.clients[router]
        self.handle_router_event(router, client, ControllerMessageReceived(name, message))

    def handle_router_event(self, router, client, event):
        if self.clients[router] is client:
            self.perform_router_actions(router, client, client.handle(event, self.now))

    def advance_router(self, router, client, always=False):
        if self.clients[router] is client:
            due = client.next_deadline()
            if always or (due is not None and due <= self.now):
                self.perform_router_actions(router, client, client.advance(self.now))

    def perform_router_actions(self, router, client, actions):
        for action in actions:
            if isinstance(action, Send):
                self.deliver(self.receive_from_router, router, action.peer, action.message)
            elif isinstance(action, Acquired):
                pause = (
                    self.rng.uniform(0, self.pause_s)
                    if self.rng.random() < self.faults.paused
                    else 0.0
                )
                self.schedule(pause, self.dispatch, router, client, action.token, action.permit)
            elif isinstance(action, Refused):
                self.answers["refused"] += 1
        due = client.next_deadline()
        if due is not None:
            self.schedule(max(0.0, due - self.now), self.advance_router, router, client)

    # -- clients --------------------------------------------------------------------------------
    def send_request(self, fingerprint=None, tries=3, tried=(), router=None, **options):
        """Send a request to the given router or a random one."""
        router = router or self.rng.choice(list(self.clients))
        fingerprint = fingerprint or next(self.fingerprints)
        options = {"account": "shop", "work_class": "default"} | options
        query = PermitRequested(
            0,
            SERVICE,
            options.setdefault("key", self.rng.getrandbits(64)),
            options["account"],
            options["work_class"],
            0,
            5_000,
            fingerprint,
            tried=list(tried),
        )
        token = Call(next(self.tokens), query, tries, options)
        self.handle_router_event(
            router, self.clients[router], AcquireRequested(token, query, self.now + 2.0)
        )

    def dispatch(self, router, client, call, permit):
        """Send a request from a router to the engine that its permit names."""
        has_expired = self.is_dispatch_checked and self.now >= permit.send_deadline
        if self.clients[router] is not client or has_expired:
            self.release_permit(router, client, permit, PermitOutcome.UNUSED)
            return
        engine = self.engines.get(permit.upstream_id)
        if engine is None:
            self.release_permit(router, client, permit, PermitOutcome.CONNECT_FAILED)
            return
        run = (router, client, call, permit)
        engine.running[call.number] = run
        self.check_dispatch(engine, call)
        if call.query.fingerprint in self.poison_fingerprints:
            self.schedule(self.rng.uniform(0.05, 0.6), self.crash, engine, engine.boot, call)
            return
        length = self.rng.expovariate(1.0) if self.rng.random() < 0.9 else 3.0
        self.schedule(min(0.05 + length, 4.5), self.finish, engine, engine.boot, call)

    def release_permit(self, router, client, permit, outcome, first_token_ms=-1):
        released = ReleaseRequested(permit.request_id, outcome, first_token_ms)
        self.handle_router_event(router, client, released)

    # -- engines --------------------------------------------------------------------------------
    def finish(self, engine, boot, call):
        run = engine.running.pop(call.number, None) if engine.boot == boot else None
        if run is not None:
            engine.finished += 1
            self.answers["complete"] += 1
            self.release_permit(run[0], run[1], run[3], PermitOutcome.FINISHED, 100)

    def crash(self, engine, boot, call=None):
        """Crash an engine, by a request or on its own, and start a cold replacement later."""
        if engine.boot != boot or (call is not None and call.number not in engine.running):
            return
        if call is not None:
            fingerprint = call.query.fingerprint
            self.crashes_by_fingerprint[fingerprint] = (
                self.crashes_by_fingerprint.get(fingerprint, 0) + 1
            )
        runs, engine.running = list(engine.running.values()), {}
        del self.engines[engine.name]
        delay = self.rng.uniform(0.5, 3.0)
        replacement = Engine(engine.name, engine.zone, engine.incarnation + 1, self.now + delay)
        self.schedule(delay, self.engines.__setitem__, engine.name, replacement)
        for router, client, broken, permit in runs:
            self.schedule(0.01, self.break_answer, router, client, broken, permit)

    def break_answer(self, router, client, call, permit):
        self.release_permit(router, client, permit, PermitOutcome.CRASHED)
        if self.clients[router] is client and call.tries > 1:
            tried = [*call.query.tried, permit.upstream_id]
            self.send_request(
                call.query.fingerprint, call.tries - 1, tried, router=router, **call.options
            )
        else:
            self.answers["broken"] += 1

    def leave(self, engine):
        """Announce that an engine leaves and restart it once it runs no requests."""
        engine.leaving_since = self.now
        self.schedule(6.0, self.restart_engine, engine)

    def restart_engine(self, engine):
        if engine.running:
            self.schedule(1.0, self.restart_engine, engine)
        elif self.engines.get(engine.name) is engine:
            replacement = Engine(engine.name, engine.zone, engine.incarnation + 1, self.now)
            self.engines[engine.name] = replacement

    def announce_all(self):
        for engine in list(self.engines.values()):
            engine.sequence += 1
            announcement = make_announcement(
                engine.name,
                zone=engine.zone,
                boot=engine.boot,
                sequence=engine.sequence,
                incarnation=engine.incarnation,
                capacity=CAPACITY,
                cold_capacity=COLD_CAPACITY,
                leaving=self.now >= engine.leaving_since,
                valid_ms=3_000,
            )
            self.deliver(self.handle_owner_event, self.ledger, UpstreamAnnounced(announcement))

    def report_all(self):
        for engine in list(self.engines.values()):
            report = LoadReport(
                engine.name, engine.boot, int(self.now * 10) + 1, len(engine.running), 0
            )
            self.deliver(self.handle_owner_event, self.ledger, RouterMessageReceived("r0", report))

    def set_zone_drained(self, zone, is_drained):
        """Drain an availability zone or restore it."""
        if is_drained:
            self.drained.setdefault(zone, self.now)
        else:
            drained_s = self.now - self.drained.pop(zone)
            for engine in self.engines.values():
                if engine.zone == zone and not engine.running and drained_s > 2:
                    engine.finished = 0
        self.handle_owner_event(self.ledger, FleetStateChanged(self.advance_fleet_state()))

    # -- checks ---------------------------------------------------------------------------------
    def check_grant(self, ledger, router, grant):
        """Check the load bound against loads recounted from all permits."""
        name = (ledger.epoch, router, grant.request_id)
        if name in self.checked_grants:
            return
        self.checked_grants.add(name)
        live = {
            name: upstream
            for name, upstream in ledger.state_.upstreams_.upstreams_.items()
            if upstream.is_available()
        }
        loads = dict.fromkeys(live, 0)
        for record in ledger.assigner_.deadlines_.item_slots_:
            if live.get(record.upstream.upstream_id) is record.upstream:
                loads[record.upstream.upstream_id] += 1
        loads = {name: load + live[name].presumed_load_ for name, load in loads.items()}
        bound = math.ceil(LOAD_BOUND * sum(loads.values()) / len(live) - 1e-9)
        if loads[grant.upstream_id] > bound:
            self.violations.append(f"bound {loads[grant.upstream_id]} over {bound}")

    def check_dispatch(self, engine, call):
        """Check capacity, zone, quarantine and running count when a request reaches an engine."""
        running = len(engine.running)
        is_known = self.now > engine.born + DETECTION_S
        if running > engine.compute_capacity() and is_known:
            self.violations.append(
                f"cold {engine.name} runs {running} capacity {engine.compute_capacity()}"
            )
        if self.now > self.drained.get(engine.zone, math.inf) + ZONE_DEADLINE_S:
            self.violations.append(f"zone {engine.zone} late")
        if self.now > engine.leaving_since + ZONE_DEADLINE_S:
            self.violations.append(f"{engine.name} leaving")
        quarantined = self.quarantined.get(call.query.fingerprint, math.inf)
        if self.now > quarantined + USE_WITHIN_S:
            self.violations.append(f"quarantined {call.query.fingerprint}")
        upstream = self.ledger and self.ledger.state_.upstreams_.get(engine.name)
        is_known = upstream and upstream.announcement.boot_id == engine.boot
        if is_known and self.ledger.state_.may_grant() and running > upstream.load:
            self.violations.append(f"count {engine.name} runs {running} counted {upstream.load}")

    def check_end(self):
        """Check that no request is still counted after all have ended and all deadlines passed.

        One request may crash at most two engines, or three if the report of its first crash may
        have been lost or late or there was no owner to receive it.
        """
        counted = {name: self.ledger.count_running(name) for name in self.engines}
        if any(counted.values()):
            self.violations.append(f"leaked {counted}")
        max_crashes = max(self.crashes_by_fingerprint.values(), default=0)
        if max_crashes > (3 if self.may_have_missed_reports else 2):
            self.violations.append(f"one request crashed {max_crashes} engines")


@dataclass(frozen=True)
class Call:
    """One attempt of a client's request, used as the token of its wait for a permit."""

    number: int
    query: PermitRequested = field(compare=False)
    tries: int = field(compare=False)
    options: dict = field(compare=False)
