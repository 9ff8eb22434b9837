"""Invariants of every grant, checked independently of the placement decision."""

from enum import StrEnum

from sassafrashook.routing._placement import compute_load_bound


class Invariant(StrEnum):
    """Names of the invariants.

    ``COLD_CAPACITY`` covers the whole warm-up limit, which may exceed the cold capacity.
    """

    CAPACITY = "capacity"
    COLD_CAPACITY = "cold_capacity"
    ISOLATION = "isolation"
    LEAVING = "leaving"
    LOAD_BOUND = "load_bound"
    QUARANTINE = "quarantine"
    ZONE = "zone"


class InvariantError(RuntimeError):
    """Raised when a grant would break an invariant; the request is refused instead.

    :param invariant: the :class:`Invariant`.
    """

    def __init__(self, invariant):
        super().__init__(f"a grant would break the invariant {invariant.value}")
        self.invariant = invariant


def check_grant(upstream, group, state, fingerprint):
    """Check all invariants of a grant before it is counted.

    :param upstream: the chosen :class:`UpstreamState`.
    :param group: the :class:`PlacementGroup` that the upstream was chosen from.
    :param state: the :class:`OwnerState`.
    :param fingerprint: fingerprint of the request.
    :raises InvariantError: if the grant would break an invariant.
    """
    announcement = upstream.announcement
    load = upstream.load
    is_suspect = state.suspects_.is_suspect(fingerprint)
    bound = compute_load_bound(state.load_bound_, group.running_, len(group.points_))
    limit = upstream.warm_up_.limit_
    if announcement.cold:
        limit = min(limit, announcement.cold_capacity)
    if state.suspects_.is_quarantined(fingerprint):
        raise InvariantError(Invariant.QUARANTINE)
    if announcement.availability_zone in state.fleet_state_.drained_zones:
        raise InvariantError(Invariant.ZONE)
    if announcement.leaving or upstream.departed_:
        raise InvariantError(Invariant.LEAVING)
    if load >= announcement.capacity:
        raise InvariantError(Invariant.CAPACITY)
    if load >= limit:
        raise InvariantError(Invariant.COLD_CAPACITY)
    if load >= bound:
        raise InvariantError(Invariant.LOAD_BOUND)
    if load > 0 and upstream.runs_isolated():
        raise InvariantError(Invariant.ISOLATION)
    if load > 0 and is_suspect and _needs_isolation(upstream, group, state):
        raise InvariantError(Invariant.ISOLATION)


def _needs_isolation(upstream, group, state):
    return len(group.upstreams_) > 1 or state.suspects_.runs_suspect(upstream)
