"""Which upstream gets a request."""

import math
from dataclasses import dataclass

from returns.result import Failure, Success

from sassafrashook.base import Parametrized
from sassafrashook.outcomes import RefusalReason
from sassafrashook.placement._holders import PromptHolders
from sassafrashook.placement._upstreams import UpstreamState
from sassafrashook.registry import RegistrationState
from sassafrashook.utils import Interval, mix_hashes

DISTRUSTED_PER_S = 1.0  # requests a second of one router that a possibly restarted upstream gets
LOADS_VALID_S = 1.0  # of the loads that other routers told; five rounds of reports
BUSY_RETRY_MS = (150, 500)  # a few answers of short calls; spread, so that not all return at once
ABSENT_RETRY_MS = (300, 900)  # a heartbeat or a trial connection may bring one back
PLAIN_QUEUE_FACTOR = 3.0  # short calls may wait at an upstream for two rounds of its slots


@dataclass(slots=True, frozen=True)
class PlacementQuery:
    """One request that looks for an upstream.

    :param service: a :class:`~sassafrashook.routes.Service`.
    :param session: 64-bit number of the part of its prompt that its session shares; it decides
        where the request goes. ``None`` if it has no prompt.
    :param excluded: keys of the upstreams that it must not go to.
    """

    service: object
    session: int | None = None
    excluded: frozenset = frozenset()


@dataclass(slots=True, frozen=True)
class PlacementRefusal:
    """No upstream can take a request now.

    :param reason: a :class:`~sassafrashook.outcomes.RefusalReason`.
    :param retry_after_ms: when to come back.
    :param candidates: how many upstreams its service has that it might go to.
    :param suspended: how many of them are suspended.
    """

    reason: RefusalReason
    retry_after_ms: int
    candidates: int = 0
    suspended: int = 0


