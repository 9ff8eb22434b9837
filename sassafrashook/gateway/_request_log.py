"""The log lines of one request."""

import time

from sassafrashook.telemetry import is_sampled, log_event

FAILED_OUTCOMES = frozenset(("failure_passed_on", "refused", "stream_broken"))
MAX_LOGGED_AGE_S = 3_600.0  # stands for loads that were never told


class RequestLog:
    """Writes the lines of one request, or holds them until it is known to have failed.

    While the log has room, all lines are written at once. When it runs short, only the lines of a
    share of requests are, picked by a hash of the id, so that all lines of a request are either
    there or not; those of a request that fails are written at its end in any case.

    :param run: the :class:`~sassafrashook.gateway._request.RequestRun`.
    """

    __slots__ = ("run", "_is_sampled", "_held")

    def __init__(self, run):
        self.run = run
        self._is_sampled = is_sampled(run.facts.request_id)
        self._held = []

    def note_placement(self, upstream, source, now):
        """Tell where a request goes, and from what that was decided.

        :param upstream: the chosen :class:`~sassafrashook.placement.UpstreamState`.
        :param source: the one to copy parts of the prompt from, or ``None``.
        :param now: monotonic seconds.
        """
        run = self.run
        loads_age_s = min(now - run.gateway.placement.loads_at_, MAX_LOGGED_AGE_S)
        self._note(
            "request_placed", route=run.route.name, upstream=upstream.entry.upstream_id,
            source=source.entry.upstream_id if source is not None else "-",
            parts=[f"{part.part_id}:{part.tokens}" for part in run.facts.parts],
            running=upstream.running_, others=upstream.others_,
            loads_age_ms=round(loads_age_s * 1_000), cold=upstream.is_cold(now),
            version=run.table.version, runs=run.runs,
        )  # fmt: skip

    def note_refusal(self, refusal):
        """Tell why no upstream was chosen.

        :param refusal: a :class:`~sassafrashook.placement.PlacementRefusal`.
        """
        run = self.run
        drained = sorted(run.gateway.placement.drained_zones_)
        self._note(
            "request_unplaced", reason=refusal.reason, candidates=refusal.candidates,
            suspended=refusal.suspended, tried=len(run.tried), drained_zones=drained,
            version=run.table.version,
        )  # fmt: skip

    def note_failure(self, upstream, error):
        """Tell how an attempt failed.

        :param error: an :class:`~sassafrashook.gateway._attempt.AttemptError`.
        """
        run = self.run
        self._note(
            "attempt_failed", upstream=upstream.entry.upstream_id, kind=error.kind,
            verdict=error.verdict, detail=error, running=upstream.running_,
            others=upstream.others_, version=run.table.version, runs=run.runs,
        )  # fmt: skip

    def note_end_of_tries(self, upstream, reason):
        """Tell why no further upstream is tried."""
        run = self.run
        self._note(
            "request_not_retried", reason=reason, upstream=upstream.entry.upstream_id,
            runs=run.runs, verdict=run.verdict,
        )  # fmt: skip

    def close(self, outcome, upstream, detail, elapsed_ms):
        """Write the last line."""
        run = self.run
        has_failed = outcome in FAILED_OUTCOMES
        if not has_failed and not self._is_sampled:
            run.gateway.metrics.count("requests_not_logged")
            return
        level = "warning" if has_failed else "info"
        for moment, event, pairs in self._held:
            age_ms = round((time.monotonic() - moment) * 1_000)
            log_event(event, level=level, request=run.facts.request_id, **pairs, held_ms=age_ms)
        log_event(
            "request_ended", level=level, request=run.facts.request_id, route=run.route.name,
            service=run.service.name, upstream=upstream, outcome=outcome, detail=detail,
            verdict=run.verdict, runs=run.runs, version=run.table.version, ms=round(elapsed_ms),
        )  # fmt: skip

    def _note(self, event, **pairs):
        if self._is_sampled:
            log_event(event, request=self.run.facts.request_id, **pairs)
        else:
            self._held.append((time.monotonic(), event, pairs))
