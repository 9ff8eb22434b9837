"""Services of a router process that communicate with the controllers."""

from sassafrashook.router._claims import ClaimClient
from sassafrashook.router._configuration import FleetStateHolder
from sassafrashook.router._permits import PermitDriver

__all__ = ["ClaimClient", "FleetStateHolder", "PermitDriver"]
