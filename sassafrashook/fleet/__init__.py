"""Fleet-wide state: maintained by the controllers and replicated to every node.

The route configuration and the drained availability zones are committed to the controllers'
consensus log. Upstream registrations and load reports are exchanged in memory.
"""

from sassafrashook.fleet._cache import FleetCache
from sassafrashook.fleet._controller import FleetController, OperatorCommandOutcome
from sassafrashook.fleet._messages import FLEET_MESSAGES, OtherLoads, RateLimitStated
from sassafrashook.fleet._publisher import DEFAULT_LINK_BYTES_PER_S, Publisher
from sassafrashook.fleet._state import FleetState
from sassafrashook.fleet._streams import FleetStreamVersions
from sassafrashook.fleet._subscriber import FleetSubscriber, FleetView

__all__ = [
    "DEFAULT_LINK_BYTES_PER_S",
    "FLEET_MESSAGES",
    "FleetCache",
    "FleetController",
    "FleetState",
    "FleetStreamVersions",
    "FleetSubscriber",
    "FleetView",
    "OperatorCommandOutcome",
    "OtherLoads",
    "Publisher",
    "RateLimitStated",
]
