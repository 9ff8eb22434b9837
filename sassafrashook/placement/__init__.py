"""Decisions of one router that asks nobody: which upstream, whether again, and how much cold."""

from sassafrashook.placement._budget import RetryBudget
from sassafrashook.placement._placement import (
    BUSY_RETRY_MS,
    Placement,
    PlacementQuery,
    PlacementRefusal,
)
from sassafrashook.placement._upstreams import UpstreamState
from sassafrashook.placement._warmup import WarmupShares

__all__ = [
    "BUSY_RETRY_MS",
    "Placement",
    "PlacementQuery",
    "PlacementRefusal",
    "RetryBudget",
    "UpstreamState",
    "WarmupShares",
]
