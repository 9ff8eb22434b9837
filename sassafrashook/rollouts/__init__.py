"""Rollouts: moves a service's traffic to another software version by a deadline, or back.

The modules are imported on first access, so that a process loads only those of its own role.
"""

from sassafrashook.utils import make_lazy_getattr

__all__ = [
    "AdvanceRollout",
    "AttemptCounter",
    "AttemptTotals",
    "FinishRollout",
    "Rollout",
    "RolloutBounds",
    "RolloutLeader",
    "RolloutOutcome",
    "RolloutState",
    "RolloutStep",
    "RolloutTable",
    "RouterReport",
    "RouterRollouts",
    "StartRollout",
    "judge",
    "sum_totals",
]

__getattr__ = make_lazy_getattr(
    __name__,
    {
        "_bounds": ("RolloutBounds",),
        "_counts": ("AttemptCounter", "AttemptTotals"),
        "_evidence": ("judge", "sum_totals"),
        "_leader": ("RolloutLeader", "RouterReport"),
        "_records": (
            "AdvanceRollout",
            "FinishRollout",
            "Rollout",
            "RolloutOutcome",
            "RolloutState",
            "RolloutStep",
            "RolloutTable",
            "StartRollout",
        ),
        "_routing": ("RouterRollouts",),
    },
)