class Placement(Parametrized):
    """Places requests from one router's view; routers that see the same choose alike.

    Requests of one session go to the first upstream of the session's own order whose load is
    within a bound relative to the mean; calls without a prompt go where the load is least.

    :param warmup: a :class:`~sassafrashook.placement.WarmupShares`.
    :param rng: ``random.Random``.
    :param zone: availability zone of the router, preferred among equals.
    :param load_factor: bound on an upstream's load, relative to the mean of its service ...
    :param load_slack: ... plus this many requests.

    :ivar upstreams_: :class:`UpstreamState` by upstream name.

    See also :class:`~sassafrashook.placement.RetryBudget`.
    """

    _parameter_constraints = {
        "load_factor": Interval(float, 1.0, 10.0),
        "load_slack": Interval(float, 0.0, 100.0),
    }

    def __init__(self, warmup, rng, zone="", load_factor=1.6, load_slack=2.0):
        self.warmup = warmup
        self.rng = rng
        self.zone = zone
        self.load_factor = load_factor
        self.load_slack = load_slack
        self.upstreams_ = {}
        self.drained_zones_ = frozenset()
        self.loads_at_ = float("-inf")
        self._by_service = {}
        self._holders = PromptHolders()
        self._placed = []
        self._leaving = {}
        self.validate_parameters()

    def set_registrations(self, entries, cold_until, now, leaving=()):
        """Take the list of upstreams that may get requests.

        :param entries: iterable of :class:`~sassafrashook.registry.Registration`.
        :param cold_until: end of each one's warm-up by name, monotonic seconds.
        :param now: monotonic seconds.
        :param leaving: pairs of the registration of an upstream that gets nothing more but still
            runs, and the time until which it surely does.
        :returns: keys of the boots that are gone.
        """
        old = self.upstreams_
        self.upstreams_ = {}
        for entry in entries:
            name = entry.upstream_id
            state = old.get(name)
            if state is None or state.entry.boot_ms != entry.boot_ms:
                is_recalled = entry.state == RegistrationState.RECALLED
                known_since = float("-inf") if is_recalled else now
                state = UpstreamState(entry, cold_until[name], known_since)
            elif entry.sequence > state.entry.sequence:
                state.distrusted_ = False
                state.is_replaced_ = False
            state.entry = entry
            state.cold_until = cold_until[name]
            self.upstreams_[name] = state
        self._by_service = {}
        for state in self.upstreams_.values():
            self._by_service.setdefault(state.entry.service, []).append(state)
        left = [(UpstreamState(entry, now, now), until) for entry, until in leaving]
        self._leaving = {state.key: (state, until) for state, until in left}
        kept = {state.key for state in self.upstreams_.values()}
        return [state.key for state in old.values() if state.key not in kept]

    def set_drained_zones(self, zones):
        """Take the availability zones whose upstreams get nothing."""
        self.drained_zones_ = frozenset(zones)

    def set_other_loads(self, loads, now):
        """Take how many requests of other routers run at each upstream, by name."""
        self.loads_at_ = now
        for name, state in self.upstreams_.items():
            state.others_ = loads.get(name, 0)

    def make_cold(self, zone, until):
        """Treat a zone's upstreams as cold, for they may have turned cold while it was out."""
        for state in self.upstreams_.values():
            if state.entry.availability_zone == zone:
                state.presumed_cold_until_ = until

    def choose(self, query, now):
        """Choose an upstream for one request.

        :param query: a :class:`PlacementQuery`.
        :param now: monotonic seconds.
        :returns: ``Success`` of an :class:`UpstreamState`, or ``Failure`` of a
            :class:`PlacementRefusal`. A share of a cold upstream is spent by this.
        """
        states = self._by_service.get(query.service.name, ())
        candidates = [
            state
            for state in states
            if state.entry.availability_zone not in self.drained_zones_
            and state.key not in query.excluded
            and not state.is_replaced_
            and not state.is_expired(now)
        ]
        if not candidates:
            return Failure(self._refuse(RefusalReason.NO_UPSTREAM, ABSENT_RETRY_MS))
        sound = [state for state in candidates if not state.is_suspended(now)]
        ordered = self._order(query, self._prefer_healthy(sound), states, now)
        for state in ordered:
            if self._take_turn(state, query.service, now):
                return Success(state)
        reason = RefusalReason.NO_CAPACITY if sound else RefusalReason.NO_UPSTREAM
        suspended = len(candidates) - len(sound)
        return Failure(self._refuse(reason, BUSY_RETRY_MS, len(candidates), suspended))

    def find_source(self, query, chosen, now):
        """Return the upstream that a session's part of the prompt can be copied from.

        Where no holder is known, as after a restart, it is the first other one in the session's
        order; a copy of nothing costs nothing.

        :param chosen: the :class:`UpstreamState` that gets the request.
        :returns: an :class:`UpstreamState`, or ``None`` if the chosen one holds the part.
        """
        if query.session is None:
            return None
        held = self._holders.find(query.session, now)
        if chosen.key in held:
            return None
        states = self._by_service.get(query.service.name, ())
        sources = {s.key: s for s in states if s is not chosen and not s.is_suspended(now)}
        for key in held:
            source = sources.get(key) or self._find_leaving(key, now)
            if source is not None:
                return source
        settled = [s for s in sources.values() if s.is_settled(now)]
        return min(settled, key=lambda s: self._rank_session(query.session, s), default=None)

    def _find_leaving(self, key, now):
        state, until = self._leaving.get(key, (None, now))
        return state if now < until else None

    def note_begun(self, query, upstream, now):
        """Note that an upstream has begun to run a request."""
        if query.session is not None and self._holders.note(query.session, upstream.key, now):
            self._placed.append((query.session, upstream.entry.upstream_id))

    def take_placed(self):
        """Return the parts that upstreams have begun to hold since the last call.

        :returns: list of pairs of part and name of the upstream.
        """
        placed, self._placed = self._placed, []
        return placed

    def note_placed(self, placed, now):
        """Take the parts that other routers placed, pairs as in :meth:`take_placed`."""
        for part, name in placed:
            state = self.upstreams_.get(name)
            if state is not None:
                self._holders.note(part, state.key, now)

    def _rank_session(self, session, state):
        return mix_hashes(session, state.rank)

    def _prefer_healthy(self, states):
        healthy = [state for state in states if not state.is_failing()]
        return healthy if len(healthy) * 2 >= len(states) else states

    def _order(self, query, states, everyone, now):
        """Return the upstreams to try, those within the bound first.

        The mean is that of all upstreams of the service, also those that get nothing now.
        """
        are_shared = now < self.loads_at_ + LOADS_VALID_S
        loads = {state.key: state.load(are_shared, now) for state in everyone}
        room = [s for s in states if loads[s.key] < self._capacity(s, query)]
        if query.session is None:
            return sorted(room, key=lambda s: self._rank_plain(s, loads[s.key]))
        mean = sum(loads.values()) / len(everyone)
        bound = self.load_factor * mean + self.load_slack
        room.sort(key=lambda s: self._rank_session(query.session, s))
        self._prefer_holder(query.session, room, now)
        within = [s for s in room if loads[s.key] + 1 <= bound]
        beyond = sorted((s for s in room if loads[s.key] + 1 > bound), key=lambda s: loads[s.key])
        return within + beyond

    def _prefer_holder(self, session, ordered, now):
        """Put the second upstream of a session first if it alone of the two holds its part.

        A session that had to move once stays where it is, and is found in the first two places by
        routers that know nothing of it.
        """
        held = self._holders.find(session, now)
        if len(ordered) > 1 and ordered[0].key not in held and ordered[1].key in held:
            ordered[0], ordered[1] = ordered[1], ordered[0]

    def _rank_plain(self, state, load):
        is_far = state.entry.availability_zone != self.zone
        return (load / max(1, state.entry.slots), is_far, self.rng.random())

    def _capacity(self, state, query):
        slots = state.entry.slots or query.service.slots or math.inf
        return slots if query.session is not None else slots * PLAIN_QUEUE_FACTOR

    def _take_turn(self, state, service, now):
        """Return whether an upstream may get a request now, and count it if it is cold."""
        if state.distrusted_ and now < state.tried_at_ + 1 / DISTRUSTED_PER_S:
            return False
        is_limited = service.cold_per_s > 0 and (state.distrusted_ or state.is_cold(now))
        name, rate = state.entry.upstream_id, service.cold_per_s
        if is_limited and not self.warmup.take(name, rate, now):
            return False
        state.tried_at_ = now
        return True

    def _refuse(self, reason, bounds_ms, candidates=0, suspended=0):
        retry_after_ms = round(self.rng.uniform(*bounds_ms))
        return PlacementRefusal(reason, retry_after_ms, candidates, suspended)

    def list_trials(self, now):
        """Return the upstreams that a trial connection should be opened to."""
        states = self.upstreams_.values()
        return [state for state in states if state.needs_trial_ or state.is_suspended(now)]

    def list_loads(self):
        """Return how many of this router's requests run at each upstream, by name."""
        return {name: s.running_ for name, s in self.upstreams_.items() if s.running_}
