"""One client's request, from its head to its final answer."""

import time

from returns.result import Failure

from sassafrashook.gateway._answers import STATUS_UNAVAILABLE, send_text
from sassafrashook.gateway._attempt import Attempt, AttemptError, FailureKind
from sassafrashook.gateway._events import EventSplitter
from sassafrashook.gateway._request_log import RequestLog
from sassafrashook.http1 import drop_hop_by_hop
from sassafrashook.outcomes import RefusalReason, RetryReason, Verdict
from sassafrashook.placement import BUSY_RETRY_MS, PlacementQuery
from sassafrashook.utils import hash_key

MAX_UNREACHABLE = 4  # upstreams tried without a byte sent
MAX_REFUSED = 2  # upstreams that refused it before it is given up
FALLBACK_DEADLINE_MS = 30_000  # for requests that state none, under their route's timeout
HEAD_PATIENCE = 0.8  # of the route's target; a retry after it may still be on time
DATA_PATIENCE = 2.0  # of the route's longest pause; clients leave after eight
MIN_PATIENCE_S = 0.15
STATUS_BAD_GATEWAY = 502
STATUS_TIMEOUT = 504
OWN_LENGTH = frozenset((b"content-length",))
RETRY_REASONS = {
    FailureKind.UNREACHABLE: RetryReason.CONNECT_FAILED,
    FailureKind.REFUSED: RetryReason.UPSTREAM_BUSY,
    FailureKind.MISDIRECTED: RetryReason.UPSTREAM_LEFT,
    FailureKind.BROKEN: RetryReason.STREAM_CUT,
    FailureKind.SILENT: RetryReason.STREAM_SILENT,
    FailureKind.TIMEOUT: RetryReason.STREAM_SILENT,
    FailureKind.UNSIGNED: RetryReason.STREAM_CUT,
    FailureKind.FAILED: RetryReason.UPSTREAM_FAILED,
}


