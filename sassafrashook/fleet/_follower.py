"""The side of a node that follows the controllers."""

import time
import zlib

import gevent
import msgspec
from gevent.event import Event

from sassafrashook.fleet._messages import LoadReported, PartPlaced, ViewChanged, ViewRequested
from sassafrashook.routes import RouteConfiguration, RouteTable
from sassafrashook.tasks import spawn_task
from sassafrashook.telemetry import log_event
from sassafrashook.transport import PeerAddress
from sassafrashook.utils import hash_key, rank_nodes

REQUEST_S = 0.5  # between two requests to each controller, while nothing changes
FIRST_REQUEST_S = 0.1  # the same, to a controller that has not answered yet
HEARD_S = 2.5  # a controller heard within this time is connected; it sends at least each second


class FleetView:
    """What a node knows of the fleet, from all controllers together; newer knowledge stays.

    :param registry: the node's :class:`~sassafrashook.registry.Registry`.

    :ivar table_: the :class:`~sassafrashook.routes.RouteTable` in force, or ``None``.
    :ivar configured_: event that is set once there is one.
    :ivar drained_zones_: availability zones that are out.
    :ivar routers_: names of all routers.
    """

    def __init__(self, registry):
        self.registry = registry
        self.table_ = None
        self.configured_ = Event()
        self.drained_zones_ = frozenset()
        self.drain_index_ = 0
        self.routers_ = ()

    @property
    def version(self):
        """Version of the configuration, 0 if there is none."""
        return self.table_.version if self.table_ is not None else 0

    def take(self, change, now):
        """Take a controller's changes.

        :param change: a :class:`~sassafrashook.fleet._messages.ViewChanged`.
        :returns: the zones that are back in service.
        """
        for entry in change.registrations:
            self.registry.merge(entry, now)
        if change.configuration_version > self.version:
            configuration = msgspec.msgpack.decode(
                zlib.decompress(change.configuration), type=RouteConfiguration
            )
            self.table_ = RouteTable(configuration)
            self.configured_.set()
        if change.routers:
            self.routers_ = tuple(change.routers)
        if change.drain_index <= self.drain_index_:
            return frozenset()
        returned = self.drained_zones_ - set(change.drained_zones)
        self.drain_index_ = change.drain_index
        self.drained_zones_ = frozenset(change.drained_zones)
        return returned


class FleetFollower:
    """Follows every controller it learns of, beginning with the seeds.

    :param name: name of this node.
    :param mesh: a :class:`~sassafrashook.transport.Mesh`.
    :param view: a :class:`FleetView`.
    :param port: port of all nodes' streams.
    :param on_change: called with each :class:`~sassafrashook.fleet._messages.ViewChanged` and
        the zones that it took back into service.

    :ivar controllers_: names of the controllers followed.
    """

    handled_messages = (ViewChanged,)

    def __init__(self, name, mesh, view, port, is_router, on_change):
        self.name = name
        self.mesh = mesh
        self.view = view
        self.port = port
        self.is_router = is_router
        self.on_change = on_change
        self.controllers_ = set()
        self._seeds = set()
        self._positions = {}
        self._heard_at = {}
        self._task = None

    def start(self):
        """Start to ask."""
        self._task = spawn_task(self._run)

    def stop(self):
        """Stop asking."""
        self._task.kill()

    def set_seeds(self, names):
        """Take the controllers named by the settings."""
        self._seeds = set(names) - {self.name}
        self._follow(self._seeds)

    def _follow(self, names):
        for name in names - self.controllers_:
            log_event("controller_followed", controller=name)
            self.mesh.learn(PeerAddress(name, name, self.port))
        self.controllers_ |= names

    def _run(self):
        asked_at = {}
        while True:
            now = time.monotonic()
            for name in sorted(self.controllers_):
                pause = REQUEST_S if self._is_heard(name, now) else FIRST_REQUEST_S
                if now >= asked_at.get(name, 0.0) + pause:
                    asked_at[name] = now
                    self._request(name)
            gevent.sleep(FIRST_REQUEST_S)

    def _request(self, name):
        boot, revision = self._positions.get(name, ("", 0))
        view = self.view
        self.mesh.send(
            name,
            ViewRequested(self.is_router, boot, revision, view.version, view.drain_index_),
        )

    def deliver(self, sender, change):
        """Take a controller's message and acknowledge it."""
        now = time.monotonic()
        self._note_heard(sender, now)
        version = self.view.version
        returned = self.view.take(change, now)
        self._positions[sender] = (change.boot, change.revision)
        self._note_members(set(change.controllers) - {self.name}, now)
        if self.view.version > version:
            log_event("configuration_adopted", version=self.view.version, controller=sender)
            for name in self.controllers_ - {sender}:
                self._request(name)
        self.on_change(change, returned)
        self._request(sender)

    def _note_heard(self, sender, now):
        if not self._is_heard(sender, now):
            log_event("controller_heard", controller=sender)
        self._heard_at[sender] = now

    def _note_members(self, members, now):
        """Follow new members; leave those that are members no more and silent."""
        self._follow(members)
        if not members:
            return
        for name in self.controllers_ - members - self._seeds:
            if not self._is_heard(name, now):
                self.controllers_.discard(name)
                self._positions.pop(name, None)
                log_event("controller_left", controller=name)

    def _is_heard(self, name, now):
        return now < self._heard_at.get(name, float("-inf")) + HEARD_S

    def find_age_ms(self):
        """Return how long ago the last controller was heard, milliseconds; -1 if none was."""
        last = max(self._heard_at.values(), default=None)
        return -1 if last is None else round((time.monotonic() - last) * 1_000)

    def count_heard(self):
        """Return how many controllers are connected."""
        now = time.monotonic()
        return sum(self._is_heard(name, now) for name in self.controllers_)

    def nearest(self):
        """Return the controller that loads are told to, or ``None`` if none is connected."""
        now = time.monotonic()
        heard = [name for name in self.controllers_ if self._is_heard(name, now)]
        return rank_nodes(hash_key(self.name), heard)[0] if heard else None

    def report_loads(self, controller, loads, placed):
        """Tell a controller this router's part of the load.

        :param loads: number of requests that run, by upstream.
        :param placed: pairs of part and upstream that began to hold it.
        """
        parts = [PartPlaced(part, name) for part, name in placed]
        self.mesh.send(controller, LoadReported(loads, parts))
