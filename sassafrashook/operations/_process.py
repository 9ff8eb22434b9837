"""What every role's process has in common: streams, membership, counters and signals."""

import random
import time
import uuid

from returns.pipeline import is_successful

from sassafrashook.consensus import CONSENSUS_MESSAGES
from sassafrashook.daemons import ProcessError, run_logged, run_role, serve_metrics
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

PROBE_MS = 1_000
STOP_FLUSH_MS = 1_000
UPSTREAM_KEY_NAME = "upstreams"


class Process:
    """Streams, membership and counters of one process.

    :param settings: a :class:`~sassafrashook.settings.ProcessSettings`.
    :param role: ``router`` or ``controller``.

    :ivar mesh_: the streams.
    :ivar membership_: the list of upstreams and peers.
    :ivar metrics_: the counters.

    :raises ProcessError: if certificates or keys can't be read.
    """

    def __init__(self, settings, role):
        self.settings = settings
        self.role = role
        self.boot_id = uuid.uuid4().hex[:16]
        self.rng_ = random.Random()
        self.metrics_ = Metrics(settings.name)
        self.mesh_ = self._make_mesh()
        self.membership_ = self._make_membership()
        self._page = None

    def start(self):
        """Start streams, membership and the page of counters."""
        self.mesh_.start()
        names = [peer.name for peer in (*self.settings.controllers, *self.settings.routers)]
        self.membership_.set_peers([name for name in names if name != self.settings.name])
        self.membership_.start()
        endpoint = self.settings.metrics_endpoint
        if endpoint is not None:
            self._page = serve_metrics((endpoint.host, endpoint.port), self.metrics_)

    def stop(self):
        """Leave membership, write what is queued and close everything."""
        self.membership_.stop()
        self.mesh_.stop(STOP_FLUSH_MS)
        if self._page is not None:
            self._page.stop(timeout=0)

    def controller_names(self):
        """Return the names of all controllers."""
        return [peer.name for peer in self.settings.controllers]

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
        )

    def _make_contexts(self):
        files = self.settings.tls
        if files is None:
            return None, None
        certificates = CertificateFiles(files.certificate, files.key, files.authority)
        try:
            return make_server_context(certificates), make_client_context(certificates)
        except OSError as error:
            raise ProcessError(f"tls: {error}") from error

    def _make_membership(self):
        settings = self.settings
        own = PeerRecord(
            settings.name,
            self.role,
            settings.peer_endpoint.host,
            settings.peer_endpoint.port,
            settings.availability_zone,
            self.boot_id,
            time.time_ns() // 1_000_000,
        )
        core = MembershipCore(
            own, self.rng_, self._measure, budget_bytes=settings.control_bytes_per_s
        )
        service = MembershipService(core, self.mesh_, self._probe, self.metrics_.count)
        service.subscribe(self._note_peer)
        self.mesh_.subscribe(MEMBERSHIP_MESSAGES, service.deliver)
        return service

    def _measure(self, message):
        return len(self.mesh_.codec.encode(message))

    def _probe(self, peer):
        return self.mesh_.probe(peer, time.monotonic() + PROBE_MS / 1000)

    def _note_peer(self, notification):
        if isinstance(notification, PeerSeen):
            record = notification.record
            if record.name != self.settings.name:
                self.mesh_.learn(PeerAddress(record.name, record.host, record.port))


def read_keys(path, single_name=None):
    """Return the keys of a file.

    :raises ProcessError: if it can't be used.
    """
    result = load_keys(path, single_name)
    if not is_successful(result):
        raise ProcessError(str(result.failure()))
    return result.unwrap()


def run_process(settings, make_role):
    """Run a role until SIGTERM or SIGINT; a second signal ends it at once.

    :param make_role: called with the settings; returns an object with ``start``, ``stop`` and
        ``failed_``, an event that is set when the role must end.
    :returns: exit code for the shell.
    """
    return run_logged(settings.log_level, _run_process, settings, make_role)


def _run_process(settings, make_role):
    return run_role(
        lambda: make_role(settings),
        stop=lambda role: role.stop(),
        impatient=True,
        process=settings.name,
    )
