"""Tests of streams that break off and of engines that answer their continuation with an error."""

import pytest

from sassafrashook.platform.tests.scripted_upstreams import (
    encode_response,
    find_header,
    make_event,
    make_stream_script,
)

EVENTS = 6
CUT_AFTER = 3


def encode_signed(head, status, content_type, body):
    return encode_response(head, body, status, (f"Content-Type: {content_type}",))


ERRORS = {
    "error": lambda head: encode_signed(head, "500 Error", "text/plain", b"failure\n\n"),
    "missing": lambda head: encode_signed(head, "404 Not Found", "text/plain", b"failure\n\n"),
    "misdirected": lambda head: encode_signed(head, "421 M", "text/plain", b"failure\n\n"),
    "empty": lambda head: encode_signed(head, "200 OK", "text/event-stream", b""),
    "no_content": lambda head: encode_signed(head, "204 No Content", "text/event-stream", b""),
    "no_content_without_length": lambda head: encode_signed(
        head, "204 No Content", "text/event-stream", b""
    ).replace(b"Content-Length: 0\r\n", b""),
    "json": lambda head: encode_signed(
        head, "200 OK", "application/json", b'{"error":\n\n"failure"}\n\n'
    ),
    "text": lambda head: encode_signed(head, "200 OK", "text/plain", b"failure\n\n"),
    "text_as_events": lambda head: encode_signed(
        head, "200 OK", "text/event-stream", b"failure\n\n"
    ),
    "head_as_event": lambda head: encode_signed(
        head, "200 OK", "text/event-stream", encode_signed(head, "500 E", "a/b", b"failure\n\n")
    ),
    "earlier_events": lambda head: encode_signed(
        head, "200 OK", "text/event-stream", b"".join(map(make_event, range(1, EVENTS + 1)))
    ),
}  # fmt: skip


@pytest.mark.parametrize("name", sorted(ERRORS))
@pytest.mark.parametrize("closes", [True, False])
def test_error_in_the_midst_of_a_stream_is_not_sent_to_the_client(start_harness, name, closes):
    def run(upstream, sock, head, body):
        if find_header(head, "Last-Event-Id") is None:
            return make_stream_script(last=EVENTS, cut=CUT_AFTER)(upstream, sock, head, body)
        sock.sendall(ERRORS[name](head))
        return not closes

    harness = start_harness(run, run, run)
    _status, _head, body, rest = harness.send_request("/summaries/7")
    assert body.startswith(b"".join(make_event(number) for number in range(1, CUT_AFTER + 1)))
    assert b"failure" not in body
    assert b"HTTP/1.1" not in body
    is_complete = rest is not None
    events = b"".join(make_event(number) for number in range(1, EVENTS + 1))
    assert not is_complete or body == events


def test_resumed_stream_goes_on_at_engine_that_answers_after_one_that_answers_with_an_error(
    start_harness,
):
    answers = iter(["error"])

    def run(upstream, sock, head, body):
        if find_header(head, "Last-Event-Id") is None:
            return make_stream_script(last=EVENTS, cut=CUT_AFTER)(upstream, sock, head, body)
        name = next(answers, None)
        if name is not None:
            sock.sendall(ERRORS[name](head))
            return True
        return make_stream_script(last=EVENTS)(upstream, sock, head, body)

    harness = start_harness(run, run, run)
    _status, _head, body, rest = harness.send_request("/summaries/7")
    assert rest is None or body == b"".join(make_event(n) for n in range(1, EVENTS + 1))
