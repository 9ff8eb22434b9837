"""Falcon resources for chats and plain services."""

import math
import re

from returns.result import Failure, Success

from sassafrashook.outcomes import RefusalReason
from sassafrashook.proxy import _header_names as headers
from sassafrashook.proxy._admission import admit_request, find_engine_service, find_plain_service
from sassafrashook.proxy._at_most_once_calls import AtMostOnceCall, KeyedCall
from sassafrashook.proxy._calls import Call, RepeatableCall
from sassafrashook.proxy._chats import ChatRelay
from sassafrashook.proxy._decoding import build_input_refusal, decode_chat
from sassafrashook.proxy._errors import encode_error, get_status, retry_after_s
from sassafrashook.proxy._identifiers import (
    compute_conversation_key,
    fingerprint_call,
    fingerprint_chat,
)
from sassafrashook.proxy._request_body import read_body
from sassafrashook.proxy._request_execution import RequestExecution

__all__ = ["CALLER_SOCKET", "ChatResource", "PlainServiceSink", "write_refusal"]

CALLER_SOCKET = "sassafrashook.caller_socket"
JSON = "application/json"
MS_PER_S = 1_000
BAD_INPUT_REASONS = (
    RefusalReason.BAD_REQUEST,
    RefusalReason.BODY_TOO_LARGE,
    RefusalReason.DEADLINE_MISSING,
    RefusalReason.KEY_MISSING,
    RefusalReason.UNAUTHENTICATED,
)
ID_PATTERN = re.compile(r"[!-~]{1,200}")
FORWARDED_HEADERS = ("Content-Type", "Accept", headers.IDEMPOTENCY_KEY)
HEADER_VALUE_PATTERN = re.compile(r"[ -~]{0,1000}")
TARGET_PATTERN = re.compile(r"[!-~]+")


def write_refusal(context, response, refusal):
    """Write a refusal to a falcon response and count it."""
    context.count("refusals", refusal.reason)
    if refusal.reason in BAD_INPUT_REASONS:
        context.count("bad_input", refusal.reason)
    response.status = get_status(refusal.reason)
    response.content_type = JSON
    response.data = encode_error(refusal)
    response.set_header(headers.VERDICT, refusal.verdict)
    if refusal.retry_after_ms:
        response.set_header(headers.RETRY_AFTER, str(retry_after_s(refusal)))


class ChatResource:
    """Resource of ``POST /v1/chat/completions``.

    :param context: a :class:`~sassafrashook.proxy.ProxyContext`.
    :param accounts: mapping from bearer key to client account, or ``None`` to require no key.
    """

    def __init__(self, context, accounts):
        self.context = context
        self.accounts = accounts

    def on_post(self, request, response):
        """Relay a chat to an engine and respond with its completion."""
        relay = self._open_relay(request)
        if isinstance(relay, Failure):
            write_refusal(self.context, response, relay.failure())
            return
        relay = relay.unwrap()
        response.status = relay.status
        response.content_type = relay.content_type
        response.set_header(headers.REQUEST_ID, relay.execution.request_id)
        response.set_header(headers.UPSTREAM_ID, relay.upstream_id)
        if relay.body is None:
            response.stream = relay
        else:
            response.set_header(headers.VERDICT, relay.execution.verdict)
            response.data = relay.body

    def _open_relay(self, request):
        admitted = admit_request(self.context, self.accounts, request)
        if isinstance(admitted, Failure):
            return admitted
        admission = admitted.unwrap()
        return (
            read_body(request, self.context.max_body_bytes)
            .bind(decode_chat)
            .bind(lambda chat: self._build_relay(request, admission, chat))
            .bind(_start_relay)
        )

    def _build_relay(self, request, admission, chat):
        context = self.context
        service = find_engine_service(admission.configuration, chat.model)
        if service is None:
            return build_input_refusal(
                "no service provides this model", RefusalReason.UNKNOWN_SERVICE
            )
        conversation_id = request.get_header(headers.CONVERSATION_ID) or ""
        if conversation_id and not ID_PATTERN.fullmatch(conversation_id):
            return build_input_refusal(
                f"{headers.CONVERSATION_ID} must have 1 to 200 visible ASCII characters"
            )
        execution = _build_execution(
            context, admission, service, True, request.env.get(CALLER_SOCKET)
        )
        execution.model = chat.model
        execution.conversation_key = compute_conversation_key(
            admission.account, conversation_id, chat.messages
        )
        execution.fingerprint = fingerprint_chat(chat.model, chat.raw_messages, chat.tools)
        return Success(ChatRelay(execution, chat))


def _start_relay(relay):
    return relay.start().map(lambda _: relay)


