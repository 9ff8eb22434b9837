"""The falcon resources for chats and plain services."""

import math
import re

from returns.result import Failure, Success

from sassafrashook.outcomes import RefusalReason
from sassafrashook.proxy import _headers as headers
from sassafrashook.proxy._admission import admit_unread, find_engine_service, find_plain_service
from sassafrashook.proxy._calls import Call, RepeatableCall
from sassafrashook.proxy._chats import ChatRelay
from sassafrashook.proxy._errors import encode_error, find_status, retry_after_s
from sassafrashook.proxy._identities import fingerprint_call, fingerprint_chat, key_conversation
from sassafrashook.proxy._orders import OnceCall, Order
from sassafrashook.proxy._reading import read_body
from sassafrashook.proxy._requests import decode_chat, refuse_input
from sassafrashook.proxy._runs import RequestRun

__all__ = ["CALLER_SOCKET", "ChatResource", "PlainSink", "answer_refusal"]

CALLER_SOCKET = "sassafrashook.caller_socket"
JSON = "application/json"
MS_PER_S = 1_000
BAD_INPUT = (
    RefusalReason.BAD_REQUEST,
    RefusalReason.BODY_TOO_LARGE,
    RefusalReason.DEADLINE_MISSING,
    RefusalReason.KEY_MISSING,
    RefusalReason.UNAUTHENTICATED,
)
ID_PATTERN = re.compile(r"[!-~]{1,200}")
PASSED_HEADERS = ("Content-Type", "Accept", headers.IDEMPOTENCY_KEY)
VALUE_PATTERN = re.compile(r"[ -~]{0,1000}")
TARGET_PATTERN = re.compile(r"[!-~]+")


def answer_refusal(context, response, refusal):
    """Answer with a refusal and count it."""
    context.count("refusals", refusal.reason)
    if refusal.reason in BAD_INPUT:
        context.count("bad_input", refusal.reason)
    response.status = find_status(refusal.reason)
    response.content_type = JSON
    response.data = encode_error(refusal)
    response.set_header(headers.VERDICT, refusal.verdict)
    if refusal.retry_after_ms:
        response.set_header(headers.RETRY_AFTER, str(retry_after_s(refusal)))


class ChatResource:
    """``POST /v1/chat/completions``.

    :param context: a :class:`~sassafrashook.proxy.ProxyContext`.
    :param accounts: mapping from bearer key to client account, or ``None``.
    """

    def __init__(self, context, accounts):
        self.context = context
        self.accounts = accounts

    def on_post(self, request, response):
        """Relay one chat."""
        relay = self._start(request)
        if isinstance(relay, Failure):
            answer_refusal(self.context, response, relay.failure())
            return
        relay = relay.unwrap()
        response.status = relay.status
        response.content_type = relay.content_type
        response.set_header(headers.REQUEST_ID, relay.run.request_id)
        response.set_header(headers.UPSTREAM_ID, relay.upstream_id)
        if relay.body is None:
            response.stream = relay
        else:
            response.data = relay.body

    def _start(self, request):
        admitted = admit_unread(self.context, self.accounts, request)
        if isinstance(admitted, Failure):
            return admitted
        admission = admitted.unwrap()
        return (
            read_body(request, self.context.max_body_bytes)
            .bind(decode_chat)
            .bind(lambda chat: self._prepare(request, admission, chat))
            .bind(_start_relay)
        )

    def _prepare(self, request, admission, chat):
        context = self.context
        service = find_engine_service(admission.configuration, chat.model)
        if service is None:
            return refuse_input("no service runs this model", RefusalReason.UNKNOWN_SERVICE)
        conversation_id = request.get_header(headers.CONVERSATION_ID) or ""
        if conversation_id and not ID_PATTERN.fullmatch(conversation_id):
            return refuse_input(f"{headers.CONVERSATION_ID}: allowed: 1 to 200 visible characters")
        run = _build_run(context, admission, service, True, request.env.get(CALLER_SOCKET))
        run.model = chat.model
        run.conversation_key = key_conversation(admission.account, conversation_id, chat.messages)
        run.fingerprint = fingerprint_chat(chat.model, chat.raw_messages, chat.tools)
        return Success(ChatRelay(run, chat))


