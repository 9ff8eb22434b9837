"""The HTTP interface of a router, as a falcon WSGI application.

Headers of callers:

``Authorization: Bearer <key>``
    Names the client account.
``X-Deadline-Ms`` or ``X-Deadline``
    Milliseconds that remain, or milliseconds since 1970. One of them is required for calls that
    may not be repeated.
``Idempotency-Key``
    Required for calls that may not be repeated; 1 to 200 visible ASCII characters.
``X-Conversation-Id``
    A stable id of the chat; without it the first messages are hashed.
``X-Work-Class``
    Name of a class of work; without it the configured default.
"""

import msgspec
from falcon import App
from returns.result import Failure

from sassafrashook.messages import CacheEvent, LoadReport, UpstreamAnnouncement
from sassafrashook.outcomes import Refusal, RefusalReason, Verdict
from sassafrashook.proxy._admission import read_key
from sassafrashook.proxy._errors import encode_error
from sassafrashook.proxy._reading import read_body
from sassafrashook.proxy._requests import decode_report, refuse_input
from sassafrashook.proxy._resources import JSON, ChatResource, PlainSink, answer_refusal

__all__ = ["CallerApplication"]

MAX_REPORT_BYTES = 65_536
HTTP_ACCEPTED = 202
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503


class Health(msgspec.Struct):
    """What the health page says."""

    serving: bool
    reason: str = ""


class CallerApplication:
    """Serves callers and takes what upstreams tell of themselves; a WSGI callable.

    :param context: a :class:`~sassafrashook.proxy.ProxyContext`.
    :param accounts: mapping from bearer key to client account, or ``None`` to ask for no key.
    :param upstream_keys: set of bearer keys of upstreams, or ``None`` to ask for no key.
    :param health: callable that returns ``None`` while the router may serve, else a
        :class:`~sassafrashook.outcomes.RefusalReason`.
    :param on_announcement: callable told each
        :class:`~sassafrashook.messages.UpstreamAnnouncement`; it returns ``None``, or a text that
        says why it was refused.
    :param on_load_report: the same for each :class:`~sassafrashook.messages.LoadReport`.
    :param on_cache_event: the same for each :class:`~sassafrashook.messages.CacheEvent`.

    Attributes: ``draining_``, whether a stop was announced.

    See also: :class:`~sassafrashook.proxy.CallerServer`, which serves it over HTTP.
    """

    def __init__(
        self,
        context,
        accounts=None,
        upstream_keys=None,
        health=None,
        on_announcement=None,
        on_load_report=None,
        on_cache_event=None,
    ):
        self.context = context
        self.accounts = accounts
        self.upstream_keys = upstream_keys
        self.health = health
        self.on_announcement = on_announcement
        self.on_load_report = on_load_report
        self.on_cache_event = on_cache_event
        self.draining_ = False
        self.falcon_ = self._build()

    def __call__(self, environ, start_response):
        """Serve one WSGI request."""
        return self.falcon_(environ, start_response)

    def find_health(self):
        """Return why the router must not be given new requests, or ``None``."""
        if self.draining_:
            return RefusalReason.STOPPING
        return self.health() if self.health else None

    def _build(self):
        falcon = App()
        falcon.add_route("/v1/chat/completions", ChatResource(self.context, self.accounts))
        falcon.add_route("/healthz", HealthResource(self))
        for path, message, callback in (
            ("/v1/announcements", UpstreamAnnouncement, self.on_announcement),
            ("/v1/load-reports", LoadReport, self.on_load_report),
            ("/v1/cache-events", CacheEvent, self.on_cache_event),
        ):
            falcon.add_route(path, ReportResource(self, message, callback))
        falcon.add_sink(PlainSink(self.context, self.accounts))
        falcon.set_error_serializer(self._serialize_error)
        return falcon

    def _serialize_error(self, request, response, error):
        self.context.count("bad_input", "http")
        detail = error.description or error.title or "bad request"
        refusal = Refusal(Verdict.NOT_RUN, RefusalReason.BAD_REQUEST, 0, detail)
        response.content_type = JSON
        response.data = encode_error(refusal)


class HealthResource:
    """``GET /healthz``: tells the balancer whether to send new requests."""

    def __init__(self, application):
        self.application = application

    def on_get(self, request, response):
        """Answer 200 while serving, else 503 with the reason."""
        reason = self.application.find_health()
        response.content_type = JSON
        response.data = msgspec.json.encode(Health(reason is None, reason or ""))
        if reason is not None:
            response.status = HTTP_UNAVAILABLE


class ReportResource:
    """Takes one kind of message that upstreams tell of themselves."""

    def __init__(self, application, message, callback):
        self.application = application
        self.context = application.context
        self.message = message
        self.callback = callback

    def on_post(self, request, response):
        """Decode the message and hand it over."""
        decoded = self._decode(request)
        if isinstance(decoded, Failure):
            answer_refusal(self.context, response, decoded.failure())
            return
        refused = self.callback(decoded.unwrap()) if self.callback else None
        if refused:
            self.context.count("reports_refused", self.message.__name__)
            refusal = Refusal(Verdict.NOT_RUN, RefusalReason.BAD_REQUEST, 0, str(refused))
            response.data = encode_error(refusal)
            response.content_type = JSON
        response.status = HTTP_CONFLICT if refused else HTTP_ACCEPTED

    def _decode(self, request):
        keys = self.application.upstream_keys
        if keys is not None and read_key(request) not in keys:
            return refuse_input("the bearer key is not known", RefusalReason.UNAUTHENTICATED)
        body = read_body(request, MAX_REPORT_BYTES)
        return body.bind(lambda data: decode_report(self.message, data))
