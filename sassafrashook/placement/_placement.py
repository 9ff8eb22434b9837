"""Selection of an upstream for each request."""

import math
from dataclasses import dataclass, replace

from returns.result import Failure, Success

from sassafrashook.base import Parametrized
from sassafrashook.ejection import EjectionView
from sassafrashook.estimation import FirstEventModel
from sassafrashook.outcomes import RefusalReason
from sassafrashook.paths import PathMonitor
from sassafrashook.placement._prompt_cache_index import PromptCacheIndex
from sassafrashook.placement._upstreams import UpstreamState
from sassafrashook.registry import RegistrationState
from sassafrashook.utils import Interval, mix_hashes

PROBATION_RATE_PER_S = 1.0  # requests per second and router to an upstream on probation
REMOTE_LOADS_TTL_S = 1.0  # lifetime of the loads of other routers; five reporting intervals
# Bounds of the random retry delay when no candidate can take the request: all are full, suspended
# or limited in rate. The delay is a few times the duration of a short call, and spread so that
# refused clients do not all return at once.
BUSY_RETRY_MS = (150, 500)
# Bounds of the random retry delay when there is no candidate: a heartbeat may make an upstream
# available within this time.
NO_UPSTREAM_RETRY_MS = (300, 900)
# Longest retry delay when all upstreams limit their request rate. Clients honour longer ones only
# in part.
MAX_LIMITED_RETRY_MS = 10_000
MS_PER_S = 1_000
# An upstream gets a request without a prompt only while its load is below this multiple of its
# slots: such calls are short, so they may wait there for two rounds of its slots.
PROMPTLESS_CAPACITY_FACTOR = 3.0
# Share of a service's slots in use above which it gets no extra attempts: these would take the room
# of first attempts.
MAX_SPARE_UTILIZATION = 0.7


@dataclass(slots=True, frozen=True)
class PlacementQuery:
    """One request that needs an upstream.

    :param service: its :class:`~sassafrashook.routes.Service`.
    :param session_part_hash: 64-bit hash of the last prompt part that the requests of its session
        share. Requests with the same hash prefer the same upstreams. ``None`` if there is no
        prompt.
    :param excluded_keys: keys of the upstreams that must not be chosen.
    :param software_version: version of the software that the upstream must run, ``None`` for any.
    :param keeps_load_bound: whether no upstream over the load bound may be chosen while others are
        out of reach, as another router may reach these.
    :param uses_doubtful_paths: whether an upstream may be chosen before the doubtful path to it has
        been probed.
    :param allows_trial: whether an ejected upstream may be tried with the request, which may then
        be retried at another one.
    :param version_choice: the :class:`~sassafrashook.rollouts.VersionChoice` of a service with a
        rollout, else ``None``.
    """

    service: object
    session_part_hash: int | None = None
    excluded_keys: frozenset = frozenset()
    software_version: str | None = None
    keeps_load_bound: bool = False
    uses_doubtful_paths: bool = False
    allows_trial: bool = False
    version_choice: object = None


@dataclass(slots=True, frozen=True)
class PlacementRefusal:
    """Reason why no upstream can take a request now.

    :param reason: a :class:`~sassafrashook.outcomes.RefusalReason`.
    :param retry_after_ms: delay after which the client should retry, in milliseconds.
    :param candidates: number of upstreams of the service that were considered.
    :param suspended: number of these to which this router has no usable path.
    :param limited: number of these that limit their request rate.
    :param full: number of these without room.
    :param held_back: number of these with room that may not get a request now, because they are
        cold or on probation.
    :param over_bound: number of these with room that are over the load bound.
    """

    reason: RefusalReason
    retry_after_ms: int
    candidates: int = 0
    suspended: int = 0
    limited: int = 0
    full: int = 0
    held_back: int = 0
    over_bound: int = 0

    @property
    def is_local(self):
        """Whether another router may reach upstreams that this one does not reach."""
        return self.suspended > 0


@dataclass(slots=True, frozen=True)
class StatedRateLimit:
    """Rate limit that a response of an upstream stated.

    :param key: key of the upstream's boot.
    :param rate: requests per second from all routers, ``None`` if the response stated no limit.
    :param heard_at: when a router received the response, in monotonic seconds.
    """

    key: tuple
    rate: float | None
    heard_at: float


