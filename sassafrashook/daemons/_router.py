"""The router: follows the controllers and forwards clients' requests."""

import random
import time

import gevent
from gevent.event import Event

from sassafrashook.daemons._pages import make_page_application, serve_application, serve_metrics
from sassafrashook.fleet import FLEET_MESSAGES, FleetFollower, FleetView, OtherLoads
from sassafrashook.gateway import Gateway, GatewayLimits, GatewayServer
from sassafrashook.http1 import ConnectionPool
from sassafrashook.placement import Placement, WarmupShares
from sassafrashook.registry import Registry
from sassafrashook.tasks import spawn_task
from sassafrashook.telemetry import Metrics, log_event, observe_logs
from sassafrashook.transport import Mesh

CONNECT_TIMEOUT_S = 0.25  # a zone is a millisecond away; a lost opening packet takes seconds
LOADS_S = 0.2
TRIAL_S = 0.25  # between two trial connections to an upstream that fell out
MAINTENANCE_S = 1.0
SILENT_S = 3_600.0  # routers leave it to the controllers to find an upstream silent
RETURNED_COLD_HEARTBEATS = 2.5  # after these an upstream has told whether it is cold


class RouterDaemon:
    """Everything that a router runs.

    :param settings: a :class:`~sassafrashook.daemons.NodeSettings`.
    :param dialect: the deployment's :class:`~sassafrashook.gateway.Dialect`.
    :param readiness_path: path of the balancer's question.

    :ivar failed_: set when the process must end.
    """

    def __init__(self, settings, dialect, readiness_path):
        self.settings = settings
        self.readiness_path = readiness_path
        self.failed_ = Event()
        self.metrics_ = Metrics(settings.name)
        self.mesh_ = Mesh(
            settings.name,
            (settings.name, settings.stream_port),
            (),
            FLEET_MESSAGES,
            count=self.metrics_.count,
        )
        self.view_ = FleetView(Registry(SILENT_S, settings.drain_ms / 1_000))
        self.follower_ = FleetFollower(
            settings.name, self.mesh_, self.view_, settings.stream_port, True, self._note_view
        )
        self.warmup_ = WarmupShares(
            settings.name, settings.warmup_factor, settings.warmup_tolerance
        )
        zone = settings.availability_zone
        self.placement_ = Placement(self.warmup_, random.Random(), zone)
        self.pool_ = ConnectionPool(CONNECT_TIMEOUT_S)
        limits = GatewayLimits(settings.retry_ratio, settings.retry_slack, settings.retry_window_s)
        self.gateway_ = Gateway(
            dialect, self.view_, self.placement_, self.pool_, limits, self.metrics_
        )
        self.server_ = GatewayServer(self.gateway_, *settings.router.clients)
        self._readiness = None
        self._usable = []

    def start(self):
        """Follow the controllers and serve.

        :raises OSError: if an address can't be used.
        """
        self.mesh_.subscribe(self.follower_.handled_messages, self.follower_.deliver)
        self.mesh_.subscribe((OtherLoads,), self._note_loads)
        self.mesh_.start()
        self.follower_.set_seeds(self.settings.seeds)
        self.follower_.start()
        self.server_.start()
        application = make_page_application(self.readiness_path, self._answer_readiness)
        self._readiness = serve_application(self.settings.router.readiness, application)
        observe_logs(self.metrics_)
        self._page = serve_metrics(self.settings.metrics, self.metrics_)
        self.metrics_.observe("requests_running", lambda: self.server_.busy_)
        self.metrics_.observe("configuration_version", lambda: self.view_.version)
        self.metrics_.observe("controllers_heard", self.follower_.count_heard)
        self.metrics_.observe("view_age_ms", self.follower_.find_age_ms)
        self.metrics_.observe("upstreams_usable", lambda: len(self.placement_.upstreams_))
        tasks = (self._report_loads, self._maintain, self._try_upstreams)
        self._tasks = [spawn_task(task) for task in tasks]

    def is_ready(self):
        """Return whether it can serve new connections."""
        return self.view_.table_ is not None and not self.server_.is_stopping_

    def _answer_readiness(self):
        return ("200 OK" if self.is_ready() else "503 Service Unavailable"), "text/plain", b""

    def reload(self, settings):
        """Take changed settings; only the seeds can change while it runs."""
        self.follower_.set_seeds(settings.seeds)

    def stop(self, deadline):
        """Serve what has begun, then stop.

        :param deadline: monotonic seconds.
        """
        cut = self.server_.stop(deadline)
        log_event("requests_cut", count=cut)
        self.follower_.stop()
        gevent.killall(self._tasks)
        self._readiness.stop(timeout=0)
        self.mesh_.stop()

    def _note_view(self, change, returned):
        """Hand what changed to the placement."""
        placement, now = self.placement_, time.monotonic()
        self.warmup_.set_routers(self.view_.routers_)
        placement.set_drained_zones(self.view_.drained_zones_)
        if change.registrations:
            self._note_registrations(now)
        if returned:
            cold_s = RETURNED_COLD_HEARTBEATS * self.settings.heartbeat_ms / 1_000
            for zone in returned:
                placement.make_cold(zone, now + cold_s)
            log_event("zones_returned", zones=sorted(returned), presumed_cold_s=cold_s)

    def _note_registrations(self, now):
        registry = self.view_.registry
        leaving = registry.list_leaving(now)
        gone = self.placement_.set_registrations(
            registry.list_usable(), registry.cold_until_, now, leaving
        )
        for key in gone:
            self.pool_.drop(key)
        usable = sorted(self.placement_.upstreams_)
        if usable != self._usable or gone:
            self._usable = usable
            log_event(
                "upstreams_changed", gone=[name for name, _ in gone], usable=len(usable),
                leaving=[entry.upstream_id for entry, _ in leaving], revision=registry.revision_,
            )  # fmt: skip

    def _note_loads(self, _sender, message):
        now = time.monotonic()
        self.placement_.set_other_loads(message.loads, now)
        placed = [(news.part, news.upstream_id) for news in message.placed]
        self.placement_.note_placed(placed, now)

    def _report_loads(self):
        while True:
            gevent.sleep(LOADS_S)
            controller = self.follower_.nearest()
            placed = self.placement_.take_placed()
            if controller is not None:
                loads = self.placement_.list_loads()
                self.follower_.report_loads(controller, loads, placed)

    def _maintain(self):
        while True:
            gevent.sleep(MAINTENANCE_S)
            self.pool_.close_expired()

    def _try_upstreams(self):
        """Open connections to upstreams that seem down, so that no request has to find out."""
        while True:
            gevent.sleep(TRIAL_S)
            upstreams = self.placement_.list_trials(time.monotonic())
            gevent.joinall([gevent.spawn(self._try_one, upstream) for upstream in upstreams])

    def _try_one(self, upstream):
        was_suspended = upstream.is_suspended(time.monotonic())
        try:
            self.pool_.open(upstream.entry.address, CONNECT_TIMEOUT_S).close()
            succeeded = True
        except OSError:
            succeeded = False
        upstream.note_trial(succeeded, time.monotonic())
        if upstream.is_dark(time.monotonic()):
            ended = self.gateway_.interrupt(upstream)
            if ended:
                log_event("attempts_interrupted", upstream=upstream.entry.upstream_id, count=ended)
        if succeeded == was_suspended:
            event = "upstream_reachable" if succeeded else "upstream_unreachable"
            log_event(
                event, upstream=upstream.entry.upstream_id, zone=upstream.entry.availability_zone
            )
