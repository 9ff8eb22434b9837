"""The calls of operators and engines."""

import falcon
from returns.result import Failure

from sassafrashook.fleet import OrderOutcome
from sassafrashook.platform._configuration import decode_configuration
from sassafrashook.platform._registrations import decode_registration
from sassafrashook.telemetry import log_event

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_HEARTBEAT_BYTES = 65_536


def make_control_application(fleet, settings):
    """Return the WSGI application of the control plane.

    :param fleet: a :class:`~sassafrashook.fleet.FleetController`.
    :param settings: a :class:`~sassafrashook.daemons.NodeSettings`.
    """
    port = settings.control[1]
    application = falcon.App()
    application.add_route("/config", ConfigResource(fleet, port))
    application.add_route("/instances/{upstream_id}", InstanceResource(fleet))
    application.add_route("/evacuations/{zone}", EvacuationResource(fleet, port))
    return application


class ConfigResource:
    """The configuration."""

    def __init__(self, fleet, port):
        self.fleet = fleet
        self.port = port

    def on_get(self, _request, response):
        """Return the newest document, or 503 while that is not certain."""
        document = self.fleet.read_document()
        if not document:
            response.status = falcon.HTTP_503
            return
        response.content_type = falcon.MEDIA_JSON
        response.data = document

    def on_put(self, request, response):
        """Put a document in force."""
        body = _read_body(request, MAX_BODY_BYTES)
        decoded = decode_configuration(body)
        if isinstance(decoded, Failure):
            log_event("configuration_refused", reason=decoded.failure(), bytes=len(body))
            response.status = falcon.HTTP_400
            response.media = {"error": decoded.failure()}
            return
        reply = self.fleet.put_configuration(decoded.unwrap(), body)
        _answer(reply, request, response, self.port)


class EvacuationResource:
    """An availability zone that gets nothing."""

    def __init__(self, fleet, port):
        self.fleet = fleet
        self.port = port

    def on_post(self, request, response, zone):
        """Take a zone out."""
        _answer(self.fleet.set_zone_drained(zone, True), request, response, self.port)

    def on_delete(self, request, response, zone):
        """Take a zone back."""
        _answer(self.fleet.set_zone_drained(zone, False), request, response, self.port)


class InstanceResource:
    """One engine's registration."""

    def __init__(self, fleet):
        self.fleet = fleet

    def on_put(self, request, response, upstream_id):
        """Take a liveness report."""
        decoded = decode_registration(upstream_id, _read_body(request, MAX_HEARTBEAT_BYTES))
        if isinstance(decoded, Failure):
            log_event("registration_refused", upstream=upstream_id, reason=decoded.failure())
            response.status = falcon.HTTP_400
            return
        _acknowledge(response, self.fleet.register(decoded.unwrap()))

    def on_delete(self, _request, response, upstream_id):
        """Take an engine's word that it leaves."""
        _acknowledge(response, self.fleet.remove(upstream_id))


def _read_body(request, limit):
    body = request.bounded_stream.read(limit + 1)
    if len(body) > limit:
        raise falcon.HTTPContentTooLarge(title="the body is too large")
    return body


def _acknowledge(response, accepted):
    if accepted:
        response.media = {}
    else:
        response.status = falcon.HTTP_503


def _answer(reply, request, response, port):
    if reply.outcome is OrderOutcome.DONE:
        response.media = {}
    elif reply.outcome is OrderOutcome.ELSEWHERE:
        response.status = falcon.HTTP_307
        response.set_header("Location", f"http://{reply.leader}:{port}{request.relative_uri}")
    else:
        response.status = falcon.HTTP_503
