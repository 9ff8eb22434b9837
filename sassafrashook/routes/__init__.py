"""Configuration of routes, services and client accounts, and its lookup table."""

from sassafrashook.routes._changes import (
    ConfigurationChanges,
    apply_changes,
    compute_changes,
    list_affected_keys,
    merge_changes,
)
from sassafrashook.routes._configuration import (
    Account,
    ClientLimits,
    Repeatability,
    Route,
    RouteConfiguration,
    Service,
    WeightedService,
    find_configuration_error,
    iterate_configuration_errors,
)
from sassafrashook.routes._history import RouteHistory
from sassafrashook.routes._review import (
    Finding,
    FindingKind,
    compare_configurations,
    review_configuration,
)
from sassafrashook.routes._table import RouteTable, iterate_prefixes

__all__ = [
    "Account",
    "ClientLimits",
    "ConfigurationChanges",
    "Finding",
    "FindingKind",
    "Repeatability",
    "Route",
    "RouteConfiguration",
    "RouteHistory",
    "RouteTable",
    "Service",
    "WeightedService",
    "apply_changes",
    "compare_configurations",
    "compute_changes",
    "find_configuration_error",
    "iterate_configuration_errors",
    "iterate_prefixes",
    "list_affected_keys",
    "merge_changes",
    "review_configuration",
]
