"""Local decisions of one router: upstream selection, retry budgets and warm-up rate limits.

None of these decisions needs a round trip to another node.
"""

from sassafrashook.placement._budget import RetryBudget
from sassafrashook.placement._placement import (
    BUSY_RETRY_MS,
    Placement,
    PlacementQuery,
    PlacementRefusal,
    StatedRateLimit,
)
from sassafrashook.placement._rate_limits import SharedRateLimiter
from sassafrashook.placement._upstreams import UpstreamState

__all__ = [
    "BUSY_RETRY_MS",
    "Placement",
    "PlacementQuery",
    "PlacementRefusal",
    "RetryBudget",
    "UpstreamState",
    "SharedRateLimiter",
    "StatedRateLimit",
]
