"""The router process: subscribes to the controllers and forwards client requests."""

import math
import random
import time

import gevent
from gevent.event import Event

from sassafrashook.daemons._clients import make_client_budget
from sassafrashook.daemons._endpoints import (
    STATUS_OK,
    STATUS_UNAVAILABLE,
    TEXT_CONTENT_TYPE,
    serve_metrics,
    serve_page,
)
from sassafrashook.fleet import (
    FLEET_MESSAGES,
    FleetStreamVersions,
    FleetSubscriber,
    FleetView,
    HeartbeatRequester,
    OtherLoads,
    RateLimitStated,
    RolloutPolled,
    RolloutReported,
    SlowdownStated,
)
from sassafrashook.gateway import (
    Gateway,
    GatewayServer,
    RetryLimits,
    compute_response_memory_bytes,
    make_peer_pool_key,
)
from sassafrashook.hedging import HedgingPolicy
from sassafrashook.http1 import ConnectionPool
from sassafrashook.placement import Placement, SharedRateLimiter, StatedRateLimit
from sassafrashook.registry import Registry
from sassafrashook.rollouts import RouterRollouts
from sassafrashook.tasks import spawn_task
from sassafrashook.telemetry import Metrics, log_event, register_log_gauge
from sassafrashook.transport import Mesh
from sassafrashook.utils import read_boot_time

# Far above the latency of 1 ms to another zone, and far below the seconds by which a lost SYN
# delays a connection.
CONNECT_TIMEOUT_S = 0.25
LOAD_REPORT_INTERVAL_S = 0.2
# Figures below this are not reported: others would not choose differently because of them.
MIN_REPORTED_SLOWDOWN = 1.25
PERCENT = 100
PROBE_INTERVAL_S = 0.25  # between two connection probes of an upstream
MAINTENANCE_INTERVAL_S = 1.0
# Over this time, an upstream tolerates a multiple of the rate limit that it states, and some
# requests more.
STATED_LIMIT_WINDOW_S = 4.0
STATED_LIMIT_FACTOR = 1.5
STATED_LIMIT_TOLERANCE = 5
MS_PER_S = 1_000
# A crash is reported again for this time, in case a report or the controller that received it is
# lost.
CRASH_REPORT_S = 3.0
SILENT_TIMEOUT_S = 3_600.0  # unused: only the controllers detect silent upstreams
# Heartbeat intervals for which the upstreams of a zone that is no longer drained are presumed cold;
# by then each has reported whether it is.
UNDRAINED_COLD_HEARTBEATS = 2.5


