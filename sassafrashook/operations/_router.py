"""The router process: callers and upstreams on one side, controllers on the other."""

import math

import msgspec
from gevent.event import Event

from sassafrashook.configuration import FleetState
from sassafrashook.operations._process import (
    UPSTREAM_KEY_NAME,
    Process,
    read_keys,
    run_process,
)
from sassafrashook.outcomes import RefusalReason
from sassafrashook.proxy import CallerApplication, CallerServer, ProxyContext
from sassafrashook.router import ClaimDriver, ConfigurationHolder, PermitDriver
from sassafrashook.routing import PermitClient, RetryBudgets
from sassafrashook.state import digest_document


class RouterRole:
    """Everything that a router runs.

    :param settings: a :class:`~sassafrashook.settings.RouterSettings`.

    :ivar failed_: set when the process must end.
    :ivar owner_: name of the controller that accepted the session last.

    :raises ProcessError: if keys or certificates can't be read.
    """

    def __init__(self, settings):
        self.settings = settings
        self.failed_ = Event()
        self.owner_ = ""
        self.process_ = Process(settings, "router")
        self.callers_ = read_keys(settings.keys.callers)
        self.upstreams_ = read_keys(settings.keys.upstreams, UPSTREAM_KEY_NAME)
        self._make_drivers()
        self._make_server()

    def start(self):
        """Start everything; callers are served once a configuration is confirmed."""
        self.process_.start()
        self.permits_.start()
        self.server_.start()

    def stop(self):
        """Stop gracefully: requests end by themselves, however long they take."""
        self.server_.stop(math.inf)
        self.permits_.close_session()
        self.permits_.stop()
        self.process_.stop()

    def find_health(self):
        """Return why the balancer should send no requests, or ``None``."""
        if self.configuration_.fleet_state() is None:
            return RefusalReason.NO_CONFIGURATION
        if not self.permits_.is_fresh():
            return RefusalReason.STALE_VIEW
        return None

    def _make_drivers(self):
        process = self.process_
        name = self.settings.name
        controllers = process.controller_names()
        core = PermitClient(name, process.boot_id, controllers, process.rng_)
        self.permits_ = PermitDriver(
            core, process.mesh_, process.metrics_.count, self._note_session
        )
        self.claims_ = ClaimDriver(process.mesh_, controllers)
        self.configuration_ = ConfigurationHolder(
            name, process.boot_id, process.mesh_, decode_publication, process.metrics_.count
        )
        for driver in (self.permits_, self.claims_, self.configuration_):
            process.mesh_.subscribe(driver.MESSAGE_TYPES, driver.deliver)

    def _make_server(self):
        settings = self.settings
        context = ProxyContext(
            self.permits_,
            self.claims_,
            RetryBudgets(),
            self.configuration_.fleet_state,
            self.process_.metrics_.count,
            max_body_bytes=settings.max_body_bytes,
        )
        application = CallerApplication(
            context,
            accounts=self.callers_ if self.callers_.are_set else None,
            upstream_keys=self.upstreams_ if self.upstreams_.are_set else None,
            health=self.find_health,
            on_announcement=self.process_.membership_.announce,
            on_load_report=self._forward,
            on_cache_event=self._forward,
        )
        endpoint = settings.caller_endpoint
        self.server_ = CallerServer(
            application, endpoint.host, endpoint.port, notice_ms=settings.balancer_interval_ms
        )

    def _note_session(self, controller, message):
        self.owner_ = controller
        if message.revision != self.configuration_.revision:
            self.configuration_.confirm(controller)

    def _forward(self, report):
        if self.owner_:
            self.process_.mesh_.send(self.owner_, report)


def decode_publication(message):
    """Return the published state.

    :raises ValueError: if the document does not match its digest or is malformed.
    """
    if digest_document(message.document) != message.digest:
        raise ValueError("the document does not match its digest")
    fleet_state = msgspec.msgpack.decode(message.document, type=FleetState)
    if fleet_state.revision != message.revision:
        raise ValueError("the document is of another revision")
    return fleet_state


def run_router(settings):
    """Run a router until it is told to stop; return its exit code."""
    return run_process(settings, RouterRole)
