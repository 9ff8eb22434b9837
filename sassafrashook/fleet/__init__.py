"""The state that all nodes share: kept by the controllers, followed by everybody else."""

from sassafrashook.fleet._controller import FleetController, OrderOutcome
from sassafrashook.fleet._follower import FleetFollower, FleetView
from sassafrashook.fleet._memory import FleetMemory
from sassafrashook.fleet._messages import FLEET_MESSAGES, OtherLoads
from sassafrashook.fleet._publisher import Publisher
from sassafrashook.fleet._state import AgreedState

__all__ = [
    "FLEET_MESSAGES",
    "FleetController",
    "FleetFollower",
    "FleetMemory",
    "AgreedState",
    "FleetView",
    "OrderOutcome",
    "OtherLoads",
    "Publisher",
]
