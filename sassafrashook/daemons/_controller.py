"""The controller: a replica of the agreed state, and the registrations of upstreams."""

import os
import time

import gevent
from gevent.event import Event

from sassafrashook.consensus import CONSENSUS_MESSAGES, Replica
from sassafrashook.daemons._pages import serve_application, serve_metrics
from sassafrashook.fleet import FLEET_MESSAGES, AgreedState, FleetController, FleetMemory
from sassafrashook.registry import Registry
from sassafrashook.storage import (
    DiskFullError,
    LocalFileSystem,
    SnapshotStore,
    StorageError,
)
from sassafrashook.telemetry import Metrics, log_event, observe_logs
from sassafrashook.transport import Mesh, PeerAddress

SILENT_HEARTBEATS = 3.5  # an upstream is silent after this many intervals
RECALLED_HEARTBEATS = 2.0  # a saved registration counts this many intervals without a heartbeat
MEMORY_FOLDER = "fleet"
CONSENSUS_HEARTBEAT_MS = 80
ELECTION_MIN_MS = 480  # six heartbeats
ELECTION_MAX_MS = 960
SNAPSHOT_ENTRIES = 1  # the state is one document; a restarted controller has it before an election
FULL_RETRY_S = 0.3
TRAILING_ENTRIES = 2  # each holds a whole document, so a snapshot is smaller than more of them
TRANSFER_S = 1.0
ANSWERS_S = 0.3  # time for answers that are under way
FLUSH_MS = 200


class ControllerDaemon:
    """Everything that a controller runs.

    :param settings: a :class:`~sassafrashook.daemons.NodeSettings`.
    :param make_application: called with the :class:`~sassafrashook.fleet.FleetController` and the
        settings; returns the WSGI application for operators and upstreams.

    :ivar failed_: set when the process must end.
    """

    def __init__(self, settings, make_application):
        self.settings = settings
        self.failed_ = Event()
        self.metrics_ = Metrics(settings.name)
        self.mesh_ = Mesh(
            settings.name,
            (settings.name, settings.stream_port),
            (),
            (*FLEET_MESSAGES, *CONSENSUS_MESSAGES),
            count=self.metrics_.count,
        )
        self.state_ = AgreedState()
        self.replica_ = Replica(
            settings.name,
            settings.seeds,
            settings.data_folder,
            self.state_,
            self.mesh_,
            bootstrap=settings.founds,
            heartbeat_ms=CONSENSUS_HEARTBEAT_MS,
            election_min_ms=ELECTION_MIN_MS,
            election_max_ms=ELECTION_MAX_MS,
            snapshot_entries=SNAPSHOT_ENTRIES,
            trailing_entries=TRAILING_ENTRIES,
            tolerated_losses=settings.tolerated_losses,
            manages_members=True,
            on_failure=self._fail,
            on_write=lambda duration_ms: self.metrics_.record(
                "disk_write_ms", "log", "done", duration_ms
            ),
        )
        registry = Registry(SILENT_HEARTBEATS * settings.heartbeat_ms / 1_000)
        folder = os.path.join(settings.data_folder, MEMORY_FOLDER)
        store = SnapshotStore(LocalFileSystem(), folder, settings.name)
        self.fleet_ = FleetController(
            settings.name,
            self.replica_,
            self.state_,
            registry,
            self.mesh_,
            settings.stream_port,
            FleetMemory(store),
            RECALLED_HEARTBEATS * settings.heartbeat_ms / 1_000,
        )
        self._application = make_application(self.fleet_, settings)
        self._server = None

    def start(self):
        """Recover the state and take part.

        :raises OSError: if an address or the data folder can't be used.
        """
        self._learn(self.settings.seeds)
        self._start_replica()
        self.mesh_.subscribe(CONSENSUS_MESSAGES, self._deliver)
        self.mesh_.start()
        self.fleet_.start()
        self.fleet_.set_seeds(self.settings.seeds)
        observe_logs(self.metrics_)
        self._page = serve_metrics(self.settings.metrics, self.metrics_)
        self.metrics_.observe("configuration_version", lambda: self.state_.version_)
        self.metrics_.observe("leading", lambda: int(self.replica_.leader() == self.settings.name))
        self.metrics_.observe("group_term", lambda: self.replica_.status().term)
        self.metrics_.observe("group_members", lambda: len(self.replica_.members()))
        self.metrics_.observe("upstreams_known", lambda: len(self.fleet_.registry.entries_))
        self._server = serve_application(self.settings.control, self._application)

    def _start_replica(self):
        """Open the data folder, waiting while its disk is full."""
        while True:
            try:
                self.replica_.start()
            except DiskFullError as error:
                log_event("disk_full", level="warning", reason=error, retry_s=FULL_RETRY_S)
                gevent.sleep(FULL_RETRY_S)
            except StorageError as error:
                raise OSError(f"data folder: {error}") from error
            else:
                return

    def _deliver(self, sender, message):
        self._learn((sender,))
        self.replica_.deliver(sender, message)

    def _learn(self, names):
        for name in names:
            if name != self.settings.name:
                self.mesh_.learn(PeerAddress(name, name, self.settings.stream_port))

    def reload(self, settings):
        """Take changed settings; only the seeds can change while it runs."""
        self._learn(settings.seeds)
        self.fleet_.set_seeds(settings.seeds)

    def stop(self, deadline):
        """Hand leadership over and stop.

        :param deadline: monotonic seconds.
        """
        if self.replica_.leader() == self.settings.name:
            until = min(deadline, time.monotonic() + TRANSFER_S)
            handed_over = self.replica_.transfer_leadership(until)
            log_event("leadership_handed_over", done=handed_over)
        self._server.stop_accepting()
        gevent.sleep(ANSWERS_S)
        self._server.stop(timeout=0)
        self.fleet_.stop()
        self.replica_.stop()
        self.mesh_.stop(FLUSH_MS)

    def _fail(self, error):
        log_event("replica_failed", level="error", error=error)
        self.failed_.set()
