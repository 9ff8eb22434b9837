"""Operator configuration: work classes, services, client accounts and load limits."""

from sassafrashook.configuration._configuration import (
    ClientAccount,
    Configuration,
    FleetState,
    Service,
    WorkClass,
    ZoneState,
)

__all__ = ["ClientAccount", "Configuration", "FleetState", "Service", "WorkClass", "ZoneState"]
