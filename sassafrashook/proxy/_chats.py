"""Relays chats to engines, streamed or not, and resumes interrupted streams."""

import math

import gevent
from returns.result import Failure, Success

from sassafrashook.messages import PermitOutcome
from sassafrashook.outcomes import Verdict
from sassafrashook.proxy._chat_requests import (
    HTTP_OK,
    DeliveredEvents,
    encode_chat_request,
    matches_request_id,
    validate_response_head,
)
from sassafrashook.proxy._errors import encode_error_event
from sassafrashook.proxy._events import EventScanner, StreamError
from sassafrashook.proxy._exchanges import (
    ExchangeFailure,
    ExchangeFailureKind,
    build_send_deadline_failure,
    open_exchange,
)
from sassafrashook.proxy._stream_forwarder import StreamForwarder

__all__ = ["ChatRelay"]

EVENT_STREAM = "text/event-stream"
MS_PER_S = 1_000
TERMINATOR_TIMEOUT_S = 0.05


class ChatRelay:
    """Relays the response to one chat; iteration yields the bytes of a streamed response.

    :param execution: a :class:`~sassafrashook.proxy._request_execution.RequestExecution`.
    :param chat: a :class:`~sassafrashook.proxy._decoding.ChatRequest`.
    :ivar scanner: :class:`~sassafrashook.proxy._events.EventScanner` of all attempts.
    :ivar status: HTTP status, valid after :meth:`start`.
    :ivar content_type: content type, valid after :meth:`start`.
    :ivar upstream_id: upstream of the latest response, valid after :meth:`start`.
    :ivar body: body of a response that is not streamed, else ``None``.
    """

    __slots__ = (
        "execution",
        "context",
        "chat",
        "scanner",
        "status",
        "content_type",
        "upstream_id",
        "body",
        "_permit",
        "_exchange",
        "_pending_events",
        "_is_finished",
        "_delivered_events",
        "_first_engine",
        "_pending_failure",
        "_first_token_ms",
    )

    def __init__(self, execution, chat):
        self.execution = execution
        self.context = execution.context
        self.chat = chat
        self.scanner = EventScanner(execution.request_id)
        self.status = HTTP_OK
        self.content_type = ""
        self.upstream_id = ""
        self.body = None
        self._permit = None
        self._exchange = None
        self._pending_events = b""
        self._is_finished = False
        self._delivered_events = DeliveredEvents(self.context.max_resume_bytes)
        self._first_engine = None
        self._pending_failure = None
        self._first_token_ms = -1

    def start(self):
        """Run attempts until the complete response, or the first events of a stream, are received.

        :returns: ``Success(None)``, or ``Failure`` of the final refusal.
        """
        self.context.monitor_.add(self.execution.watch)
        is_streaming = False
        try:
            refusal = self._run_attempts()
            is_streaming = refusal is None and self.body is None
        finally:
            if not is_streaming:
                self.close()
        return Success(None) if refusal is None else Failure(refusal)

    def _run_attempts(self):
        execution = self.execution
        while True:
            acquired = execution.acquire_permit()
            if isinstance(acquired, Failure):
                return acquired.failure()
            permit = acquired.unwrap()
            failure = self._run_attempt(permit)
            if failure is None:
                return None
            refusal = self._end_failed_attempt(permit, failure)
            if refusal is not None:
                return refusal

    def _end_failed_attempt(self, permit, failure):
        if self._exchange is not None:
            self._exchange.close()
            self._exchange = None
        self._permit = None
        self.scanner.restart()
        refusal = self.execution.handle_failure(permit, failure)
        if refusal is None and self.execution.response_started:
            waiting_s = self.execution.work_class.waiting_ms / MS_PER_S
            self.execution.permit_deadline = self.context.clock.monotonic() + waiting_s
        return refusal

    def _run_attempt(self, permit):
        execution = self.execution
        context = self.context
        position = self.scanner.position_ if execution.response_started else None
        data = self._encode_request(permit, position)
        if data is None:
            detail = (
                "the stream cannot be resumed on another engine: the delivered part is not stored"
            )
            return ExchangeFailure(ExchangeFailureKind.NOT_RESUMABLE, Verdict.NOT_RUN, detail)
        receive_timeout_s = context.receive_timeout_ms / MS_PER_S
        needs_new_connection = execution.attempts > 1
        opened = open_exchange(
            context.pools_,
            permit,
            execution.watch,
            receive_timeout_s,
            execution.deadline,
            needs_new_connection,
        )
        if isinstance(opened, Failure):
            return opened.failure()
        exchange = self._exchange = opened.unwrap()
        if not execution.watch.is_caller_connected():
            return ExchangeFailure(ExchangeFailureKind.CALLER_GONE, Verdict.NOT_RUN)
        if context.clock.monotonic() >= min(permit.send_deadline, execution.deadline):
            return build_send_deadline_failure()
        failure = exchange.send("POST", data) or exchange.receive_response_head(
            execution.attempt_id
        )
        if failure is None:
            failure = validate_response_head(exchange, position)
        if failure is None:
            failure = self._receive_response(permit, exchange)
        return failure

    def _encode_request(self, permit, position):
        body = self.chat.body
        if position is not None and (permit.upstream_id, permit.boot_id) != self._first_engine:
            body = self._delivered_events.add_resume_text(body)
            if body is None:
                return None
        return encode_chat_request(self.execution, permit, body, position)

    def _receive_response(self, permit, exchange):
        response = exchange.response
        self.status = response.status_code
        self.content_type = response.get("content-type") or "application/json"
        self.upstream_id = permit.upstream_id
        if self.chat.stream and self.status == HTTP_OK:
            return self._receive_first_events(permit, exchange)
        received = exchange.receive_body(self.context.max_response_bytes)
        if isinstance(received, Failure):
            return received.failure()
        body = received.unwrap()
        if self.status == HTTP_OK and not matches_request_id(body, self.execution.request_id):
            return exchange.build_invalid_response_failure("the response names another request")
        self.body = body
        self.execution.merge_verdict(Verdict.RAN)
        self._finish_attempt(permit, exchange)
        return None

    def _receive_first_events(self, permit, exchange):
        if not self.content_type.startswith(EVENT_STREAM):
            return exchange.build_invalid_response_failure("the response is not an event stream")
        self._permit = permit
        failure = None
        try:
            self._pending_events = self.scanner.push(exchange.connection.take_body())
        except StreamError as error:
            failure = exchange.build_invalid_response_failure(str(error))
        while failure is None and not self._pending_events:
            failure = self._receive_events(exchange)
        if failure is None:
            exchange.receive_timeout_s = self.context.progress_timeout_ms / MS_PER_S
            if not self.execution.response_started:
                self._first_engine = (permit.upstream_id, permit.boot_id)
                elapsed_s = self.context.clock.monotonic() - exchange.sent_at
                self._first_token_ms = math.floor(elapsed_s * MS_PER_S)
        return failure

    def _receive_events(self, exchange):
        if exchange.response.message_complete:
            detail = "the stream ended without its end marker"
            return ExchangeFailure(
                ExchangeFailureKind.INCOMPLETE_RESPONSE, Verdict.MAY_HAVE_RUN, detail
            )
        failure = exchange.receive()
        data = exchange.connection.take_body()
        if data:
            try:
                self._pending_events = self.scanner.push(data)
            except StreamError as error:
                return exchange.build_invalid_response_failure(str(error))
            if self._pending_events:
                return None
        return failure

    def __iter__(self):
        """Return the relay itself."""
        return self

    def __next__(self):
        """Return the bytes of the next complete events, resuming an interrupted stream."""
        while not self._pending_events:
            if self._is_finished:
                raise StopIteration
            failure = self._pending_failure
            self._pending_failure = None
            if failure is None and self.scanner.ended_:
                self._finish_attempt(self._permit, self._exchange)
                self._is_finished = True
                continue
            failure = failure or self._receive_events(self._exchange)
            if failure is not None:
                self._recover(failure)
        events = self._pending_events
        self._pending_events = b""
        self._record_delivered(events)
        if self._exchange is not None:
            self._exchange.suspend_receive_deadline()
        return events

    def forward_events(self, send):
        """Forward events with a ``StreamForwarder`` until it stops.

        :param send: non-blocking callable that sends bytes and returns the number accepted.
        :returns: bytes of the last chunk that are still to be sent to the caller.
        :raises OSError: if the caller's socket fails.
        """
        if (
            self._is_finished
            or self._pending_events
            or self.scanner.ended_
            or self._pending_failure is not None
        ):
            return b""
        if self._exchange.response.message_complete:
            return b""
        forwarder = StreamForwarder(self._exchange, self.scanner, send, self._record_delivered)
        forwarder.forward()
        self._exchange.suspend_receive_deadline()
        self._pending_failure = forwarder.failure_
        if forwarder.send_error_ is not None:
            raise forwarder.send_error_
        return forwarder.unsent_

    def _record_delivered(self, events):
        self.execution.response_started = True
        self._delivered_events.add(events)

    def _recover(self, failure):
        refusal = self._end_failed_attempt(self._permit, failure)
        if refusal is None:
            refusal = self._run_attempts()
        if refusal is None:
            return
        self._is_finished = True
        if not self.execution.watch.caller_disconnected:
            self.context.count("refusals", refusal.reason)
            self._pending_events = encode_error_event(refusal)

    def _finish_attempt(self, permit, exchange):
        self._receive_terminator(exchange)
        self.execution.watch.detach()
        self.context.pools_.release(exchange.connection)
        self._exchange = None
        self._permit = None
        self.execution.release_permit(permit, PermitOutcome.FINISHED, self._first_token_ms)

    def _receive_terminator(self, exchange):
        if exchange.response.message_complete:
            return
        with gevent.Timeout(TERMINATOR_TIMEOUT_S, False):
            exchange.receive()

    def close(self):
        """End the relay and cancel a running attempt, such as that of a disconnected caller."""
        self.context.monitor_.remove(self.execution.watch)
        self._is_finished = True
        if self._exchange is not None:
            self._exchange.close()
            self._exchange = None
        if self._permit is not None:
            self.execution.abandon_attempt(self._permit, Verdict.MAY_HAVE_RUN)
            self._permit = None
        self.execution.release_held_permit()
