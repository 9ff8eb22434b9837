"""Tests of event streams: line ends, comments, and where a resumed stream goes on."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sassafrashook.gateway import EventSplitter
from sassafrashook.gateway._events import EventOrderError

LINE_ENDS = (b"\n", b"\r\n", b"\r")


def encode_event(number, line_end):
    return b"id: %d" % number + line_end + b"data: %d" % number + 2 * line_end


def feed(splitter, data, cuts):
    """Feed bytes in parts; :returns: what the splitter returned for each part."""
    bounds = [0, *sorted({min(cut, len(data)) for cut in cuts}), len(data)]
    return [splitter.feed(data[a:b]) for a, b in zip(bounds, bounds[1:], strict=False)]


@given(
    st.lists(st.sampled_from(LINE_ENDS), min_size=1, max_size=6),
    st.lists(st.integers(0, 120), max_size=12),
)
def test_events_are_whole_and_unchanged_whatever_ends_their_lines(line_ends, cuts):
    """Guards against a stream with CR LF that is held back and broken off at its end."""
    data, whole = b"", {0}
    for number, line_end in enumerate(line_ends, 1):
        data += encode_event(number, line_end)
        # An event may be returned before the line feed of its last line end.
        whole |= {len(data), len(data) - (line_end == b"\r\n")}
    splitter = EventSplitter()
    parts = feed(splitter, data, cuts)
    assert b"".join(parts) == data
    assert all(sum(map(len, parts[:count])) in whole for count in range(len(parts)))
    assert splitter.take_incomplete() == b""
    assert splitter.last_event_id_ == str(len(line_ends))


@pytest.mark.parametrize("line_end", LINE_ENDS)
def test_event_is_returned_with_its_last_byte(line_end):
    """Guards against an event that waits for the next one."""
    splitter = EventSplitter()
    event = encode_event(1, line_end)
    # A carriage return may be the whole line end, so that the event may be complete before it.
    end = len(event) - (1 if line_end == b"\r\n" else 0)
    assert splitter.feed(event[: end - 1]) == b""
    assert splitter.feed(event[end - 1 : end]) == event[:end]
    assert splitter.feed(event[end:]) == event[end:]
    assert splitter.feed(encode_event(2, line_end)) == encode_event(2, line_end)


@pytest.mark.parametrize("line_end", LINE_ENDS)
@pytest.mark.parametrize("lines", [[b": ready"], [b"retry: 100"], [b": a", b": b"]])
def test_comment_before_the_first_event_of_a_resumed_stream_is_passed_on(lines, line_end):
    """Guards against a resumed stream that is broken off because it begins with a comment."""
    comment = line_end.join(lines) + 2 * line_end
    for data in (comment + encode_event(3, line_end), comment):
        splitter = EventSplitter()
        splitter.resume("2")
        assert splitter.feed(data) == data
        assert splitter.has_events_ == (data != comment)
    assert splitter.feed(encode_event(3, line_end)) == encode_event(3, line_end)
    assert splitter.has_events_


@pytest.mark.parametrize("line_end", LINE_ENDS)
@pytest.mark.parametrize("first", [1, 2])
def test_event_behind_a_comment_must_go_on(first, line_end):
    """Guards against a repeated event that a comment hides."""
    splitter = EventSplitter()
    splitter.resume("2")
    splitter.feed(b": ready" + 2 * line_end)
    with pytest.raises(EventOrderError):
        splitter.feed(encode_event(first, line_end))


def test_event_without_an_id_does_not_go_on():
    splitter = EventSplitter()
    splitter.resume("2")
    with pytest.raises(EventOrderError):
        splitter.feed(b": ready\n\ndata: 3\n\n")
