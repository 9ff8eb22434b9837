"""Log lines read back, and what they say of one request."""

import pytest

from sassafrashook.operations._explain import explain_request, find_cause, parse_line

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
    lines = [parse_line(text, "f") for text in texts]
    return explain_request(request_id, [line for line in lines if line is not None])


def test_lines_of_several_processes_come_in_order_with_what_was_believed():
    belief = "time=t1 level=info event=upstreams_changed gone=- usable=3"
    other = "time=t2 level=info event=request_placed request=b upstream=u2"
    found = explain(belief, ENDED, other, FAILED, PLACED)
    assert [(kind, line.time) for kind, line in found] == [
        ("belief", "t1"),
        ("request", "t2"),
        ("request", "t3"),
        ("request", "t4"),
    ]


def test_the_cause_names_the_last_attempt():
    lines = [line for _, line in explain(PLACED, FAILED, ENDED)]
    cause = find_cause(lines)
    assert "502:upstream_broke" in cause
    assert "broken at u1, the peer closed" in cause


def test_a_request_without_an_end_is_not_explained_away():
    assert find_cause([line for _, line in explain(PLACED)]).startswith("no line says")


@pytest.mark.parametrize(
    "text", ["", "Traceback (most recent call last):", 'time=t level=info event=a detail="cut']
)
def test_what_is_no_whole_line_is_left_out(text):
    assert explain(text) == []
