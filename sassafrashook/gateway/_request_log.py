"""Log events of one request."""

import time

from sassafrashook.quarantine import format_trait
from sassafrashook.telemetry import is_sampled, log_event

FAILED_OUTCOMES = frozenset(("failure_passed_on", "refused", "stream_broken"))
MAX_LOGGED_AGE_S = 3_600.0  # the age is infinite until loads of other routers are received


class RequestLog:
    """Logs the events of one request at once, or buffers them in case it fails.

    While the log's token bucket is full enough, all events are logged at once. As it empties, only
    a sample of requests is logged. Requests are sampled by a hash of their id, so that either all
    events of a request are logged or none. All events of a failed request are logged at its end in
    any case.

    :param handler: the :class:`~sassafrashook.gateway._request.RequestHandler`.
    """

    __slots__ = ("handler", "_is_sampled", "_buffered_events")

    def __init__(self, handler):
        self.handler = handler
        self._is_sampled = is_sampled(handler.metadata.request_id)
        self._buffered_events = []

    def log_placement(self, upstream, prompt_source, now):
        """Log the chosen upstream and the data that the choice was based on.

        :param upstream: the chosen :class:`~sassafrashook.placement.UpstreamState`.
        :param prompt_source: state of the upstream to try to copy a cached part of the prompt from,
            or ``None``.
        :param now: monotonic seconds.
        """
        handler = self.handler
        loads_age_s = min(now - handler.gateway.placement.loads_received_at_, MAX_LOGGED_AGE_S)
        extra = {}
        if upstream.slowdown_ is not None:
            extra["slowdown"] = round(upstream.speed_.compute(now), 2)
        self._log_or_buffer(
            "request_placed", route=handler.route.name, upstream=upstream.registration.upstream_id,
            source=prompt_source.registration.upstream_id if prompt_source is not None else "-",
            parts=[f"{part.part_id}:{part.tokens}" for part in handler.metadata.parts],
            running=upstream.running_, others=upstream.remote_running_,
            loads_age_ms=round(loads_age_s * 1_000), cold=upstream.is_cold(now),
            software=upstream.registration.version, after=handler.last_event_id_ or "-",
            resumes=handler.metadata.stream_request_id or "-",
            version=handler.table.version, runs=handler.execution_count_, **extra,
        )  # fmt: skip

    def log_placement_refusal(self, refusal):
        """Log why no upstream was chosen.

        :param refusal: a :class:`~sassafrashook.placement.PlacementRefusal`.
        """
        handler = self.handler
        drained_zones = sorted(handler.gateway.placement.drained_zones_)
        self._log_or_buffer(
            "request_unplaced", reason=refusal.reason, candidates=refusal.candidates,
            suspended=refusal.suspended, limited=refusal.limited, full=refusal.full,
            held_back=refusal.held_back, over_bound=refusal.over_bound,
            tried=len(handler.attempted_keys_), software=handler.stream_version_ or "-",
            drained_zones=drained_zones, version=handler.table.version,
        )  # fmt: skip

    def log_second_attempt(self, upstream, outcome, elapsed_ms):
        """Log whether a second attempt begins beside the first.

        :param upstream: its :class:`~sassafrashook.placement.UpstreamState`, ``None`` if no
            upstream has room.
        :param outcome: ``started``, or the limit that forbids it.
        :param elapsed_ms: time since the request arrived, in milliseconds.
        """
        name = upstream.registration.upstream_id if upstream is not None else "-"
        self._log_or_buffer(
            "second_attempt", upstream=name, outcome=outcome, elapsed_ms=round(elapsed_ms)
        )

    def log_stream_origin(self, origin):
        """Log at which software version the stream that the client resumes may go on.

        :param origin: a :class:`~sassafrashook.streams.StreamOrigin`.
        """
        handler = self.handler
        self._log_or_buffer(
            "stream_resumed", resumes=handler.metadata.stream_request_id or "-",
            after=handler.last_event_id_, service=handler.service.name,
            software=origin.version or "-", source=origin.source, asked=origin.asked,
            replies=origin.replies,
        )  # fmt: skip

    def log_quarantine(self, quarantine):
        """Log why the request is not sent to any upstream.

        :param quarantine: a :class:`~sassafrashook.quarantine.Quarantine`.
        """
        handler = self.handler
        self._log_or_buffer(
            "request_quarantined", trait=format_trait(quarantine.trait),
            parts=[f"{part.part_id}:{part.tokens}" for part in handler.metadata.parts],
            crashed=[name for name, _ in quarantine.crashes], runs=handler.execution_count_,
            until_ms=round((quarantine.until - time.monotonic()) * 1_000),
        )  # fmt: skip

    def log_attempt_failure(self, upstream, error):
        """Log a failed attempt.

        :param upstream: :class:`~sassafrashook.placement.UpstreamState` of the attempt.
        :param error: an :class:`~sassafrashook.gateway._attempt.AttemptError`.
        """
        handler = self.handler
        self._log_or_buffer(
            "attempt_failed", upstream=upstream.registration.upstream_id, kind=error.kind,
            verdict=error.verdict, detail=error, running=upstream.running_,
            others=upstream.remote_running_, version=handler.table.version,
            runs=handler.execution_count_,
        )  # fmt: skip

    def log_peer(self, peer):
        """Log that the request is forwarded to another router.

        :param peer: name of the router.
        """
        handler = self.handler
        self._log_or_buffer(
            "request_forwarded_to_router", router=peer, service=handler.service.name,
            after=handler.last_event_id_ or "-", unreachable=handler.unreachable_count_,
        )  # fmt: skip

    def log_peer_failure(self, peer, error):
        """Log that another router did not serve the request.

        :param peer: name of the router.
        :param error: an :class:`~sassafrashook.gateway._attempt.AttemptError`.
        """
        self._log_or_buffer(
            "router_attempt_failed", router=peer, kind=error.kind, verdict=error.verdict,
            detail=error,
        )  # fmt: skip

    def log_no_retry(self, upstream, reason):
        """Log why the request is not retried.

        :param upstream: :class:`~sassafrashook.placement.UpstreamState` of the last attempt.
        :param reason: value of the event's ``reason``.
        """
        handler = self.handler
        self._log_or_buffer(
            "request_not_retried", reason=reason, upstream=upstream.registration.upstream_id,
            runs=handler.execution_count_, verdict=handler.verdict_,
        )  # fmt: skip

    def close(self, outcome, upstream, detail, elapsed_ms):
        """Log the buffered events of the request, then its end.

        Nothing is logged for an unsampled request that did not fail.

        :param outcome: how the request ended.
        :param upstream: name of the upstream whose response was sent, ``-`` if there is none.
        :param detail: status code or reason.
        :param elapsed_ms: time since the request's head was received, in milliseconds.
        """
        handler = self.handler
        has_failed = outcome in FAILED_OUTCOMES
        if not has_failed and not self._is_sampled:
            handler.gateway.metrics.count("requests_not_logged")
            return
        level = "warning" if has_failed else "info"
        for buffered_at, event, pairs in self._buffered_events:
            held_ms = round((time.monotonic() - buffered_at) * 1_000)
            log_event(
                event, level=level, request=handler.metadata.request_id, **pairs, held_ms=held_ms
            )
        log_event(
            "request_ended", level=level, request=handler.metadata.request_id,
            route=handler.route.name, service=handler.service.name, upstream=upstream,
            outcome=outcome, detail=detail, verdict=handler.verdict_,
            runs=handler.execution_count_, unreachable=handler.unreachable_count_,
            unreachable_ms=round(handler.unreachable_ms_), routers=handler.peer_count_,
            version=handler.table.version, ms=round(elapsed_ms),
        )  # fmt: skip

    def _log_or_buffer(self, event, **pairs):
        if self._is_sampled:
            log_event(event, request=self.handler.metadata.request_id, **pairs)
        else:
            self._buffered_events.append((time.monotonic(), event, pairs))
