"""The operators' HTTP interface of a controller."""

import falcon
import msgspec

from sassafrashook.controller import _admin_resources as resources
from sassafrashook.controller._admin_documents import ErrorAnswer
from sassafrashook.controller._admin_errors import RETRY_AFTER_S, AdminError, write_json
from sassafrashook.controller._service import ControllerService
from sassafrashook.telemetry import log_event
from sassafrashook.utils import Interval

__all__ = ["AdminApplication"]

STATUS_PATH = "/v1/status"


class AdminApplication(ControllerService):
    """A WSGI application for operators.

    Every answer is JSON. Reads show everything that was committed before they were asked. A
    controller that does not lead answers 421 with the reason ``not_leader`` and the leader's name.
    An error states by ``verdict`` whether the command may have been committed; a command is sent
    again with the same ``command_id``.

    :param name: name of this controller.
    :param log: a :class:`~sassafrashook.gateways.ReplicatedLog`.
    :param state: the local :class:`~sassafrashook.state.FleetStateMachine`.
    :param proposer: a :class:`CommandProposer`.
    :param configuration: the :class:`ConfigurationService`.
    :param orders: the :class:`OrderService`.
    :param upstreams: an :class:`UpstreamDirectory`.
    :param members: a :class:`MemberDirectory`.
    :param keys: mapping from bearer key to operator, or ``None`` to ask for no key.
    :param clock: returns monotonic seconds.
    :param metrics: any object with ``count(metric, reason)``, or ``None``.
    :param answer_timeout_ms: how long one command may take to be committed.
    :param command_memory_ms: how long a command without a deadline may be applied.
    :param max_body_bytes: largest body.

    :raises ParameterError: from :meth:`start`.

    See also :class:`sassafrashook.state.FleetStateMachine`, which decides.

    Example::

        >>> from sassafrashook.controller import AdminApplication
        >>> AdminApplication.__name__
        'AdminApplication'
    """

    _parameter_constraints = {
        "answer_timeout_ms": Interval(int, 1, 600_000),
        "command_memory_ms": Interval(int, 1_000, 86_000_000),
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
        answer_timeout_ms=5_000,
        command_memory_ms=3_600_000,
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
        self.answer_timeout_ms = answer_timeout_ms
        self.command_memory_ms = command_memory_ms
        self.max_body_bytes = max_body_bytes

    def start(self):
        """Check the parameters and build the routes."""
        self.validate_parameters()
        application = falcon.App(middleware=[_BearerKey(self)])
        application.add_error_handler(Exception, self._answer_failure)
        application.add_error_handler(falcon.HTTPError, self._answer_http_error)
        application.add_error_handler(AdminError, self._answer_error)
        self._add_routes(application)
        self._application = application

    def stop(self):
        """Do nothing: the server that runs the application stops it."""

    def __call__(self, environ, start_response):
        return self._application(environ, start_response)

    def find_deadline(self):
        """Return until when the current request is answered, monotonic seconds."""
        return self.clock() + self.answer_timeout_ms / 1000

    def find_valid_until(self, stated_ms):
        """Return until when a command may be applied, wall-clock milliseconds."""
        return stated_ms or self.proposer.wall_clock_ms() + self.command_memory_ms

    def read_body(self, request):
        """Return the decoded JSON body.

        :raises AdminError: if it is too large or no JSON.
        """
        data = request.bounded_stream.read(self.max_body_bytes + 1)
        if len(data) > self.max_body_bytes:
            allowed = f"at most {self.max_body_bytes} bytes"
            raise AdminError(413, ErrorAnswer("body_too_large", allowed=allowed))
        try:
            return msgspec.json.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise AdminError(400, ErrorAnswer("bad_json", detail=str(error))) from error

    def describe_status(self):
        """Return what this controller knows, as a JSON object."""
        term = self.log.leading_term(self.clock())
        revision = self.state.revision
        return {
            "name": self.name,
            "leading": term != 0,
            "term": term,
            "leader": self.log.leader(),
            "revision": revision,
            "rollout": self.configuration.rollout(revision) if term else None,
            "drained_zones": sorted(self.state.revisions_.drained_zones_),
            "quarantined": len(self.state.revisions_.quarantined_),
            "claims": len(self.state.claims_.records_),
            "orders": len(self.state.orders_.orders_),
            "routers": sorted({name for name, _ in self.state.routers_.routers_}),
        }

    def count(self, metric, reason):
        """Count one refusal."""
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

    def _answer_error(self, request, response, error, parameters):
        self.count("operator_refusals", error.answer.reason)
        if error.status == 503:
            response.set_header("Retry-After", RETRY_AFTER_S)
        write_json(response, error.answer, error.status)

    def _answer_http_error(self, request, response, error, parameters):
        self.count("operator_refusals", "bad_request")
        answer = ErrorAnswer("bad_request", detail=error.title or "")
        write_json(response, answer, error.status_code)

    def _answer_failure(self, request, response, error, parameters):
        """Answer truthfully after a fault of the program: the command may have been committed."""
        log_event("operator_request_failed", level="error", path=request.path, error=repr(error))
        self.count("operator_refusals", "internal_error")
        answer = ErrorAnswer("internal_error", "may_have_run", "unknown")
        write_json(response, answer, 500)


class _BearerKey:
    """Refuses requests without the operators' key.

    :param application: the :class:`AdminApplication`.
    """

    def __init__(self, application):
        self.application = application

    def process_request(self, request, response):
        """Look the key up before anything else is read."""
        keys = self.application.keys
        operator = "anyone" if keys is None else self._find_operator(keys, request)
        if request.method != "GET":
            log_event("operator_command", operator=operator, path=request.path)

    def _find_operator(self, keys, request):
        scheme, _, key = (request.auth or "").partition(" ")
        operator = keys.get(key) if scheme == "Bearer" else None
        if operator is None:
            raise AdminError(401, ErrorAnswer("unauthenticated"))
        return operator
