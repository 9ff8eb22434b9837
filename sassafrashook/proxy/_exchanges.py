"""Sends one request to an upstream and receives its response."""

import math
from dataclasses import dataclass
from enum import StrEnum

from geventhttpclient.response import HTTPParseError
from returns.result import Failure, Success

from sassafrashook.outcomes import Verdict, is_informational_status, is_response_status
from sassafrashook.proxy import _header_names as headers

__all__ = ["Exchange", "ExchangeFailure", "ExchangeFailureKind", "encode_request", "open_exchange"]

CRLF = "\r\n"


class ExchangeFailureKind(StrEnum):
    """Reason why an exchange yielded no complete response.

    :cvar CONNECT_FAILED: no connection to the upstream could be opened.
    :cvar SEND_DEADLINE_PASSED: the send deadline of the permit, or the deadline of the request,
        passed before the request was sent.
    :cvar CALLER_GONE: the caller disconnected, or did not accept a write in time.
    :cvar INCOMPLETE_RESPONSE: the connection failed, or the response was malformed HTTP, ended
        early or did not declare where it ends.
    :cvar TIMED_OUT: the receive deadline passed while the request was sent or the response was
        received.
    :cvar INVALID_RESPONSE: the response belongs to another request, does not resume the stream at
        the requested position, or is not a valid event stream.
    :cvar BUSY: the upstream returned status 429 or 503 with verdict ``not_run``.
    :cvar ERROR_STATUS: an engine returned any other 5xx response, or a status other than 200 to a
        request to resume a stream.
    :cvar TOO_LARGE: the response body is larger than the limit.
    :cvar NOT_RESUMABLE: the stream cannot be resumed on another engine, because the part that the
        caller has received is not stored or cannot be decoded.
    """

    CONNECT_FAILED = "connect_failed"
    SEND_DEADLINE_PASSED = "permit_expired"
    CALLER_GONE = "caller_gone"
    INCOMPLETE_RESPONSE = "cut"
    TIMED_OUT = "silent"
    INVALID_RESPONSE = "foreign"
    BUSY = "busy"
    ERROR_STATUS = "error_status"
    TOO_LARGE = "too_large"
    NOT_RESUMABLE = "not_resumable"


@dataclass(slots=True, frozen=True)
class ExchangeFailure:
    """Failure of an exchange.

    :param verdict: whether the upstream may have run the request.
    :param detail: description of the failure.
    """

    kind: ExchangeFailureKind
    verdict: Verdict
    detail: str = ""


def encode_request(method, target, header_fields, body):
    """Encode an HTTP/1.1 request.

    :param target: path and query.
    :param header_fields: mapping from header names to values.
    :param body: ``bytes``.
    :raises ValueError: if the method, the target or a header contains a line break.
    """
    lines = [f"{method} {target} HTTP/1.1"]
    for name, value in header_fields.items():
        lines.append(f"{name}: {value}")
    lines.append(f"Content-Length: {len(body)}")
    head = CRLF.join(lines)
    if head.count("\n") != len(lines) - 1 or head.count("\r") != len(lines) - 1:
        raise ValueError("the request head contains a line break")
    return head.encode("latin-1") + b"\r\n\r\n" + body


