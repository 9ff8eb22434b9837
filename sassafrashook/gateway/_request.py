"""Handles one client's request from its head to the final response."""

import time
from dataclasses import replace

from returns.result import Failure

from sassafrashook.gateway._attempt import Attempt, AttemptError, FailureKind
from sassafrashook.gateway._events import EventOrderError, EventSplitter
from sassafrashook.gateway._hedged import HedgedExchange
from sassafrashook.gateway._peers import PeerAttempt
from sassafrashook.gateway._request_log import RequestLog
from sassafrashook.gateway._responses import (
    STATUS_BAD_GATEWAY,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_UNAVAILABLE,
    VERDICT_HEADER,
    send_text,
)
from sassafrashook.http1 import remove_hop_by_hop_headers
from sassafrashook.outcomes import RefusalReason, RetryReason, Verdict, is_true_promise
from sassafrashook.paths import MAX_PEERS_PER_REQUEST
from sassafrashook.placement import BUSY_RETRY_MS, PlacementQuery
from sassafrashook.quarantine import compute_traits
from sassafrashook.routes import Repeatability
from sassafrashook.streams import LookupSource
from sassafrashook.utils import hash_key, parse_integer, read_boot_time

MAX_UNREACHABLE = 4  # failed connection attempts after which the request is not retried
MAX_REFUSED = 2  # attempts refused by upstreams after which the request is not retried
MAX_EVENT_BYTES = 1_048_576
MAX_CONTENT_LENGTH = 2**63 - 1
# A client counts its deadline from when it sends its first attempt, which arrives later.
RESUMPTION_MARGIN_S = 1.0
DEFAULT_DEADLINE_MS = 30_000  # for requests without a deadline; the route's timeout applies too
# Silence timeout for the response head, as a multiple of the route's target for the response or a
# stream's first event. It is below 1 so that a retry may still respond within the target.
HEAD_SILENCE_FACTOR = 0.8
# Silence timeout within the body, as a multiple of the route's target for the gap between events.
# It is below the gap of 8 times the target after which clients disconnect.
DATA_SILENCE_FACTOR = 2.0
MIN_SILENCE_TIMEOUT_S = 0.15
# Bounds of the random retry delay of a stream of unknown origin: its record may arrive meanwhile
# from the router that began it, for example after a restart of the controllers.
UNKNOWN_STREAM_RETRY_MS = (400, 800)
CONTENT_TYPE = b"content-type"
EVENT_STREAM_TYPE = "text/event-stream"
# The client's connection sets its own framing, and routers their own verdict.
REFRAMED_HEADERS = frozenset((b"content-length", VERDICT_HEADER))
# Reasons for which another router rejects a request that any router would reject.
FINAL_PEER_REFUSALS = frozenset(
    (
        RefusalReason.NO_CAPACITY,
        RefusalReason.QUARANTINED,
        RefusalReason.STREAM_UNKNOWN,
        RefusalReason.UPSTREAM_LIMIT,
    )
)
RETRY_REASONS = {
    FailureKind.UNREACHABLE: RetryReason.CONNECT_FAILED,
    FailureKind.REFUSED: RetryReason.UPSTREAM_BUSY,
    FailureKind.MISDIRECTED: RetryReason.UPSTREAM_LEFT,
    FailureKind.BROKEN: RetryReason.STREAM_CUT,
    FailureKind.SILENT: RetryReason.STREAM_SILENT,
    FailureKind.TIMEOUT: RetryReason.STREAM_SILENT,
    FailureKind.UNSIGNED: RetryReason.STREAM_CUT,
    FailureKind.UNSUCCESSFUL_STATUS: RetryReason.UPSTREAM_FAILED,
}


