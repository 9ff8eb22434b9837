"""One attempt to execute a request at one upstream."""

import time
from dataclasses import dataclass
from enum import StrEnum

import gevent

from sassafrashook.clients import SCARCE_PAUSE_S
from sassafrashook.gateway._header_codec import ForwardingMetadata
from sassafrashook.gateway._witness import Witness
from sassafrashook.http1 import UpstreamResponseError
from sassafrashook.outcomes import Verdict

# Requests that may run more than once may use a connection that was idle for up to this time, if
# the upstream still keeps it open.
MAX_IDLE_S = 20.0
# Requests that run at most once use only recently active connections: if the upstream closes the
# connection while the request is on its way, the request is lost and can't be sent again.
MAX_IDLE_AT_MOST_ONCE_S = 0.5
MIN_REMAINING_MS = 1
BODILESS_STATUS = (204, 304)
MAX_BODY_BYTES = 16_777_216  # of a response that is read before it is sent to the client
# Bounds of the body of a refusal. A longer one is not worth waiting for to reuse the connection.
MAX_REFUSAL_BYTES = 65_536
REFUSAL_TIMEOUT_S = 0.1
# Data that is waited for at least this time had not arrived when the wait began.
MIN_RECEIVE_WAIT_S = 0.005
MIN_CONNECT_TIMEOUT_S = 0.001  # with a timeout of 0 the socket would not wait at all
STATUS_INTERNAL_ERROR = 500