class Placement(Parametrized):
    """Chooses upstreams from one router's view; routers with the same view choose alike.

    Requests of a session go to the first upstream, in the session's rendezvous hashing order, whose
    load is within a bound relative to the mean load of the service. Requests without a prompt go
    to the least loaded upstream.

    :param warmup: :class:`~sassafrashook.placement.SharedRateLimiter` of cold upstreams.
    :param rate_limiter: :class:`~sassafrashook.placement.SharedRateLimiter` of upstreams that state
        a limit of their request rate.
    :param rng: a ``random.Random``.
    :param zone: availability zone of the router, preferred among equally loaded upstreams.
    :param load_factor: bound of an upstream's load, as a multiple of the service's mean load.
    :param load_slack: number of requests that the bound allows in addition to that multiple.

    :ivar upstreams_: :class:`UpstreamState` by upstream name.
    :ivar drained_zones_: drained availability zones, whose upstreams get no requests.
    :ivar loads_received_at_: when the loads of other routers were last received, in monotonic
        seconds.
    :ivar paths_: the :class:`~sassafrashook.paths.PathMonitor` of this router's paths.
    :ivar ejections_: the :class:`~sassafrashook.ejection.EjectionView` of this router.
    :ivar first_events_: the :class:`~sassafrashook.estimation.FirstEventModel` of this router.

    See also :class:`~sassafrashook.placement.RetryBudget`.
    """

    _parameter_constraints = {
        "load_factor": Interval(float, 1.0, 10.0),
        "load_slack": Interval(float, 0.0, 100.0),
    }

    def __init__(self, warmup, rate_limiter, rng, zone="", load_factor=1.6, load_slack=2.0):
        self.warmup = warmup
        self.rate_limiter = rate_limiter
        self.rng = rng
        self.zone = zone
        self.load_factor = load_factor
        self.load_slack = load_slack
        self.upstreams_ = {}
        self.drained_zones_ = frozenset()
        self.loads_received_at_ = float("-inf")
        self.paths_ = PathMonitor(rng)
        self.ejections_ = EjectionView(rng)
        self.first_events_ = FirstEventModel()
        self._states_by_service = {}
        self._prompt_cache = PromptCacheIndex()
        self._unannounced_holders = []
        self._unannounced_limits = {}
        self._return_at = {}
        self._leaving = {}
        self.validate_parameters()

    def set_registrations(self, registrations, cold_until, now, leaving=()):
        """Replace the list of upstreams that may get requests.

        The state of an upstream is kept unless its boot has changed.

        :param registrations: iterable of :class:`~sassafrashook.registry.Registration`.
        :param cold_until: end of the warm-up by upstream name, in monotonic seconds.
        :param now: monotonic seconds.
        :param leaving: pairs of the registration of an upstream that gets no new requests but still
            runs, and the monotonic time until which it certainly runs.
        :returns: keys of the boots that are no longer in the list.
        """
        previous = self.upstreams_
        self.upstreams_ = {}
        for registration in registrations:
            name = registration.upstream_id
            state = previous.get(name)
            if state is None or state.registration.boot_ms != registration.boot_ms:
                is_recalled = registration.state == RegistrationState.RECALLED
                discovered_at = float("-inf") if is_recalled else now
                state = UpstreamState(registration, cold_until[name], discovered_at)
            elif registration.sequence > state.registration.sequence:
                state.record_heartbeat(now)
            state.registration = registration
            state.cold_until = cold_until[name]
            self.upstreams_[name] = state
        self.paths_.set_upstreams(self.upstreams_.values())
        self._states_by_service = {}
        for state in self.upstreams_.values():
            self._states_by_service.setdefault(state.registration.service, []).append(state)
        leaving_states = [
            (UpstreamState(registration, now, now), until) for registration, until in leaving
        ]
        self._leaving = {state.key: (state, until) for state, until in leaving_states}
        current_keys = {state.key for state in self.upstreams_.values()}
        return [state.key for state in previous.values() if state.key not in current_keys]

    def record_heartbeat(self, key, heard_at):
        """Record when a controller received a heartbeat; see :class:`UpstreamState`.

        :param key: key of the upstream's boot.
        :param heard_at: monotonic seconds.
        """
        state = self.upstreams_.get(key[0])
        if state is not None and state.key == key:
            state.record_heartbeat(heard_at)

    def list_doubted(self):
        """Return the names of the upstreams whose next heartbeat this router needs to know."""
        return [name for name, state in self.upstreams_.items() if state.needs_heartbeat()]

    def set_drained_zones(self, zones):
        """Replace the set of drained availability zones."""
        self.drained_zones_ = frozenset(zones)

    def set_remote_loads(self, loads, now):
        """Replace the loads that other routers cause.

        :param loads: number of running requests of other routers, by upstream name.
        :param now: monotonic seconds.
        """
        elapsed_s, self.loads_received_at_ = now - self.loads_received_at_, now
        for name, state in self.upstreams_.items():
            state.decay_failure_rate(elapsed_s)
            state.remote_running_ = loads.get(name, 0)

    def presume_zone_cold(self, zone, until):
        """Presume that a zone's upstreams are cold, since they may have cooled while drained.

        :param zone: name of the availability zone.
        :param until: end of the presumed warm-up, in monotonic seconds.
        """
        for state in self.upstreams_.values():
            if state.registration.availability_zone == zone:
                state.presumed_cold_until_ = until

    def choose(self, query, now):
        """Choose an upstream for one request.

        If the chosen upstream limits its request rate, or is cold or on probation and the service
        limits the rate of cold upstreams, this consumes a token of that limit.

        :param query: a :class:`PlacementQuery`.
        :param now: monotonic seconds.
        :returns: ``Success`` of an :class:`UpstreamState`, or ``Failure`` of a
            :class:`PlacementRefusal`.
        """
        service_states = self._states_by_service.get(query.service.name, ())
        if query.version_choice is not None:
            service_states = query.version_choice.select(service_states, now)
        all_candidates = self._list_candidates(query, now)
        candidates = [state for state in all_candidates if now >= state.wait_until_]
        if not all_candidates:
            return Failure(self._make_refusal(RefusalReason.NO_UPSTREAM, NO_UPSTREAM_RETRY_MS))
        if not candidates:
            return Failure(self._make_wait_refusal(all_candidates, now))
        active = [state for state in candidates if self._is_active(state, query, now)]
        trials, preferred, last_resort = self.ejections_.split(active, query.allows_trial, now)
        healthy = self._prefer_healthy(preferred)
        suspended = len(candidates) - len(active)
        within_bound, over_bound = self._order_candidates(query, healthy, service_states, now)
        ordered = within_bound + over_bound
        keeps_load_bound = query.keeps_load_bound and suspended > 0
        for state in self._order_all(query, trials, service_states, now):
            if self._try_admit(state, query.service, now):
                self.ejections_.record_trial(state, self.count_routers(), now)
                return Success(state)
        for state in within_bound if keeps_load_bound else ordered:
            if self._try_admit(state, query.service, now):
                return Success(state)
        if not keeps_load_bound:
            for state in self._order_all(query, last_resort, service_states, now):
                if self._try_admit(state, query.service, now):
                    return Success(state)
        if ordered and all(state.get_rate_limit(now) is not None for state in ordered):
            refusal = self._make_limit_refusal(query.service, ordered, len(candidates), now)
            return Failure(replace(refusal, suspended=suspended))
        reason = RefusalReason.NO_CAPACITY if active else RefusalReason.NO_UPSTREAM
        refusal = self._make_refusal(reason, BUSY_RETRY_MS, len(candidates))
        limited = sum(state.get_rate_limit(now) is not None for state in ordered)
        left_out = len(over_bound) if keeps_load_bound else 0
        return Failure(
            replace(
                refusal,
                suspended=suspended,
                limited=limited,
                full=len(healthy) - len(ordered),
                held_back=max(0, len(ordered) - limited - left_out),
                over_bound=left_out,
            )
        )

    def count_routers(self):
        """Return the number of known routers, at least 1."""
        return max(1, len(self.rate_limiter.routers_))

    def _order_all(self, query, states, service_states, now):
        """Return ejected upstreams with free capacity, in the order in which to try them."""
        if not states:
            return []
        within_bound, over_bound = self._order_candidates(query, states, service_states, now)
        return within_bound + over_bound

    def choose_spare(self, query, now):
        """Choose an upstream with room for an extra attempt, while the service has enough of it.

        :param query: a :class:`PlacementQuery` without a prompt.
        :param now: monotonic seconds.
        :returns: the :class:`UpstreamState` with the lowest load, or ``None``.
        """
        use_remote = now < self.loads_received_at_ + REMOTE_LOADS_TTL_S
        states = self._states_by_service.get(query.service.name, ())
        loads = {state.key: state.estimate_load(use_remote, now) for state in states}
        slots = sum(self._count_slots(state, query) for state in states)
        if sum(loads.values()) > MAX_SPARE_UTILIZATION * slots:
            return None
        active = [s for s in self._list_candidates(query, now) if self._is_active(s, query, now)]
        ejected = self.ejections_.list_current(now)
        spare = [
            state
            for state in active
            if now >= state.wait_until_
            and loads[state.key] < self._count_slots(state, query)
            and not state.is_failing()
            and not state.is_cold(now)
            and not state.is_on_probation(now)
            and state.get_rate_limit(now) is None
            and state.key not in ejected
        ]
        return min(spare, key=lambda s: self._make_load_sort_key(s, loads[s.key]), default=None)

    def _list_candidates(self, query, now):
        """Return the upstreams that may get a request, including suspended ones."""
        candidates = [
            state
            for state in self._states_by_service.get(query.service.name, ())
            if state.registration.availability_zone not in self.drained_zones_
            and state.key not in query.excluded_keys
            and query.software_version in (None, state.registration.version)
            and not state.is_address_reused_
            and not state.is_leaving_
            and not state.is_expired(now)
        ]
        choice = query.version_choice
        return candidates if choice is None else choice.select(candidates, now)

    def has_active_candidate(self, query, now):
        """Return whether an upstream that is not suspended may get a request.

        :param query: a :class:`PlacementQuery`.
        :param now: monotonic seconds.
        """
        return any(
            self._is_active(state, query, now) and now >= state.wait_until_
            for state in self._list_candidates(query, now)
        )

    def _is_active(self, state, query, now):
        """Return whether a candidate is neither suspended nor of an uncertain software version."""
        is_certain = query.software_version is None or state.has_certain_version()
        path = state.path
        is_usable = path.is_usable or (query.uses_doubtful_paths and not path.is_failed_)
        return is_certain and is_usable

    def record_connect_failure(self, upstream, began_at, now, is_silent):
        """Record that a request's connection to an upstream could not be opened.

        :param upstream: an :class:`UpstreamState`.
        :param began_at: when the attempt began, in monotonic seconds.
        :param now: monotonic seconds.
        :param is_silent: whether there was no reply at all, rather than a refusal.
        :returns: number of paths that have become doubtful because of this.
        """
        upstream.may_have_restarted_ = True
        return self.paths_.record_failure(upstream, began_at, now, is_silent)

    def record_probe(self, upstream, succeeded, began_at, now, is_silent=True):
        """Record the result of a probe of an upstream.

        A successful probe does not end the probation, because the upstream may have restarted with
        a cold cache. The parameters are those of :meth:`PathMonitor.record_probe`.

        :returns: number of paths that have become doubtful because of this.
        """
        upstream.may_have_restarted_ = upstream.may_have_restarted_ or not succeeded
        return self.paths_.record_probe(upstream, succeeded, began_at, now, is_silent)

    def _make_wait_refusal(self, waiting, now):
        """Return the refusal of a request while all upstreams that could take it want a wait.

        The client may return soon after the first of these waits has ended.
        """
        ends_at = min(state.wait_until_ for state in waiting)
        remaining_ms = min((ends_at - now) * MS_PER_S, MAX_LIMITED_RETRY_MS)
        retry_after_ms = round(remaining_ms + self.rng.uniform(*BUSY_RETRY_MS))
        return PlacementRefusal(RefusalReason.UPSTREAM_WAIT, retry_after_ms, len(waiting))

    def _make_limit_refusal(self, service, limited, candidates, now):
        """Return the refusal of a request for which all rate limits are used up.

        The retry delays of refused requests follow each other at the rate at which this router's
        part of the limits admits requests, so that the clients do not return together.
        """
        total_rate = sum(state.get_rate_limit(now) for state in limited)
        rate = total_rate / max(1, len(self.rate_limiter.routers_))
        latest_at = now + MAX_LIMITED_RETRY_MS / MS_PER_S
        return_at = latest_at
        if rate > 0:
            return_at = min(max(self._return_at.get(service.name, now), now) + 1 / rate, latest_at)
        self._return_at[service.name] = return_at
        retry_after_ms = round((return_at - now) * MS_PER_S)
        return PlacementRefusal(
            RefusalReason.UPSTREAM_LIMIT, retry_after_ms, candidates, 0, len(limited)
        )

    def record_rate_limit(self, upstream, rate, now):
        """Record the rate limit that a response to this router stated.

        :param upstream: an :class:`UpstreamState`.
        :param rate: requests per second, ``None`` if the response stated no limit.
        :param now: monotonic seconds.
        :returns: whether the limit has changed.
        """
        has_changed = upstream.record_rate_limit(rate, now)
        if has_changed or rate is not None:
            self._unannounced_limits[upstream.key] = StatedRateLimit(upstream.key, rate, now)
        return has_changed

    def take_new_rate_limits(self):
        """Return and clear the rate limits that are due to be announced to other routers.

        :returns: list of :class:`StatedRateLimit`.
        """
        limits, self._unannounced_limits = list(self._unannounced_limits.values()), {}
        return limits

    def record_remote_rate_limits(self, limits):
        """Record the rate limits that other routers announced.

        :param limits: iterable of :class:`StatedRateLimit`.
        :returns: those that changed a limit.
        """
        changed = []
        for limit in limits:
            state = self.upstreams_.get(limit.key[0])
            is_current = state is not None and state.key == limit.key
            if is_current and state.record_rate_limit(limit.rate, limit.heard_at):
                changed.append(limit)
        return changed

    def find_prompt_source(self, query, chosen, now):
        """Return the upstream from which to try to copy the session's prompt part.

        If no known holder is available, for example after a restart of the router, this is the
        first other upstream in the session's order that :meth:`UpstreamState.is_established`. It
        may not hold the part: asking an upstream that does not hold the part costs nothing.

        :param query: a :class:`PlacementQuery`.
        :param chosen: the :class:`UpstreamState` that was chosen for the request.
        :param now: monotonic seconds.
        :returns: an :class:`UpstreamState`, or ``None`` if the chosen one holds the part, the
            request has no prompt, or there is no source.
        """
        if query.session_part_hash is None:
            return None
        holder_keys = self._prompt_cache.find_holders(query.session_part_hash, now)
        if chosen.key in holder_keys:
            return None
        service_states = self._states_by_service.get(query.service.name, ())
        sources = {s.key: s for s in service_states if s is not chosen and s.path.is_usable}
        for key in holder_keys:
            source = sources.get(key) or self._find_leaving(key, now)
            if source is not None:
                return source
        established = [s for s in sources.values() if s.is_established(now)]
        return min(
            established,
            key=lambda s: self._compute_session_rank(query.session_part_hash, s),
            default=None,
        )

    def _find_leaving(self, key, now):
        state, until = self._leaving.get(key, (None, now))
        return state if now < until else None

    def record_placement(self, query, upstream, now):
        """Record that a request is sent to an upstream.

        The upstream is then assumed to cache the part that the request's session shares.

        :param query: a :class:`PlacementQuery`.
        :param upstream: an :class:`UpstreamState`.
        :param now: monotonic seconds.
        """
        if query.session_part_hash is not None and self._prompt_cache.record_use(
            query.session_part_hash, upstream.key, now
        ):
            self._unannounced_holders.append(
                (query.session_part_hash, upstream.registration.upstream_id)
            )

    def take_new_cached_parts(self):
        """Return and clear the holders that are due to be announced to other routers.

        :returns: list of pairs of part hash and upstream name.
        """
        holders, self._unannounced_holders = self._unannounced_holders, []
        return holders

    def record_remote_cached_parts(self, holders, now):
        """Record the holders that other routers announced.

        :param holders: pairs of part hash and upstream name, as returned by
            :meth:`take_new_cached_parts`.
        :param now: monotonic seconds.
        """
        for part_hash, name in holders:
            state = self.upstreams_.get(name)
            if state is not None:
                self._prompt_cache.record_use(part_hash, state.key, now)

    def _compute_session_rank(self, session_part_hash, state):
        """Return the rendezvous hash of a session and an upstream; the lowest is preferred."""
        return mix_hashes(session_part_hash, state.name_hash)

    def _prefer_healthy(self, states):
        """Leave out failing upstreams, unless they are more than half of all."""
        healthy = [state for state in states if not state.is_failing()]
        return healthy if len(healthy) * 2 >= len(states) else states

    def _order_candidates(self, query, candidates, service_states, now):
        """Return the candidates with free capacity, within and over the load bound.

        Both are in the order in which to try them. Requests with a prompt try those within the
        bound in the session's order and the others by load. The mean load covers all upstreams of
        the service, including those that currently get no requests. For requests without a prompt,
        which go to the least loaded upstream, the bound is its number of slots.
        """
        use_remote = now < self.loads_received_at_ + REMOTE_LOADS_TTL_S
        loads = {state.key: state.estimate_load(use_remote, now) for state in service_states}
        available = [s for s in candidates if loads[s.key] < self._compute_capacity(s, query)]
        if query.session_part_hash is None:
            available.sort(key=lambda s: self._make_load_sort_key(s, loads[s.key]))
            available = self._prefer_earliest(available, None, loads, query, now)
            return _split(available, lambda s: loads[s.key] < self._count_slots(s, query))
        mean = sum(loads.values()) / len(service_states)
        bound = self.load_factor * mean + self.load_slack
        available.sort(key=lambda s: self._compute_session_rank(query.session_part_hash, s))
        holder_keys = self._prefer_holder(query.session_part_hash, available, now)
        within_bound, over_bound = _split(available, lambda s: loads[s.key] + 1 <= bound)
        within_bound = self._prefer_earliest(within_bound, holder_keys, loads, query, now)
        return within_bound, sorted(over_bound, key=lambda s: loads[s.key])

    def _prefer_holder(self, session_part_hash, ordered, now):
        """Swap the first two upstreams if only the second holds the session's part.

        A session that was moved once thus stays at its second upstream. A router that doesn't know
        the holder still finds the part among the first two upstreams of the order: it chooses one
        and copies from the other.

        :returns: keys of the known holders.
        """
        holder_keys = self._prompt_cache.find_holders(session_part_hash, now)
        if len(ordered) > 1 and ordered[0].key not in holder_keys and ordered[1].key in holder_keys:
            ordered[0], ordered[1] = ordered[1], ordered[0]
        return holder_keys

    def _prefer_earliest(self, ordered, holder_keys, loads, query, now):
        return self.first_events_.prefer_earliest(
            ordered, holder_keys, loads, lambda state: self._count_slots(state, query), now
        )

    def record_remote_slowdowns(self, slowdowns):
        """Record the figures that other routers heard of how long work takes at upstreams.

        :param slowdowns: iterable of the boot's key, the figure, and when a router heard it, in
            monotonic seconds.
        """
        for key, slowdown, heard_at in slowdowns:
            state = self.upstreams_.get(key[0])
            if state is not None and state.key == key:
                state.slowdown_ = slowdown if state.slowdown_ is None else state.slowdown_
                state.speed_.record_stated(slowdown, heard_at, is_own=False)

    def _make_load_sort_key(self, state, load):
        is_remote_zone = state.registration.availability_zone != self.zone
        return (load / max(1, state.registration.slots), is_remote_zone, self.rng.random())

    def _count_slots(self, state, query):
        return state.registration.slots or query.service.slots or math.inf

    def _compute_capacity(self, state, query):
        slots = self._count_slots(state, query)
        return slots if query.session_part_hash is not None else slots * PROMPTLESS_CAPACITY_FACTOR

    def _try_admit(self, state, service, now):
        """Apply the rate limits of an upstream that states one, is cold or is on probation.

        :returns: whether the upstream may get a request now.
        """
        is_on_probation = state.is_on_probation(now)
        if is_on_probation and now < state.last_chosen_at_ + 1 / PROBATION_RATE_PER_S:
            return False
        rate_limit = state.get_rate_limit(now)
        if rate_limit is not None and not self.rate_limiter.try_acquire(
            state.registration.upstream_id, rate_limit, now
        ):
            return False
        is_limited = service.cold_rate_per_s > 0 and (is_on_probation or state.is_cold(now))
        name, cold_rate = state.registration.upstream_id, service.cold_rate_per_s
        if is_limited and not self.warmup.try_acquire(name, cold_rate, now):
            return False
        state.last_chosen_at_ = now
        return True

    def _make_refusal(self, reason, retry_bounds_ms, candidates=0):
        retry_after_ms = round(self.rng.uniform(*retry_bounds_ms))
        return PlacementRefusal(reason, retry_after_ms, candidates)

    def list_local_loads(self):
        """Return the number of running requests of this router by upstream name, without zeros."""
        return {name: s.running_ for name, s in self.upstreams_.items() if s.running_}


def _split(states, is_first):
    """Split a list by a condition; :returns: the items that meet it, and the others, in order."""
    first, second = [], []
    for state in states:
        (first if is_first(state) else second).append(state)
    return first, second
