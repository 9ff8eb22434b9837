"""Fleet-wide state: maintained by the controllers and replicated to every node.

The route configuration and the drained availability zones are committed to the controllers'
consensus log. Upstream registrations and load reports are exchanged in memory.

The modules are imported on first access, so that a process loads only those of its own role.
"""

from sassafrashook.utils import make_lazy_getattr

__all__ = [
    "DEFAULT_APPLY_S",
    "DEFAULT_LINK_BYTES_PER_S",
    "FLEET_MESSAGES",
    "FleetCache",
    "FleetController",
    "FleetState",
    "FleetStreamVersions",
    "FleetSubscriber",
    "FleetView",
    "HeartbeatRequester",
    "OperatorCommandOutcome",
    "OtherLoads",
    "Publisher",
    "RateLimitStated",
    "RolloutPolled",
    "RolloutReported",
    "SlowdownStated",
]

__getattr__ = make_lazy_getattr(
    __name__,
    {
        "_cache": ("FleetCache",),
        "_controller": ("FleetController", "OperatorCommandOutcome"),
        "_heartbeats": ("HeartbeatRequester",),
        "_messages": (
            "FLEET_MESSAGES",
            "OtherLoads",
            "RateLimitStated",
            "RolloutPolled",
            "RolloutReported",
            "SlowdownStated",
        ),
        "_freshness": ("DEFAULT_APPLY_S",),
        "_link": ("DEFAULT_LINK_BYTES_PER_S",),
        "_publisher": ("Publisher",),
        "_state": ("FleetState",),
        "_streams": ("FleetStreamVersions",),
        "_subscriber": ("FleetSubscriber",),
        "_view": ("FleetView",),
    },
)