class FailureKind(StrEnum):
    """Why an attempt failed.

    :cvar UNREACHABLE: no connection could be opened.
    :cvar REFUSED: the upstream stated that it did not run the request.
    :cvar MISDIRECTED: the upstream stated that the request names another upstream.
    :cvar BROKEN: the connection broke, or the response was malformed or incomplete.
    :cvar TIMEOUT: the request's deadline passed.
    :cvar SILENT: the upstream sent nothing for too long and the request could be retried.
    :cvar UNSIGNED: a successful response had no signature.
    :cvar UNSUCCESSFUL_STATUS: the upstream ran the request and responded with a status of 300 or
        more.
    :cvar CLIENT_DISCONNECTED: the client disconnected.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    MISDIRECTED = "misdirected"
    BROKEN = "broken"
    TIMEOUT = "timeout"
    SILENT = "silent"
    UNSIGNED = "unsigned"
    UNSUCCESSFUL_STATUS = "failed"
    CLIENT_DISCONNECTED = "client_gone"


UPSTREAM_FAILURES = frozenset(
    (FailureKind.BROKEN, FailureKind.SILENT, FailureKind.TIMEOUT, FailureKind.UNSIGNED)
)


class AttemptError(Exception):
    """Raised when an attempt fails.

    :param kind: a :class:`FailureKind`.
    :param verdict: :class:`~sassafrashook.outcomes.Verdict` on whether the request has run.
    :param detail: description for the log.
    :param response: the :class:`UpstreamResponse` if the kind is ``UNSUCCESSFUL_STATUS``, else
        ``None``.
    """

    def __init__(self, kind, verdict, detail="", response=None):
        super().__init__(detail)
        self.kind = kind
        self.verdict = verdict
        self.response = response

    @property
    def is_upstream_failure(self):
        """Whether the upstream failed; ``None`` if the attempt says nothing of that."""
        if self.kind is FailureKind.UNSUCCESSFUL_STATUS:
            return self.response.head.status >= STATUS_INTERNAL_ERROR
        return True if self.kind in UPSTREAM_FAILURES else None


@dataclass(slots=True, frozen=True)
class UpstreamResponse:
    """A complete response of an upstream.

    :param head: the :class:`~sassafrashook.http1.ResponseHead`.
    :param body: the whole body.
    """

    head: object
    body: bytes


class Attempt:
    """Sends a request to an upstream and reads the response.

    :param handler: the :class:`~sassafrashook.gateway._request.RequestHandler`.
    :param upstream: the chosen :class:`~sassafrashook.placement.UpstreamState`.
    :param prompt_source: state of the upstream from which the chosen one should try to copy a
        cached part of the prompt, or ``None``.

    :ivar connection_: the :class:`~sassafrashook.http1.UpstreamConnection` while it is in use,
        else ``None``.
    :ivar head_: the :class:`~sassafrashook.http1.ResponseHead` once it has been read.
    :ivar metadata_: the :class:`~sassafrashook.gateway.ResponseMetadata` of the last response head.
    :ivar is_reused_: whether the connection was taken from the pool.
    :ivar is_aborted_: whether another task has shut the connection down.
    :ivar first_data_at_: when the first data of the body arrived, in monotonic seconds, or
        ``None``.
    """

    __slots__ = (
        "handler",
        "upstream",
        "prompt_source",
        "connection_",
        "head_",
        "metadata_",
        "is_reused_",
        "is_aborted_",
        "_witness",
        "_awaited_data_at",
        "first_data_at_",
        "_memory_share",
    )

    def __init__(self, handler, upstream, prompt_source):
        self.handler = handler
        self.upstream = upstream
        self.prompt_source = prompt_source
        self.connection_ = None
        self.head_ = None
        self.metadata_ = None
        self.is_reused_ = False
        self.is_aborted_ = False
        self._witness = None
        self._awaited_data_at = float("-inf")
        self.first_data_at_ = None
        self._memory_share = handler.gateway.response_memory.open_share(self.abort)

    def start(self):
        """Connect, send the request and read the head of the response.

        :returns: the :class:`~sassafrashook.http1.ResponseHead` of a successful response.
        :raises AttemptError: if there is no successful response.
        """
        self._connect()
        self._prepare_witness()
        self._send()
        self.head_ = self._read_head()
        if self._witness is not None and self._is_unframed():
            self.handler.gateway.record_unframed_response(self.handler.service.name)
            self._witness.open(self._compute_remaining_s())
        self._check_head()
        return self.head_

    def _check_head(self):
        """Record what the head of the response states.

        :raises AttemptError: if the response is not successful.
        """
        metadata = self.metadata_
        if metadata.load is not None:
            self.upstream.record_load_report(*metadata.load, time.monotonic())
        if metadata.slowdown is not None:
            self.handler.gateway.results.record_slowdown(self.upstream, metadata.slowdown)
        handler = self.handler
        handler.gateway.record_rate_limit(
            self.upstream, metadata.rate_limit, handler.metadata.request_id
        )
        if not metadata.is_misdirected:
            handler.gateway.record_upstream_signals(
                self.upstream, metadata, handler.metadata.request_id
            )
        if metadata.was_not_executed:
            self._discard_body()
            kind = FailureKind.REFUSED
            # An upstream refuses a version that the client expects in the same way.
            if metadata.is_misdirected and not handler.metadata.expects_version:
                kind = FailureKind.MISDIRECTED
                handler.gateway.record_misdirection(self.upstream, handler.metadata.request_id)
            raise AttemptError(kind, Verdict.NOT_RUN, f"status {self.head_.status}")
        self._check_upstream_head()

    def _check_upstream_head(self):
        """Check the head of an upstream that has run the request.

        :raises AttemptError: if the response is not successful.
        """
        if self.head_.status >= 300:
            response = UpstreamResponse(self.head_, self.read_body())
            self.finish()
            raise AttemptError(
                FailureKind.UNSUCCESSFUL_STATUS, Verdict.RAN, f"{response.head.status}", response
            )
        if not self.metadata_.is_signed:
            raise self._close_with_error(
                FailureKind.UNSIGNED, "successful response without a signature"
            )

    @property
    def pool_key(self):
        """Key under which the pool keeps idle connections."""
        return self.upstream.key

    @property
    def software_version(self):
        """Version of the software that responds, ``None`` if it is not known."""
        return self.upstream.registration.version

    def _connect(self):
        handler = self.handler
        max_idle_s = MAX_IDLE_S if handler.route.is_idempotent else MAX_IDLE_AT_MOST_ONCE_S
        connection = handler.gateway.pool.acquire(self.pool_key, max_idle_s)
        self.is_reused_ = connection is not None
        if connection is None:
            began_at = time.monotonic()
            try:
                connection = self._open_connection()
            except OSError as error:
                self._record_connect_failure(began_at, error)
                raise AttemptError(FailureKind.UNREACHABLE, Verdict.NOT_RUN, str(error)) from error
        self.connection_ = connection
        if handler.client.is_disconnected_:
            raise AttemptError(FailureKind.CLIENT_DISCONNECTED, Verdict.NOT_RUN)

    def _is_unframed(self):
        """Return whether the response has a body that only the end of its connection ends."""
        has_body = self.handler.head.method != b"HEAD" and self.head_.status not in BODILESS_STATUS
        return has_body and self.head_.is_close_delimited

    def _prepare_witness(self):
        """Have a second connection if the response may be unframed and its end must be proved.

        Nothing is proved for services whose upstreams can't be asked for their health.
        """
        handler, upstream = self.handler, self.upstream
        if not handler.service.health_path:
            return
        witness = self._witness = Witness(handler.gateway, upstream, time.monotonic())
        if handler.gateway.expects_unframed_responses(handler.service.name):
            witness.open(self._compute_remaining_s())
            witness.sent_at = time.monotonic()

    def _compute_remaining_s(self):
        return max(self.handler.deadline - time.monotonic(), MIN_CONNECT_TIMEOUT_S)

    def _open_connection(self):
        gateway, upstream = self.handler.gateway, self.upstream
        connection = gateway.pool.open(upstream.registration.address, self._compute_remaining_s())
        gateway.placement.paths_.record_connection(upstream, time.monotonic())
        return connection

    def _record_connect_failure(self, began_at, error):
        self.handler.gateway.record_connect_failure(self.upstream, began_at, error)

    def _send(self):
        handler = self.handler
        remaining_ms = (handler.deadline - time.monotonic()) * 1_000
        if remaining_ms < MIN_REMAINING_MS:
            self.close()
            raise AttemptError(
                FailureKind.TIMEOUT, Verdict.NOT_RUN, "deadline passed before the request was sent"
            )
        fields = self._encode_fields(remaining_ms)
        head = handler.head
        try:
            self.connection_.send_request(head.method, head.target, fields, handler.body)
        except OSError as error:
            raise self._close_after_interruption(error) from error

    def _encode_fields(self, remaining_ms):
        """Encode the header of the request.

        :param remaining_ms: time that is left until the request's deadline, in milliseconds.
        :returns: list of (name, value) pairs of ``bytes``.
        """
        handler = self.handler
        forwarding = ForwardingMetadata(
            self.upstream.registration.upstream_id,
            remaining_ms,
            handler.account.name if handler.account is not None else None,
            handler.priority,
            handler.last_event_id_,
            self.prompt_source.registration.address if self.prompt_source is not None else None,
        )
        return handler.gateway.header_codec.encode_forwarded_headers(
            handler.head.headers, forwarding
        )

    def _read_head(self):
        return self._read_with_timeouts(
            lambda deadline: self.connection_.read_head(self._matches_request, deadline),
            self.handler.head_silence_timeout_s,
        )

    def _read_with_timeouts(self, read, silence_timeout_s):
        """Read from the connection until the deadline, or a silence timeout if a retry is possible.

        :param read: called with the time until which it may block, in monotonic seconds.
        :param silence_timeout_s: time without data after which the attempt is abandoned if the
            request may be retried at another upstream, in seconds.
        :returns: the result of ``read``.
        :raises AttemptError: if the connection breaks or a timeout passes.
        """
        read_deadline = min(self.handler.deadline, time.monotonic() + silence_timeout_s)
        while True:
            try:
                result = read(read_deadline)
                self._record_data()
                return result
            except UpstreamResponseError as error:
                raise self._close_after_interruption(error) from error
            except TimeoutError as error:
                if read_deadline >= self.handler.deadline:
                    raise self._close_with_error(FailureKind.TIMEOUT, str(error)) from error
                if self.handler.can_abandon_attempt():
                    raise self._close_with_error(
                        FailureKind.SILENT, f"no data received for {silence_timeout_s} s"
                    ) from error
                read_deadline = self.handler.deadline

    def _matches_request(self, head):
        """Decode a response head and return whether it responds to this request.

        On a new connection, a response without a request id is taken to match. On one that has
        carried other requests, it may be a copy of the response to one of these.

        :raises UpstreamResponseError: if it can't be told to which request it responds.
        """
        self.metadata_ = metadata = self.handler.gateway.header_codec.decode_response_head(head)
        if metadata.is_contradictory:
            raise UpstreamResponseError("the head of the response contradicts itself")
        expected_id = self.handler.metadata.request_id
        if not metadata.request_id and expected_id and self.is_reused_ and self._requires_id(head):
            raise UpstreamResponseError("response without a request id on a kept connection")
        return metadata.request_id in ("", expected_id)

    def _requires_id(self, _head):
        """Return whether a response on a kept connection must name its request."""
        return True

    def read_data(self):
        """Read the next part of the body.

        :returns: ``bytes``, or ``None`` once the body is complete.
        :raises AttemptError: if the response ends early or a timeout passes.
        """
        began_at = time.monotonic()
        data = self._read_with_timeouts(
            self.connection_.read_data, self.handler.data_silence_timeout_s
        )
        if data is not None and time.monotonic() >= began_at + MIN_RECEIVE_WAIT_S:
            self._awaited_data_at = began_at
        self._record_body_data()
        if self.first_data_at_ is None:
            self.first_data_at_ = time.monotonic()
        return data

    def _record_data(self):
        paths = self.handler.gateway.placement.paths_
        paths.record_data(self.upstream, time.monotonic())

    def _record_body_data(self):
        self.upstream.path.body_data_at_ = time.monotonic()

    def read_body(self):
        """Read the whole body.

        :returns: ``bytearray``.
        :raises AttemptError: if the response ends early or a timeout passes.
        :raises ClientDisconnectedError: if the memory for clients is used up and this one holds
            most.
        """
        body = bytearray()
        try:
            self._read_into(body)
        except BaseException:
            body.clear()  # the traceback of the error refers to it while the request is retried
            raise
        return body

    def _read_into(self, body):
        while (data := self.read_data()) is not None:
            size = len(body) + len(data)
            if size > MAX_BODY_BYTES:
                raise self.close_wrong_response(f"body of more than {MAX_BODY_BYTES} bytes")
            self.hold_response(size)
            self.handler.client.reserve_response(size)
            body += data

    def hold_response(self, size):
        """Record how much of the response is held, before it is.

        :param size: bytes.
        :raises AttemptError: if the memory for responses is used up and this one holds most.
        """
        if not self._memory_share.hold(size):
            raise self.close_wrong_response("the memory for responses is used up")
        if self._memory_share.is_scarce():
            gevent.sleep(SCARCE_PAUSE_S)  # responses that were ended release theirs

    def close_wrong_response(self, detail):
        """Close the connection in the middle of a response that is too long or not as expected.

        :param detail: description for the log.
        :returns: the :class:`AttemptError` to raise.
        """
        return self._close_with_error(FailureKind.BROKEN, detail)

    def close_incomplete_stream(self):
        """Close the connection after a stream that ended within an event.

        :returns: the :class:`AttemptError` to raise.
        """
        return self._close_after_interruption(
            UpstreamResponseError("the stream ended within an event")
        )

    def _close_after_interruption(self, error):
        """Close the broken connection of a running request, as :meth:`_close_with_error`.

        The host probably runs if it closed the connection rather than no longer responding, so
        that the upstream itself may have crashed.
        """
        handler = self.handler
        is_host_silent = isinstance(error.__cause__, TimeoutError)
        if not (is_host_silent or self.is_aborted_ or handler.client.is_disconnected_):
            handler.gateway.record_interruption(
                self.upstream, handler.metadata.request_id, handler.traits
            )
        detail = str(error)
        if self._memory_share.is_ended_:
            detail = "the memory for responses is used up"
        elif handler.is_ended_:
            detail = "this router stops"
        elif self.is_aborted_:
            detail = "this router gave up the unresponsive host"
        return self._close_with_error(FailureKind.BROKEN, detail)

    def _close_with_error(self, kind, detail):
        """Close the connection, which makes the upstream cancel the request.

        :returns: the :class:`AttemptError` to raise.
        """
        if self.handler.client.is_disconnected_:
            kind = FailureKind.CLIENT_DISCONNECTED
        elif kind is FailureKind.SILENT or (kind is FailureKind.BROKEN and not self.is_reused_):
            self._request_probe()
        self.close()
        return AttemptError(kind, Verdict.MAY_HAVE_RUN, detail)

    def _request_probe(self):
        self.handler.gateway.request_probe(self.upstream)

    def _discard_body(self):
        """Read the body of a response that refuses the request, to reuse the connection."""
        deadline, size = time.monotonic() + REFUSAL_TIMEOUT_S, 0
        try:
            while (data := self.connection_.read_data(deadline)) is not None:
                size += len(data)
                if size > MAX_REFUSAL_BYTES:
                    raise UpstreamResponseError("body of the refusal is too long")
        except OSError:
            self.close()  # the head alone states the refusal
            return
        self._release_connection()

    def abort(self):
        """Shut the connection down from another task, which fails the task that reads from it.

        :returns: whether a connection was in use.
        """
        if self.connection_ is None:
            return False
        self.is_aborted_ = True
        self.connection_.abort()
        return True

    def abort_at(self, upstream):
        """Abort the attempt if it is at an upstream; :returns: whether a connection was in use."""
        return self.upstream is upstream and self.abort()

    def finish(self):
        """End the attempt after the response, and return its connection to the pool.

        :raises AttemptError: if the end of the connection ended the response and the upstream may
            have crashed.
        """
        if self.connection_.is_ended_:
            self._replace_ended_connection()
        self._release_connection()

    def _replace_ended_connection(self):
        """Open a connection for the next request, which also shows that the upstream still runs.

        A crash ends a response in the same way as its completion.
        """
        began_at = time.monotonic()
        try:
            connection = self._open_connection()
        except OSError as error:
            ended = UpstreamResponseError(f"the response may have ended by a crash: {error}")
            attempt_error = self._close_after_interruption(ended)
            self._record_connect_failure(began_at, error)
            raise attempt_error from error
        self.handler.gateway.pool.add_unused(self.pool_key, connection)
        if self._witness is not None and not self._is_same_boot():
            self.handler.gateway.metrics.count("unframed_responses", "unproved")
            raise self._close_with_error(
                FailureKind.BROKEN, "the response may have ended by a restart of the upstream"
            )

    def _is_same_boot(self):
        """Return whether the process that sent the response certainly lives after its end."""
        witness, service = self._witness, self.handler.service
        return witness.proves(self._awaited_data_at) and witness.is_answered(
            service.health_path, self.handler.deadline
        )

    def _release_connection(self):
        connection, self.connection_ = self.connection_, None
        if connection is not None:
            self.handler.gateway.pool.release(self.pool_key, connection, self.head_)

    def close(self):
        """Close the connection if it is still in use, and give the second one back."""
        if self._witness is not None:
            self._witness.release()
        self._memory_share.close()
        connection, self.connection_ = self.connection_, None
        if connection is not None:
            connection.close()
