"""HTTP interface for operators and engines."""

import time
import zlib

import falcon
import gevent
from returns.result import Failure

from sassafrashook.fleet import OperatorCommandOutcome
from sassafrashook.platform._configuration import decode_configuration
from sassafrashook.platform._document_encoding import (
    MAX_DOCUMENT_BYTES,
    choose_encoding,
    compute_max_document_bytes,
    convert_to_gzip,
)
from sassafrashook.platform._registrations import decode_heartbeat, is_upstream_id
from sassafrashook.platform._rollouts import decode_rollout_order
from sassafrashook.telemetry import log_event

MAX_HEARTBEAT_BYTES = 65_536
MAX_ROLLOUT_BYTES = 65_536
RESPONSE_PIECE_BYTES = 16_384  # 22 ms of a link of 6 Mbit/s
MS_PER_S = 1_000


def make_control_application(fleet, settings):
    """Return the WSGI application of the control plane.

    :param fleet: a :class:`~sassafrashook.fleet.FleetController`.
    :param settings: a :class:`~sassafrashook.daemons.NodeSettings`.
    """
    port = settings.control[1]
    application = falcon.App()
    application.add_route("/config", ConfigResource(fleet, port, settings.link_bytes_per_s))
    application.add_route("/instances/{upstream_id}", InstanceResource(fleet))
    application.add_route("/evacuations/{zone}", EvacuationResource(fleet, port))
    if fleet.rollouts_ is not None:
        rollouts = RolloutResource(fleet.rollouts_, port)
        application.add_route("/rollouts", rollouts)
        application.add_route("/rollouts/{service}", rollouts, suffix="service")
    return application


class ConfigResource:
    """The configuration document.

    :param fleet: a :class:`~sassafrashook.fleet.FleetController`.
    :param port: port of the control plane of all controllers, for redirects.
    :param link_bytes_per_s: bandwidth of this controller's link, in bytes per second.
    """

    def __init__(self, fleet, port, link_bytes_per_s):
        self.fleet = fleet
        self.port = port
        self.link_bytes_per_s = link_bytes_per_s

    def on_get(self, request, response):
        """Respond with the latest document, or 503 if a linearizable read is not possible.

        The document is held compressed, and is sent so where the caller allows it.
        """
        packed = self.fleet.read_packed_document()
        if not packed:
            response.status = falcon.HTTP_503
            return
        response.content_type = falcon.MEDIA_JSON
        response.set_header("Vary", "Accept-Encoding")
        encoding = choose_encoding(request.get_header("Accept-Encoding"))
        if encoding:
            response.set_header("Content-Encoding", encoding)
        body = packed
        if encoding != "deflate":
            document = zlib.decompress(packed)
            body = convert_to_gzip(packed, document) if encoding == "gzip" else document
        response.content_length = len(body)
        response.stream = self._write_paced(body)

    def _write_paced(self, body):
        """Yield a body in pieces, so that heartbeats of the group don't wait behind it.

        The first piece is not delayed, since the caller waits for the head of the response.
        """
        pacer = self.fleet.pacer
        for begin in range(0, len(body), RESPONSE_PIECE_BYTES):
            piece = body[begin : begin + RESPONSE_PIECE_BYTES]
            now = time.monotonic()
            start = pacer.reserve(len(piece), now)
            if begin > 0 and start > now:
                gevent.sleep(start - now)
            yield piece

    def on_put(self, request, response):
        """Validate a document and replicate it.

        A document that this controller could not return in time is refused.
        """
        body = _read_body(request, MAX_DOCUMENT_BYTES)
        max_bytes = compute_max_document_bytes(self.link_bytes_per_s)
        if len(body) > max_bytes:
            reason = f"the document has {len(body)} bytes, the link allows at most {max_bytes}"
            log_event("configuration_refused", reason="too_large", bytes=len(body), max=max_bytes)
            response.status = falcon.HTTP_413
            response.media = {"error": reason}
            return
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


class RolloutResource:
    """The rollouts of the services.

    :param rollouts: a :class:`~sassafrashook.fleet.FleetRollouts`.
    :param port: port of the control plane of all controllers, for redirects.
    """

    def __init__(self, rollouts, port):
        self.rollouts = rollouts
        self.port = port

    def on_post(self, request, response):
        """Order a rollout. A repeated order changes nothing and is acknowledged again."""
        decoded = decode_rollout_order(_read_body(request, MAX_ROLLOUT_BYTES))
        if isinstance(decoded, Failure):
            log_event("rollout_refused", reason=decoded.failure())
            response.status = falcon.HTTP_400
            response.media = {"error": decoded.failure()}
            return
        order = decoded.unwrap()
        reply = self.rollouts.order(order.service, order.to, order.duration_s)
        if reply.refusal is None:
            _send_reply(reply, request, response, self.port)
            return
        response.status = falcon.HTTP_409 if reply.is_conflict else falcon.HTTP_422
        response.media = {"error": reply.refusal}

    def on_get_service(self, _request, response, service):
        """Respond with the latest rollout of a service, or 503 if it can't be confirmed."""
        is_confirmed, rollout = self.rollouts.read(service)
        if not is_confirmed:
            response.status = falcon.HTTP_503
        elif rollout is None:
            response.status = falcon.HTTP_404
        else:
            response.media = {"state": rollout.state, "to": rollout.to}

    def on_delete_service(self, request, response, service):
        """Revert the rollout of a service that is in progress."""
        reply = self.rollouts.revert(service)
        if reply.refusal is None:
            _send_reply(reply, request, response, self.port)
            return
        response.status = falcon.HTTP_409
        response.media = {"error": reply.refusal}


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
    """Read the body of a request, which has a length or comes in chunks.

    :param limit: largest size, in bytes.
    :returns: ``bytes``.
    """
    # Imported with the first request, because a controller needs it for nothing else.
    from sassafrashook.http1 import (
        InvalidRequestError,
        MemoryLimitError,
        choose_retry_after_s,
        read_request_body,
    )

    try:
        return bytes(read_request_body(request.env, limit))
    except InvalidRequestError as error:
        is_temporary = isinstance(error, MemoryLimitError)
        headers = {"Retry-After": str(choose_retry_after_s())} if is_temporary else None
        raise falcon.HTTPError(error.status, title=str(error), headers=headers) from error


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