class Exchange:
    """One request on a connection and its response.

    :param connection: a :class:`~sassafrashook.proxy._connections.Connection`.
    :param watch: the :class:`~sassafrashook.proxy._monitor.SocketWatch` of the request.
    :param receive_timeout_s: maximum seconds without a received byte.
    :param clock: a :class:`~sassafrashook.proxy.Clock`.
    :param deadline: monotonic seconds by which the response must be complete.
    :ivar sent_at: monotonic seconds just before the request was sent.
    :ivar response: :class:`~sassafrashook.proxy._connections.UpstreamResponse` with the status and
        headers, or ``None`` before :meth:`send`.
    """

    __slots__ = (
        "clock",
        "connection",
        "deadline",
        "receive_timeout_s",
        "response",
        "sent_at",
        "watch",
    )

    def __init__(self, connection, watch, receive_timeout_s, clock, deadline=math.inf):
        self.connection = connection
        self.watch = watch
        self.receive_timeout_s = receive_timeout_s
        self.clock = clock
        self.deadline = deadline
        self.sent_at = 0.0
        self.response = None

    def send(self, method, data):
        """Send the request.

        :returns: ``None``, or an :class:`ExchangeFailure`.
        """
        self.sent_at = self.clock.monotonic()
        self.watch.attach(self.connection.sock)
        self.reset_receive_deadline()
        try:
            self.response = self.connection.begin(method, data)
        except OSError as error:
            return self.build_connection_failure(str(error))
        return None

    def receive(self):
        """Receive once.

        :returns: ``None``, or an :class:`ExchangeFailure` if the response is incomplete.
        """
        self.reset_receive_deadline()
        try:
            count = self.connection.receive()
        except (OSError, HTTPParseError) as error:
            return self.build_connection_failure(str(error))
        if count == 0 and not self.response.is_final_complete_:
            return self.build_connection_failure("connection closed before the end of the response")
        return None

    def reset_receive_deadline(self):
        """Set the deadline of the next received byte from the receive timeout."""
        deadline = self.clock.monotonic() + self.receive_timeout_s
        self.watch.upstream_deadline = deadline if deadline < self.deadline else self.deadline

    def suspend_receive_deadline(self):
        """Disable the receive deadline while the caller is being written to."""
        self.watch.upstream_deadline = math.inf

    def receive_response_head(self, attempt_id):
        """Receive the final status and headers and verify the attempt id.

        :param attempt_id: value that the response must echo in ``X-Request-Id``.
        :returns: ``None``, or an :class:`ExchangeFailure`.
        """
        response = self.response
        while not response.headers_complete or is_informational_status(response.status_code):
            failure = self.receive()
            if failure is not None:
                return failure
        if not is_response_status(response.status_code):
            return self.build_invalid_response_failure(f"invalid status {response.status_code:03}")
        if self._is_mismatched(attempt_id):
            return self.build_invalid_response_failure("the response names another attempt")
        return None

    def receive_body(self, limit):
        """Receive the whole body.

        :param limit: maximum size of the body in bytes.
        :returns: ``Success`` of the body, or ``Failure`` of an :class:`ExchangeFailure`.
        """
        while not self.response.is_final_complete_:
            failure = self.receive()
            if failure is not None:
                return Failure(failure)
            if self.connection.count_buffered_bytes() > limit:
                kind = ExchangeFailureKind.TOO_LARGE
                return Failure(
                    ExchangeFailure(kind, Verdict.MAY_HAVE_RUN, "the response is too large")
                )
        if not self._has_delimited_body():
            return Failure(
                self.build_connection_failure(
                    "the response has neither a content length nor chunked encoding"
                )
            )
        return Success(self.connection.take_body())

    def _has_delimited_body(self):
        response = self.response
        if response.status_code in (204, 304) or response.method == "HEAD":
            return True
        coding = response.get("transfer-encoding")
        if coding is None:
            return response.content_length is not None
        # Behind any other coding, and behind a tab, the parser reads until the connection ends.
        return isinstance(coding, str) and coding.strip(" ").lower() == "chunked"

    def _is_mismatched(self, attempt_id):
        return self.response.get(headers.REQUEST_ID) != attempt_id

    def build_invalid_response_failure(self, detail):
        """Return the failure for a response that is invalid or belongs to another request."""
        return ExchangeFailure(ExchangeFailureKind.INVALID_RESPONSE, Verdict.MAY_HAVE_RUN, detail)

    def build_connection_failure(self, detail):
        """Return the failure for a broken connection, with the cause recorded by the watch."""
        watch = self.watch
        if watch.caller_disconnected:
            kind = ExchangeFailureKind.CALLER_GONE
        elif watch.upstream_timed_out:
            kind = ExchangeFailureKind.TIMED_OUT
        else:
            kind = ExchangeFailureKind.INCOMPLETE_RESPONSE
        return ExchangeFailure(kind, Verdict.MAY_HAVE_RUN, detail)

    def close(self):
        """Close the connection and discard unread data."""
        self.watch.detach()
        self.connection.close()


def open_exchange(pools, permit, watch, receive_timeout_s, deadline, needs_new_connection):
    """Connect to the upstream of a permit without sending anything.

    :param pools: a :class:`~sassafrashook.proxy._connections.ConnectionPools`.
    :param permit: a :class:`~sassafrashook.interfaces.Permit`.
    :param watch: the :class:`~sassafrashook.proxy._monitor.SocketWatch` of the request.
    :param receive_timeout_s: maximum seconds without a received byte.
    :param deadline: monotonic seconds by which the response must be complete.
    :param needs_new_connection: whether to open a connection instead of reusing an idle one.
    :returns: ``Success`` of an :class:`Exchange`, or ``Failure`` of an :class:`ExchangeFailure`
        with verdict ``not_run``.
    """
    connect = pools.open if needs_new_connection else pools.acquire
    try:
        connection = connect((permit.host, permit.port), min(deadline, permit.send_deadline))
    except OSError as error:
        if pools.clock.monotonic() >= permit.send_deadline:
            return Failure(build_send_deadline_failure())
        kind = ExchangeFailureKind.CONNECT_FAILED
        return Failure(ExchangeFailure(kind, Verdict.NOT_RUN, str(error)))
    return Success(Exchange(connection, watch, receive_timeout_s, pools.clock, deadline))


def build_send_deadline_failure():
    """Return the failure for a permit or deadline that expired before the request was sent."""
    kind = ExchangeFailureKind.SEND_DEADLINE_PASSED
    return ExchangeFailure(
        kind, Verdict.NOT_RUN, "the permit or deadline expired before the request was sent"
    )
