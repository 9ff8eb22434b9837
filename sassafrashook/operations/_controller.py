"""The controller process: one replica of the agreed state, and the services above it."""

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
from sassafrashook.daemons import ProcessError, serve_application
from sassafrashook.gateways import ProposalError, ProposalFailure
from sassafrashook.membership import UpstreamLeft, UpstreamSeen
from sassafrashook.operations._process import (
    Process,
    read_keys,
    run_process,
)
from sassafrashook.routing import PermitLedger
from sassafrashook.state import FleetStateMachine
from sassafrashook.storage import StorageError
from sassafrashook.telemetry import log_event

TRANSFER_MS = 5_000


class AnnouncedUpstreams(UpstreamDirectory):
    """The upstreams that membership lists.

    :param membership: a :class:`~sassafrashook.membership.MembershipService`.
    """

    def __init__(self, membership):
        self.membership = membership

    def list_upstreams(self):
        """Return the announcements, ordered by name."""
        return sorted(self.membership.upstreams(), key=lambda entry: entry.upstream_id)


class ReplicaMembers(MemberDirectory):
    """The controllers that hold the agreed state.

    :param replica: a :class:`~sassafrashook.consensus.Replica`.
    :param peers: the controllers' addresses, :class:`~sassafrashook.settings.Peer` values.
    """

    def __init__(self, replica, peers):
        self.replica = replica
        self.peers = peers

    def list_members(self):
        """Return the members in the newest configuration of the log."""
        addresses = {peer.name: peer for peer in self.peers}
        return [self._describe(member, addresses) for member in self.replica.members()]

    def replace_member(self, name, body, deadline):
        """Put a host's new identity in the place of its lost one.

        :param body: may state the lost ``identity``; once that is gone, a resend of the command
            is answered as the first one was.
        """
        lost = body.get("identity")
        if not lost or not self.replica.has_replaced(name, lost):
            result = self.replica.replace_member(name, deadline)
            if isinstance(result, Failure):
                log_event("replace_failed", level="warning", member=name, obstacle=result.failure())
                if result.failure() == "not_leader":
                    error = ProposalError(ProposalFailure.NOT_LEADER, self.replica.leader())
                    return Failure(error)
                return Success({"outcome": "refused", "reason": str(result.failure())})
        return Success({"outcome": "committed", "members": self.list_members()})

    def _describe(self, member, addresses):
        peer = addresses.get(member.name)
        host, port = (peer.host, peer.port) if peer else ("", 0)
        return Member(member.name, member.identity, host, port, member.voter, member.voter)


class ControllerRole:
    """Everything that a controller runs.

    :param settings: a :class:`~sassafrashook.settings.ControllerSettings`.

    :ivar failed_: set when the process must end.

    :raises ProcessError: if keys, certificates or the data folder can't be used.
    """

    def __init__(self, settings):
        self.settings = settings
        self.failed_ = Event()
        self.process_ = Process(settings, "controller")
        self.operators_ = read_keys(settings.keys.operators)
        self.state_ = FleetStateMachine()
        self.replica_ = self._make_replica()
        self._make_services()
        self._server = None

    def start(self):
        """Recover the state and take part."""
        try:
            self.replica_.start()
        except StorageError as error:
            raise ProcessError(f"data_folder: {error}") from error
        self.process_.mesh_.subscribe(CONSENSUS_MESSAGES, self.replica_.deliver)
        for service in self.services_:
            service.start()
        self.replica_.subscribe(self.permits_.wake)
        self.process_.start()
        endpoint = self.settings.operator_endpoint
        self._server = serve_application((endpoint.host, endpoint.port), self.admin_)

    def stop(self):
        """Hand leadership over and stop."""
        if self.replica_.leader() == self.settings.name:
            self.replica_.transfer_leadership(time.monotonic() + TRANSFER_MS / 1000)
        self._server.stop(timeout=1)
        for service in reversed(self.services_):
            service.stop()
        self.replica_.stop()
        self.process_.stop()

    def _make_replica(self):
        settings = self.settings
        return Replica(
            settings.name,
            self.process_.controller_names(),
            settings.data_folder,
            self.state_,
            self.process_.mesh_,
            bootstrap=settings.bootstrap,
            on_failure=self._fail,
        )

    def _make_services(self):
        name, mesh, metrics = self.settings.name, self.process_.mesh_, self.process_.metrics_
        log, state, clock = self.replica_, self.state_, time.monotonic
        proposer = CommandProposer(log)
        upstreams = AnnouncedUpstreams(self.process_.membership_)
        self.permits_ = PermitService(
            name, log, state, mesh, proposer, self._make_ledger, routing, clock, metrics,
            on_failure=self._step_down, is_ready=lambda: self.process_.membership_.synchronised,
        )  # fmt: skip
        configuration = ConfigurationService(log, state, mesh, clock)
        claims = ClaimService(proposer, mesh, metrics)
        orders = OrderService(proposer, log, state, upstreams, issuer=uuid.uuid4().hex)
        members = ReplicaMembers(log, self.settings.controllers)
        self.admin_ = AdminApplication(
            name, log, state, proposer, configuration, orders, upstreams, members,
            self.operators_ if self.operators_.are_set else None, clock, metrics,
        )  # fmt: skip
        clock_service = ClockService(proposer, state)
        self.services_ = [configuration, claims, self.permits_, orders, clock_service, self.admin_]
        self._subscribe([configuration, claims, self.permits_])

    def _subscribe(self, services):
        interested = {}
        for service in services:
            for kind in service.handled_messages:
                interested.setdefault(kind, []).append(service.deliver)
        for kind, handlers in interested.items():
            self.process_.mesh_.subscribe((kind,), _hand_to_all(handlers))
        self.process_.membership_.subscribe(self._note_upstream)

    def _make_ledger(self, epoch):
        return PermitLedger(epoch, self.process_.rng_)

    def _note_upstream(self, notification):
        if isinstance(notification, UpstreamSeen):
            self.permits_.note_upstream(notification.announcement)
        elif isinstance(notification, UpstreamLeft):
            self.permits_.note_upstream_left(notification.upstream_id)

    def _step_down(self):
        self.replica_.transfer_leadership(time.monotonic() + TRANSFER_MS / 1000)

    def _fail(self, error):
        log_event("replica_failed", level="error", error=error)
        self.failed_.set()


def _hand_to_all(handlers):
    def hand(sender, message):
        for handler in handlers:
            handler(sender, message)

    return hand


def run_controller(settings):
    """Run a controller until it is told to stop; return its exit code."""
    return run_process(settings, ControllerRole)
