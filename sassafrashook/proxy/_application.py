"""The HTTP interface of a router, as a falcon WSGI application.

Request headers of callers:

``Authorization: Bearer <key>``
    Identifies the client account.
``X-Deadline-Ms`` or ``X-Deadline``
    Remaining milliseconds, or milliseconds since the Unix epoch. One of them is required for calls
    that must run at most once.
``Idempotency-Key``
    Required for calls that must run at most once; 1 to 200 visible ASCII characters.
``X-Conversation-Id``
    Stable id of the conversation. Without it the messages up to the first user message are hashed.
``X-Work-Class``
    Name of the work class. Without it the configured default applies, or the first work class if
    the default is not configured.
"""

import msgspec
from falcon import App
from returns.result import Failure

from sassafrashook.messages import CacheEvent, LoadReport, UpstreamAnnouncement
from sassafrashook.outcomes import Refusal, RefusalReason, Verdict
from sassafrashook.proxy._admission import read_bearer_key
from sassafrashook.proxy._decoding import build_input_refusal, decode_report
from sassafrashook.proxy._errors import encode_error
from sassafrashook.proxy._request_body import read_body
from sassafrashook.proxy._resources import JSON, ChatResource, PlainServiceSink, write_refusal

__all__ = ["CallerApplication"]

MAX_REPORT_BYTES = 65_536
HTTP_ACCEPTED = 202
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503


class Health(msgspec.Struct):
    """JSON body of the health check.

    :param reason: why the router is not ready, or empty.
    """

    serving: bool
    reason: str = ""


class CallerApplication:
    """WSGI application that serves callers and accepts reports of upstreams.

    :param context: a :class:`~sassafrashook.proxy.ProxyContext`.
    :param accounts: mapping from bearer key to client account, or ``None`` to require no key.
    :param upstream_keys: set of bearer keys of upstreams, or ``None`` to require no key.
    :param health: callable that returns ``None`` while the router is ready, else a
        :class:`~sassafrashook.outcomes.RefusalReason`.
    :param on_announcement: callable given each
        :class:`~sassafrashook.messages.UpstreamAnnouncement`; it returns ``None``, or the reason
        for refusing it.
    :param on_load_report: the same for each :class:`~sassafrashook.messages.LoadReport`.
    :param on_cache_event: the same for each :class:`~sassafrashook.messages.CacheEvent`.
    :ivar draining_: whether the health check reports that the router is stopping.
    :ivar falcon_: the falcon application.

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
        """Handle one WSGI request."""
        return self.falcon_(environ, start_response)

    def find_unready_reason(self):
        """Return why the router must not receive new requests, or ``None`` while it is ready."""
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
        falcon.add_sink(PlainServiceSink(self.context, self.accounts))
        falcon.set_error_serializer(self._serialize_error)
        return falcon

    def _serialize_error(self, request, response, error):
        self.context.count("bad_input", "http")
        detail = error.description or error.title or "bad request"
        refusal = Refusal(Verdict.NOT_RUN, RefusalReason.BAD_REQUEST, 0, detail)
        response.content_type = JSON
        response.data = encode_error(refusal)


class HealthResource:
    """Resource of ``GET /healthz``, the readiness check of load balancers.

    :param application: a :class:`CallerApplication`.
    """

    def __init__(self, application):
        self.application = application

    def on_get(self, request, response):
        """Respond with status 200 while ready, else 503 with the reason."""
        reason = self.application.find_unready_reason()
        response.content_type = JSON
        response.data = msgspec.json.encode(Health(reason is None, reason or ""))
        if reason is not None:
            response.status = HTTP_UNAVAILABLE


class ReportResource:
    """Resource that accepts one type of report from upstreams.

    :param application: a :class:`CallerApplication`.
    :param message: message class of the report.
    :param callback: callable given each report, or ``None``; see :class:`CallerApplication`.
    """

    def __init__(self, application, message, callback):
        self.application = application
        self.context = application.context
        self.message = message
        self.callback = callback

    def on_post(self, request, response):
        """Decode the report and pass it to the callback."""
        decoded = self._decode(request)
        if isinstance(decoded, Failure):
            write_refusal(self.context, response, decoded.failure())
            return
        rejection = self.callback(decoded.unwrap()) if self.callback else None
        if rejection:
            self.context.count("reports_refused", self.message.__name__)
            refusal = Refusal(Verdict.NOT_RUN, RefusalReason.BAD_REQUEST, 0, str(rejection))
            response.data = encode_error(refusal)
            response.content_type = JSON
        response.status = HTTP_CONFLICT if rejection else HTTP_ACCEPTED

    def _decode(self, request):
        keys = self.application.upstream_keys
        if keys is not None and read_bearer_key(request) not in keys:
            return build_input_refusal("the bearer key is unknown", RefusalReason.UNAUTHENTICATED)
        body = read_body(request, MAX_REPORT_BYTES)
        return body.bind(lambda data: decode_report(self.message, data))
