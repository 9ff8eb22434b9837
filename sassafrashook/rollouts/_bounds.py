"""Bounds of rollouts, from the settings of a deployment."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class RolloutBounds:
    """What a version that turns out bad may get.

    :param share: part of all requests of the service between the order and the deadline.
    :param tolerance: number of requests in addition.
    :param rollback_timeout_ms: longest time from its 50th bad answer to its last request.
    """

    share: float
    tolerance: float
    rollback_timeout_ms: float
