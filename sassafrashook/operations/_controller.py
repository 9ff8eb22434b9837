"""Controller process: one replica of the state machine and the services that use it."""

import time
import uuid

from gevent.event import Event
from returns.result import Failure, Success

from sassafrashook import routing
from sassafrashook.consensus import CONSENSUS_MESSAGES, Replica
from sassafrashook.controller import (
    AdminApplication,
    ClaimService,
    ClockService,
    CommandProposer,
    ConfigurationService,
    Member,
    MemberDirectory,
    OrderService,
    PermitService,
    UpstreamDirectory,
)
from sassafrashook.daemons import StartupError, serve_application
from sassafrashook.interfaces import ProposalError, ProposalErrorReason
from sassafrashook.membership import UpstreamAnnounced, UpstreamRemoved
from sassafrashook.operations._process import (
    ProcessRuntime,
    read_keys,
    run_process,
)
from sassafrashook.routing import PermitLedger
from sassafrashook.state import FleetStateMachine
from sassafrashook.storage import StorageError
from sassafrashook.telemetry import log_event

TRANSFER_TIMEOUT_MS = 5_000
MAX_BODY_BYTES = 1_048_576  # of a command


class AnnouncedUpstreams(UpstreamDirectory):
    """Lists the upstreams known to membership.

    :param membership: a :class:`~sassafrashook.membership.MembershipService`.
    """

    def __init__(self, membership):
        self.membership = membership

    def list_upstreams(self):
        """Return the announcements of the upstreams, sorted by upstream id."""
        return sorted(self.membership.upstreams(), key=lambda entry: entry.upstream_id)


class ReplicaMembers(MemberDirectory):
    """Lists and replaces the controllers that replicate the state.

    :param replica: a :class:`~sassafrashook.consensus.Replica`.
    :param peers: addresses of the controllers, iterable of :class:`~sassafrashook.settings.Peer`.
    """

    def __init__(self, replica, peers):
        self.replica = replica
        self.peers = peers

    def list_members(self):
        """Return the members in the latest group configuration in the log."""
        addresses = {peer.name: peer for peer in self.peers}
        return [self._describe(member, addresses) for member in self.replica.get_members()]

    def replace_member(self, name, body, deadline):
        """Replace the identity of a member that lost its disk with the host's new identity.

        :param name: name of the member.
        :param body: decoded command; if it names the lost ``identity`` and that is replaced
            already, the command succeeds without effect, so that it can be retried.
        :param deadline: end of the wait in monotonic seconds.
        :returns: ``Success`` of the response body, or ``Failure`` of a
            :class:`~sassafrashook.interfaces.ProposalError` if this replica does not lead. A
            replacement refused for another reason is a ``Success`` with outcome ``refused``.
        """
        lost_identity = body.get("identity")
        if not lost_identity or not self.replica.is_replacement_complete(name, lost_identity):
            result = self.replica.replace_member(name, deadline)
            if isinstance(result, Failure):
                log_event("replace_failed", level="warning", member=name, reason=result.failure())
                if result.failure() == "not_leader":
                    error = ProposalError(ProposalErrorReason.NOT_LEADER, self.replica.get_leader())
                    return Failure(error)
                return Success({"outcome": "refused", "reason": str(result.failure())})
        return Success({"outcome": "committed", "members": self.list_members()})

    def _describe(self, member, addresses):
        peer = addresses.get(member.name)
        host, port = (peer.host, peer.port) if peer else ("", 0)
        return Member(member.name, member.identity, host, port, member.voter, member.voter)


