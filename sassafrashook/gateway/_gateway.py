"""State that all requests of one router share."""

import math
import time
from dataclasses import dataclass

import gevent
from gevent.event import Event

from sassafrashook.gateway._response_memory import DEFAULT_RESPONSE_MEMORY_BYTES, ResponseMemory
from sassafrashook.gateway._results import ResultRecorder
from sassafrashook.gateway._stopping import RequestDurations
from sassafrashook.gateway._witness import UNFRAMED_RETENTION_S
from sassafrashook.hedging import HedgingPolicy
from sassafrashook.paths import PeerSelector
from sassafrashook.placement import RetryBudget
from sassafrashook.quarantine import CrashDetector, compute_trial_delay_s, format_trait
from sassafrashook.routes import ClientLimits
from sassafrashook.telemetry import log_event
from sassafrashook.utils import hash_key

DEFAULT_LIMITS = ClientLimits(16_384, 4_194_304, 3_000, 15_000)  # before the first configuration
# A crash is confirmed by connections to most of some other upstreams. At most this number is tried,
# all at once, for this time, which is far above the latency to another zone.
MAX_CONFIRMING_UPSTREAMS = 10
MIN_CONFIRMING_SHARE = 0.7
CONFIRMATION_TIMEOUT_S = 0.1
# Share of a router's paths. While more are unusable, its own network has probably failed.
MAX_UNUSABLE_SHARE = 0.75
MAX_LOGGED_REQUESTS = 16  # ids of interrupted requests in one log line


@dataclass(slots=True, frozen=True)
class RetryLimits:
    """Limits of the retry budgets.

    Each limit applies to one service over the whole fleet.

    :param retry_ratio: retries allowed per request.
    :param retry_slack: number of retries allowed in one window in addition.
    :param retry_window_s: length of the window, in seconds.
    """

    retry_ratio: float
    retry_slack: float
    retry_window_s: float


