"""HTTP interface for operators and engines."""

import time

import falcon
import gevent
from returns.result import Failure

from sassafrashook.clients import SCARCE_PAUSE_S, SHARE_KEY, ClientPhase
from sassafrashook.fleet import OperatorCommandOutcome
from sassafrashook.platform._configuration import decode_configuration
from sassafrashook.platform._registrations import decode_heartbeat, is_upstream_id
from sassafrashook.telemetry import log_event

MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024
MAX_HEARTBEAT_BYTES = 65_536
READ_BYTES = 65_536
MS_PER_S = 1_000


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
    """The configuration document.

    :param fleet: a :class:`~sassafrashook.fleet.FleetController`.
    :param port: port of the control plane of all controllers, for redirects.
    """

    def __init__(self, fleet, port):
        self.fleet = fleet
        self.port = port

    def on_get(self, _request, response):
        """Respond with the latest document, or 503 if a linearizable read is not possible."""
        document = self.fleet.read_document()
        if not document:
            response.status = falcon.HTTP_503
            return
        response.content_type = falcon.MEDIA_JSON
        response.data = document

    def on_put(self, request, response):
        """Validate a document and replicate it."""
        body = _read_body(request, MAX_CONFIGURATION_BYTES)
        decoded = decode_configuration(body)
        if isinstance(decoded, Failure):
            log_event("configuration_refused", reason=decoded.failure(), bytes=len(body))
            response.status = falcon.HTTP_400
            response.media = {"error": decoded.failure()}
            return
        reply = self.fleet.put_configuration(decoded.unwrap(), body)
        _send_reply(reply, request, response, self.port)


class EvacuationResource:
    """The drain state of an availability zone: a drained zone receives no new requests.

    :param fleet: a :class:`~sassafrashook.fleet.FleetController`.
    :param port: port of the control plane of all controllers, for redirects.
    """

    def __init__(self, fleet, port):
        self.fleet = fleet
        self.port = port

    def on_post(self, request, response, zone):
        """Drain a zone."""
        _send_reply(self.fleet.set_zone_drained(zone, True), request, response, self.port)

    def on_delete(self, request, response, zone):
        """Restore a drained zone."""
        _send_reply(self.fleet.set_zone_drained(zone, False), request, response, self.port)


class InstanceResource:
    """The registration of an engine.

    :param fleet: a :class:`~sassafrashook.fleet.FleetController`.
    """

    def __init__(self, fleet):
        self.fleet = fleet

    def on_put(self, request, response, upstream_id):
        """Record a heartbeat."""
        body = _read_body(request, MAX_HEARTBEAT_BYTES)
        decoded = decode_heartbeat(upstream_id, body, time.time() * MS_PER_S)
        if isinstance(decoded, Failure):
            log_event("heartbeat_refused", upstream=upstream_id, reason=decoded.failure())
            response.status = falcon.HTTP_400
            return
        _send_acknowledgement(response, self.fleet.register(decoded.unwrap()))

    def on_delete(self, _request, response, upstream_id):
        """Record that an engine leaves."""
        if not is_upstream_id(upstream_id):
            response.status = falcon.HTTP_400
            return
        _send_acknowledgement(response, self.fleet.mark_departed(upstream_id))


def _read_body(request, limit):
    """Read the body of a request.

    :param limit: largest size, in bytes.
    :returns: ``bytes``.
    """
    if (request.content_length or 0) > limit:
        raise falcon.HTTPContentTooLarge(title="the body is too large")
    share = request.env.get(SHARE_KEY)
    body = bytearray()
    while data := request.bounded_stream.read(READ_BYTES):
        body += data
        if share is not None and not share.hold(len(body), time.monotonic()):
            raise falcon.HTTPServiceUnavailable(title="the memory for clients is used up")
        if share is not None and share.is_scarce():
            gevent.sleep(SCARCE_PAUSE_S)
    if share is not None:
        share.begin(ClientPhase.RUNNING, time.monotonic())
    return bytes(body)


def _send_acknowledgement(response, accepted):
    if accepted:
        response.media = {}
    else:
        response.status = falcon.HTTP_503


def _send_reply(reply, request, response, port):
    if reply.outcome is OperatorCommandOutcome.DONE:
        response.media = {}
    elif reply.outcome is OperatorCommandOutcome.NOT_LEADER:
        response.status = falcon.HTTP_307
        response.set_header("Location", f"http://{reply.leader}:{port}{request.relative_uri}")
    else:
        response.status = falcon.HTTP_503