def _build_execution(context, admission, service, repeatable, caller_socket):
    deadline = admission.deadline
    if deadline is None:
        deadline = context.clock.monotonic() + context.default_timeout_ms / MS_PER_S
    return RequestExecution(
        context,
        admission.account,
        service,
        admission.work_class,
        deadline,
        repeatable,
        caller_socket,
    )


class PlainServiceSink:
    """Sink that forwards any method to the plain service that the path belongs to.

    :param context: a :class:`~sassafrashook.proxy.ProxyContext`.
    :param accounts: mapping from bearer key to client account, or ``None`` to require no key.
    """

    def __init__(self, context, accounts):
        self.context = context
        self.accounts = accounts

    def __call__(self, request, response, **_):
        """Forward a call and respond with its result."""
        result = self._route(request)
        if isinstance(result, Failure):
            write_refusal(self.context, response, result.failure())
            return
        call_response = result.unwrap()
        response.status = call_response.status
        response.content_type = call_response.content_type
        response.data = call_response.body
        response.set_header(headers.VERDICT, call_response.verdict)
        if call_response.upstream_id:
            response.set_header(headers.UPSTREAM_ID, call_response.upstream_id)
        if call_response.replayed:
            response.set_header(headers.IDEMPOTENCY_REPLAYED, "true")

    def _route(self, request):
        admitted = admit_request(self.context, self.accounts, request)
        if isinstance(admitted, Failure):
            return admitted
        admission = admitted.unwrap()
        body = read_body(request, self.context.max_body_bytes)
        return body.bind(lambda data: self._execute(request, admission, data))

    def _execute(self, request, admission, body):
        service = find_plain_service(admission.configuration, request.path)
        if service is None:
            return build_input_refusal(
                "no service is configured for this path", RefusalReason.UNKNOWN_SERVICE
            )
        target = request.env.get("RAW_URI") or request.relative_uri
        if not TARGET_PATTERN.fullmatch(target):
            return build_input_refusal("path must consist of visible ASCII characters")
        header_fields = _select_forwarded_headers(request)
        if not all(HEADER_VALUE_PATTERN.fullmatch(value) for value in header_fields.values()):
            return build_input_refusal(
                "a forwarded header is longer than 1000 characters or not printable ASCII"
            )
        call = Call(request.method, target, header_fields, body)
        if request.method in service.repeatable_methods:
            return self._execute_repeatable(request, admission, service, call)
        return self._execute_at_most_once(request, admission, service, call)

    def _execute_repeatable(self, request, admission, service, call):
        caller_socket = request.env.get(CALLER_SOCKET)
        execution = _build_execution(self.context, admission, service, True, caller_socket)
        execution.fingerprint = fingerprint_call(call.method, call.target, call.body)
        # A plain call belongs to no conversation; the hash of its content is the routing key.
        execution.conversation_key = execution.fingerprint
        return RepeatableCall(execution, call).execute()

    def _execute_at_most_once(self, request, admission, service, call):
        key = request.get_header(headers.IDEMPOTENCY_KEY)
        if key is None:
            detail = f"{headers.IDEMPOTENCY_KEY} is required for calls that must run at most once"
            return build_input_refusal(detail, RefusalReason.KEY_MISSING)
        if not ID_PATTERN.fullmatch(key):
            return build_input_refusal(
                f"{headers.IDEMPOTENCY_KEY} must have 1 to 200 visible ASCII characters"
            )
        if admission.deadline is None:
            detail = (
                f"{headers.DEADLINE_MS} or {headers.DEADLINE} is required for calls that must run "
                "at most once"
            )
            return build_input_refusal(detail, RefusalReason.DEADLINE_MISSING)
        execution = _build_execution(self.context, admission, service, False, None)
        execution.fingerprint = fingerprint_call(call.method, call.target, call.body)
        # A plain call belongs to no conversation; the hash of its content is the routing key.
        execution.conversation_key = execution.fingerprint
        return AtMostOnceCall(
            execution, KeyedCall(call, key, self._compute_deadline_unix_ms(request, admission))
        ).execute()

    def _compute_deadline_unix_ms(self, request, admission):
        stated = request.get_header(headers.DEADLINE)
        if stated is not None:
            return int(stated)
        remaining_ms = math.floor((admission.deadline - self.context.clock.monotonic()) * MS_PER_S)
        return self.context.clock.unix_ms() + remaining_ms


def _select_forwarded_headers(request):
    header_fields = {}
    for name in FORWARDED_HEADERS:
        value = request.get_header(name)
        if value is not None:
            header_fields[name] = value
    return header_fields