class RouterDaemon:
    """Assembles and runs the components of a router.

    :param settings: a :class:`~sassafrashook.daemons.NodeSettings`.
    :param header_codec: the deployment's :class:`~sassafrashook.gateway.HeaderCodec`.
    :param readiness_path: path of the load balancer's readiness probe.
    :param listener: listening socket for clients, ``None`` to open one at the start.

    :ivar failed_: event that is set when the process must exit.
    """

    def __init__(self, settings, header_codec, readiness_path, listener=None):
        self.settings = settings
        self.readiness_path = readiness_path
        self.failed_ = Event()
        self.metrics_ = Metrics(settings.name)
        self.client_budget_ = make_client_budget(
            settings.client_memory_bytes, settings.max_client_connections, self.metrics_
        )
        self.mesh_ = Mesh(
            settings.name,
            (settings.name, settings.stream_port),
            (),
            FLEET_MESSAGES,
            count=self.metrics_.count,
            link_bytes_per_s=settings.link_bytes_per_s,
            budget=self.client_budget_,
        )
        self.rollouts_ = RouterRollouts(
            settings.rollout_bounds is not None, boot=random.getrandbits(32)
        )
        registry = Registry(SILENT_TIMEOUT_S, settings.departure_grace_ms / 1_000)
        apply_s = settings.configuration_apply_ms / MS_PER_S
        self.view_ = FleetView(registry, rollouts=self.rollouts_, apply_s=apply_s)
        self.subscriber_ = FleetSubscriber(
            settings.name, self.mesh_, self.view_, settings.stream_port, True, self._apply_update
        )
        self.warmup_ = SharedRateLimiter(
            settings.name, settings.warmup_factor, settings.warmup_tolerance
        )
        zone = settings.availability_zone
        self.rate_limiter_ = SharedRateLimiter(
            settings.name, STATED_LIMIT_FACTOR, STATED_LIMIT_TOLERANCE, STATED_LIMIT_WINDOW_S
        )
        self.placement_ = Placement(self.warmup_, self.rate_limiter_, random.Random(), zone)
        self.pool_ = ConnectionPool(CONNECT_TIMEOUT_S)
        limits = RetryLimits(settings.retry_ratio, settings.retry_slack, settings.retry_window_s)
        self.streams_ = FleetStreamVersions(self.mesh_, self.subscriber_)
        self.heartbeats_ = HeartbeatRequester(self.mesh_, self.subscriber_, self.placement_)
        self.gateway_ = Gateway(
            settings.name,
            header_codec,
            self.view_,
            self.placement_,
            self.pool_,
            limits,
            self.metrics_,
            self.streams_,
            settings.peer_port,
            HedgingPolicy(settings.hedging.extra_share, settings.hedging.quantile),
            self.client_budget_,
            compute_response_memory_bytes(settings.client_memory_bytes),
        )
        self.server_ = GatewayServer(self.gateway_, *settings.router.clients, listener=listener)
        self.peer_server_ = GatewayServer(
            self.gateway_, settings.name, settings.peer_port, is_for_peers=True
        )
        self._readiness_server = None
        self._usable = []
        self._logged_paths = (0, 0)

    def start(self):
        """Subscribe to the controllers and serve clients.

        :raises OSError: if an address can't be bound.
        """
        self.mesh_.subscribe(self.subscriber_.handled_messages, self.subscriber_.deliver)
        self.mesh_.subscribe((OtherLoads,), self._apply_other_loads)
        self.mesh_.subscribe((RolloutPolled,), self._report_rollout)
        self.mesh_.subscribe(self.streams_.handled_messages, self.streams_.deliver)
        self.mesh_.subscribe(self.heartbeats_.handled_messages, self.heartbeats_.deliver)
        self.mesh_.start()
        self.subscriber_.set_seeds(self.settings.seeds)
        self.subscriber_.start()
        self.streams_.start()
        self.peer_server_.start()
        self.server_.start()
        self._readiness_server = serve_page(
            self.settings.router.readiness,
            self.readiness_path,
            self._make_readiness_response,
            self.client_budget_,
        )
        register_log_gauge(self.metrics_)
        self._metrics_server = serve_metrics(
            self.settings.metrics, self.metrics_, self.client_budget_
        )
        memory = self.gateway_.response_memory
        self.metrics_.register_gauge("response_memory_bytes", lambda: memory.used_bytes_)
        self.metrics_.register_gauge("requests_running", lambda: self.server_.active_request_count_)
        self.metrics_.register_gauge("configuration_version", lambda: self.view_.version)
        self.metrics_.register_gauge("configuration_age_ms", self._measure_configuration_age_ms)
        self.metrics_.register_gauge("controllers_heard", self.subscriber_.count_connected)
        self.metrics_.register_gauge("view_age_ms", self.subscriber_.measure_age_ms)
        self.metrics_.register_gauge("upstreams_usable", lambda: len(self.placement_.upstreams_))
        self.metrics_.register_gauge("upstream_paths_known", lambda: self._count_paths()[0])
        self.metrics_.register_gauge("upstream_paths_suspended", lambda: self._count_paths()[1])
        ejections = self.placement_.ejections_
        self.metrics_.register_gauge(
            "upstreams_ejected", lambda: len(ejections.list_current(time.monotonic()))
        )
        self.metrics_.register_gauge("upstreams_slow", self._count_slow)
        self.metrics_.register_gauge("ejection_trials", lambda: ejections.trial_count_)
        tasks = (self._report_loads, self._close_expired_connections, self._probe_upstreams)
        self._tasks = [spawn_task(task) for task in tasks]

    def _measure_configuration_age_ms(self):
        """Return for how long nobody has confirmed the configuration; -1 if nobody ever has."""
        confirmed_at = self.view_.age_.confirmed_at_
        is_known = math.isfinite(confirmed_at)
        return round((read_boot_time() - confirmed_at) * MS_PER_S) if is_known else -1

    def is_ready(self):
        """Return whether the router has a configuration and accepts connections."""
        return self.view_.table_ is not None and not self.server_.is_stopping_

    def _make_readiness_response(self):
        return (STATUS_OK if self.is_ready() else STATUS_UNAVAILABLE), TEXT_CONTENT_TYPE, b""

    def reload(self, settings):
        """Apply changed settings; only changes of the seeds take effect without a restart."""
        self.subscriber_.set_seeds(settings.seeds)

    def stop(self, deadline):
        """Finish running requests, then stop.

        :param deadline: requests still running then are not waited for, monotonic seconds.
        """
        servers = (self.server_, self.peer_server_)
        stops = [spawn_task(server.stop, deadline) for server in servers]
        gevent.joinall(stops)
        unfinished = sum(stop.value for stop in stops)
        log_event("requests_unfinished_at_stop", count=unfinished)
        self.streams_.stop()
        self.subscriber_.stop()
        gevent.killall(self._tasks)
        self._readiness_server.stop()
        self.mesh_.stop()

    def _apply_update(self, update, undrained_zones):
        """Apply an update from a controller to the rate limiters and the placement."""
        placement, now = self.placement_, time.monotonic()
        self.warmup_.set_routers(self.view_.routers_)
        self.rate_limiter_.set_routers(self.view_.routers_)
        placement.set_drained_zones(self.view_.drained_zones_)
        if update.registrations:
            self._update_upstreams(now)
        if undrained_zones:
            cold_s = UNDRAINED_COLD_HEARTBEATS * self.settings.heartbeat_ms / 1_000
            for zone in undrained_zones:
                placement.presume_zone_cold(zone, now + cold_s)
            log_event("zones_returned", zones=sorted(undrained_zones), presumed_cold_s=cold_s)

    def _update_upstreams(self, now):
        registry = self.view_.registry
        leaving = registry.list_leaving(now)
        self.rollouts_.observe_versions(registry.list_usable(), now)
        gone = self.placement_.set_registrations(
            registry.list_usable(), registry.cold_until_, now, leaving
        )
        for key in gone:
            self.pool_.close_idle(key)
        usable = sorted(self.placement_.upstreams_)
        if usable != self._usable or gone:
            self._usable = usable
            log_event(
                "upstreams_changed", gone=[name for name, _ in gone], usable=len(usable),
                leaving=[registration.upstream_id for registration, _ in leaving],
                revision=registry.revision_,
            )  # fmt: skip

    def _apply_other_loads(self, _sender, message):
        now = time.monotonic()
        self.placement_.set_remote_loads(message.loads, now)
        self._apply_ejections(message.ejections, now)
        self.placement_.record_remote_slowdowns(
            (
                (item.upstream_id, item.boot_ms),
                item.percent / PERCENT,
                now - item.age_ms / MS_PER_S,
            )
            for item in message.slowdowns
        )
        cached_parts = [(cached.part, cached.upstream_id) for cached in message.cached_parts]
        self.placement_.record_remote_cached_parts(cached_parts, now)
        limits = [
            StatedRateLimit(
                (limit.upstream_id, limit.boot_ms), limit.per_second, now - limit.age_ms / MS_PER_S
            )
            for limit in message.rate_limits
        ]
        for limit in self.placement_.record_remote_rate_limits(limits):
            log_event(
                "rate_limit_changed", upstream=limit.key[0], request="-", per_second=limit.rate,
                age_ms=round((now - limit.heard_at) * MS_PER_S),
            )  # fmt: skip

    def _apply_ejections(self, ejections, now):
        """Apply the ejections of a controller, and log what has changed."""
        placement = self.placement_
        changes = placement.ejections_.update(ejections, placement.count_routers(), now)
        for ejection in changes[1]:
            state = placement.upstreams_.get(ejection.upstream_id)
            if state is not None and state.key == ejection.key:
                state.failure_rate_ = 0.0  # the results of all routers outweigh its own
        for event, changed in zip(("upstream_avoided", "upstream_restored"), changes, strict=True):
            for ejection in changed:
                log_event(
                    event, upstream=ejection.upstream_id, boot_ms=ejection.boot_ms,
                    reason=ejection.reason, failure_share=ejection.failure_share,
                    slowness=ejection.slowness,
                )  # fmt: skip

    def _report_loads(self):
        """Report loads, cached prompt parts, crashes and rate limits to a controller, forever."""
        while True:
            self.gateway_.crash_observed_.wait(LOAD_REPORT_INTERVAL_S)
            self.gateway_.crash_observed_.clear()
            self.heartbeats_.ask(len(self.view_.routers_), time.monotonic())
            controller = self.subscriber_.select_load_controller()
            cached_parts = self.placement_.take_new_cached_parts()
            results = self.gateway_.results.take()
            stated = self.gateway_.results.take_slowdowns()
            if controller is not None:
                loads, now = self.placement_.list_local_loads(), time.monotonic()
                crashes = self.view_.crashes.list_observed(now - CRASH_REPORT_S, now)
                rate_limits = [
                    RateLimitStated(*limit.key, limit.rate, (now - limit.heard_at) * MS_PER_S)
                    for limit in self.placement_.take_new_rate_limits()
                ]
                slowdowns = [
                    SlowdownStated(*key, round(slowdown * PERCENT), round((now - at) * MS_PER_S))
                    for key, slowdown, at in stated
                    if slowdown >= MIN_REPORTED_SLOWDOWN
                ]
                self.subscriber_.report_loads(
                    controller, loads, cached_parts, crashes, rate_limits, results, slowdowns
                )

    def _report_rollout(self, sender, message):
        """Apply a record of the leader and its lease, and reply with this router's counts."""
        now, rollouts, service = time.monotonic(), self.rollouts_, message.rollout.service
        before = rollouts.rollouts_.get(service)
        rollouts.renew(message.rollout, message.lease_ms / MS_PER_S, now)
        current = rollouts.rollouts_[service]
        if before is None or before.index != current.index:
            self.metrics_.count("rollout_steps", current.state)
            log_event(
                "rollout_adopted", service=service, to=current.to, state=current.state,
                share=round(current.share, 4), step=current.step.name.lower(), index=current.index,
            )  # fmt: skip
        order_index, index, *figures = rollouts.report(service, now)
        report = RolloutReported(service, order_index, index, rollouts.boot, *figures)
        self.mesh_.send(sender, report)

    def _close_expired_connections(self):
        """Close idle connections that have expired, forever."""
        while True:
            gevent.sleep(MAINTENANCE_INTERVAL_S)
            self.pool_.close_expired()

    def _probe_upstreams(self):
        """Probe upstreams that seem unreachable, so that no request has to fail first, forever."""
        paths = self.placement_.paths_
        while True:
            self.gateway_.probe_requested_.wait(PROBE_INTERVAL_S)
            self.gateway_.probe_requested_.clear()
            upstreams = paths.take_probe_targets(time.monotonic())
            probes = [gevent.spawn(self._probe_upstream, upstream) for upstream in upstreams]
            if paths.count_unusable():
                peers = self.gateway_.peers.take_probe_targets(
                    self.view_.routers_, time.monotonic()
                )
                probes.extend(gevent.spawn(self._probe_peer, peer) for peer in peers)
            gevent.joinall(probes)
            self._log_paths()
            if paths.needs_immediate_round():
                self.gateway_.probe_requested_.set()

    def _count_slow(self):
        """Return the number of upstreams where work is expected to take longer than usual now."""
        now = time.monotonic()
        return sum(
            state.slowdown_ is not None and state.speed_.compute(now) >= MIN_REPORTED_SLOWDOWN
            for state in self.placement_.upstreams_.values()
        )

    def _count_paths(self):
        """Return the number of known upstreams, and to how many there is no usable path."""
        return len(self.placement_.upstreams_), self.placement_.paths_.count_unusable()

    def _log_paths(self):
        """Log to how many upstreams there is no usable path, if that number changed."""
        known, suspended = paths = self._count_paths()
        if suspended != self._logged_paths[1]:
            log_event("upstream_paths", known=known, suspended=suspended)
        self._logged_paths = paths

    def _probe_peer(self, name):
        """Open a connection to another router and keep it for the next forwarded request."""
        address = (name, self.settings.peer_port)
        try:
            connection = self.pool_.open(address, CONNECT_TIMEOUT_S, self.settings.name)
        except OSError:
            self.gateway_.peers.record_probe(name, False, time.monotonic())
            return
        self.pool_.add_unused(make_peer_pool_key(name), connection)
        self.gateway_.peers.record_probe(name, True, time.monotonic())

    def _probe_upstream(self, upstream):
        """Open a connection to an upstream, and abort attempts if its host is unresponsive."""
        was_failed, began_at, is_silent = upstream.path.is_failed_, time.monotonic(), False
        try:
            self.pool_.open(upstream.registration.address, CONNECT_TIMEOUT_S).close()
            succeeded = True
        except OSError as error:
            succeeded, is_silent = False, isinstance(error, TimeoutError)
            self.pool_.close_idle(upstream.key)
            if isinstance(error, ConnectionRefusedError):
                self.gateway_.record_refused_connection(upstream)
        now = time.monotonic()
        doubtful_count = self.placement_.record_probe(upstream, succeeded, began_at, now, is_silent)
        self.gateway_.log_doubtful_paths(upstream, doubtful_count)
        if upstream.path.is_unresponsive(now):
            aborted = self.gateway_.abort_attempts(upstream)
            if aborted:
                log_event(
                    "attempts_aborted",
                    upstream=upstream.registration.upstream_id,
                    count=aborted,
                )
        if succeeded == was_failed:
            event = "upstream_reachable" if succeeded else "upstream_unreachable"
            log_event(
                event,
                upstream=upstream.registration.upstream_id,
                zone=upstream.registration.availability_zone,
            )
