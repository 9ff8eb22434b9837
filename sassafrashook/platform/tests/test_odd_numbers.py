"""Numbers from outside that are malformed or out of any range that makes sense."""

import json
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from sassafrashook.gateway._events import EventOrderError, EventSplitter
from sassafrashook.gateway._peers import MAX_UPSTREAMS, take_max_upstreams
from sassafrashook.http1 import Headers, RequestHead, ResponseHead
from sassafrashook.http1._upstream import _parse_idle_timeout_s
from sassafrashook.platform import _header_codec as codec
from sassafrashook.platform._configuration import MAX_NUMBER, decode_configuration
from sassafrashook.platform.tests.documents import make_config
from sassafrashook.platform.tests.scripted_upstreams import encode_response

ODD_NUMBERS = (
    "²", "٣", "9" * 5_000, "9" * 400, "1" + "0" * 20, str(2**64), "-1", "1e400", "nan", "inf",
    "1_0", "0x10", "", " ", "+", "½", "\x00", "1" * 20 + ".5",
)  # fmt: skip
NUMBERS = st.one_of(st.sampled_from(ODD_NUMBERS), st.text(max_size=30), st.integers().map(str))


def encode(text):
    return text.encode("latin-1", "replace")


def decode_response(name, text, status=200):
    headers = Headers([(name, encode(text))])
    return codec.PlatformHeaderCodec().decode_response_head(ResponseHead(status, headers))


@given(st.lists(NUMBERS, min_size=1, max_size=5), st.integers(0, 4))
def test_any_load_field_is_decoded_within_its_ranges(numbers, position):
    """Guards against a load that ends the task that reads it, or the process that reports it."""
    valid = ["3", "1", "8", "100"]
    valid[position : position + 1] = numbers
    metadata = decode_response(codec.INSTANCE_LOAD, ",".join(valid))
    if metadata.load is None:
        assert metadata.is_load_invalid and metadata.slowdown is None
    else:
        assert all(0 <= number <= codec.MAX_LOAD for number in metadata.load)
        slowdown = metadata.slowdown
        assert slowdown is None or 0 < slowdown <= codec.MAX_SLOWDOWN_PERCENT / codec.PERCENT


@given(NUMBERS)
def test_any_signal_is_decoded_within_its_range(text):
    """Guards against a limit or a wait that no arithmetic can be done with."""
    for name, status, maximum in (
        (codec.SERVER_LIMIT, 200, codec.MAX_RATE_PER_S),
        (codec.RETRY_AFTER, 503, codec.MAX_WAIT_S),
    ):
        metadata = decode_response(name, text, status)
        number = metadata.rate_limit if status == 200 else metadata.wait_s
        assert math.isnan(number) or 0 <= number <= maximum


@given(NUMBERS)
def test_any_request_header_is_decoded_within_its_range(text):
    """Guards against a request that ends its connection with an unexpected error."""
    fields = [(codec.DEADLINE_MS, encode(text)), (codec.PREFIX_HASH, encode(f"a:{text},b:7"))]
    metadata = codec.PlatformHeaderCodec().decode_request_headers(Headers(fields))
    assert metadata.deadline_ms is None or 0 <= metadata.deadline_ms <= codec.MAX_DEADLINE_MS
    assert all(0 <= part.tokens <= codec.MAX_PART_TOKENS for part in metadata.parts)


@given(NUMBERS)
def test_any_idle_timeout_and_number_of_upstreams_is_decoded(text):
    """Guards against the same in what connections and other routers state."""
    assert 0 <= _parse_idle_timeout_s(f"timeout={text}") < math.inf
    headers = Headers([(b"sassafrashook-max-upstreams", encode(text))])
    _, number = take_max_upstreams(RequestHead(b"GET", b"/", headers, "/", "a"))
    assert 1 <= number <= MAX_UPSTREAMS


@given(NUMBERS, NUMBERS)
def test_any_event_id_is_compared(after, event_id):
    """Guards against an event id that ends the stream with an unexpected error."""
    splitter = EventSplitter()
    splitter.resume(after)
    data = b"id: %s\ndata: a\n\n" % encode(event_id.replace("\n", "").replace("\r", ""))
    try:
        splitter.feed(data)
    except EventOrderError:
        return
    assert splitter.has_events_


@pytest.mark.parametrize("number", [10**20, 2**64, 2**63, 2 * MAX_NUMBER, -(10**20)])
@pytest.mark.parametrize(
    "place", [("version",), ("route_table", 0, "priority"), ("route_table", 0, "timeout_ms")]
)
def test_configuration_with_a_number_that_is_not_exact_is_invalid(place, number):
    """Guards against a document that is answered 500, or acknowledged and not obeyed."""
    config = make_config()
    *path, last = place
    target = config
    for step in path:
        target = target[step]
    target[last] = number
    assert isinstance(decode_configuration(json.dumps(config).encode()), Failure)
    target[last] = 7
    assert isinstance(decode_configuration(json.dumps(config).encode()), Success)


@pytest.mark.parametrize("number", ["²", "9" * 5_000, "9" * 400, "1" + "0" * 20])
@pytest.mark.parametrize(
    "field",
    ["X-Sassafrashook-Instance-Load: 1,0,8,{}", "Keep-Alive: timeout={}", "Server-Limit: {}"],
)  # fmt: skip
def test_response_with_an_odd_number_is_relayed(start_harness, field, number):
    """Guards against a client whose connection is closed because of a number that it never sees."""

    def respond(_upstream, sock, head, _body):
        response = encode_response(head, extra=(field.format(number),))
        sock.sendall(response.decode("utf-8").encode("latin-1"))
        return True

    harness = start_harness(respond)
    assert {harness.send_request("/orders/7")[0] for _ in range(2)} == {200}


@pytest.mark.parametrize("number", ["²", "9" * 5_000, "9" * 400, "1" + "0" * 20])
@pytest.mark.parametrize(
    "field", ["X-Sassafrashook-Deadline-Ms: {}", "X-Sassafrashook-Prefix-Hash: a:{},b:7"]
)
def test_request_with_an_odd_number_is_answered(start_harness, field, number):
    """Guards against the same for a number that the client itself has sent."""
    harness = start_harness(lambda _u, sock, head, _b: sock.sendall(encode_response(head)) or True)
    sock = harness.connect()
    lines = [
        "POST /plans/7 HTTP/1.1", "Host: shop.example", "X-Sassafrashook-Attempt-Id: a1",
        "X-Sassafrashook-Credential: key-1", "Content-Length: 0", field.format(number),
    ]  # fmt: skip
    sock.sendall("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n")
    assert sock.recv(100).startswith(b"HTTP/1.1 200")
