"""Tests of the detection of crashed upstreams."""

from sassafrashook.quarantine import CrashDetector

KEY = ("u1", 1)


def list_ids(requests):
    return [request.request_id for request in requests]


def test_refused_connection_confirms_crash_of_recently_interrupted_requests():
    detector = CrashDetector()
    detector.record_interruption(KEY, "early", (1,), 0.0)
    detector.record_interruption(KEY, "late", (1,), 5.0)
    assert list_ids(detector.record_refused_connection(KEY, 5.2)) == ["late"]
    assert detector.record_refused_connection(KEY, 5.3) == []


def test_requests_interrupted_after_refused_connection_belong_to_crash():
    detector = CrashDetector()
    detector.record_interruption(KEY, "a", (1,), 0.0)
    detector.record_refused_connection(KEY, 0.1)
    assert list_ids(detector.record_interruption(KEY, "b", (1,), 0.2)) == ["b"]


def test_broken_connection_alone_is_no_crash():
    detector = CrashDetector()
    assert detector.record_interruption(KEY, "a", (1,), 0.0) == []
    assert detector.record_refused_connection(("u2", 1), 0.1) == []


def test_refused_connection_without_interrupted_request_is_no_crash():
    detector = CrashDetector()
    assert detector.record_refused_connection(KEY, 0.0) == []
    assert detector.record_interruption(KEY, "a", (1,), 0.1) == []
