"""HTTP interface of a controller for operators."""

import falcon
import msgspec

from sassafrashook.controller import _admin_resources as resources
from sassafrashook.controller._admin_documents import ErrorResponse
from sassafrashook.controller._admin_errors import RETRY_AFTER_S, AdminError, write_json
from sassafrashook.controller._service import ControllerService
from sassafrashook.http1 import InvalidRequestError, MemoryLimitError, read_request_body
from sassafrashook.telemetry import log_event
from sassafrashook.utils import Interval

__all__ = ["AdminApplication"]

STATUS_PATH = "/v1/status"
HTTP_CONTENT_TOO_LARGE = 413


class AdminApplication(ControllerService):
    """WSGI application that serves the operator interface.

    All response bodies are JSON. Reads are linearizable: they reflect everything committed before
    the request, except ``/v1/status``, which reports local knowledge. A controller that is not the
    leader responds with 421, the reason ``not_leader`` and the name of the leader. The ``verdict``
    of an error states whether the command may have been committed; a command is retried with the
    same ``command_id``.

    :param name: name of this controller.
    :param log: a :class:`~sassafrashook.interfaces.ReplicatedLog`.
    :param state: the local :class:`~sassafrashook.state.FleetStateMachine`.
    :param proposer: a :class:`CommandProposer`.
    :param configuration: the :class:`ConfigurationService`.
    :param orders: the :class:`OrderService`.
    :param upstreams: an :class:`UpstreamDirectory`.
    :param members: a :class:`MemberDirectory`.
    :param keys: mapping from bearer key to operator name, or ``None`` to disable authentication.
    :param clock: returns monotonic seconds.
    :param metrics: any object with ``count(metric, reason)``, or ``None``.
    :param request_timeout_ms: maximum time to confirm a read or commit a command,
        milliseconds.
    :param command_validity_ms: validity of a command without a deadline, milliseconds.
    :param max_body_bytes: maximum size of a request body.

    :raises ParameterError: from :meth:`start`.

    See also :class:`sassafrashook.state.FleetStateMachine`, which applies the commands.

    Example::

        >>> from sassafrashook.controller import AdminApplication
        >>> AdminApplication.__name__
        'AdminApplication'
    """

    _parameter_constraints = {
        "request_timeout_ms": Interval(int, 1, 600_000),
        "command_validity_ms": Interval(int, 1_000, 86_000_000),
        "max_body_bytes": Interval(int, 1, 16_777_216),
    }

    def __init__(
        self,
        name,
        log,
        state,
        proposer,
        configuration,
        orders,
        upstreams,
        members,
        keys,
        clock,
        metrics=None,
        request_timeout_ms=5_000,
        command_validity_ms=3_600_000,
        max_body_bytes=1_048_576,
    ):
        self.name = name
        self.log = log
        self.state = state
        self.proposer = proposer
        self.configuration = configuration
        self.orders = orders
        self.upstreams = upstreams
        self.members = members
        self.keys = keys
        self.clock = clock
        self.metrics = metrics
        self.request_timeout_ms = request_timeout_ms
        self.command_validity_ms = command_validity_ms
        self.max_body_bytes = max_body_bytes

    def start(self):
        """Validate the parameters and create the routes."""
        self.validate_parameters()
        application = falcon.App(middleware=[_AuthenticationMiddleware(self)])
        application.add_error_handler(Exception, self._handle_unexpected_error)
        application.add_error_handler(falcon.HTTPError, self._handle_http_error)
        application.add_error_handler(AdminError, self._handle_admin_error)
        self._add_routes(application)
        self._application = application

    def stop(self):
        """Do nothing: the application stops with the server that runs it."""

    def __call__(self, environ, start_response):
        return self._application(environ, start_response)

    def compute_deadline(self):
        """Return the deadline of the current request in monotonic seconds."""
        return self.clock() + self.request_timeout_ms / 1000

    def compute_valid_until_ms(self, stated_ms):
        """Return the time until which a command may be applied, in wall-clock milliseconds.

        :param stated_ms: time set by the operator, or 0 for the default validity.
        """
        return stated_ms or self.proposer.wall_clock_ms() + self.command_validity_ms

    def read_body(self, request):
        """Return the decoded JSON body.

        :raises AdminError: if the body is too large or not valid JSON.
        """
        try:
            data = read_request_body(request.env, self.max_body_bytes)
        except InvalidRequestError as error:
            raise self._make_read_error(error) from error
        try:
            return msgspec.json.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise AdminError(400, ErrorResponse("bad_json", detail=str(error))) from error

    def _make_read_error(self, error):
        if isinstance(error, MemoryLimitError):
            return AdminError(error.status, ErrorResponse("memory_limit", detail=str(error)))
        if error.status == HTTP_CONTENT_TOO_LARGE:
            allowed = f"at most {self.max_body_bytes} bytes"
            return AdminError(error.status, ErrorResponse("body_too_large", allowed=allowed))
        return AdminError(error.status, ErrorResponse("bad_request", detail=str(error)))

    def describe_status(self):
        """Return the local state of this controller as a JSON object."""
        term = self.log.get_leading_term(self.clock())
        revision = self.state.revision
        return {
            "name": self.name,
            "leading": term != 0,
            "term": term,
            "leader": self.log.get_leader(),
            "revision": revision,
            "rollout": self.configuration.compute_rollout(revision) if term else None,
            "drained_zones": sorted(self.state.revisions_.drained_zones_),
            "quarantined": len(self.state.revisions_.quarantined_),
            "claims": len(self.state.claims_.records_),
            "orders": len(self.state.orders_.orders_),
            "routers": sorted({name for name, _ in self.state.routers_.routers_}),
        }

    def count(self, metric, reason):
        """Increment a counter by one."""
        if self.metrics is not None:
            self.metrics.count(metric, reason)

    def _add_routes(self, application):
        zone = resources.ZoneResource(self)
        member = resources.MemberResource(self)
        application.add_route(STATUS_PATH, resources.StatusResource(self))
        application.add_route("/v1/configuration", resources.ConfigurationResource(self))
        application.add_route("/v1/zones", resources.ZonesResource(self))
        application.add_route("/v1/zones/{zone}/drain", zone, suffix="drain")
        application.add_route("/v1/zones/{zone}/restore", zone, suffix="restore")
        application.add_route("/v1/upstreams", resources.UpstreamsResource(self))
        application.add_route("/v1/upstreams/{upstream_id}/orders", resources.OrdersResource(self))
        application.add_route("/v1/members", resources.MembersResource(self))
        application.add_route("/v1/members/{name}/replace", member, suffix="replace")

    def _handle_admin_error(self, request, response, error, parameters):
        self.count("operator_refusals", error.body.reason)
        if error.status == 503:
            response.set_header("Retry-After", RETRY_AFTER_S)
        write_json(response, error.body, error.status)

    def _handle_http_error(self, request, response, error, parameters):
        self.count("operator_refusals", "bad_request")
        body = ErrorResponse("bad_request", detail=error.title or "")
        write_json(response, body, error.status_code)

    def _handle_unexpected_error(self, request, response, error, parameters):
        """Respond to an unexpected error; the command may have been committed before it."""
        log_event("operator_request_failed", level="error", path=request.path, error=repr(error))
        self.count("operator_refusals", "internal_error")
        body = ErrorResponse("internal_error", "may_have_run", "unknown")
        write_json(response, body, 500)


class _AuthenticationMiddleware:
    """Middleware that rejects requests without a valid operator key.

    :param application: the :class:`AdminApplication`.
    """

    def __init__(self, application):
        self.application = application

    def process_request(self, request, response):
        """Authenticate the operator before the body is read, and log commands."""
        keys = self.application.keys
        operator = "anyone" if keys is None else self._authenticate(keys, request)
        if request.method != "GET":
            log_event("operator_command", operator=operator, path=request.path)

    def _authenticate(self, keys, request):
        scheme, _, key = (request.auth or "").partition(" ")
        operator = keys.get(key) if scheme == "Bearer" else None
        if operator is None:
            raise AdminError(401, ErrorResponse("unauthenticated"))
        return operator
