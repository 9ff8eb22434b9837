"""What controllers tell each other and routers many times a second: loads, parts, heartbeats."""

import time
from collections import deque

import gevent

from sassafrashook.fleet._loads import LoadBoard
from sassafrashook.fleet._messages import (
    Heartbeat,
    HeartbeatsHeard,
    LoadReported,
    LoadShared,
    OtherLoads,
)

LOADS_S = 0.2  # between two rounds of loads
HEARTBEATS_S = 0.3  # heartbeats are told to the other controllers in batches
CONTACT_S = 1.5  # a controller heard within this time counts as connected
MAX_HEARTBEATS = 2_000  # in one batch
MAX_PLACED = 2_000  # in one batch


class LoadExchange:
    """Gathers the loads that routers report, and shares them.

    :param mesh: a :class:`~sassafrashook.transport.Mesh`.
    :param registry: a :class:`~sassafrashook.registry.Registry`.
    :param publisher: a :class:`~sassafrashook.fleet.Publisher`, which knows the controllers.

    :ivar loads_: a :class:`~sassafrashook.fleet._loads.LoadBoard`.
    """

    handled_messages = (HeartbeatsHeard, LoadReported, LoadShared)

    def __init__(self, mesh, registry, publisher):
        self.mesh = mesh
        self.registry = registry
        self.publisher = publisher
        self.loads_ = LoadBoard()
        self._heartbeats = deque(maxlen=MAX_HEARTBEATS)
        self._placed = deque(maxlen=MAX_PLACED)
        self._handlers = {
            HeartbeatsHeard: self._on_heartbeats_heard,
            LoadReported: self._on_load_reported,
            LoadShared: self._on_load_shared,
        }

    def deliver(self, sender, message):
        """Take a message of another node."""
        self._handlers[type(message)](sender, message)

    def note_heartbeat(self, entry):
        """Take the registration that an upstream's heartbeat brought here."""
        self._heartbeats.append(Heartbeat(entry.upstream_id, entry.boot_ms, entry.sequence))

    def _on_heartbeats_heard(self, _sender, message):
        now = time.monotonic()
        for beat in message.heartbeats:
            self.registry.note_heartbeat(beat.upstream_id, beat.boot_ms, beat.sequence, now)

    def _on_load_reported(self, sender, message):
        self.loads_.note_router(sender, message.loads, time.monotonic())
        self._placed.extend((sender, placed) for placed in message.placed)

    def _on_load_shared(self, sender, message):
        self.loads_.note_controller(sender, message.loads, time.monotonic())
        self._placed.extend(("", placed) for placed in message.placed)

    def run(self):
        """Tell heartbeats and loads to the other controllers, and loads to routers."""
        shared_at = 0.0
        while True:
            gevent.sleep(LOADS_S)
            now = time.monotonic()
            others = self.publisher.list_controllers(now, CONTACT_S)
            own = self.loads_.sum_own(now)
            beats = []
            if now >= shared_at + HEARTBEATS_S:
                beats = _take_all(self._heartbeats)
                shared_at = now
            placed = _take_all(self._placed)
            placed_here = [part for origin, part in placed if origin]
            for name in others:
                self.mesh.send(name, LoadShared(own, placed_here))
                if beats:
                    self.mesh.send(name, HeartbeatsHeard(beats))
            for router in self.loads_.list_routers(now):
                news = [part for origin, part in placed if origin != router]
                self.mesh.send(router, OtherLoads(self.loads_.list_others(router, now), news))


def _take_all(queue):
    """Empty a queue; :returns: what it held."""
    return [queue.popleft() for _ in range(len(queue))]
