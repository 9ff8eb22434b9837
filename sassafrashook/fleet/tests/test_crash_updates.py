"""Tests of what a controller sends about crashes, beside everything else on its link."""

import heapq
import itertools
import random
from types import SimpleNamespace

import msgspec

from sassafrashook.fleet import FleetController, FleetState, FleetSubscriber, FleetView
from sassafrashook.fleet._controller import PUBLISH_INTERVAL_S
from sassafrashook.fleet._messages import ViewChanged
from sassafrashook.fleet._subscriber import REQUEST_INTERVAL_S
from sassafrashook.quarantine import CrashLedger, CrashRecord
from sassafrashook.registry import Registry

PORT = 7_340
LINK_BYTES_PER_S = 6_000_000 / 8
# The log, heartbeats, configurations and loads share the link, so that crashes get half at most.
MAX_BYTES_PER_S = LINK_BYTES_PER_S / 2
LINK_DELAY_S = 0.02
CONTROLLERS = [f"c{n}" for n in range(5)]
ROUTERS = [f"r{n}" for n in range(75)]


class SimulatedMesh:
    """Delivers the messages of one node after the delay of the links.

    :ivar sent: (time, size) of each message.
    """

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.sent = []

    def update_peer_address(self, _address):
        pass

    def subscribe(self, _types, _handler):
        pass

    def send(self, name, message):
        fleet = self.fleet
        self.sent.append((fleet.now, len(msgspec.msgpack.encode(message))))
        fleet.schedule(LINK_DELAY_S, fleet.deliver, self.name, name, message)


class SimulatedFleet:
    """Controllers and routers whose updates are exchanged in simulated time."""

    def __init__(self, monkeypatch):
        self.now = 0.0
        self.events = []
        self.numbers = itertools.count()
        for module in ("_controller", "_subscriber"):
            clock = SimpleNamespace(monotonic=lambda: self.now)
            monkeypatch.setattr(f"sassafrashook.fleet.{module}.time", clock)
        self.meshes = {name: SimulatedMesh(self, name) for name in (*CONTROLLERS, *ROUTERS)}
        self.controllers = {name: self.make_controller(name) for name in CONTROLLERS}
        self.routers = {name: self.make_router(name) for name in ROUTERS}
        for name in (*CONTROLLERS, *ROUTERS):
            self.schedule(random.Random(name).uniform(0, 0.5), self.request_updates, name)
        for name in CONTROLLERS:
            self.schedule(0.0, self.publish, name)

    def make_controller(self, name):
        members = [SimpleNamespace(name=member, voter=True) for member in CONTROLLERS]
        replica = SimpleNamespace(
            get_members=lambda: members, add_announcement_targets=lambda _names: None
        )
        controller = FleetController(
            name, replica, FleetState(), Registry(10.0), self.meshes[name], PORT
        )
        controller.subscriber_.controllers_ = set(CONTROLLERS) - {name}
        return controller

    def make_router(self, name):
        view = FleetView(Registry(10.0), CrashLedger())
        subscriber = FleetSubscriber(name, self.meshes[name], view, PORT, True, lambda *_: None)
        subscriber.controllers_ = set(CONTROLLERS)
        return subscriber

    def schedule(self, delay_s, call, *arguments):
        heapq.heappush(self.events, (self.now + delay_s, next(self.numbers), call, arguments))

    def run_until(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self.events)
            call(*arguments)
        self.now = until

    def get_subscriber(self, name):
        return self.routers[name] if name in self.routers else self.controllers[name].subscriber_

    def request_updates(self, name):
        subscriber = self.get_subscriber(name)
        for controller in sorted(subscriber.controllers_):
            subscriber._request(controller)
        self.schedule(REQUEST_INTERVAL_S, self.request_updates, name)

    def publish(self, name):
        self.controllers[name].send_due_updates(self.now)
        self.schedule(PUBLISH_INTERVAL_S, self.publish, name)

    def deliver(self, sender, receiver, message):
        if isinstance(message, ViewChanged):
            self.get_subscriber(receiver).deliver(sender, message)
        else:
            self.controllers[receiver].publisher_.handle_request(sender, message, self.now)

    def report_crash(self, router, record):
        """Let a router observe a crash and report it to its controller."""
        self.routers[router].view.crashes.merge(record, self.now)
        controller = self.routers[router].select_load_controller()
        ledger = self.controllers[controller].crashes_
        self.schedule(LINK_DELAY_S, lambda: ledger.merge(record, self.now))

    def measure_busiest_second(self, name, since):
        """Return the most bytes that a node has sent in any second after a time."""
        sent = [pair for pair in self.meshes[name].sent if pair[0] >= since]
        return max(
            sum(size for at, size in sent if start <= at < start + 1.0) for start, _ in sent[::20]
        )


def make_requests(rng, count):
    """Return the traits of requests with popular and rare prompt parts."""
    return [
        (
            rng.randrange(4),
            100 + rng.randrange(200),
            1_000 + rng.randrange(2_000),
            rng.getrandbits(60),
        )
        for _ in range(count)
    ]


def test_crashes_of_many_upstreams_at_once_leave_room_on_the_links_of_controllers(monkeypatch):
    fleet, rng = SimulatedFleet(monkeypatch), random.Random(1)
    fleet.run_until(3.0)
    for boot in range(8):
        for router in ROUTERS:
            record = CrashRecord("u", boot, 0.0, make_requests(rng, rng.choice((0, 1))))
            if record.requests:
                fleet.schedule(rng.uniform(0.0, 1.0), fleet.report_crash, router, record)
    fleet.run_until(6.0)
    for name in CONTROLLERS:
        assert fleet.measure_busiest_second(name, 3.0) <= MAX_BYTES_PER_S
    total = len(fleet.controllers["c0"].crashes_.list_changes(0, fleet.now))
    assert total == 8


def test_content_that_crashes_upstreams_is_known_to_all_routers_within_a_second(monkeypatch):
    fleet = SimulatedFleet(monkeypatch)
    fleet.run_until(3.0)
    for boot, router in enumerate(("r0", "r1")):
        fleet.report_crash(router, CrashRecord("u", boot, 0.0, [(7,)], origins=[boot]))
    fleet.run_until(4.0)
    for router in fleet.routers.values():
        assert router.view.crashes.find_quarantine((7,), fleet.now) is not None
