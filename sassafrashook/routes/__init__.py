"""Routes, services and client accounts of the configuration, and how a request finds them."""

from sassafrashook.routes._configuration import (
    Account,
    ClientLimits,
    Repeatability,
    Route,
    RouteConfiguration,
    Service,
    WeightedService,
    find_contradiction,
)
from sassafrashook.routes._table import RouteTable

__all__ = [
    "Account",
    "ClientLimits",
    "RouteConfiguration",
    "Repeatability",
    "Route",
    "RouteTable",
    "Service",
    "WeightedService",
    "find_contradiction",
]
