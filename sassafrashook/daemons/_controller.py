"""The controller process: replicates the fleet state and tracks upstream registrations."""

import os
import time

import gevent
from gevent.event import Event

from sassafrashook.consensus import CONSENSUS_MESSAGES, Replica
from sassafrashook.daemons._clients import make_client_budget
from sassafrashook.daemons._endpoints import serve_application, serve_metrics
from sassafrashook.fleet import FLEET_MESSAGES, FleetCache, FleetController, FleetState
from sassafrashook.registry import Registry
from sassafrashook.rollouts import RolloutState
from sassafrashook.storage import (
    DiskFullError,
    LocalFileSystem,
    SnapshotStore,
    StorageError,
)
from sassafrashook.telemetry import Metrics, log_event, register_log_gauge
from sassafrashook.transport import Mesh, PeerAddress

SILENT_HEARTBEATS = 3.5  # intervals without a heartbeat until an upstream is marked as silent
CACHE_VALID_HEARTBEATS = 2.0  # intervals that a recalled registration is valid without a heartbeat
CACHE_FOLDER = "fleet"
CONSENSUS_HEARTBEAT_MS = 80
ELECTION_MIN_MS = 480  # six consensus heartbeats
ELECTION_MAX_MS = 960
# A snapshot is saved after every entry, so that a restarted controller has the configuration before
# an election.
SNAPSHOT_ENTRIES = 1
DISK_FULL_RETRY_S = 0.3
# Log entries kept after a snapshot. Each may hold a whole configuration, so more of them would be
# larger than the snapshot.
TRAILING_ENTRIES = 2
LEADERSHIP_TRANSFER_S = 1.0
DEPARTURE_TIMEOUT_S = 1.0
RESPONSE_GRACE_S = 0.3  # for responses in progress when the server stops accepting
FLUSH_TIMEOUT_MS = 200


