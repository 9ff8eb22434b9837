"""Controllers and routers that exchange their messages over simulated links."""

import heapq
import itertools
import random
from types import SimpleNamespace

import msgspec
from returns.result import Success

from sassafrashook.fleet import FleetController, FleetState, FleetSubscriber, FleetView
from sassafrashook.fleet._confirmation import CONFIRM_INTERVAL_S
from sassafrashook.fleet._controller import PUBLISH_INTERVAL_S
from sassafrashook.fleet._exchange import LOAD_INTERVAL_S
from sassafrashook.fleet._messages import OtherLoads, ViewChanged, ViewRequested
from sassafrashook.fleet._publisher import DEFAULT_LINK_BYTES_PER_S
from sassafrashook.fleet._subscriber import REQUEST_INTERVAL_S
from sassafrashook.quarantine import CrashLedger
from sassafrashook.registry import Registry

PORT = 7_340
LINK_BYTES_PER_S = 6_000_000 / 8
LINK_DELAY_S = 0.02
CLOCK_OFFSET_S = 1_000.0  # of the clocks of routers
# Headers of TCP and IP, and the acknowledgements of a message in the other direction.
MESSAGE_OVERHEAD_BYTES = 66
CONTROLLERS = [f"c{n}" for n in range(5)]


class SimulatedMesh:
    """Delivers the messages of one node after the delay of the links.

    :param fleet: the :class:`SimulatedFleet`.
    :param name: name of the node.
    :param bytes_per_s: bandwidth of the node's link; ``None`` if it is not limited.

    :ivar sent: (time, size, message class) of each message.
    :ivar free_at: when the link has transmitted all messages so far, in simulated seconds.
    :ivar longest_wait_s: longest time that a message has waited for the link.
    """

    def __init__(self, fleet, name, bytes_per_s):
        self.fleet = fleet
        self.name = name
        self.bytes_per_s = bytes_per_s
        self.sent = []
        self.free_at = 0.0
        self.longest_wait_s = 0.0

    def update_peer_address(self, _address):
        pass

    def subscribe(self, _types, _handler):
        pass

    def send(self, name, message):
        fleet = self.fleet
        size = len(msgspec.msgpack.encode(message))
        self.sent.append((fleet.now, size, type(message)))
        wait_s = 0.0
        if self.bytes_per_s is not None:
            wait_s = max(0.0, self.free_at - fleet.now)
            self.longest_wait_s = max(self.longest_wait_s, wait_s)
            transmission_s = (size + MESSAGE_OVERHEAD_BYTES) / self.bytes_per_s
            self.free_at = fleet.now + wait_s + transmission_s
            wait_s += transmission_s
        fleet.schedule(wait_s + LINK_DELAY_S, fleet.deliver, self.name, name, message)


class SimulatedFleet:
    """Controllers and routers whose messages are exchanged in simulated time.

    :param monkeypatch: the fixture, which replaces the clocks.
    :param router_count: number of routers.
    :param link_bytes_per_s: bandwidth of each node's link; ``None`` if it is not limited.
    """

    def __init__(self, monkeypatch, router_count, link_bytes_per_s=None):
        self.now = 0.0
        self.events = []
        self.numbers = itertools.count()
        self.link_bytes_per_s = link_bytes_per_s
        for module in ("_confirmation", "_controller", "_subscriber", "_exchange"):
            clock = SimpleNamespace(monotonic=lambda: self.now)
            monkeypatch.setattr(f"sassafrashook.fleet.{module}.time", clock)
        monkeypatch.setattr(
            "sassafrashook.fleet._subscriber.read_boot_time", lambda: CLOCK_OFFSET_S + self.now
        )
        router_names = [f"r{n}" for n in range(router_count)]
        names = (*CONTROLLERS, *router_names)
        self.meshes = {name: SimulatedMesh(self, name, link_bytes_per_s) for name in names}
        self.controllers = {name: self.make_controller(name) for name in CONTROLLERS}
        self.routers = {name: self.make_router(name) for name in router_names}
        for name in names:
            self.schedule(random.Random(name).uniform(0, 0.5), self.request_updates, name)
        for name in CONTROLLERS:
            self.schedule(0.0, self.publish, name)
            self.schedule(0.05, self.confirm, name)
            self.schedule(0.1, self.exchange_loads, name)

    def make_controller(self, name):
        members = [SimpleNamespace(name=member, voter=True) for member in CONTROLLERS]
        replica = SimpleNamespace(
            get_members=lambda: members,
            add_announcement_targets=lambda _names: None,
            confirm_read=lambda _deadline: Success(1),
            get_leader=lambda: "c0",
        )
        controller = FleetController(
            name,
            replica,
            FleetState(),
            Registry(10.0),
            self.meshes[name],
            PORT,
            link_bytes_per_s=self.link_bytes_per_s or DEFAULT_LINK_BYTES_PER_S,
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

    def confirm(self, name):
        self.controllers[name].confirmer_.confirm()
        self.schedule(CONFIRM_INTERVAL_S, self.confirm, name)

    def publish(self, name):
        self.controllers[name]._update_majority(self.now)
        self.controllers[name].send_due_updates(self.now)
        self.schedule(PUBLISH_INTERVAL_S, self.publish, name)

    def exchange_loads(self, name):
        self.controllers[name].exchange_.send_due(self.now)
        self.schedule(LOAD_INTERVAL_S, self.exchange_loads, name)

    def deliver(self, sender, receiver, message):
        if isinstance(message, ViewChanged):
            self.get_subscriber(receiver).deliver(sender, message)
        elif isinstance(message, ViewRequested):
            self.controllers[receiver].publisher_.handle_request(sender, message, self.now)
        elif not isinstance(message, OtherLoads):
            self.controllers[receiver].exchange_.deliver(sender, message)

    def report_crash(self, router, record):
        """Let a router observe a crash and report it to its controller."""
        self.routers[router].view.crashes.merge(record, self.now)
        controller = self.routers[router].select_load_controller()
        ledger = self.controllers[controller].crashes_
        self.schedule(LINK_DELAY_S, lambda: ledger.merge(record, self.now))

    def measure_busiest_second(self, name, since):
        """Return the most bytes that a node has sent in any second after a time."""
        sent = [(at, size) for at, size, _ in self.meshes[name].sent if at >= since]
        return max(
            sum(size for at, size in sent if start <= at < start + 1.0) for start, _ in sent[::20]
        )
