"""Routing decisions, without input or output: which request runs where, and when.

The owner of the running counts drives a :class:`PermitLedger`; each router drives a
:class:`PermitClient` against it and a :class:`RetryBudgets`. Both cores take events and the
current time and return actions; any driver, test or bench can run them.
"""

from sassafrashook.base import Count, Send
from sassafrashook.routing._actions import Acquired, Quarantine, RecordSuspect, Refused
from sassafrashook.routing._client import PermitClient
from sassafrashook.routing._events import (
    AcquireRequested,
    ControllerLost,
    FleetStateChanged,
    FromController,
    FromRouter,
    KnownRouter,
    ReleaseRequested,
    RoutersKnown,
    StopRequested,
    Suspect,
    SuspectsKnown,
    UpstreamLeft,
    UpstreamSeen,
    WithdrawRequested,
)
from sassafrashook.routing._invariants import Invariant, InvariantError
from sassafrashook.routing._ledger import PermitLedger
from sassafrashook.routing._placement import PlacementGroup, round_bound
from sassafrashook.routing._retries import RetryBudgets

__all__ = [
    "AcquireRequested",
    "Acquired",
    "ControllerLost",
    "Count",
    "FleetStateChanged",
    "FromController",
    "FromRouter",
    "Invariant",
    "InvariantError",
    "KnownRouter",
    "PermitClient",
    "PermitLedger",
    "PlacementGroup",
    "Quarantine",
    "RecordSuspect",
    "Refused",
    "ReleaseRequested",
    "RetryBudgets",
    "RoutersKnown",
    "Send",
    "StopRequested",
    "Suspect",
    "SuspectsKnown",
    "UpstreamLeft",
    "UpstreamSeen",
    "WithdrawRequested",
    "round_bound",
]
