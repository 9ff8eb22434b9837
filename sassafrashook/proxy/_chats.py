"""Relays one chat to engines: streamed or whole, resumed where a stream was cut."""

import math

import gevent
import msgspec
from returns.result import Failure, Success

from sassafrashook.messages import PermitOutcome
from sassafrashook.outcomes import Verdict
from sassafrashook.proxy import _headers as headers
from sassafrashook.proxy._errors import encode_error_event
from sassafrashook.proxy._events import ID_PREFIX, EventScanner, StreamError, read_text
from sassafrashook.proxy._exchanges import (
    ExchangeFailure,
    ExchangeFailureKind,
    build_request,
    fail_expired,
    open_exchange,
)
from sassafrashook.proxy._pump import StreamPump

__all__ = ["ChatRelay"]

CHAT_TARGET = "/v1/chat/completions"
EVENT_STREAM = "text/event-stream"
RESUME_FIELD = "resume_text"
MS_PER_S = 1_000
HTTP_OK = 200
HTTP_SERVER_ERROR = 500
BUSY_STATUSES = (429, 503)
FINISH_S = 0.05


class CompletionId(msgspec.Struct):
    """The part of a whole completion that names the request it answers."""

    id: str


_decode_completion_id = msgspec.json.Decoder(CompletionId).decode


