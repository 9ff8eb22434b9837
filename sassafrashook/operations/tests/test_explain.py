"""Tests of log parsing and of the explanation of one request."""

import pytest

from sassafrashook.operations._explain import collect_request_lines, describe_cause, parse_log_line

PLACED = "time=t2 level=info event=request_placed request=a upstream=u1 source=- parts=- runs=0"
FAILED = (
    "time=t3 level=warning event=attempt_failed request=a upstream=u1 kind=broken"
    ' verdict=may_have_run detail="the peer closed" runs=1'
)
ENDED = (
    "time=t4 level=warning event=request_ended request=a upstream=- outcome=refused"
    " detail=502:upstream_broke verdict=may_have_run ms=8"
)


def explain(*texts, request_id="a"):
    lines = [parse_log_line(text, "f") for text in texts]
    return collect_request_lines(request_id, [line for line in lines if line is not None])


def test_collects_lines_of_all_processes_in_time_order_with_context():
    context = "time=t1 level=info event=upstreams_changed gone=- usable=3"
    other = "time=t2 level=info event=request_placed request=b upstream=u2"
    matches = explain(context, ENDED, other, FAILED, PLACED)
    assert [(kind, line.time) for kind, line in matches] == [
        ("belief", "t1"),
        ("request", "t2"),
        ("request", "t3"),
        ("request", "t4"),
    ]


def test_cause_names_last_attempt():
    lines = [line for _, line in explain(PLACED, FAILED, ENDED)]
    cause = describe_cause(lines)
    assert "502:upstream_broke" in cause
    assert "broken at u1, the peer closed" in cause


def test_cause_of_unfinished_request_is_unknown():
    assert describe_cause([line for _, line in explain(PLACED)]).startswith("no log line records")


@pytest.mark.parametrize(
    "text", ["", "Traceback (most recent call last):", 'time=t level=info event=a detail="cut']
)
def test_incomplete_lines_are_ignored(text):
    assert explain(text) == []