class RequestHandler:
    """Attempts one request at successive upstreams until there is a final response.

    The route, the verdicts of the attempts and the retry budget limit the number of attempts.

    :param gateway: the :class:`~sassafrashook.gateway.Gateway`.
    :param client: the :class:`~sassafrashook.http1.ServerConnection`.
    :param head: the :class:`~sassafrashook.http1.RequestHead`.
    :param metadata: the :class:`~sassafrashook.gateway.RequestMetadata`.
    :param route: the matching :class:`~sassafrashook.routes.Route`.
    :param account: the client's :class:`~sassafrashook.routes.Account`, or ``None``.
    :param body: the whole body.
    :param started_at: time at which the head had been received, in monotonic seconds.
    :param max_upstreams: number of upstreams that may run the request if another router has
        forwarded it, ``None`` if it comes from a client.

    :ivar is_from_peer: whether another router has forwarded the request.
    :ivar max_upstreams: number of upstreams that may run the request.
    :ivar client_wait_ms: time that the client waits for the whole response, in milliseconds.
    :ivar deadline: time at which the request fails, in monotonic seconds.
    :ivar head_silence_timeout_s: time without a response head after which an attempt may be
        abandoned, in seconds.
    :ivar data_silence_timeout_s: time without body data after which an attempt may be abandoned,
        in seconds.
    :ivar last_event_id_: id of the event after which the next attempt resumes the stream, ``None``
        to start at its beginning.
    :ivar stream_version_: software version of the upstreams at which the stream may go on, ``None``
        before its first event.
    :ivar attempted_keys_: keys of the upstreams attempted so far.
    :ivar execution_count_: number of attempts that have run or may have run the request.
    :ivar unreachable_count_: number of attempts that could not connect.
    :ivar unreachable_ms_: time that these attempts took, in milliseconds.
    :ivar peer_count_: number of other routers that the request was forwarded to.
    :ivar refused_count_: number of attempts that upstreams refused without running the request.
    :ivar verdict_: :class:`~sassafrashook.outcomes.Verdict` on whether the request has run.
    :ivar is_ended_: whether :meth:`end` has been called.
    """

    def __init__(
        self,
        gateway,
        client,
        head,
        metadata,
        route,
        account,
        body,
        started_at,
        max_upstreams=None,
    ):
        self.is_from_peer = max_upstreams is not None
        self.max_upstreams = min(
            route.max_upstreams, max_upstreams if self.is_from_peer else route.max_upstreams
        )
        self.gateway = gateway
        self.client = client
        self.head = head
        self.metadata = metadata
        self.route = route
        self.account = account
        self.body = body
        self.started_at = started_at
        self.table = gateway.view.table_
        self.service = self.table.pick_service(
            route, metadata.stream_request_id or metadata.request_id
        )
        self.client_wait_ms = (
            metadata.deadline_ms if metadata.deadline_ms is not None else DEFAULT_DEADLINE_MS
        )
        self.deadline = started_at + min(self.client_wait_ms, route.timeout_ms) / 1_000
        self.head_silence_timeout_s = _compute_timeout_s(
            HEAD_SILENCE_FACTOR, route.latency_target_ms
        )
        self.data_silence_timeout_s = _compute_timeout_s(
            DATA_SILENCE_FACTOR, route.event_gap_target_ms
        )
        self.priority = self._find_priority()
        self.last_event_id_ = metadata.last_event_id
        self.stream_version_ = None
        self.attempted_keys_ = set()
        self.execution_count_ = 0
        self.unreachable_count_ = 0
        self.unreachable_ms_ = 0.0
        self.peer_count_ = 0
        self.refused_count_ = 0
        self.verdict_ = Verdict.NOT_RUN
        self._traits = None
        self._session_part_hash = self._compute_session_part_hash()
        self._splitter = EventSplitter()
        self._stream_head = None
        self._attempt = None
        self._version_choice = None
        self._rollout_attempt = None
        self._request_log = RequestLog(self)
        self.is_ended_ = False

    @property
    def traits(self):
        """Hashes by which requests that crash upstreams are recognised."""
        if self._traits is None:
            account = self.account.name if self.account is not None else ""
            part_ids = [part.part_id for part in self.metadata.parts]
            self._traits = compute_traits(
                part_ids, account, self.head.host, self.head.target, self.body
            )
        return self._traits

    def _find_priority(self):
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    def handle(self):
        """Attempt the request until a final response has been sent or the client disconnects."""
        if not self.is_from_peer:  # the other router has counted it
            self.gateway.record_request(self.service.name)
            self.gateway.hedging.record_request(self.service.name)
        self.client.on_disconnect = self._cancel
        self.gateway.active_handlers_.add(self)
        try:
            if self._find_stream_version():
                self._run_attempts()
        finally:
            self.client.on_disconnect = None
            self.gateway.active_handlers_.discard(self)

    def abort_attempt_at(self, upstream):
        """Abort the current attempt if it is at an upstream and the request may run again.

        :param upstream: an :class:`~sassafrashook.placement.UpstreamState`.
        :returns: whether an attempt was aborted.
        """
        attempt = self._attempt
        if attempt is None or not self.route.is_idempotent:
            return False
        return attempt.abort_at(upstream)

    def can_abandon_attempt(self):
        """Return whether an attempt that receives no data may be abandoned for a retry."""
        return (
            self.route.is_idempotent
            and self.execution_count_ + 1 < self.max_upstreams
            and self.gateway.can_retry(self.service.name)
            and (
                self.stream_version_ is None
                or self.gateway.placement.has_active_candidate(self._make_query(), time.monotonic())
            )
        )

    def end(self):
        """End the request, because this router stops."""
        self.is_ended_ = True
        if self._attempt is not None:
            self._attempt.abort()

    def _cancel(self):
        """Abort the current attempt after the client has disconnected."""
        if self._attempt is not None:
            self._attempt.abort()

    def _find_stream_version(self):
        """Find the software version at which a stream that the client resumes may go on.

        :returns: whether the request may be attempted; it has been rejected otherwise.
        """
        if self.last_event_id_ is None or not self.route.is_stream:
            return True
        view = self.gateway.view
        services = view.route_history_.list_services(
            self.table, self.head.host, self.head.path, time.monotonic()
        )
        origin = self.gateway.streams.find(self.metadata.stream_request_id, services, self.deadline)
        self.gateway.metrics.count("stream_lookups", origin.source)
        self._request_log.log_stream_origin(origin)
        self.stream_version_ = origin.version
        if origin.source is LookupSource.ONLY_VERSION and view.may_be_outdated(read_boot_time()):
            # A newer configuration may have led the stream to a service of another version.
            self.stream_version_ = None
        if self.stream_version_ is None:
            retry_after_ms = round(self.gateway.placement.rng.uniform(*UNKNOWN_STREAM_RETRY_MS))
            self._reject(RefusalReason.STREAM_UNKNOWN, retry_after_ms)
        return self.stream_version_ is not None

    def _run_attempts(self):
        is_suspected = self.gateway.is_suspected(self.traits)
        while not self.client.is_disconnected_:
            if self.is_ended_:
                self._reject(RefusalReason.STOPPING, 0)
                return
            quarantine = self.gateway.find_quarantine(self.traits, self.execution_count_ > 0)
            if quarantine is not None:
                self._request_log.log_quarantine(quarantine)
                retry_after_ms = round((quarantine.until - time.monotonic()) * 1_000)
                self._reject(RefusalReason.QUARANTINED, retry_after_ms)
                return
            query, result = self._place()
            if isinstance(result, Failure):
                refusal = result.failure()
                self._request_log.log_placement_refusal(refusal)
                if self._may_peers_serve(refusal) and self._forward_to_peers(refusal):
                    return
                result = self._choose_without_peers(query, refusal)
                if isinstance(result, Failure):
                    self._reject_unplaced(refusal)
                    return
            upstream = result.unwrap()
            error = self._run_attempt(query, upstream)
            if error is None:
                return
            if is_suspected and error.kind is FailureKind.BROKEN:
                self._request_log.log_no_retry(upstream, "suspected")
                self._send_failure(error)
                return
            if not self._prepare_retry(upstream, error):
                is_unreachable = error.kind is FailureKind.UNREACHABLE
                if not (is_unreachable and self._forward_to_peers()):
                    self._send_failure(error)
                return
        self._log("client_left", "-", "-")

    def _choose_version(self, now):
        return self.gateway.view.rollouts.choose(
            self.service.name, now, self.stream_version_, bool(self.attempted_keys_)
        )

    def _place(self):
        """Choose an upstream, of the old version if a trial of a new one has no room.

        :returns: the :class:`~sassafrashook.placement.PlacementQuery` and the result of
            :meth:`~sassafrashook.placement.Placement.choose`.
        """
        now = time.monotonic()
        self._version_choice = self._choose_version(now)
        query = self._make_query()
        result = self.gateway.placement.choose(query, now)
        choice = self._version_choice
        if isinstance(result, Failure) and choice is not None and choice.is_trial:
            self._version_choice = choice.choose_old()
            query = self._make_query()
            result = self.gateway.placement.choose(query, now)
        return query, result

    def _may_peers_serve(self, refusal):
        """Return whether upstreams are known that this router does not reach, but others may."""
        is_unreachable = refusal.candidates > 0 or self.unreachable_count_ > 0
        return refusal.is_local or (refusal.reason is RefusalReason.NO_UPSTREAM and is_unreachable)

    def _choose_without_peers(self, query, refusal):
        """Choose an upstream over the load bound, or one whose path may have failed.

        A request tries one path that may have failed, at most.

        :returns: a result as that of :meth:`~sassafrashook.placement.Placement.choose`.
        """
        if self.is_from_peer or not refusal.is_local:
            return Failure(refusal)
        query = replace(
            query,
            keeps_load_bound=False,
            uses_doubtful_paths=self.unreachable_count_ == 0,
            version_choice=self._choose_version(time.monotonic()),
        )
        return self.gateway.placement.choose(query, time.monotonic())

    def _reject_unplaced(self, refusal):
        """Reject a request for which no upstream was chosen.

        Another router is told to ask a third one if this router does not reach all upstreams.
        """
        reason = refusal.reason
        if self.is_from_peer and refusal.is_local:
            reason = RefusalReason.NO_UPSTREAM
        self._reject(reason, refusal.retry_after_ms)

    def _forward_to_peers(self, refusal=None):
        """Forward the request to other routers until one of them reaches an upstream.

        :param refusal: :class:`~sassafrashook.placement.PlacementRefusal` of this router, ``None``
            if it chose an upstream but could not connect. If this router has an upstream over the
            load bound, no other router that may be out of reach is asked.
        :returns: whether the request has ended; otherwise certainly no upstream has run it because
            of this, and it must be rejected.
        """
        gateway, service = self.gateway, self.service.name
        tried = set()
        is_reached_only = refusal is not None and refusal.over_bound > 0
        while len(tried) < MAX_PEERS_PER_REQUEST and not self.client.is_disconnected_:
            now = time.monotonic()
            peer = None
            if not self.is_from_peer and now < self.deadline:
                peer = gateway.peers.select(
                    service, gateway.view.routers_, tried, now, is_reached_only
                )
            if peer is None:
                return False
            tried.add(peer)
            if self._run_peer_attempt(peer):
                return True
            gateway.peers.record_refusal(service, peer, time.monotonic())
        return False

    def _run_peer_attempt(self, peer):
        """Forward the request to one router.

        :returns: whether the request has ended.
        """
        attempt = self._attempt = PeerAttempt(self, peer)
        self.peer_count_ += 1
        self._request_log.log_peer(peer)
        try:
            head = self._exchange(attempt)
        except AttemptError as error:
            self._request_log.log_peer_failure(peer, error)
            self._record_peer_failure(attempt, error)
            return self._end_after_peer_failure(attempt, error)
        finally:
            self._attempt = None
            attempt.close()
        self.gateway.peers.record_success(self.service.name, peer, time.monotonic())
        self.gateway.record_completion(self.metadata.request_id, self.traits)
        self.verdict_ = Verdict.RAN
        self._log("answered", f"router:{peer}", head.status)
        return True

    def _record_peer_failure(self, attempt, error):
        """Record what a failed attempt says of the other router, unless it refused the request."""
        peers, service, now = self.gateway.peers, self.service.name, time.monotonic()
        if error.kind is FailureKind.UNSUCCESSFUL_STATUS:
            peers.record_success(service, attempt.peer, now)
        elif error.verdict is not Verdict.NOT_RUN and not self.client.is_disconnected_:
            peers.record_failure(service, attempt.peer, now)

    def _end_after_peer_failure(self, attempt, error):
        """End the request, unless another router may still serve it.

        :returns: whether the request has ended.
        """
        if error.kind is FailureKind.UNREACHABLE:
            return False
        if attempt.refusal_ is not None:
            if attempt.refusal_.reason not in FINAL_PEER_REFUSALS:
                return False
            retry_after_ms = attempt.refusal_.retry_after_ms
            if retry_after_ms is None:
                retry_after_ms = round(self.gateway.placement.rng.uniform(*BUSY_RETRY_MS))
            self._reject(attempt.refusal_.reason, retry_after_ms)
            return True
        if error.verdict is not Verdict.NOT_RUN:
            # The other router may have tried as many upstreams as are allowed.
            self.execution_count_ = self.max_upstreams
            self.verdict_ = error.verdict
        self._send_failure(error)
        return True

    def _make_query(self):
        return PlacementQuery(
            self.service,
            self._session_part_hash,
            frozenset(self.attempted_keys_),
            self.stream_version_,
            keeps_load_bound=True,
            allows_trial=self._allows_trial(),
            version_choice=self._version_choice,
        )

    def _allows_trial(self):
        """Return whether an ejected upstream may be tried first, as a failure may be retried."""
        return self.route.is_idempotent and self.max_upstreams > 1 and not self.attempted_keys_

    def _compute_session_part_hash(self):
        """Return the hash of the last prompt part that the requests of a session share.

        That is the last part but one, because the last part belongs to this request only. If there
        is a single part, its hash is returned.
        """
        parts = self.metadata.parts
        if not self.route.has_prompts or not parts:
            return None
        return hash_key(parts[-2 if len(parts) > 1 else -1].part_id)

    def _run_attempt(self, query, upstream):
        """Attempt the request at one upstream.

        :returns: ``None`` once the response has been sent, else the :class:`AttemptError`.
        """
        placement, now = self.gateway.placement, time.monotonic()
        prompt_source = placement.find_prompt_source(query, upstream, now)
        self._request_log.log_placement(upstream, prompt_source, now)
        placement.record_placement(query, upstream, now)
        delay_s = self._find_hedging_delay_s(now)
        if delay_s is not None:
            return self._run_hedged(upstream, delay_s)
        attempt = self._attempt = Attempt(self, upstream, prompt_source)
        self.attempted_keys_.add(upstream.key)
        upstream.running_ += 1
        rollouts, is_bad = self.gateway.view.rollouts, None
        self._rollout_attempt = rollouts.begin_attempt(
            upstream.registration, self.route.name, not upstream.is_cold(now), now
        )
        try:
            head = self._exchange(attempt)
            is_bad = False
        except AttemptError as error:
            self.record_failure(upstream, error, now)
            self.gateway.results.record_attempt(attempt, now, error)
            is_bad = error.is_upstream_failure
            return error
        finally:
            rollouts.end_attempt(self._rollout_attempt, is_bad, time.monotonic())
            self._rollout_attempt = None
            upstream.running_ -= 1
            self._attempt = None
            attempt.close()
        if not self.route.is_stream:
            self.record_duration(now)
        self._record_success(attempt, now, head)
        return None

    def _run_hedged(self, upstream, delay_s):
        """Attempt the request at one upstream, and at a second one after a delay.

        :param delay_s: the delay, in seconds.
        :returns: ``None`` once the response has been sent, else the :class:`AttemptError`.
        """
        exchange = self._attempt = HedgedExchange(self, self._choose_second_upstream, delay_s)
        try:
            response = exchange.run(upstream)
        except AttemptError as error:
            return error
        finally:
            self._attempt = None
        self._send_response(response.head, response.body)
        self._record_success(response.attempt, response.began_at, response.head)
        return None

    def _record_success(self, attempt, began_at, head):
        """Record and log that the response to an attempt has been sent.

        :param attempt: the :class:`Attempt`.
        :param began_at: when it began, in monotonic seconds.
        :param head: the :class:`~sassafrashook.http1.ResponseHead`.
        """
        upstream = attempt.upstream
        upstream.record_response(True)
        self.gateway.results.record_attempt(attempt, began_at)
        if attempt.first_data_at_ is not None and not upstream.is_cold(began_at):
            self.gateway.placement.first_events_.record(
                upstream,
                sum(part.tokens for part in self.metadata.parts),
                attempt.prompt_source is None,
                (attempt.first_data_at_ - began_at) * 1_000,
            )
        self.gateway.record_completion(self.metadata.request_id, self.traits)
        self.execution_count_ += 1
        self.verdict_ = Verdict.RAN
        detail = f"{head.status}:close_delimited" if head.is_close_delimited else head.status
        self._log("answered", upstream.registration.upstream_id, detail)

    def _find_hedging_delay_s(self, now):
        """Return after which time the request may get a second attempt, ``None`` if it may not.

        Only requests that may run more than once, have not run yet and have crashed no upstream get
        one, and only those of clients: another router counts those that it forwards. During a
        rollout there are none, because its versions are compared by single attempts.
        """
        is_eligible = (
            self.gateway.hedging.is_enabled
            and self.route.repeatability is Repeatability.IDEMPOTENT
            and self.max_upstreams > 1
            and self.execution_count_ == 0
            and not self.is_from_peer
            and self._version_choice is None
            and not self.gateway.is_suspected(self.traits)
        )
        if not is_eligible:
            return None
        target_ms = self.route.latency_target_ms
        return self.gateway.hedging.compute_delay_s(self.service.name, target_ms, now)

    def _choose_second_upstream(self):
        """Choose the upstream of a second attempt and consume what it costs.

        :returns: an :class:`~sassafrashook.placement.UpstreamState`, ``None`` if there is none with
            room or a limit is used up.
        """
        gateway, service, now = self.gateway, self.service.name, time.monotonic()
        upstream = gateway.placement.choose_spare(self._make_query(), now)
        if upstream is None:
            outcome = "no_room"
        elif not gateway.hedging.try_consume(service):
            outcome = "limit"
        elif not gateway.try_consume_retry(service):
            outcome = "retry_budget"
        else:
            outcome = "started"
        gateway.metrics.count("second_attempts", outcome)
        self._request_log.log_second_attempt(upstream, outcome, self._compute_elapsed_ms())
        return upstream if outcome == "started" else None

    def make_attempt(self, upstream):
        """Return an :class:`Attempt` of a request without a prompt at an upstream."""
        self.attempted_keys_.add(upstream.key)
        return Attempt(self, upstream, None)

    def record_duration(self, began_at):
        """Record how long an attempt has taken that began at a time, in monotonic seconds."""
        now = time.monotonic()
        self.gateway.hedging.record_duration(self.service.name, (now - began_at) * 1_000, now)

    def _exchange(self, attempt):
        """Send the request and pass the response on to the client.

        :param attempt: the :class:`~sassafrashook.gateway._attempt.Attempt`.
        :returns: head of the response.
        :raises AttemptError: if the attempt fails.
        """
        head = attempt.start()
        if self.route.is_stream:
            self.gateway.view.rollouts.record_reply(self._rollout_attempt, time.monotonic())
            self._relay_stream(attempt, head)
        else:
            self._relay_response(attempt, head)
        return head

    def record_failure(self, upstream, error, began_at):
        """Record that an attempt at an upstream has failed.

        :param upstream: the :class:`~sassafrashook.placement.UpstreamState`.
        :param error: the :class:`AttemptError`.
        :param began_at: when the attempt began, in monotonic seconds.
        """
        if error.kind in (
            FailureKind.UNSUCCESSFUL_STATUS,
            FailureKind.BROKEN,
            FailureKind.UNSIGNED,
        ):
            upstream.record_response(False)
        if error.verdict is not Verdict.NOT_RUN:
            self.execution_count_ += 1
            self.verdict_ = error.verdict
        if error.kind is FailureKind.UNREACHABLE:
            self.unreachable_count_ += 1
            self.unreachable_ms_ += (time.monotonic() - began_at) * 1_000
        self.refused_count_ += error.kind in (FailureKind.REFUSED, FailureKind.MISDIRECTED)
        if error.kind is not FailureKind.CLIENT_DISCONNECTED:
            self._request_log.log_attempt_failure(upstream, error)

    def _relay_response(self, attempt, head):
        """Read the whole response before sending it, so that no part of a broken one is sent."""
        body = attempt.read_body()
        attempt.finish()
        self._send_response(head, body)

    def _send_response(self, head, body):
        fields = remove_hop_by_hop_headers(head.headers, REFRAMED_HEADERS)
        length = parse_integer(head.headers.get(b"content-length"), MAX_CONTENT_LENGTH)
        self.client.send_response(head.status, fields, body, length=length)

    def _relay_stream(self, attempt, head):
        """Send each event of a stream to the client as soon as it is complete."""
        client = self.client
        splitter, sent_at, longest_pause_s = self._splitter, time.monotonic(), 0.0
        splitter.resume(self.last_event_id_)
        is_continued = client.has_started_response()
        if not is_continued:
            self._record("first_event_ms", "started", self._compute_elapsed_ms())
            self._stream_head = head
            client.start_response(
                head.status, remove_hop_by_hop_headers(head.headers, REFRAMED_HEADERS)
            )
        elif not self._continues_stream(head):
            raise attempt.close_wrong_response("the response is not of the kind of the stream")
        while (data := attempt.read_data()) is not None:
            try:
                events = splitter.feed(data)
            except EventOrderError as error:
                raise attempt.close_wrong_response(str(error)) from error
            incomplete_bytes = splitter.measure_incomplete()
            if incomplete_bytes > MAX_EVENT_BYTES:
                raise attempt.close_wrong_response(f"event of more than {MAX_EVENT_BYTES} bytes")
            attempt.hold_response(incomplete_bytes)
            if events:
                now = time.monotonic()
                longest_pause_s, sent_at = max(longest_pause_s, now - sent_at), now
                if splitter.has_events_:
                    self._record_stream_version(attempt.software_version)
                client.send_data(events)
        # A stream without framing may have broken off wherever it ends.
        has_no_body = self.head.method == b"HEAD"
        may_be_empty = has_no_body or not (head.is_close_delimited or is_continued)
        if splitter.take_incomplete() or not (splitter.has_events_ or may_be_empty):
            raise attempt.close_incomplete_stream()
        attempt.finish()
        self._record("longest_pause_ms", "complete", longest_pause_s * 1_000)
        client.finish_response()

    def _continues_stream(self, head):
        """Return whether a response is a stream like the one that it must continue."""
        first, content_type = self._stream_head, head.headers.get(CONTENT_TYPE, "")
        is_same_type = content_type == first.headers.get(CONTENT_TYPE, "")
        is_stream = content_type.partition(";")[0].strip().lower() == EVENT_STREAM_TYPE
        return head.status == first.status and (is_same_type or is_stream)

    def _record_stream_version(self, version):
        """Bind the stream to the software version of the upstream that sent its first event.

        :param version: the version, ``None`` if another router records it.
        """
        if self.stream_version_ is not None or version is None:
            return
        self.stream_version_ = version
        if self.route.is_idempotent:
            wait_s = self.client_wait_ms / 1_000
            self.gateway.view.route_history_.record_client_wait(wait_s)
            until = self.started_at + wait_s + RESUMPTION_MARGIN_S
            self.gateway.streams.record(self.metadata.request_id, self.stream_version_, until)

    def _abort_stream(self, reason):
        """Close the client's connection within a stream, which it may resume at another router."""
        self.gateway.streams.flush()
        self._log("stream_broken", "-", reason)
        self.client.abort()

    def _prepare_retry(self, upstream, error):
        """Consume a retry and set the resume position, unless the request must not be retried.

        :param upstream: :class:`~sassafrashook.placement.UpstreamState` of the failed attempt.
        :param error: the :class:`AttemptError`.
        :returns: whether the request may be retried at another upstream.
        """
        reason = self._find_no_retry_reason(error)
        was_reached = error.kind is not FailureKind.UNREACHABLE
        if reason is None and was_reached and not self.gateway.try_consume_retry(self.service.name):
            reason = "retry_budget"
        if reason is not None:
            self._request_log.log_no_retry(upstream, reason)
            return False
        self._splitter.take_incomplete()
        if self._splitter.last_event_id_ is not None:
            self.last_event_id_ = self._splitter.last_event_id_
        self.gateway.metrics.count("retries", RETRY_REASONS[error.kind])
        return True

    def _find_no_retry_reason(self, error):
        """Return why the request must not be retried, or ``None``; the budget is not checked."""
        if error.kind is FailureKind.CLIENT_DISCONNECTED or self.client.is_disconnected_:
            return "client_left"
        if self.is_ended_:
            return "stopping"
        if time.monotonic() >= self.deadline:
            return "deadline"
        if self.unreachable_count_ >= MAX_UNREACHABLE or self.refused_count_ >= MAX_REFUSED:
            return "attempts"
        if error.verdict is Verdict.NOT_RUN:
            return None
        if not self.route.is_idempotent:
            return "runs_once"
        return "attempts" if self.execution_count_ >= self.max_upstreams else None

    def _send_failure(self, error):
        """End the request after its last attempt has failed.

        :param error: the :class:`AttemptError`.
        """
        if self.client.is_disconnected_:
            self._log("client_left", "-", error.kind)
            return
        if self.client.has_started_response():
            self._abort_stream(error.kind)
            return
        if error.response is not None:
            self._pass_failure_on(error.response)
            return
        if self.verdict_ is Verdict.NOT_RUN:
            retry_after_ms = round(self.gateway.placement.rng.uniform(*BUSY_RETRY_MS))
            self._reject(RefusalReason.NO_CAPACITY, retry_after_ms)
            return
        is_timeout = error.kind is FailureKind.TIMEOUT
        status = STATUS_GATEWAY_TIMEOUT if is_timeout else STATUS_BAD_GATEWAY
        reason = RefusalReason.UPSTREAM_SILENT if is_timeout else RefusalReason.UPSTREAM_BROKE
        self._send_error(status, reason)

    def _pass_failure_on(self, response):
        """Send an upstream's unsuccessful response, unless its status would promise wrongly.

        An upstream that has run the request may use a status by which clients know that it has
        not. The response of this router then lacks the upstream's signature and headers.

        :param response: the :class:`~sassafrashook.gateway._attempt.UpstreamResponse`.
        """
        status = response.head.status
        if is_true_promise(status, self.verdict_):
            self._log("failure_passed_on", "-", status)
            self._send_response(response.head, response.body)
        else:
            self._send_error(
                STATUS_BAD_GATEWAY, RefusalReason.UPSTREAM_FAILED, replaced_status=status
            )

    def _reject(self, reason, retry_after_ms):
        """End the request with 503 if certainly no upstream has run it, else with 502.

        A response of 503 guarantees to the client that the request has not run. If a part of a
        stream has been sent already, the connection is closed instead.

        :param reason: a :class:`~sassafrashook.outcomes.RefusalReason`.
        :param retry_after_ms: delay after which the client may retry, in milliseconds.
        """
        if self.client.has_started_response():
            self._abort_stream(reason)
        elif is_true_promise(STATUS_UNAVAILABLE, self.verdict_):
            self._send_error(STATUS_UNAVAILABLE, reason, retry_after_ms)
        else:
            self._send_error(STATUS_BAD_GATEWAY, reason)

    def _send_error(self, status, reason, retry_after_ms=None, replaced_status=None):
        """Send a response of this router.

        :param replaced_status: status of the upstream's response that is not sent, for the log.
        """
        self.gateway.metrics.count("refusals", reason)
        detail = f"{status}:{reason}"
        if replaced_status is not None:
            detail = f"{detail}:{replaced_status}"
        self._log("refused", "-", detail)
        verdict = self.verdict_ if self.is_from_peer else None
        send_text(self.client, status, reason, retry_after_ms, verdict)

    def _compute_elapsed_ms(self):
        return (time.monotonic() - self.started_at) * 1_000

    def _record(self, metric, outcome, duration_ms):
        """Record a duration in a metric of the route's requests."""
        self.gateway.metrics.record(metric, self.route.repeatability, outcome, duration_ms)

    def _log(self, outcome, upstream, detail):
        """Record the duration of the request and log its end."""
        elapsed_ms = self._compute_elapsed_ms()
        if outcome == "answered":
            self.gateway.durations.record(self.route.duration_kind, elapsed_ms / 1_000)
        self._record("request_ms", outcome, elapsed_ms)
        self._request_log.close(outcome, upstream, detail, elapsed_ms)


def _compute_timeout_s(factor, target_ms):
    """Return a silence timeout, in seconds; infinite if the route has no target.

    :param factor: timeout as a multiple of the target.
    :param target_ms: target of the route, in milliseconds; 0 or less if it has none.
    """
    if target_ms <= 0:
        return float("inf")
    return max(MIN_SILENCE_TIMEOUT_S, factor * target_ms / 1_000)