class Gateway:
    """Holds what one router needs to forward requests: fleet view, placement, pool and budgets.

    :param name: name of the router.
    :param header_codec: a :class:`~sassafrashook.gateway.HeaderCodec`.
    :param view: a :class:`~sassafrashook.fleet.FleetView`.
    :param placement: a :class:`~sassafrashook.placement.Placement`.
    :param pool: a :class:`~sassafrashook.http1.ConnectionPool`.
    :param limits: the :class:`RetryLimits` of each service.
    :param metrics: a :class:`~sassafrashook.telemetry.Metrics`.
    :param streams: a :class:`~sassafrashook.streams.StreamVersions`.
    :param peer_port: port on which every router accepts requests that other routers forward.
    :param hedging: the :class:`~sassafrashook.hedging.HedgingPolicy`; without one, no request gets
        a second attempt beside a running one.
    :param client_budget: the :class:`~sassafrashook.clients.ClientBudget` of all connections of
        clients and other routers, ``None`` for no limits.
    :param response_memory_bytes: memory that all responses may hold while they are read, in bytes.

    :ivar response_memory: the :class:`~sassafrashook.gateway._response_memory.ResponseMemory`.
    :ivar peers: the :class:`~sassafrashook.paths.PeerSelector`.
    :ivar results: the :class:`~sassafrashook.gateway._results.ResultRecorder`.
    :ivar durations: the :class:`~sassafrashook.gateway._stopping.RequestDurations`.
    :ivar active_handlers_: set of the :class:`~sassafrashook.gateway._request.RequestHandler` in
        progress.
    :ivar probe_requested_: event that is set when an upstream needs a probe.
    :ivar crash_observed_: event that is set when this router observes a crash of an upstream.
    """

    def __init__(
        self,
        name,
        header_codec,
        view,
        placement,
        pool,
        limits,
        metrics,
        streams,
        peer_port=0,
        hedging=None,
        client_budget=None,
        response_memory_bytes=DEFAULT_RESPONSE_MEMORY_BYTES,
    ):
        self.name = name
        self.header_codec = header_codec
        self.view = view
        self.placement = placement
        self.pool = pool
        self.limits = limits
        self.metrics = metrics
        self.streams = streams
        self.peer_port = peer_port
        self.hedging = hedging if hedging is not None else HedgingPolicy()
        self.client_budget = client_budget
        self.response_memory = ResponseMemory(response_memory_bytes, self._record_ended_response)
        self.peers = PeerSelector(name, placement.rng)
        self.results = ResultRecorder()
        self.durations = RequestDurations()
        self.active_handlers_ = set()
        self.probe_requested_ = Event()
        self.crash_observed_ = Event()
        self._unframed_until = {}
        self._retry_budgets = {}
        self._crash_detector = CrashDetector()
        self._logged_quarantines = {}

    def get_client_limits(self):
        """Return the :class:`~sassafrashook.routes.ClientLimits` in force."""
        table = self.view.table_
        return table.configuration.limits if table is not None else DEFAULT_LIMITS

    def abort_attempts(self, upstream):
        """Abort the attempts at an upstream whose requests may run again at another one.

        Called once the upstream's host is unresponsive.

        :param upstream: an :class:`~sassafrashook.placement.UpstreamState`.
        :returns: number of aborted attempts.
        """
        return sum(handler.abort_attempt_at(upstream) for handler in list(self.active_handlers_))

    def end_requests(self):
        """End all requests in progress, with an error response where none has been started.

        :returns: number of requests.
        """
        handlers = list(self.active_handlers_)
        for handler in handlers:
            handler.end()
        return len(handlers)

    def _record_ended_response(self, share):
        memory = self.response_memory
        self.metrics.count("responses_ended", "memory")
        log_event(
            "response_ended", level="warning", reason="memory", held_bytes=share.held_bytes_,
            used_bytes=memory.used_bytes_, max_bytes=memory.max_bytes,
        )  # fmt: skip

    def record_rate_limit(self, upstream, rate, request_id):
        """Record the limit of its request rate that an upstream states in a response.

        :param upstream: an :class:`~sassafrashook.placement.UpstreamState`.
        :param rate: requests per second, ``None`` if the response states no limit, NaN if the
            value is malformed.
        :param request_id: identifier of the request.
        """
        name, known = upstream.registration.upstream_id, upstream.rate_limit_
        if rate is not None and math.isnan(rate):
            log_event("rate_limit_invalid", level="warning", upstream=name, request=request_id)
            return
        if self.placement.record_rate_limit(upstream, rate, time.monotonic()):
            log_event(
                "rate_limit_changed", upstream=name, request=request_id, per_second=rate,
                before=known,
            )  # fmt: skip

    def record_upstream_signals(self, upstream, metadata, request_id):
        """Record whether an upstream says that it leaves, asks for a wait, or misstates its load.

        :param upstream: an :class:`~sassafrashook.placement.UpstreamState`.
        :param metadata: the :class:`ResponseMetadata` of its response.
        :param request_id: identifier of the request.
        """
        name = upstream.registration.upstream_id
        if metadata.is_load_invalid:
            self.metrics.count("upstream_signals", "load_invalid")
            log_event("upstream_load_invalid", level="warning", upstream=name, request=request_id)
        if metadata.is_leaving and not upstream.is_leaving_:
            upstream.is_leaving_ = True
            self.metrics.count("upstream_signals", "leaving")
            log_event(
                "upstream_leaving", upstream=name, request=request_id,
                boot_ms=upstream.registration.boot_ms,
            )  # fmt: skip
        if metadata.wait_s is None:
            return
        if math.isnan(metadata.wait_s):
            self.metrics.count("upstream_signals", "wait_invalid")
            log_event("upstream_wait_invalid", level="warning", upstream=name, request=request_id)
            return
        wait_s = upstream.record_wait(metadata.wait_s, time.monotonic())
        self.metrics.count("upstream_signals", "wait")
        log_event(
            "upstream_wait", upstream=name, request=request_id, stated_s=metadata.wait_s,
            wait_s=wait_s,
        )  # fmt: skip

    def record_misdirection(self, upstream, request_id):
        """Record that another upstream than the registered one seems to respond at an address.

        :param upstream: the :class:`~sassafrashook.placement.UpstreamState` that is registered.
        :param request_id: identifier of the request.
        """
        upstream.suspect_address(time.monotonic())
        self.metrics.count("addresses_suspected")
        registration = upstream.registration
        log_event(
            "upstream_address_suspected", level="warning", upstream=registration.upstream_id,
            request=request_id, boot_ms=registration.boot_ms, sequence=registration.sequence,
        )  # fmt: skip

    def record_interruption(self, upstream, request_id, traits):
        """Record that an upstream closed the connection of a running request.

        :param upstream: an :class:`~sassafrashook.placement.UpstreamState`.
        :param request_id: identifier of the request.
        :param traits: traits of the request.
        """
        self.request_probe(upstream)
        interrupted = self._crash_detector.record_interruption(
            upstream.key, request_id, traits, time.monotonic()
        )
        self._record_crash(upstream, interrupted)

    def request_probe(self, upstream):
        """Request a probe of an upstream whose connection broke or stayed silent.

        :param upstream: an :class:`~sassafrashook.placement.UpstreamState`.
        """
        upstream.path.request_probe()
        self.probe_requested_.set()

    def record_connect_failure(self, upstream, began_at, error):
        """Record that a request's connection to an upstream could not be opened.

        :param upstream: an :class:`~sassafrashook.placement.UpstreamState`.
        :param began_at: when the attempt began, in monotonic seconds.
        :param error: the ``OSError``.
        """
        is_silent = isinstance(error, TimeoutError)
        doubtful_count = self.placement.record_connect_failure(
            upstream, began_at, time.monotonic(), is_silent
        )
        self.pool.close_idle(upstream.key)
        self.probe_requested_.set()
        if isinstance(error, ConnectionRefusedError):
            self.record_refused_connection(upstream)
        self.log_doubtful_paths(upstream, doubtful_count)

    def log_doubtful_paths(self, upstream, doubtful_count):
        """Log that the paths to many upstreams must be probed, if there are any.

        :param upstream: the :class:`~sassafrashook.placement.UpstreamState` that was not reached.
        :param doubtful_count: number of these paths.
        """
        if doubtful_count:
            self.metrics.count("path_checks", "started")
            log_event(
                "paths_doubtful", level="warning", upstream=upstream.registration.upstream_id,
                doubtful=doubtful_count, known=len(self.placement.upstreams_),
            )  # fmt: skip

    def record_refused_connection(self, upstream):
        """Record that an upstream's host refused a connection.

        :param upstream: an :class:`~sassafrashook.placement.UpstreamState`.
        """
        interrupted = self._crash_detector.record_refused_connection(upstream.key, time.monotonic())
        self._record_crash(upstream, interrupted)

    def _record_crash(self, upstream, interrupted):
        """Record and log the requests that a crash interrupted, if there are any."""
        if not interrupted or not self._confirm_crash(upstream):
            return
        traits = [request.traits for request in interrupted]
        origins = [hash_key(request.request_id) for request in interrupted]
        self.view.crashes.record_crash(upstream.key, traits, origins, time.monotonic())
        self.crash_observed_.set()
        registration = upstream.registration
        self.metrics.count("upstream_crash_interruptions", amount=len(interrupted))
        log_event(
            "upstream_crashed", level="warning", upstream=registration.upstream_id,
            boot_ms=registration.boot_ms, zone=registration.availability_zone,
            interrupted=len(interrupted),
            requests=[request.request_id for request in interrupted[:MAX_LOGGED_REQUESTS]],
            contents=[format_trait(r.traits[-1]) for r in interrupted[:MAX_LOGGED_REQUESTS]],
        )  # fmt: skip

    def _confirm_crash(self, upstream):
        """Return whether a broken connection and refused ones are those of a crashed upstream.

        If this router does not reach most others either, its own network may have failed instead.
        If no other upstream is known, the crash counts as confirmed.

        :param upstream: :class:`~sassafrashook.placement.UpstreamState` that may have crashed.
        """
        others = [other for other in self.placement.upstreams_.values() if other is not upstream]
        usable = [other for other in others if not other.path.is_failed_]
        is_isolated = len(others) - len(usable) > MAX_UNUSABLE_SHARE * len(others)
        sample_size = 0 if is_isolated else min(MAX_CONFIRMING_UPSTREAMS, len(usable))
        sample = self.placement.rng.sample(usable, sample_size)
        attempts = [gevent.spawn(self._can_connect, other) for other in sample]
        gevent.joinall(attempts)
        reached = sum(attempt.value for attempt in attempts)
        if sample and reached >= MIN_CONFIRMING_SHARE * len(sample):
            return True
        if others:
            log_event(
                "crash_not_confirmed", level="warning",
                upstream=upstream.registration.upstream_id, boot_ms=upstream.registration.boot_ms,
                others=len(others), suspended=len(others) - len(usable), tried=len(sample),
                reached=reached,
            )  # fmt: skip
        return not others

    def _can_connect(self, upstream):
        try:
            self.pool.open(upstream.registration.address, CONFIRMATION_TIMEOUT_S).close()
        except OSError:
            self.request_probe(upstream)
            return False
        self.placement.paths_.record_connection(upstream, time.monotonic())
        return True

    def record_completion(self, request_id, traits):
        """Record that a request completed, so that its traits crash no upstream.

        :param request_id: identifier of the request.
        :param traits: traits of the request.
        """
        cleared = self.view.crashes.record_completion(traits, time.monotonic())
        if cleared:
            names = [format_trait(trait) for trait in cleared]
            log_event("traits_cleared", request=request_id, traits=names)

    def find_quarantine(self, traits, is_resumed):
        """Return why a request must not be sent to an upstream, ``None`` if it may be.

        :param traits: traits of the request.
        :param is_resumed: whether an upstream has begun to run the request, which was not
            suspected then.
        :returns: a :class:`~sassafrashook.quarantine.Quarantine` or ``None``.
        """
        crashes = self.view.crashes
        get_trial_delay_s = None if is_resumed else self._get_trial_delay_s
        quarantine = crashes.find_quarantine(traits, time.monotonic(), get_trial_delay_s)
        if crashes.quarantines_ is not self._logged_quarantines:
            self._log_quarantines(crashes.quarantines_)
        return quarantine

    def is_suspected(self, traits):
        """Return whether a request might crash the upstream that runs it.

        :param traits: traits of the request.
        """
        return self.view.crashes.is_suspected(traits, time.monotonic())

    def _get_trial_delay_s(self, trait):
        return compute_trial_delay_s(trait, self.name, self.view.routers_)

    def record_unframed_response(self, service):
        """Record that an upstream of a service sent a response that its connection ends.

        :param service: name of the service.
        """
        self._unframed_until[service] = time.monotonic() + UNFRAMED_RETENTION_S

    def expects_unframed_responses(self, service):
        """Return whether upstreams of a service have sent unframed responses recently.

        :param service: name of the service.
        """
        until = self._unframed_until.get(service)
        return until is not None and time.monotonic() < until

    def _log_quarantines(self, quarantines):
        """Log which traits are now quarantined, on what evidence, and which are no longer."""
        logged, self._logged_quarantines = self._logged_quarantines, quarantines
        for trait, quarantine in quarantines.items():
            if trait not in logged or logged[trait].crashes != quarantine.crashes:
                log_event(
                    "trait_quarantined", level="warning", trait=format_trait(trait),
                    crashed=[name for name, _ in quarantine.crashes],
                    until_ms=round((quarantine.until - time.monotonic()) * 1_000),
                )  # fmt: skip
        for trait in logged.keys() - quarantines.keys():
            log_event("trait_released", trait=format_trait(trait))

    def record_request(self, service):
        """Add a client's request to the retry budget of its service.

        :param service: name of the service.
        """
        self._get_retry_budget(service).record_request(time.monotonic())

    def can_retry(self, service):
        """Return whether :meth:`try_consume_retry` would succeed.

        :param service: name of the service.
        """
        return self._get_retry_budget(service).can_consume(self._count_routers(), time.monotonic())

    def try_consume_retry(self, service):
        """Consume one retry of a service's budget if the budget allows it.

        :param service: name of the service.
        :returns: whether the retry is allowed.
        """
        return self._get_retry_budget(service).try_consume(self._count_routers(), time.monotonic())

    def _count_routers(self):
        return len(self.view.routers_) or 1

    def _get_retry_budget(self, service):
        budget = self._retry_budgets.get(service)
        if budget is None:
            limits = self.limits
            budget = RetryBudget(limits.retry_ratio, limits.retry_slack, limits.retry_window_s)
            self._retry_budgets[service] = budget
        return budget
