"""Execution verdicts of requests, reasons of refusals and retries, and response statuses."""

from sassafrashook.outcomes._outcomes import Refusal, RefusalReason, RetryReason, Verdict
from sassafrashook.outcomes._statuses import (
    is_informational_status,
    is_response_status,
    is_true_promise,
)

__all__ = [
    "Refusal",
    "RefusalReason",
    "RetryReason",
    "Verdict",
    "is_informational_status",
    "is_response_status",
    "is_true_promise",
]