class RequestRun:
    """Runs one request at as many upstreams as its route, its verdicts and the budget allow.

    :param gateway: the :class:`~sassafrashook.gateway.Gateway`.
    :param client: the :class:`~sassafrashook.http1.ServerConnection`.
    :param head: the :class:`~sassafrashook.http1.RequestHead`.
    :param facts: its :class:`~sassafrashook.gateway.RequestFacts`.
    :param route: its :class:`~sassafrashook.routes.Route`.
    :param account: its :class:`~sassafrashook.routes.Account`, or ``None``.
    :param body: the whole body.
    :param started: monotonic seconds at which its head had arrived.
    """

    def __init__(self, gateway, client, head, facts, route, account, body, started):
        self.gateway = gateway
        self.client = client
        self.head = head
        self.facts = facts
        self.route = route
        self.account = account
        self.body = body
        self.started = started
        self.table = gateway.view.table_
        self.service = self.table.pick_service(route, facts.request_id)
        wait_ms = facts.deadline_ms if facts.deadline_ms is not None else FALLBACK_DEADLINE_MS
        self.deadline = started + min(wait_ms, route.timeout_ms) / 1_000
        self.head_patience_s = _find_patience_s(HEAD_PATIENCE, route.target_ms)
        self.data_patience_s = _find_patience_s(DATA_PATIENCE, route.pause_target_ms)
        self.priority = self._find_priority()
        self.last_event_id = facts.last_event_id
        self.tried = set()
        self.runs = 0
        self.unreachable = 0
        self.refused = 0
        self.verdict = Verdict.NOT_RUN
        self._session = self._find_session()
        self._events = EventSplitter()
        self._attempt = None
        self._lines = RequestLog(self)

    def _find_priority(self):
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    def execute(self):
        """Run to the final answer."""
        self.gateway.note_request(self.service.name)
        self.client.on_gone = self._cancel
        self.gateway.runs_.add(self)
        try:
            self._run()
        finally:
            self.client.on_gone = None
            self.gateway.runs_.discard(self)

    def interrupt(self, upstream):
        """End the attempt if it runs at an upstream and the request may run again.

        :returns: whether an attempt was ended.
        """
        attempt = self._attempt
        if attempt is None or attempt.upstream is not upstream or not self.route.is_idempotent:
            return False
        return attempt.abort()

    def may_leave(self):
        """Return whether the attempt may be ended for another one while its upstream is silent."""
        return (
            self.route.is_idempotent
            and self.runs + 1 < self.route.max_upstreams
            and self.gateway.has_retry(self.service.name)
        )

    def _cancel(self):
        """The client left: stop the upstream's work."""
        if self._attempt is not None:
            self._attempt.abort()

    def _run(self):
        while not self.client.gone_:
            query = self._make_query()
            chosen = self.gateway.placement.choose(query, time.monotonic())
            if isinstance(chosen, Failure):
                refusal = chosen.failure()
                self._lines.note_refusal(refusal)
                self._refuse(refusal.reason, refusal.retry_after_ms)
                return
            upstream = chosen.unwrap()
            error = self._try(query, upstream)
            if error is None:
                return
            if not self._may_go_on(upstream, error):
                self._give_up(error)
                return
        self._log("client_left", "-", "-")

    def _make_query(self):
        return PlacementQuery(self.service, self._session, frozenset(self.tried))

    def _find_session(self):
        """Return the number of its session's part: the last but one, for the last is its own."""
        parts = self.facts.parts
        if not self.route.has_prompts or not parts:
            return None
        return hash_key(parts[-2 if len(parts) > 1 else -1].part_id)

    def _try(self, query, upstream):
        """Run one attempt; :returns: ``None`` once answered, else the :class:`AttemptError`."""
        placement, now = self.gateway.placement, time.monotonic()
        source = placement.find_source(query, upstream, now)
        self._lines.note_placement(upstream, source, now)
        placement.note_begun(query, upstream, now)
        attempt = self._attempt = Attempt(self, upstream, source)
        self.tried.add(upstream.key)
        upstream.running_ += 1
        try:
            head = attempt.begin()
            if self.route.is_stream:
                self._relay(attempt, head)
            else:
                self._answer(attempt, head)
        except AttemptError as error:
            self._note_failure(upstream, error)
            return error
        finally:
            upstream.running_ -= 1
            self._attempt = None
            attempt.close()
        upstream.note_outcome(True)
        self.runs += 1
        self.verdict = Verdict.RAN
        self._log("answered", upstream.entry.upstream_id, head.status)
        return None

    def _note_failure(self, upstream, error):
        if error.kind in (FailureKind.FAILED, FailureKind.BROKEN, FailureKind.UNSIGNED):
            upstream.note_outcome(False)
        if error.verdict is not Verdict.NOT_RUN:
            self.runs += 1
            self.verdict = error.verdict
        self.unreachable += error.kind is FailureKind.UNREACHABLE
        self.refused += error.kind in (FailureKind.REFUSED, FailureKind.MISDIRECTED)
        if error.kind is not FailureKind.CLIENT_GONE:
            self._lines.note_failure(upstream, error)

    def _answer(self, attempt, head):
        body = attempt.read_whole()
        attempt.finish()
        self._send_whole(head, body)

    def _send_whole(self, head, body):
        self.client.send_response(head.status, drop_hop_by_hop(head.headers, OWN_LENGTH), body)

    def _relay(self, attempt, head):
        """Pass whole events on as they arrive."""
        client = self.client
        if not client.has_started():
            self._record("first_event_ms", "started", self._elapsed_ms())
            client.start_response(head.status, drop_hop_by_hop(head.headers, OWN_LENGTH))
        events, sent_at, longest_s = self._events, time.monotonic(), 0.0
        while (data := attempt.read_data()) is not None:
            whole = events.feed(data)
            if whole:
                now = time.monotonic()
                longest_s, sent_at = max(longest_s, now - sent_at), now
                client.send_data(whole)
        self._record("longest_pause_ms", "complete", longest_s * 1_000)
        rest = events.take_rest()
        attempt.finish()
        if rest:
            client.send_data(rest)
        client.finish()

    def _may_go_on(self, upstream, error):
        """Return whether the request may be tried at another upstream."""
        reason = self._find_obstacle(error)
        has_arrived = error.kind is not FailureKind.UNREACHABLE
        if reason is None and has_arrived and not self.gateway.spend_retry(self.service.name):
            reason = "retry_budget"
        if reason is not None:
            self._lines.note_end_of_tries(upstream, reason)
            return False
        self._events.take_rest()
        if self._events.last_id_ is not None:
            self.last_event_id = self._events.last_id_
        self.gateway.metrics.count("retries", RETRY_REASONS[error.kind])
        return True

    def _find_obstacle(self, error):
        if error.kind is FailureKind.CLIENT_GONE or self.client.gone_:
            return "client_left"
        if time.monotonic() >= self.deadline:
            return "deadline"
        if self.unreachable >= MAX_UNREACHABLE or self.refused >= MAX_REFUSED:
            return "attempts"
        if error.verdict is Verdict.NOT_RUN:
            return None
        if not self.route.is_idempotent:
            return "runs_once"
        return "attempts" if self.runs >= self.route.max_upstreams else None

    def _give_up(self, error):
        """Send the final answer after a failed attempt."""
        if self.client.gone_:
            self._log("client_left", "-", error.kind)
            return
        if self.client.has_started():
            self._log("stream_broken", "-", error.kind)
            self.client.abort()
            return
        if error.answer is not None:
            self._log("failure_passed_on", "-", error.answer.head.status)
            self._send_whole(error.answer.head, error.answer.body)
            return
        if self.verdict is Verdict.NOT_RUN:
            retry_ms = round(self.gateway.placement.rng.uniform(*BUSY_RETRY_MS))
            self._refuse(RefusalReason.NO_CAPACITY, retry_ms)
            return
        late = error.kind is FailureKind.TIMEOUT
        status = STATUS_TIMEOUT if late else STATUS_BAD_GATEWAY
        reason = RefusalReason.UPSTREAM_SILENT if late else RefusalReason.UPSTREAM_BROKE
        self._send_own(status, reason)

    def _refuse(self, reason, retry_after_ms):
        """Give the request up; 503 is a promise that it has not run, so it needs that verdict."""
        if self.client.has_started():
            self._log("stream_broken", "-", reason)
            self.client.abort()
        elif self.verdict is Verdict.NOT_RUN:
            self._send_own(STATUS_UNAVAILABLE, reason, retry_after_ms)
        else:
            self._send_own(STATUS_BAD_GATEWAY, reason)

    def _send_own(self, status, reason, retry_after_ms=None):
        self.gateway.metrics.count("refusals", reason)
        self._log("refused", "-", f"{status}:{reason}")
        send_text(self.client, status, reason, retry_after_ms)

    def _elapsed_ms(self):
        return (time.monotonic() - self.started) * 1_000

    def _record(self, metric, outcome, duration_ms):
        self.gateway.metrics.record(metric, self.route.repeatability, outcome, duration_ms)

    def _log(self, outcome, upstream, detail):
        elapsed_ms = self._elapsed_ms()
        self._record("request_ms", outcome, elapsed_ms)
        self._lines.close(outcome, upstream, detail, elapsed_ms)


def _find_patience_s(factor, target_ms):
    """Return how long an upstream may be silent, seconds; without a target there is no bound."""
    if target_ms <= 0:
        return float("inf")
    return max(MIN_PATIENCE_S, factor * target_ms / 1_000)
