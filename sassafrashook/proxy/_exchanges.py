"""One request sent to one upstream, and the receipt of its response."""

import math
from dataclasses import dataclass
from enum import StrEnum

from geventhttpclient.response import HTTPParseError
from returns.result import Failure, Success

from sassafrashook.outcomes import Verdict
from sassafrashook.proxy import _headers as headers

__all__ = ["Exchange", "ExchangeFailure", "ExchangeFailureKind", "build_request", "open_exchange"]

CRLF = "\r\n"


class ExchangeFailureKind(StrEnum):
    """Why an exchange brought no whole answer."""

    CONNECT_FAILED = "connect_failed"
    PERMIT_EXPIRED = "permit_expired"
    CALLER_GONE = "caller_gone"
    CUT = "cut"
    SILENT = "silent"
    FOREIGN = "foreign"
    BUSY = "busy"
    TOO_LARGE = "too_large"
    NOT_RESUMABLE = "not_resumable"


@dataclass(slots=True, frozen=True)
class ExchangeFailure:
    """An exchange that failed.

    :param verdict: whether the upstream may have run the request.
    """

    kind: ExchangeFailureKind
    verdict: Verdict
    detail: str = ""


def build_request(method, target, fields, body):
    """Return the bytes of a request.

    :param target: path and query.
    :param fields: header names and values; a value may not hold a line break.
    :raises ValueError: if one does.
    """
    lines = [f"{method} {target} HTTP/1.1"]
    for name, value in fields.items():
        lines.append(f"{name}: {value}")
    lines.append(f"Content-Length: {len(body)}")
    head = CRLF.join(lines)
    if head.count("\n") != len(lines) - 1 or head.count("\r") != len(lines) - 1:
        raise ValueError("line break in a header")
    return head.encode("latin-1") + b"\r\n\r\n" + body


class Exchange:
    """A request that was sent on a connection.

    :param connection: a :class:`~sassafrashook.proxy._connections.Connection`.
    :param watch: the :class:`~sassafrashook.proxy._monitor.Watch` of the request.
    :param progress_s: longest time without a byte, seconds.
    :param clock: a :class:`~sassafrashook.proxy.Clock`.
    :param deadline: monotonic seconds by which the answer must be whole.

    Attributes: ``sent_at``, monotonic seconds when the first byte left; ``response``, the parser
    that holds status and headers.
    """

    __slots__ = ("clock", "connection", "deadline", "progress_s", "response", "sent_at", "watch")

    def __init__(self, connection, watch, progress_s, clock, deadline=math.inf):
        self.connection = connection
        self.watch = watch
        self.progress_s = progress_s
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
        self.extend_deadline()
        try:
            self.response = self.connection.begin(method, data)
        except OSError as error:
            return self.fail(str(error))
        return None

    def receive(self):
        """Receive once.

        :returns: ``None``, or an :class:`ExchangeFailure` if the response ended too early.
        """
        self.extend_deadline()
        try:
            count = self.connection.receive()
        except (OSError, HTTPParseError) as error:
            return self.fail(str(error))
        if count == 0 and not self.response.message_complete:
            return self.fail("connection closed in mid-answer")
        return None

    def extend_deadline(self):
        """Expect the next bytes within the progress limit from now."""
        deadline = self.clock.monotonic() + self.progress_s
        self.watch.upstream_deadline = deadline if deadline < self.deadline else self.deadline

    def suspend_deadline(self):
        """Expect nothing while nothing is received: the caller is to take what there is."""
        self.watch.upstream_deadline = math.inf

    def receive_head(self, request_id):
        """Receive status and headers, and check that they are the answer to this request.

        :returns: ``None``, or an :class:`ExchangeFailure`.
        """
        while not self.response.headers_complete or self.response.status_code < 200:
            failure = self.receive()
            if failure is not None:
                return failure
        if self._is_foreign(request_id):
            return self.fail_foreign("the response names another request")
        return None

    def receive_whole(self, limit):
        """Receive the whole body.

        :param limit: largest body, bytes.
        :returns: ``Success`` of the body, or ``Failure`` of an :class:`ExchangeFailure`.
        """
        while not self.response.message_complete:
            failure = self.receive()
            if failure is not None:
                return Failure(failure)
            if self.connection.count_buffered() > limit:
                kind = ExchangeFailureKind.TOO_LARGE
                return Failure(ExchangeFailure(kind, Verdict.MAY_HAVE_RUN, "answer too large"))
        if not self._is_framed():
            return Failure(self.fail("the answer has neither length nor end marker"))
        return Success(self.connection.take_body())

    def _is_framed(self):
        response = self.response
        if response.status_code in (204, 304) or response.method == "HEAD":
            return True
        encoding = response.get("transfer-encoding") or ""
        return response.content_length is not None or "chunked" in encoding

    def _is_foreign(self, request_id):
        return self.response.get(headers.REQUEST_ID) != request_id

    def fail_foreign(self, detail):
        """Return the failure of an answer that is not the answer to this request."""
        return ExchangeFailure(ExchangeFailureKind.FOREIGN, Verdict.MAY_HAVE_RUN, detail)

    def fail(self, detail):
        """Return the failure of a connection that broke, with the reason that is known."""
        watch = self.watch
        if watch.caller_gone:
            kind = ExchangeFailureKind.CALLER_GONE
        elif watch.expired:
            kind = ExchangeFailureKind.SILENT
        else:
            kind = ExchangeFailureKind.CUT
        return ExchangeFailure(kind, Verdict.MAY_HAVE_RUN, detail)

    def close(self):
        """Drop the connection: what still arrives on it is never read."""
        self.watch.detach()
        self.connection.close()


def open_exchange(pools, permit, watch, progress_s, deadline, fresh):
    """Connect to the upstream of a permit; nothing is sent yet.

    :param fresh: whether the connection must be new.
    :returns: ``Success`` of an :class:`Exchange`, or ``Failure`` of an :class:`ExchangeFailure`
        with verdict ``not_run``.
    """
    connect = pools.open if fresh else pools.take
    try:
        connection = connect((permit.host, permit.port), min(deadline, permit.use_by))
    except OSError as error:
        if pools.clock.monotonic() >= permit.use_by:
            return Failure(fail_expired())
        kind = ExchangeFailureKind.CONNECT_FAILED
        return Failure(ExchangeFailure(kind, Verdict.NOT_RUN, str(error)))
    return Success(Exchange(connection, watch, progress_s, pools.clock, deadline))


def fail_expired():
    """Return the failure of a permit or deadline that passed before the first byte was sent."""
    kind = ExchangeFailureKind.PERMIT_EXPIRED
    return ExchangeFailure(kind, Verdict.NOT_RUN, "permit passed before the first byte was sent")
