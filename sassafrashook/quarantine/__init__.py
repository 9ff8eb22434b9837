"""Detection of crashed upstreams and quarantine of the requests that crash them.

A request is described by its traits: hashes of the prompt parts that it may share with other
requests, from the most widely shared to the most specific, and last the hash of its whole content.
"""

from sassafrashook.quarantine._crashes import CrashDetector, InterruptedRequest
from sassafrashook.quarantine._ledger import CrashLedger, CrashRecord, Quarantine
from sassafrashook.quarantine._traits import compute_traits, format_trait
from sassafrashook.quarantine._trials import compute_trial_delay_s

__all__ = [
    "CrashDetector",
    "CrashLedger",
    "CrashRecord",
    "InterruptedRequest",
    "Quarantine",
    "compute_traits",
    "compute_trial_delay_s",
    "format_trait",
]
