"""What must hold at every grant, checked apart from the decision that led to it."""

from enum import StrEnum

from sassafrashook.routing._placement import round_bound


class Invariant(StrEnum):
    """Names of the invariants."""

    CAPACITY = "capacity"
    COLD_CAPACITY = "cold_capacity"
    ISOLATION = "isolation"
    LEAVING = "leaving"
    LOAD_BOUND = "load_bound"
    QUARANTINE = "quarantine"
    ZONE = "zone"


class InvariantError(RuntimeError):
    """A grant would have broken an invariant; it was refused instead.

    :param invariant: the :class:`Invariant`.
    """

    def __init__(self, invariant):
        super().__init__(f"a grant would break the invariant {invariant.value}")
        self.invariant = invariant


def check_grant(upstream, group, state, fingerprint):
    """Check one grant before it is counted.

    :param upstream: the chosen :class:`UpstreamState`.
    :param group: the :class:`PlacementGroup` that it was chosen from.
    :param state: the :class:`OwnerState`.
    :param fingerprint: of the request to be placed.
    :raises InvariantError: if it would break an invariant.
    """
    announcement = upstream.announcement
    load = upstream.load
    is_suspect = state.suspects_.is_suspect(fingerprint)
    bound = round_bound(state.load_bound_, group.running_, len(group.points_))
    limit = upstream.warm_up_.limit_
    if announcement.cold:
        limit = min(limit, announcement.cold_capacity)
    broken = {
        Invariant.QUARANTINE: state.suspects_.is_quarantined(fingerprint),
        Invariant.ZONE: announcement.availability_zone in state.fleet_state_.drained_zones,
        Invariant.LEAVING: announcement.leaving or upstream.gone_,
        Invariant.CAPACITY: load >= announcement.capacity,
        Invariant.COLD_CAPACITY: load >= limit,
        Invariant.LOAD_BOUND: load >= bound,
        Invariant.ISOLATION: load > 0 and (is_suspect or upstream.runs_isolated()),
    }
    for invariant, is_broken in broken.items():
        if is_broken:
            raise InvariantError(invariant)