class ControllerDaemon:
    """Assembles and runs the components of a controller.

    :param settings: a :class:`~sassafrashook.daemons.NodeSettings`.
    :param make_application: called with the :class:`~sassafrashook.fleet.FleetController` and the
        settings; returns the WSGI application for operators and upstreams.

    :ivar failed_: event that is set when the process must exit.
    """

    def __init__(self, settings, make_application):
        self.settings = settings
        self.failed_ = Event()
        self.metrics_ = Metrics(settings.name)
        self.client_budget_ = make_client_budget(
            settings.client_memory_bytes, settings.max_client_connections, self.metrics_
        )
        self.mesh_ = Mesh(
            settings.name,
            (settings.name, settings.stream_port),
            (),
            (*FLEET_MESSAGES, *CONSENSUS_MESSAGES),
            count=self.metrics_.count,
            link_bytes_per_s=settings.link_bytes_per_s,
            budget=self.client_budget_,
        )
        self.state_ = FleetState()
        self.replica_ = Replica(
            settings.name,
            settings.seeds,
            settings.data_folder,
            self.state_,
            self.mesh_,
            bootstrap=settings.bootstrap,
            heartbeat_ms=CONSENSUS_HEARTBEAT_MS,
            election_min_ms=ELECTION_MIN_MS,
            election_max_ms=ELECTION_MAX_MS,
            snapshot_entries=SNAPSHOT_ENTRIES,
            trailing_entries=TRAILING_ENTRIES,
            tolerated_losses=settings.tolerated_losses,
            automatic_membership=True,
            link_bytes_per_s=settings.link_bytes_per_s,
            on_failure=self._handle_failure,
            on_write=lambda duration_ms: self.metrics_.record(
                "disk_write_ms", "log", "done", duration_ms
            ),
        )
        registry = Registry(SILENT_HEARTBEATS * settings.heartbeat_ms / 1_000)
        folder = os.path.join(settings.data_folder, CACHE_FOLDER)
        cache_store = SnapshotStore(LocalFileSystem(), folder, settings.name)
        self.fleet_ = FleetController(
            settings.name,
            self.replica_,
            self.state_,
            registry,
            self.mesh_,
            settings.stream_port,
            FleetCache(cache_store),
            CACHE_VALID_HEARTBEATS * settings.heartbeat_ms / 1_000,
            settings.link_bytes_per_s,
            settings.rollout_bounds,
        )
        self._application = make_application(self.fleet_, settings)
        self._server = None

    def start(self):
        """Recover the state, join the consensus group and serve operators and upstreams.

        :raises OSError: if an address can't be bound or the data folder can't be read or written.
        """
        self._learn_addresses(self.settings.seeds)
        self._start_replica()
        self.mesh_.subscribe(CONSENSUS_MESSAGES, self._deliver)
        self.mesh_.start()
        self.fleet_.start()
        self.fleet_.set_seeds(self.settings.seeds)
        register_log_gauge(self.metrics_)
        self._metrics_server = serve_metrics(
            self.settings.metrics, self.metrics_, self.client_budget_
        )
        self.metrics_.register_gauge("configuration_version", lambda: self.state_.version_)
        self.metrics_.register_gauge(
            "leading", lambda: int(self.replica_.get_leader() == self.settings.name)
        )
        self.metrics_.register_gauge("group_term", lambda: self.replica_.get_status().term)
        self.metrics_.register_gauge("group_members", lambda: len(self.replica_.get_members()))
        self.metrics_.register_gauge("group_lost_voters", self.replica_.count_lost_voters)
        self.metrics_.register_gauge(
            "upstreams_known", lambda: len(self.fleet_.registry.registrations_)
        )
        publisher, exchange = self.fleet_.publisher_, self.fleet_.exchange_
        self.metrics_.register_gauge("updates_postponed", lambda: publisher.postponed_)
        self.metrics_.register_gauge(
            "upstreams_ejected", lambda: len(exchange.outliers_.ejections_)
        )
        self.metrics_.register_gauge("parts_dropped", lambda: exchange.parts_dropped_)
        if self.fleet_.rollouts_ is not None:
            self._register_rollout_gauges()
        self._server = serve_application(
            self.settings.control, self._application, self.client_budget_
        )

    def _register_rollout_gauges(self):
        for state in RolloutState:
            self.metrics_.register_gauge(
                f"rollouts_{state.value}",
                lambda state=state: sum(
                    rollout.state is state for rollout in self.state_.rollouts_.list_all()
                ),
            )
        decided = self.fleet_.rollouts_.decided_
        self.metrics_.register_gauge("rollout_decisions", lambda: sum(decided.values()))

    def _start_replica(self):
        """Start the replica; retry while the disk of the data folder is full."""
        began_at = time.monotonic()
        while True:
            try:
                self.replica_.start()
            except DiskFullError as error:
                full_s = round(time.monotonic() - began_at, 1)
                log_event(
                    "disk_full",
                    level="warning",
                    reason=error,
                    full_s=full_s,
                    retry_s=DISK_FULL_RETRY_S,
                )
                gevent.sleep(DISK_FULL_RETRY_S)
            except StorageError as error:
                raise OSError(f"data folder: {error}") from error
            else:
                return

    def _deliver(self, sender, message):
        self._learn_addresses((sender,))
        self.replica_.deliver(sender, message)

    def _learn_addresses(self, names):
        for name in names:
            if name != self.settings.name:
                self.mesh_.update_peer_address(PeerAddress(name, name, self.settings.stream_port))

    def reload(self, settings):
        """Apply changed settings; only changes of the seeds take effect without a restart."""
        self._learn_addresses(settings.seeds)
        self.fleet_.set_seeds(settings.seeds)

    def stop(self, deadline):
        """Transfer leadership, finish responses in progress, leave the group and stop.

        :param deadline: latest end of the leadership transfer and of the departure, monotonic
            seconds.
        """
        if self.replica_.get_leader() == self.settings.name:
            transfer_deadline = min(deadline, time.monotonic() + LEADERSHIP_TRANSFER_S)
            transferred = self.replica_.transfer_leadership(transfer_deadline)
            log_event("leadership_transferred", done=transferred)
        self._server.stop_accepting()
        gevent.sleep(RESPONSE_GRACE_S)
        self._server.stop(timeout=0)
        departure_deadline = min(deadline, time.monotonic() + DEPARTURE_TIMEOUT_S)
        departure = self.replica_.leave_group(departure_deadline)
        log_event("group_departure", outcome=departure.value)
        self.fleet_.stop()
        self.replica_.stop()
        self.mesh_.stop(FLUSH_TIMEOUT_MS)

    def _handle_failure(self, error):
        log_event("replica_failed", level="error", error=error)
        self.failed_.set()