class ControllerProcess:
    """Components of a controller process.

    :param settings: a :class:`~sassafrashook.settings.ControllerSettings`.

    :ivar failed_: event that is set when the process must exit.
    :ivar runtime_: the :class:`ProcessRuntime`.
    :ivar operator_keys_: keys that operators authenticate with.
    :ivar state_machine_: replicated state, applied from the log.
    :ivar replica_: this controller's replica of the log.
    :ivar permit_service_: grants permits while this controller leads.
    :ivar admin_application_: WSGI application of the operator API.
    :ivar services_: services in the order in which they start.

    :raises StartupError: if keys, certificates or the data folder can't be used.
    """

    def __init__(self, settings):
        self.settings = settings
        self.failed_ = Event()
        self.runtime_ = ProcessRuntime(settings, "controller", MAX_BODY_BYTES)
        self.operator_keys_ = read_keys(settings.keys.operators)
        self.state_machine_ = FleetStateMachine()
        self.replica_ = self._make_replica()
        self._make_services()
        self._server = None

    def start(self):
        """Recover the replicated state, join the group and serve operators.

        :raises StartupError: if the data folder can't be used.
        """
        try:
            self.replica_.start()
        except StorageError as error:
            raise StartupError(f"data_folder: {error}") from error
        self.runtime_.mesh_.subscribe(CONSENSUS_MESSAGES, self.replica_.deliver)
        for service in self.services_:
            service.start()
        self.replica_.subscribe(self.permit_service_.check_term)
        self.runtime_.start()
        endpoint = self.settings.operator_endpoint
        self._server = serve_application(
            (endpoint.host, endpoint.port), self.admin_application_, self.runtime_.client_budget_
        )

    def stop(self):
        """Transfer leadership if this controller leads, and stop all components."""
        if self.replica_.get_leader() == self.settings.name:
            self.replica_.transfer_leadership(time.monotonic() + TRANSFER_TIMEOUT_MS / 1000)
        self._server.stop(timeout=1)
        for service in reversed(self.services_):
            service.stop()
        self.replica_.stop()
        self.runtime_.stop()

    def _make_replica(self):
        settings = self.settings
        return Replica(
            settings.name,
            self.runtime_.list_controller_names(),
            settings.data_folder,
            self.state_machine_,
            self.runtime_.mesh_,
            bootstrap=settings.bootstrap,
            on_failure=self._handle_replica_failure,
        )

    def _make_services(self):
        name, mesh, metrics = self.settings.name, self.runtime_.mesh_, self.runtime_.metrics_
        log, state, clock = self.replica_, self.state_machine_, time.monotonic
        proposer = CommandProposer(log)
        upstreams = AnnouncedUpstreams(self.runtime_.membership_)
        self.permit_service_ = PermitService(
            name, log, state, mesh, proposer, self._make_ledger, routing, clock, metrics,
            on_failure=self._step_down, is_ready=lambda: self.runtime_.membership_.synchronized,
        )  # fmt: skip
        configuration = ConfigurationService(log, state, mesh, clock)
        claims = ClaimService(proposer, mesh, metrics)
        orders = OrderService(proposer, log, state, upstreams, issuer=uuid.uuid4().hex)
        members = ReplicaMembers(log, self.settings.controllers)
        self.admin_application_ = AdminApplication(
            name, log, state, proposer, configuration, orders, upstreams, members,
            self.operator_keys_ if self.operator_keys_.are_required else None, clock, metrics,
            max_body_bytes=MAX_BODY_BYTES,
        )  # fmt: skip
        clock_service = ClockService(proposer, state)
        self.services_ = [
            configuration,
            claims,
            self.permit_service_,
            orders,
            clock_service,
            self.admin_application_,
        ]
        self._subscribe([configuration, claims, self.permit_service_])

    def _subscribe(self, services):
        handlers_by_type = {}
        for service in services:
            for message_type in service.handled_messages:
                handlers_by_type.setdefault(message_type, []).append(service.deliver)
        for message_type, handlers in handlers_by_type.items():
            self.runtime_.mesh_.subscribe((message_type,), _make_dispatcher(handlers))
        self.runtime_.membership_.subscribe(self._handle_upstream_event)

    def _make_ledger(self, epoch):
        return PermitLedger(epoch, self.runtime_.rng_)

    def _handle_upstream_event(self, notification):
        if isinstance(notification, UpstreamAnnounced):
            self.permit_service_.handle_upstream_announced(notification.announcement)
        elif isinstance(notification, UpstreamRemoved):
            self.permit_service_.handle_upstream_left(notification.upstream_id)

    def _step_down(self):
        self.replica_.transfer_leadership(time.monotonic() + TRANSFER_TIMEOUT_MS / 1000)

    def _handle_replica_failure(self, error):
        log_event("replica_failed", level="error", error=error)
        self.failed_.set()


def _make_dispatcher(handlers):
    def dispatch(sender, message):
        for handler in handlers:
            handler(sender, message)

    return dispatch


def run_controller(settings):
    """Run a controller until SIGTERM or SIGINT.

    :param settings: a :class:`~sassafrashook.settings.ControllerSettings`.
    :returns: exit code of the process.
    """
    return run_process(settings, ControllerProcess)
