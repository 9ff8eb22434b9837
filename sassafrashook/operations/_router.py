"""Router process: serves callers and upstreams over HTTP and coordinates with controllers."""

import math

import msgspec
from gevent.event import Event

from sassafrashook.configuration import FleetState
from sassafrashook.operations._process import (
    UPSTREAM_KEY_NAME,
    ProcessRuntime,
    read_keys,
    run_process,
)
from sassafrashook.outcomes import RefusalReason
from sassafrashook.proxy import CallerApplication, CallerServer, ProxyContext
from sassafrashook.router import ClaimClient, FleetStateHolder, PermitDriver
from sassafrashook.routing import PermitClient, RetryBudgets
from sassafrashook.state import digest_document


class RouterProcess:
    """Components of a router process.

    :param settings: a :class:`~sassafrashook.settings.RouterSettings`.

    :ivar failed_: event that is set when the process must exit.
    :ivar owner_: name of the controller that last accepted the session, empty before the first.
    :ivar runtime_: the :class:`ProcessRuntime`.
    :ivar caller_keys_: keys that callers authenticate with.
    :ivar upstream_keys_: keys that upstreams authenticate with.
    :ivar permit_driver_: requests permits from the owner.
    :ivar claim_client_: requests claims from the controllers.
    :ivar fleet_state_holder_: holds the configuration in force at this router.
    :ivar caller_server_: HTTP server for callers and upstreams.

    :raises StartupError: if keys or certificates can't be read.
    """

    def __init__(self, settings):
        self.settings = settings
        self.failed_ = Event()
        self.owner_ = ""
        self.runtime_ = ProcessRuntime(settings, "router", settings.max_body_bytes)
        self.caller_keys_ = read_keys(settings.keys.callers)
        self.upstream_keys_ = read_keys(settings.keys.upstreams, UPSTREAM_KEY_NAME)
        self._make_drivers()
        self._make_server()

    def start(self):
        """Start all components; requests are refused until a configuration is in force."""
        self.runtime_.start()
        self.permit_driver_.start()
        self.caller_server_.start()

    def stop(self):
        """Stop gracefully: wait for running requests to end, without a time limit."""
        self.caller_server_.stop(math.inf)
        self.permit_driver_.close_session()
        self.permit_driver_.stop()
        self.runtime_.stop()

    def find_unhealthy_reason(self):
        """Return why the health check fails, or ``None`` if the router is ready."""
        if self.fleet_state_holder_.fleet_state() is None:
            return RefusalReason.NO_CONFIGURATION
        # The owner has not confirmed zones and configuration within the lease.
        if not self.permit_driver_.has_valid_lease():
            return RefusalReason.STALE_VIEW
        return None

    def _make_drivers(self):
        runtime = self.runtime_
        name = self.settings.name
        controllers = runtime.list_controller_names()
        core = PermitClient(name, runtime.boot_id, controllers, runtime.rng_)
        self.permit_driver_ = PermitDriver(
            core, runtime.mesh_, runtime.metrics_.count, self._handle_session_accepted
        )
        self.claim_client_ = ClaimClient(runtime.mesh_, controllers)
        self.fleet_state_holder_ = FleetStateHolder(
            name, runtime.boot_id, runtime.mesh_, decode_publication, runtime.metrics_.count
        )
        for driver in (self.permit_driver_, self.claim_client_, self.fleet_state_holder_):
            runtime.mesh_.subscribe(driver.handled_messages, driver.deliver)

    def _make_server(self):
        settings = self.settings
        context = ProxyContext(
            self.permit_driver_,
            self.claim_client_,
            RetryBudgets(),
            self.fleet_state_holder_.fleet_state,
            self.runtime_.metrics_.count,
            max_body_bytes=settings.max_body_bytes,
        )
        application = CallerApplication(
            context,
            accounts=self.caller_keys_ if self.caller_keys_.are_required else None,
            upstream_keys=self.upstream_keys_ if self.upstream_keys_.are_required else None,
            health=self.find_unhealthy_reason,
            on_announcement=self.runtime_.membership_.announce,
            on_load_report=self._send_to_owner,
            on_cache_event=self._send_to_owner,
        )
        endpoint = settings.caller_endpoint
        # Connections are accepted until the load balancer has noticed the failing health check.
        self.caller_server_ = CallerServer(
            application,
            endpoint.host,
            endpoint.port,
            drain_notice_ms=settings.balancer_interval_ms,
            budget=self.runtime_.client_budget_,
        )

    def _handle_session_accepted(self, controller, message):
        self.owner_ = controller
        if message.revision != self.fleet_state_holder_.revision:
            self.fleet_state_holder_.confirm(controller)

    def _send_to_owner(self, report):
        if self.owner_:
            self.runtime_.mesh_.send(self.owner_, report)


def decode_publication(message):
    """Return the decoded state of a published configuration.

    :param message: a :class:`~sassafrashook.messages.ConfigurationPublished`.
    :returns: a :class:`~sassafrashook.configuration.FleetState`.
    :raises ValueError: if the digest or revision does not match the document, or it is malformed.
    """
    if digest_document(message.document) != message.digest:
        raise ValueError("the document does not match its digest")
    fleet_state = msgspec.msgpack.decode(message.document, type=FleetState)
    if fleet_state.revision != message.revision:
        raise ValueError("the revision in the document differs from the published revision")
    return fleet_state


def run_router(settings):
    """Run a router until SIGTERM or SIGINT.

    :param settings: a :class:`~sassafrashook.settings.RouterSettings`.
    :returns: exit code of the process.
    """
    return run_process(settings, RouterProcess)
