"""Execution verdicts of requests, and the reasons of refusals and retries."""

from sassafrashook.outcomes._outcomes import Refusal, RefusalReason, RetryReason, Verdict

__all__ = ["Refusal", "RefusalReason", "RetryReason", "Verdict"]
