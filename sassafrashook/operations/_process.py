"""Runtime shared by router and controller: connections, membership, metrics and signals."""

import random
import resource
import time
import uuid

from returns.pipeline import is_successful

from sassafrashook.clients import compute_connection_limit, compute_memory_limit_bytes
from sassafrashook.consensus import CONSENSUS_MESSAGES
from sassafrashook.daemons import (
    StartupError,
    make_client_budget,
    run_until_signal,
    run_with_logging,
    serve_metrics,
)
from sassafrashook.membership import (
    MEMBERSHIP_MESSAGES,
    MembershipCore,
    MembershipService,
    PeerRecord,
    PeerSeen,
)
from sassafrashook.messages import ROUTER_MESSAGES
from sassafrashook.settings import load_keys
from sassafrashook.telemetry import Metrics
from sassafrashook.transport import (
    CertificateFiles,
    Mesh,
    PeerAddress,
    make_client_context,
    make_server_context,
)

PROBE_TIMEOUT_MS = 1_000
FLUSH_TIMEOUT_MS = 1_000
UPSTREAM_KEY_NAME = "upstreams"
# A request with the largest body is served on any host.
BODIES_IN_MEMORY = 2


class ProcessRuntime:
    """Message connections, membership and metrics of one process.

    :param settings: a :class:`~sassafrashook.settings.ProcessSettings`.
    :param role: ``router`` or ``controller``.
    :param max_body_bytes: largest body of a request that the process serves, in bytes.

    :ivar boot_id: identifies this start of the process.
    :ivar rng_: random number generator of the process.
    :ivar metrics_: a :class:`~sassafrashook.telemetry.Metrics`.
    :ivar client_budget_: limits of the connections of all clients, a
        :class:`~sassafrashook.clients.ClientBudget`.
    :ivar mesh_: connections to peers, a :class:`~sassafrashook.transport.Mesh`.
    :ivar membership_: known upstreams and peers, a
        :class:`~sassafrashook.membership.MembershipService`.

    :raises StartupError: if the certificates can't be loaded.
    """

    def __init__(self, settings, role, max_body_bytes):
        self.settings = settings
        self.max_body_bytes = max_body_bytes
        self.role = role
        self.boot_id = uuid.uuid4().hex[:16]
        self.rng_ = random.Random()
        self.metrics_ = Metrics(settings.name)
        self.client_budget_ = self._make_client_budget()
        self.mesh_ = self._make_mesh()
        self.membership_ = self._make_membership()
        self._metrics_server = None

    def start(self):
        """Start the connections, membership and the metrics endpoint."""
        self.mesh_.start()
        names = [peer.name for peer in (*self.settings.controllers, *self.settings.routers)]
        self.membership_.set_seeds([name for name in names if name != self.settings.name])
        self.membership_.start()
        endpoint = self.settings.metrics_endpoint
        if endpoint is not None:
            self._metrics_server = serve_metrics(
                (endpoint.host, endpoint.port), self.metrics_, self.client_budget_
            )

    def stop(self):
        """Stop membership, write queued messages and close all connections."""
        self.membership_.stop()
        self.mesh_.stop(FLUSH_TIMEOUT_MS)
        if self._metrics_server is not None:
            self._metrics_server.stop()

    def list_controller_names(self):
        """Return the names of all controllers."""
        return [peer.name for peer in self.settings.controllers]

    def _make_client_budget(self):
        limits = self.settings.limits
        max_fds = limits.max_fds or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        max_bytes = max(
            compute_memory_limit_bytes(limits.memory_mb), BODIES_IN_MEMORY * self.max_body_bytes
        )
        return make_client_budget(max_bytes, compute_connection_limit(max_fds), self.metrics_)

    def _make_mesh(self):
        settings = self.settings
        server_context, client_context = self._make_contexts()
        peers = [PeerAddress(p.name, p.host, p.port) for p in settings.controllers]
        peers += [PeerAddress(p.name, p.host, p.port) for p in settings.routers]
        return Mesh(
            settings.name,
            (settings.peer_endpoint.host, settings.peer_endpoint.port),
            peers,
            (*ROUTER_MESSAGES, *MEMBERSHIP_MESSAGES, *CONSENSUS_MESSAGES),
            server_context,
            client_context,
            self.metrics_.count,
            budget=self.client_budget_,
        )

    def _make_contexts(self):
        paths = self.settings.tls
        if paths is None:
            return None, None
        certificates = CertificateFiles(paths.certificate, paths.key, paths.authority)
        try:
            return make_server_context(certificates), make_client_context(certificates)
        except OSError as error:
            raise StartupError(f"tls: {error}") from error

    def _make_membership(self):
        settings = self.settings
        own_record = PeerRecord(
            settings.name,
            self.role,
            settings.peer_endpoint.host,
            settings.peer_endpoint.port,
            settings.availability_zone,
            self.boot_id,
            time.time_ns() // 1_000_000,
        )
        core = MembershipCore(
            own_record,
            self.rng_,
            self._compute_encoded_size,
            budget_bytes=settings.control_bytes_per_s,
        )
        service = MembershipService(core, self.mesh_, self._probe, self.metrics_.count)
        service.subscribe(self._handle_peer_event)
        self.mesh_.subscribe(MEMBERSHIP_MESSAGES, service.deliver)
        return service

    def _compute_encoded_size(self, message):
        return len(self.mesh_.codec.encode(message))

    def _probe(self, peer):
        return self.mesh_.probe(peer, time.monotonic() + PROBE_TIMEOUT_MS / 1000)

    def _handle_peer_event(self, notification):
        if isinstance(notification, PeerSeen):
            record = notification.record
            if record.name != self.settings.name:
                self.mesh_.update_peer_address(PeerAddress(record.name, record.host, record.port))


def read_keys(path, single_name=None):
    """Return the keys in a file.

    :param path: path of the file, or ``None`` for no keys.
    :param single_name: name of the key if the file holds one bare key instead of a YAML mapping.
    :returns: :class:`~sassafrashook.settings.ApiKeys`.
    :raises StartupError: if the file can't be read or is malformed.
    """
    result = load_keys(path, single_name)
    if not is_successful(result):
        raise StartupError(str(result.failure()))
    return result.unwrap()


def run_process(settings, make_process):
    """Run a process until SIGTERM or SIGINT; a second signal ends the process immediately.

    :param settings: a :class:`~sassafrashook.settings.ProcessSettings`.
    :param make_process: called with the settings; returns an object with methods ``start`` and
        ``stop`` and an event ``failed_``, which is set when the process must exit.
    :returns: exit code of the process.
    """
    return run_with_logging(settings.log_level, _run_process, settings, make_process)


def _run_process(settings, make_process):
    return run_until_signal(
        lambda: make_process(settings),
        stop=lambda process: process.stop(),
        exits_on_second_signal=True,
        process=settings.name,
    )
