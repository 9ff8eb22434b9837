"""Forwarding of requests through another router, which reaches upstreams that this one does not."""

import time
from dataclasses import dataclass, replace

from sassafrashook.gateway._attempt import Attempt, AttemptError, FailureKind
from sassafrashook.gateway._header_codec import PeerForwardingMetadata
from sassafrashook.gateway._responses import MS_PER_S, STATUS_GATEWAY_TIMEOUT, VERDICT_HEADER
from sassafrashook.http1 import Headers, UpstreamResponseError
from sassafrashook.outcomes import RefusalReason, Verdict
from sassafrashook.utils import parse_decimal, parse_integer

# Set by routers on the requests that they send each other: how many upstreams may run the request.
MAX_UPSTREAMS_HEADER = b"sassafrashook-max-upstreams"
MAX_REASON_BYTES = 64
MAX_UPSTREAMS = 1_000
MAX_RETRY_AFTER_S = 86_400


def take_max_upstreams(head):
    """Take the number of upstreams that may run a request out of its head.

    :param head: the :class:`~sassafrashook.http1.RequestHead` that another router has sent.
    :returns: the head without the number, and the number; 1 if it is missing or malformed.
    """
    text = head.headers.get(MAX_UPSTREAMS_HEADER, "")
    fields = [pair for pair in head.headers.fields if pair[0].lower() != MAX_UPSTREAMS_HEADER]
    return replace(head, headers=Headers(fields)), parse_integer(text, MAX_UPSTREAMS) or 1


def make_peer_pool_key(name):
    """Return the key under which the pool keeps idle connections to another router.

    :param name: name of the router.
    """
    return ("router", name)


@dataclass(slots=True, frozen=True)
class PeerRefusal:
    """A router's own response to a forwarded request.

    :param reason: a :class:`~sassafrashook.outcomes.RefusalReason`, or ``None`` if the response
        names none.
    :param retry_after_ms: delay after which the client may retry, in milliseconds, or ``None``.
    """

    reason: RefusalReason | None
    retry_after_ms: int | None


class PeerAttempt(Attempt):
    """Sends a request to another router and reads the response that it passes on.

    The router handles the request like one of a client, but does not forward it to a third router.

    :param handler: the :class:`~sassafrashook.gateway._request.RequestHandler`.
    :param peer: name of the router, which is its IP address.

    :ivar refusal_: the :class:`PeerRefusal` if the router did not send the request to an upstream.
    """

    __slots__ = ("peer", "refusal_")

    def __init__(self, handler, peer):
        super().__init__(handler, None, None)
        self.peer = peer
        self.refusal_ = None

    @property
    def software_version(self):
        """Unknown: the other router records which software version begins a stream."""
        return None

    @property
    def pool_key(self):
        """Key under which the pool keeps idle connections."""
        return make_peer_pool_key(self.peer)

    def _prepare_witness(self):
        """Have none: the other router proves that the response is complete."""

    def _open_connection(self):
        gateway = self.handler.gateway
        remaining_s = self.handler.deadline - time.monotonic()
        return gateway.pool.open((self.peer, gateway.peer_port), remaining_s, gateway.name)

    def _record_connect_failure(self, _began_at, _error):
        self.handler.gateway.pool.close_idle(self.pool_key)

    def _encode_fields(self, remaining_ms):
        handler = self.handler
        stream_request_id = handler.metadata.stream_request_id
        if handler.last_event_id_ is not None and stream_request_id is None:
            stream_request_id = handler.metadata.request_id
        forwarding = PeerForwardingMetadata(remaining_ms, handler.last_event_id_, stream_request_id)
        fields = handler.gateway.header_codec.encode_peer_headers(handler.head.headers, forwarding)
        fields = [pair for pair in fields if pair[0].lower() != MAX_UPSTREAMS_HEADER]
        remaining = handler.route.max_upstreams - handler.execution_count_
        return [*fields, (MAX_UPSTREAMS_HEADER, b"%d" % max(1, remaining))]

    def _requires_id(self, head):
        return VERDICT_HEADER not in head.headers  # a router's own responses name no request

    def _check_head(self):
        status = self.head_.status
        verdict = self.head_.headers.get(VERDICT_HEADER)
        if verdict is None:
            self._check_upstream_head()
            return
        text = self._read_text()
        if verdict != Verdict.NOT_RUN:
            kind = FailureKind.TIMEOUT if status == STATUS_GATEWAY_TIMEOUT else FailureKind.BROKEN
            raise AttemptError(kind, Verdict.MAY_HAVE_RUN, f"{status} {text}")
        reason = RefusalReason(text) if text in set(RefusalReason) else None
        self.refusal_ = PeerRefusal(reason, self._parse_retry_after_ms())
        raise AttemptError(FailureKind.REFUSED, Verdict.NOT_RUN, f"{status} {text}")

    def _parse_retry_after_ms(self):
        retry_after_s = parse_decimal(
            self.head_.headers.get(b"retry-after"), MAX_RETRY_AFTER_S, is_capped=True
        )
        return round(retry_after_s * MS_PER_S) if retry_after_s is not None else None

    def _read_text(self):
        """Read the router's own response; :returns: its text, empty if it breaks off."""
        try:
            body = self.read_body()
        except AttemptError:
            return ""
        self.finish()
        return body[:MAX_REASON_BYTES].decode("ascii", "replace").strip()

    def _read_with_timeouts(self, read, _silence_timeout_s):
        """Read until the deadline: the other router abandons silent upstreams itself."""
        try:
            return read(self.handler.deadline)
        except UpstreamResponseError as error:
            raise self._close_after_interruption(error) from error
        except TimeoutError as error:
            raise self._close_with_error(FailureKind.TIMEOUT, str(error)) from error

    def _record_body_data(self):
        """Record nothing: which upstream responds is known to the other router only."""

    def _close_after_interruption(self, error):
        """Close the connection; that of another router says nothing of a crash of an upstream."""
        return self._close_with_error(FailureKind.BROKEN, str(error))

    def _request_probe(self):
        """Probe nothing: a router that can't be reached is avoided for a while instead."""
