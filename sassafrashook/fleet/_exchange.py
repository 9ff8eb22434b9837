"""Frequent exchange of loads, cached prompt parts and heartbeats between the nodes."""

import time
from collections import deque

import gevent
import msgspec

from sassafrashook.fleet._loads import LoadAggregator
from sassafrashook.fleet._messages import (
    Heartbeat,
    HeartbeatsHeard,
    LoadReported,
    LoadShared,
    OtherLoads,
)
from sassafrashook.telemetry import log_event

LOAD_INTERVAL_S = 0.2
HEARTBEAT_INTERVAL_S = 0.3  # between batches of heartbeats to the other controllers
CONNECTED_TIMEOUT_S = 1.5  # a node that sent a request within this time is connected
MAX_HEARTBEATS = 2_000  # per batch; the oldest are dropped
MAX_CACHED_PARTS = 2_000  # per batch; the oldest are dropped
MAX_RATE_LIMITS = 2_000  # per batch; the oldest are dropped
MS_PER_S = 1_000


class LoadExchange:
    """Collects the load reports of routers, and distributes them and upstreams' heartbeats.

    :param mesh: a :class:`~sassafrashook.transport.Mesh`.
    :param registry: a :class:`~sassafrashook.registry.Registry`.
    :param crashes: a :class:`~sassafrashook.quarantine.CrashLedger`.
    :param publisher: a :class:`~sassafrashook.fleet.Publisher`, which lists the connected
        controllers.

    :ivar loads_: a :class:`~sassafrashook.fleet._loads.LoadAggregator`.
    """

    handled_messages = (HeartbeatsHeard, LoadReported, LoadShared)

    def __init__(self, mesh, registry, crashes, publisher):
        self.mesh = mesh
        self.registry = registry
        self.crashes = crashes
        self.publisher = publisher
        self.loads_ = LoadAggregator()
        self._heartbeats = deque(maxlen=MAX_HEARTBEATS)
        self._cached_parts = deque(maxlen=MAX_CACHED_PARTS)
        self._rate_limits = deque(maxlen=MAX_RATE_LIMITS)
        self._heartbeats_sent_at = float("-inf")
        self._handlers = {
            HeartbeatsHeard: self._on_heartbeats_heard,
            LoadReported: self._on_load_reported,
            LoadShared: self._on_load_shared,
        }

    def deliver(self, sender, message):
        """Handle a message of another node."""
        self._handlers[type(message)](sender, message)

    def queue_heartbeat(self, registration):
        """Queue a heartbeat received from an upstream for the other controllers.

        :param registration: the :class:`~sassafrashook.registry.Registration` in the heartbeat.
        """
        self._heartbeats.append(
            Heartbeat(registration.upstream_id, registration.boot_ms, registration.sequence)
        )

    def _on_heartbeats_heard(self, _sender, message):
        now = time.monotonic()
        for heartbeat in message.heartbeats:
            self.registry.apply_remote_heartbeat(
                heartbeat.upstream_id, heartbeat.boot_ms, heartbeat.sequence, now
            )

    def _on_load_reported(self, sender, message):
        self.loads_.update_router(sender, message.loads, time.monotonic())
        self._cached_parts.extend((sender, cached) for cached in message.cached_parts)
        self._queue_rate_limits(sender, message.rate_limits)
        for record in message.crashes:
            if self.crashes.merge(record, time.monotonic()):
                log_event(
                    "upstream_crash_recorded", upstream=record.upstream_id, router=sender,
                    boot_ms=record.boot_ms, interrupted=len(record.requests),
                    cleared=len(record.cleared), revision=self.crashes.revision_,
                )  # fmt: skip

    def _on_load_shared(self, sender, message):
        self.loads_.update_controller(sender, message.loads, time.monotonic())
        self._cached_parts.extend(("", cached) for cached in message.cached_parts)
        self._queue_rate_limits("", message.rate_limits)

    def _queue_rate_limits(self, origin, rate_limits):
        received_at = time.monotonic()
        self._rate_limits.extend((origin, limit, received_at) for limit in rate_limits)

    def _drain_rate_limits(self, now):
        """Return pairs of origin and rate limit, with the ages at ``now``; the queue is cleared."""
        limits = []
        for origin, limit, received_at in _drain_queue(self._rate_limits):
            age_ms = limit.age_ms + (now - received_at) * MS_PER_S
            limits.append((origin, msgspec.structs.replace(limit, age_ms=age_ms)))
        return limits

    def run(self):
        """Send heartbeats and loads, forever."""
        while True:
            gevent.sleep(LOAD_INTERVAL_S)
            self.send_due(time.monotonic())

    def send_due(self, now):
        """Send heartbeats and loads to the other controllers, and loads to the routers.

        Parts and rate limits reported by a router are sent to every controller and to all routers
        but that one; those received from another controller are sent to the routers only.

        :param now: monotonic seconds.
        """
        controllers = self.publisher.list_controllers(now, CONNECTED_TIMEOUT_S)
        own_loads = self.loads_.sum_own(now)
        heartbeats = []
        if now >= self._heartbeats_sent_at + HEARTBEAT_INTERVAL_S:
            heartbeats = _drain_queue(self._heartbeats)
            self._heartbeats_sent_at = now
        parts = _drain_queue(self._cached_parts)
        own_parts = [cached for origin, cached in parts if origin]
        limits = self._drain_rate_limits(now)
        own_limits = [limit for origin, limit in limits if origin]
        for name in controllers:
            self.mesh.send(name, LoadShared(own_loads, own_parts, own_limits))
            if heartbeats:
                self.mesh.send(name, HeartbeatsHeard(heartbeats))
        for router in self.loads_.list_routers(now):
            other_parts = [cached for origin, cached in parts if origin != router]
            other_limits = [limit for origin, limit in limits if origin != router]
            other_loads = self.loads_.sum_others(router, now)
            self.mesh.send(router, OtherLoads(other_loads, other_parts, other_limits))


def _drain_queue(queue):
    """Remove and return all items of a queue, oldest first."""
    return [queue.popleft() for _ in range(len(queue))]
