"""Routing decisions without I/O: which upstream runs each request, and when.

A router sends a request to an upstream only under a permit. One controller, the *owner* of the
current term, runs a :class:`PermitLedger` that counts running requests and grants permits. Each
router runs a :class:`PermitClient`, which acquires permits from the owner, and a
:class:`RetryBudgets`. Ledger and client take events and the current time and return actions, so
that daemons, tests, benchmarks and embedding programs can all drive them.
"""

from sassafrashook.base import Count, Send
from sassafrashook.routing._actions import Acquired, Quarantine, RecordSuspect, Refused
from sassafrashook.routing._client import PermitClient
from sassafrashook.routing._events import (
    AcquireRequested,
    ControllerDisconnected,
    ControllerMessageReceived,
    FleetStateChanged,
    RecordedSuspectsLoaded,
    RegisteredRoutersLoaded,
    ReleaseRequested,
    RouterIdentity,
    RouterMessageReceived,
    StopRequested,
    Suspect,
    UpstreamAnnounced,
    UpstreamLeft,
    WithdrawRequested,
)
from sassafrashook.routing._invariants import Invariant, InvariantError
from sassafrashook.routing._ledger import PermitLedger
from sassafrashook.routing._placement import PlacementGroup, compute_load_bound
from sassafrashook.routing._retries import RetryBudgets

__all__ = [
    "AcquireRequested",
    "Acquired",
    "ControllerDisconnected",
    "Count",
    "FleetStateChanged",
    "ControllerMessageReceived",
    "RouterMessageReceived",
    "Invariant",
    "InvariantError",
    "RouterIdentity",
    "PermitClient",
    "PermitLedger",
    "PlacementGroup",
    "Quarantine",
    "RecordSuspect",
    "Refused",
    "ReleaseRequested",
    "RetryBudgets",
    "RegisteredRoutersLoaded",
    "Send",
    "StopRequested",
    "Suspect",
    "RecordedSuspectsLoaded",
    "UpstreamLeft",
    "UpstreamAnnounced",
    "WithdrawRequested",
    "compute_load_bound",
]
