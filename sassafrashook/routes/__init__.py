"""Configuration of routes, services and client accounts, and its lookup table."""

from sassafrashook.routes._configuration import (
    Account,
    ClientLimits,
    Repeatability,
    Route,
    RouteConfiguration,
    Service,
    WeightedService,
    find_configuration_error,
)
from sassafrashook.routes._history import RouteHistory
from sassafrashook.routes._table import RouteTable

__all__ = [
    "Account",
    "ClientLimits",
    "Repeatability",
    "Route",
    "RouteConfiguration",
    "RouteHistory",
    "RouteTable",
    "Service",
    "WeightedService",
    "find_configuration_error",
]
