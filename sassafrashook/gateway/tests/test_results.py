"""Which attempts count as evidence for or against an upstream."""

import time
from types import SimpleNamespace

import pytest

from sassafrashook.gateway._attempt import AttemptError, FailureKind, UpstreamResponse
from sassafrashook.gateway._results import ResultRecorder
from sassafrashook.outcomes import Verdict


def make_attempt(is_cold=False, first_data_at=None, is_aborted=False):
    upstream = SimpleNamespace(key=("u", 1), is_cold=lambda _now: is_cold)
    return SimpleNamespace(upstream=upstream, first_data_at_=first_data_at, is_aborted_=is_aborted)


def make_error(kind, status=None):
    response = None
    if status is not None:
        response = UpstreamResponse(SimpleNamespace(status=status), b"")
    return AttemptError(kind, Verdict.RAN, "", response)


def record(attempt, error=None, is_enabled=True):
    recorder = ResultRecorder()
    recorder.is_enabled_ = is_enabled
    recorder.record_attempt(attempt, time.monotonic() - 1.0, error)
    return [(r.succeeded, r.failed, r.timed) for r in recorder.take()]


@pytest.mark.parametrize(
    ("kind", "status", "counts"),
    [
        (FailureKind.UNSUCCESSFUL_STATUS, 500, [(0, 1, 0)]),
        (FailureKind.UNSUCCESSFUL_STATUS, 404, []),
        (FailureKind.BROKEN, None, [(0, 1, 0)]),
        (FailureKind.SILENT, None, [(0, 0, 1)]),
        (FailureKind.REFUSED, None, []),
        (FailureKind.UNREACHABLE, None, []),
        (FailureKind.CLIENT_DISCONNECTED, None, []),
    ],
)
def test_only_failures_of_the_upstream_itself_count(kind, status, counts):
    """Guards against ejecting an upstream because of its clients or of the network."""
    assert record(make_attempt(), make_error(kind, status)) == counts


def test_times_of_a_cold_upstream_do_not_count():
    """Guards against ejecting an upstream because it warms up."""
    now = time.monotonic()
    assert record(make_attempt(first_data_at=now)) == [(1, 0, 1)]
    assert record(make_attempt(first_data_at=now, is_cold=True)) == [(1, 0, 0)]


def test_upstreams_of_earlier_deployments_are_not_counted():
    """Guards against a change for deployments whose upstreams don't state the fourth figure."""
    assert record(make_attempt(), is_enabled=False) == []


def test_attempts_that_this_router_aborted_do_not_count():
    """Guards against blaming an upstream for the router's own decision."""
    assert record(make_attempt(is_aborted=True), make_error(FailureKind.BROKEN)) == []
