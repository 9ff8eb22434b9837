"""The operators' configuration: classes of work, services, accounts and bounds."""

from sassafrashook.configuration._configuration import (
    ClientAccount,
    Configuration,
    FleetState,
    Service,
    WorkClass,
    ZoneState,
)

__all__ = ["ClientAccount", "Configuration", "FleetState", "Service", "WorkClass", "ZoneState"]