def _start_relay(relay):
    return relay.start().map(lambda _: relay)


def _build_run(context, admission, service, repeatable, caller):
    deadline = admission.deadline
    if deadline is None:
        deadline = context.clock.monotonic() + context.default_running_ms / MS_PER_S
    return RequestRun(
        context,
        admission.account,
        service,
        admission.work_class,
        deadline,
        repeatable,
        caller,
    )


class PlainSink:
    """Any method on any path that belongs to a plain service.

    :param context: a :class:`~sassafrashook.proxy.ProxyContext`.
    :param accounts: mapping from bearer key to client account, or ``None``.
    """

    def __init__(self, context, accounts):
        self.context = context
        self.accounts = accounts

    def __call__(self, request, response, **_):
        """Route one call."""
        result = self._route(request)
        if isinstance(result, Failure):
            answer_refusal(self.context, response, result.failure())
            return
        answer = result.unwrap()
        response.status = answer.status
        response.content_type = answer.content_type
        response.data = answer.body
        response.set_header(headers.VERDICT, answer.verdict)
        if answer.upstream_id:
            response.set_header(headers.UPSTREAM_ID, answer.upstream_id)
        if answer.replayed:
            response.set_header(headers.IDEMPOTENCY_REPLAYED, "true")

    def _route(self, request):
        admitted = admit_unread(self.context, self.accounts, request)
        if isinstance(admitted, Failure):
            return admitted
        admission = admitted.unwrap()
        body = read_body(request, self.context.max_body_bytes)
        return body.bind(lambda data: self._execute(request, admission, data))

    def _execute(self, request, admission, body):
        service = find_plain_service(admission.configuration, request.path)
        if service is None:
            return refuse_input("no service takes this path", RefusalReason.UNKNOWN_SERVICE)
        target = request.env.get("RAW_URI") or request.relative_uri
        if not TARGET_PATTERN.fullmatch(target):
            return refuse_input("path: allowed: visible ASCII characters")
        fields = _pass_headers(request)
        if not all(VALUE_PATTERN.fullmatch(value) for value in fields.values()):
            return refuse_input("a header holds characters that are not allowed")
        call = Call(request.method, target, fields, body)
        if request.method in service.repeatable_methods:
            return self._repeat(request, admission, service, call)
        return self._run_once(request, admission, service, call)

    def _repeat(self, request, admission, service, call):
        caller = request.env.get(CALLER_SOCKET)
        run = _build_run(self.context, admission, service, True, caller)
        run.fingerprint = fingerprint_call(call.method, call.target, call.body)
        run.conversation_key = run.fingerprint
        return RepeatableCall(run, call).execute()

    def _run_once(self, request, admission, service, call):
        key = request.get_header(headers.IDEMPOTENCY_KEY)
        if key is None:
            detail = f"{headers.IDEMPOTENCY_KEY} is missing: this call may not be repeated"
            return refuse_input(detail, RefusalReason.KEY_MISSING)
        if not ID_PATTERN.fullmatch(key):
            return refuse_input(f"{headers.IDEMPOTENCY_KEY}: allowed: 1 to 200 visible characters")
        if admission.deadline is None:
            detail = f"{headers.DEADLINE} is missing: this call may not be repeated"
            return refuse_input(detail, RefusalReason.DEADLINE_MISSING)
        run = _build_run(self.context, admission, service, False, None)
        run.fingerprint = fingerprint_call(call.method, call.target, call.body)
        run.conversation_key = run.fingerprint
        return OnceCall(run, Order(call, key, self._find_deadline(request, admission))).execute()

    def _find_deadline(self, request, admission):
        stated = request.get_header(headers.DEADLINE)
        if stated is not None:
            return int(stated)
        left_ms = math.floor((admission.deadline - self.context.clock.monotonic()) * MS_PER_S)
        return self.context.clock.unix_ms() + left_ms


def _pass_headers(request):
    fields = {}
    for name in PASSED_HEADERS:
        value = request.get_header(name)
        if value is not None:
            fields[name] = value
    return fields
