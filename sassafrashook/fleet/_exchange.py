"""Frequent exchange of loads, cached prompt parts and heartbeats between the nodes."""

import time
from collections import deque

import gevent
import msgspec

from sassafrashook.ejection import OutlierDetector
from sassafrashook.fleet._link import DEFAULT_LINK_BYTES_PER_S
from sassafrashook.fleet._loads import LoadAggregator
from sassafrashook.fleet._messages import (
    Heartbeat,
    HeartbeatsHeard,
    LoadReported,
    LoadShared,
    OtherLoads,
)
from sassafrashook.fleet._slowdowns import SlowdownQueue
from sassafrashook.telemetry import log_event

LOAD_INTERVAL_S = 0.2  # shortest time between two messages with loads to one node
MAX_LOAD_INTERVAL_S = 0.8  # routers use the loads of others for 1 s
# Share of a controller's link for loads to routers. The interval grows with the number of routers.
LOAD_LINK_SHARE = 0.15
# Share of a controller's link for cached prompt parts to routers. The oldest that exceed it
# are not announced: a router that doesn't know a holder copies from where the part probably is.
PART_LINK_SHARE = 0.1
PART_BYTES = 24  # approximate size of a cached prompt part
LOAD_BYTES = 16  # approximate size of the load of an upstream
SLOWDOWN_BYTES = 28  # approximate size of a stated slowdown
EJECTION_BYTES = 50  # approximate size of an ejection
LOAD_MESSAGE_BYTES = 100  # approximate size of a message without loads, with its headers
# Between two messages with results to the other controllers. Results come from many routers for
# each upstream, so that a longer interval makes fewer bytes.
RESULTS_INTERVAL_S = 0.5
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
    :param link_bytes_per_s: bandwidth of the controller's link, in bytes per second.

    :ivar parts_dropped_: number of cached prompt parts that were not announced to routers.
    :ivar outliers_: the :class:`~sassafrashook.ejection.OutlierDetector`.
    :ivar loads_: a :class:`~sassafrashook.fleet._loads.LoadAggregator`.
    """

    handled_messages = (HeartbeatsHeard, LoadReported, LoadShared)

    def __init__(
        self, mesh, registry, crashes, publisher, link_bytes_per_s=DEFAULT_LINK_BYTES_PER_S
    ):
        self.mesh = mesh
        self.registry = registry
        self.crashes = crashes
        self.publisher = publisher
        self.link_bytes_per_s = link_bytes_per_s
        self.loads_ = LoadAggregator()
        self.outliers_ = OutlierDetector()
        self.parts_dropped_ = 0
        self._heartbeats = deque(maxlen=MAX_HEARTBEATS)
        self._cached_parts = deque(maxlen=MAX_CACHED_PARTS)
        self._rate_limits = deque(maxlen=MAX_RATE_LIMITS)
        self._heartbeats_sent_at = float("-inf")
        self._results_sent_at = float("-inf")
        self._slowdowns = SlowdownQueue()
        self._loads_due_at = self._loads_sent_at = float("-inf")
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
        self.outliers_.record_router(sender, message.results, time.monotonic())
        self._slowdowns.add(message.slowdowns, True, time.monotonic())
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
        self.outliers_.record_controller(sender, message.results, time.monotonic())
        self._slowdowns.add(message.slowdowns, False, time.monotonic())

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
        results = []
        if now >= self._results_sent_at + RESULTS_INTERVAL_S:
            results = self.outliers_.take_shared()
            self._results_sent_at = now
        slowdowns = self._slowdowns.take_own(now)
        parts, limits = [], []
        is_due_to_routers = now >= self._loads_due_at
        if is_due_to_routers:
            parts = _drain_queue(self._cached_parts)
            limits = self._drain_rate_limits(now)
        own_parts = [cached for origin, cached in parts if origin]
        own_limits = [limit for origin, limit in limits if origin]
        for name in controllers:
            self.mesh.send(name, LoadShared(own_loads, own_parts, own_limits, results, slowdowns))
            if heartbeats:
                self.mesh.send(name, HeartbeatsHeard(heartbeats))
        if is_due_to_routers:
            self._send_to_routers(parts, limits, now)

    def _send_to_routers(self, parts, limits, now):
        """Send each own router the loads, parts and rate limits of the others."""
        routers = self.loads_.list_routers(now)
        totals = self.loads_.sum_all(now)
        ejections, slowdowns = self._update_ejections(now), self._slowdowns.take_all(now)
        parts = self._thin_parts(parts, len(routers), now)
        for router in routers:
            other_parts = [cached for origin, cached in parts if origin != router]
            other_limits = [limit for origin, limit in limits if origin != router]
            other_loads = self.loads_.subtract_own(totals, router)
            self.mesh.send(
                router, OtherLoads(other_loads, other_parts, other_limits, ejections, slowdowns)
            )
        size = len(routers) * (
            LOAD_MESSAGE_BYTES
            + LOAD_BYTES * len(totals)
            + EJECTION_BYTES * len(ejections)
            + SLOWDOWN_BYTES * len(slowdowns)
        )
        interval_s = size / (LOAD_LINK_SHARE * self.link_bytes_per_s)
        self._loads_sent_at = now
        self._loads_due_at = now + min(interval_s, MAX_LOAD_INTERVAL_S)

    def _update_ejections(self, now):
        """Decide which upstreams are ejected, and log what has changed.

        :returns: list of :class:`~sassafrashook.ejection.Ejection`.
        """
        keys_by_service = {}
        for registration in self.registry.list_usable():
            key = (registration.upstream_id, registration.boot_ms)
            keys_by_service.setdefault(registration.service, []).append(key)
        new, ended = self.outliers_.update(keys_by_service, now)
        for ejection, evidence in new:
            log_event(
                "upstream_ejected", level="warning", upstream=ejection.upstream_id,
                boot_ms=ejection.boot_ms, reason=ejection.reason,
                failure_share=ejection.failure_share, slowness=ejection.slowness,
                evidence=evidence, ejected=len(self.outliers_.ejections_),
            )  # fmt: skip
        for ejection, evidence in ended:
            log_event(
                "upstream_readmitted", upstream=ejection.upstream_id, boot_ms=ejection.boot_ms,
                reason=ejection.reason, evidence=evidence,
                ejected=len(self.outliers_.ejections_),
            )  # fmt: skip
        return list(self.outliers_.ejections_.values())

    def _thin_parts(self, parts, router_count, now):
        """Return the newest of the parts, as many as their share of the link allows."""
        elapsed_s = min(now - self._loads_sent_at, MAX_LOAD_INTERVAL_S)
        allowed = PART_LINK_SHARE * self.link_bytes_per_s * elapsed_s
        max_parts = allowed / (PART_BYTES * max(1, router_count))
        if len(parts) <= max_parts:
            return parts
        kept = parts[-max(1, int(max_parts)) :]
        self.parts_dropped_ += len(parts) - len(kept)
        return kept


def _drain_queue(queue):
    """Remove and return all items of a queue, oldest first."""
    return [queue.popleft() for _ in range(len(queue))]