class ChatRelay:
    """Relays the answer to one chat; iterating gives the bytes of a streamed answer.

    :param run: a :class:`~sassafrashook.proxy._runs.RequestRun`.
    :param chat: a :class:`~sassafrashook.proxy._requests.Chat`.

    Attributes, valid after :meth:`start`: ``status``, ``content_type``, ``upstream_id``, and
    ``body`` of an answer that is not streamed.
    """

    __slots__ = (
        "run",
        "context",
        "chat",
        "scanner",
        "status",
        "content_type",
        "upstream_id",
        "body",
        "_permit",
        "_exchange",
        "_pending",
        "_finished",
        "_delivered",
        "_delivered_bytes",
        "_origin",
        "_failure",
        "_first_token_ms",
    )

    def __init__(self, run, chat):
        self.run = run
        self.context = run.context
        self.chat = chat
        self.scanner = EventScanner(run.request_id)
        self.status = HTTP_OK
        self.content_type = ""
        self.upstream_id = ""
        self.body = None
        self._permit = None
        self._exchange = None
        self._pending = b""
        self._finished = False
        self._delivered = []
        self._delivered_bytes = 0
        self._origin = None
        self._failure = None
        self._first_token_ms = -1

    def start(self):
        """Run attempts until the answer, or the first event of it, is there.

        :returns: ``Success(None)``, or ``Failure`` of the final refusal.
        """
        self.context.monitor_.add(self.run.watch)
        is_streaming = False
        try:
            refusal = self._attempt()
            is_streaming = refusal is None and self.body is None
        finally:
            if not is_streaming:
                self.close()
        return Success(None) if refusal is None else Failure(refusal)

    def _attempt(self):
        run = self.run
        while True:
            acquired = run.acquire()
            if isinstance(acquired, Failure):
                return acquired.failure()
            permit = acquired.unwrap()
            failure = self._try(permit)
            if failure is None:
                return None
            refusal = self._give_up_attempt(permit, failure)
            if refusal is not None:
                return refusal

    def _give_up_attempt(self, permit, failure):
        if self._exchange is not None:
            self._exchange.close()
            self._exchange = None
        self._permit = None
        self.scanner.restart()
        refusal = self.run.settle(permit, failure)
        if refusal is None and self.run.started:
            target_s = self.run.work_class.waiting_ms / MS_PER_S
            self.run.waiting_deadline = self.context.clock.monotonic() + target_s
        return refusal

    def _try(self, permit):
        run = self.run
        context = self.context
        resuming = self.scanner.position_ > 0
        data = self._build_request(permit, resuming)
        if data is None:
            detail = "the part already delivered is too large to resume on another engine"
            return ExchangeFailure(ExchangeFailureKind.NOT_RESUMABLE, Verdict.NOT_RUN, detail)
        wait_s = context.first_byte_ms / MS_PER_S
        opened = open_exchange(context.pools_, permit, run.watch, wait_s, run.deadline, resuming)
        if isinstance(opened, Failure):
            return opened.failure()
        exchange = self._exchange = opened.unwrap()
        if not run.watch.check_caller():
            return ExchangeFailure(ExchangeFailureKind.CALLER_GONE, Verdict.NOT_RUN)
        if context.clock.monotonic() >= min(permit.use_by, run.deadline):
            return fail_expired()
        failure = exchange.send("POST", data) or exchange.receive_head(run.attempt_id)
        if failure is None:
            failure = self._check_head(exchange, resuming)
        if failure is None:
            failure = self._receive_first(permit, exchange)
        return failure

    def _build_request(self, permit, resuming):
        run = self.run
        body = self.chat.body
        fields = {
            "Host": f"{permit.host}:{permit.port}",
            "Content-Type": "application/json",
            headers.REQUEST_ID: run.attempt_id,
            headers.PRIORITY: permit.priority,
            headers.CONVERSATION_KEY: run.conversation_key,
        }
        if resuming:
            fields[headers.RESUME_POSITION] = self.scanner.position_
            if (permit.upstream_id, permit.boot_id) != self._origin:
                body = self._add_delivered(body)
                if body is None:
                    return None
        return build_request("POST", CHAT_TARGET, fields, body)

    def _add_delivered(self, body):
        if self._delivered_bytes > self.context.max_resume_bytes:
            return None
        document = msgspec.json.decode(body)
        document[RESUME_FIELD] = read_text(b"".join(self._delivered))
        return msgspec.json.encode(document)

    def _check_head(self, exchange, resuming):
        response = exchange.response
        status = response.status_code
        if status in BUSY_STATUSES and response.get(headers.VERDICT) == Verdict.NOT_RUN:
            return ExchangeFailure(ExchangeFailureKind.BUSY, Verdict.NOT_RUN, "upstream is busy")
        if status >= HTTP_SERVER_ERROR or (resuming and status != HTTP_OK):
            detail = f"upstream answered {status}"
            return ExchangeFailure(ExchangeFailureKind.CUT, Verdict.MAY_HAVE_RUN, detail)
        position = str(self.scanner.position_)
        if resuming and response.get(headers.RESUME_POSITION) != position:
            return exchange.fail_foreign("the engine did not resume at the position")
        return None

    def _receive_first(self, permit, exchange):
        response = exchange.response
        self.status = response.status_code
        self.content_type = response.get("content-type") or "application/json"
        self.upstream_id = permit.upstream_id
        if self.chat.stream and self.status == HTTP_OK:
            return self._receive_first_events(permit, exchange)
        received = exchange.receive_whole(self.context.max_answer_bytes)
        if isinstance(received, Failure):
            return received.failure()
        body = received.unwrap()
        if self.status == HTTP_OK and not self._is_ours(body):
            return exchange.fail_foreign("the answer names another request")
        self.body = body
        self.run.note_verdict(Verdict.RAN)
        self._complete(permit, exchange)
        return None

    def _receive_first_events(self, permit, exchange):
        if not self.content_type.startswith(EVENT_STREAM):
            return exchange.fail_foreign("the answer is not an event stream")
        self._permit = permit
        failure = None
        try:
            self._pending = self.scanner.push(exchange.connection.take_body())
        except StreamError as error:
            failure = exchange.fail_foreign(str(error))
        while failure is None and not self._pending:
            failure = self._receive_events(exchange)
        if failure is None:
            exchange.progress_s = self.context.progress_ms / MS_PER_S
            if not self.run.started:
                self._origin = (permit.upstream_id, permit.boot_id)
                elapsed_s = self.context.clock.monotonic() - exchange.sent_at
                self._first_token_ms = math.floor(elapsed_s * MS_PER_S)
        return failure

    def _receive_events(self, exchange):
        if exchange.response.message_complete:
            detail = "the stream ended without its end marker"
            return ExchangeFailure(ExchangeFailureKind.CUT, Verdict.MAY_HAVE_RUN, detail)
        failure = exchange.receive()
        data = exchange.connection.take_body()
        if data:
            try:
                self._pending = self.scanner.push(data)
            except StreamError as error:
                return exchange.fail_foreign(str(error))
            if self._pending:
                return None
        return failure

    def _is_ours(self, body):
        try:
            return _decode_completion_id(body).id.startswith(ID_PREFIX + self.run.request_id)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return False

    def __iter__(self):
        return self

    def __next__(self):
        while not self._pending:
            if self._finished:
                raise StopIteration
            failure = self._failure
            self._failure = None
            if failure is None and self.scanner.ended_:
                self._complete(self._permit, self._exchange)
                self._finished = True
                continue
            failure = failure or self._receive_events(self._exchange)
            if failure is not None:
                self._recover(failure)
        events = self._pending
        self._pending = b""
        self._note_delivered(events)
        if self._exchange is not None:
            self._exchange.suspend_deadline()
        return events

    def pump(self, send):
        """Relay events by :class:`~sassafrashook.proxy._pump.StreamPump` as long as all goes well.

        :param send: sends bytes without waiting, and returns how many were taken.
        :returns: bytes that are still to be sent to the caller.
        :raises OSError: if the caller's socket broke.
        """
        if self._finished or self._pending or self.scanner.ended_ or self._failure is not None:
            return b""
        if self._exchange.response.message_complete:
            return b""
        pump = StreamPump(self._exchange, self.scanner, send, self._note_delivered)
        pump.run()
        self._exchange.suspend_deadline()
        self._failure = pump.failure_
        if pump.send_error_ is not None:
            raise pump.send_error_
        return pump.rest_

    def _note_delivered(self, events):
        self.run.started = True
        self._delivered_bytes += len(events)
        if self._delivered_bytes <= self.context.max_resume_bytes:
            self._delivered.append(events)
        else:
            self._delivered.clear()

    def _recover(self, failure):
        refusal = self._give_up_attempt(self._permit, failure)
        if refusal is None:
            refusal = self._attempt()
        if refusal is None:
            return
        self._finished = True
        if not self.run.watch.caller_gone:
            self.context.count("refusals", refusal.reason)
            self._pending = encode_error_event(refusal)

    def _complete(self, permit, exchange):
        self._receive_end(exchange)
        self.run.watch.detach()
        self.context.pools_.put_back(exchange.connection)
        self._exchange = None
        self._permit = None
        self.run.release(permit, PermitOutcome.FINISHED, self._first_token_ms)

    def _receive_end(self, exchange):
        if exchange.response.message_complete:
            return
        with gevent.Timeout(FINISH_S, False):
            exchange.receive()

    def close(self):
        """End the relay; the attempt of a caller that went away is cancelled upstream."""
        self.context.monitor_.remove(self.run.watch)
        self._finished = True
        if self._exchange is not None:
            self._exchange.close()
            self._exchange = None
        if self._permit is not None:
            self.run.abandon(self._permit, Verdict.MAY_HAVE_RUN)
            self._permit = None
        self.run.drop()
