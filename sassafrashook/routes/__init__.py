"""Routes, services and client accounts of the configuration, and how a request finds them."""

from sassafrashook.routes._desired import (
    Account,
    ClientLimits,
    DesiredState,
    Repeatability,
    Route,
    Service,
    WeightedService,
    find_contradiction,
)
from sassafrashook.routes._table import RouteTable

__all__ = [
    "Account",
    "ClientLimits",
    "DesiredState",
    "Repeatability",
    "Route",
    "RouteTable",
    "Service",
    "WeightedService",
    "find_contradiction",
]
