"""What upstreams and clients see of a forwarded request."""

import time

import gevent
import pytest

from sassafrashook.platform.tests.stand_ins import (
    ACCOUNT,
    HOST,
    KEY,
    Harness,
    answer,
    encode_answer,
    encode_request,
    find_header,
    make_event,
    make_state,
    read_message,
    reset,
    stream,
    wait_for,
)
from sassafrashook.utils import hash_key


@pytest.fixture
def start():
    harnesses = []

    def start_harness(*scripts, **options):
        harnesses.append(Harness(*scripts, **options))
        return harnesses[-1]

    yield start_harness
    for harness in harnesses:
        harness.stop()


def break_connection(_upstream, _sock, _head, _body):
    return False


def shed(_upstream, sock, head, _body):
    fields = ("X-Sassafrashook-Not-Executed: 1",)
    sock.sendall(encode_answer(head, b"", "503 Service Unavailable", fields))
    return True


def fail(_upstream, sock, head, _body):
    sock.sendall(encode_answer(head, b"broken", "500 Internal Server Error"))
    return True


def test_an_answer_passes_unchanged(start):
    harness = start(answer)
    status, head, body, _ = harness.ask("/orders/7?x=1", b"flour")
    assert (status, body) == (200, b"u0")
    assert find_header(head, "X-Sassafrashook-Response-Signature") == "s"


def test_upstreams_get_the_account_and_not_the_key(start):
    harness = start(answer)
    harness.ask("/orders/7", b"flour", fields=("X-Sassafrashook-Tenant: other",))
    head, body = harness.upstreams[0].requests[0]
    assert body == b"flour"
    assert head.startswith(b"POST /orders/7 HTTP/1.1")
    assert head.lower().count(b"x-sassafrashook-tenant") == 1
    assert find_header(head, "X-Sassafrashook-Tenant") == ACCOUNT
    assert KEY.encode() not in head
    assert find_header(head, "X-Sassafrashook-Expect-Instance") == "u0"
    assert find_header(head, "Host") == HOST


@pytest.mark.parametrize(
    "field",
    ["X-Sassafrashook-Kv-Retention", "X-Sassafrashook-Pin-Ttl", "X-Sassafrashook-Kv-Replica"]
    + ["Kv-From", "Kv-Fetch", "X-Sassafrashook-Expect-Instance"],
)
def test_clients_cannot_set_what_the_system_sets(start, field):
    harness = start(answer)
    harness.ask("/orders/7", fields=(f"{field}: forged",))
    assert b"forged" not in harness.upstreams[0].requests[0][0]


def test_the_deadline_is_what_is_left(start):
    harness = start(answer)
    harness.ask("/orders/7")
    passed = int(find_header(harness.upstreams[0].requests[0][0], "X-Sassafrashook-Deadline-Ms"))
    assert 2_800 <= passed <= 3_000  # the route's timeout is shorter than the client's deadline


def test_chunked_bodies_arrive_whole(start):
    harness = start(answer)
    body = b"5\r\nflour\r\n6\r\nbutter\r\n0\r\n\r\n"
    harness.ask("/orders/7", body, fields=("Transfer-Encoding: chunked",))
    assert harness.upstreams[0].requests[0][1] == b"flourbutter"


def test_a_request_hidden_in_a_body_does_not_run(start):
    harness = start(answer)
    hidden = encode_request("/orders/8", b"", request_id="hidden")
    sock = harness.connect()
    fields = ("Transfer-Encoding: chunked", "Content-Length: 4")
    sock.sendall(encode_request("/orders/7", b"0\r\n\r\n" + hidden, fields=fields))
    read_message(sock)
    gevent.sleep(0.1)
    assert [b"hidden" in head for head, _ in harness.upstreams[0].requests] == [False]


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/none/1", KEY, 404), ("/orders/1", "wrong", 401)],
)
def test_refusals_of_the_configuration(start, path, key, status):
    harness = start(answer)
    sock = harness.connect()
    sock.sendall(encode_request(path).replace(KEY.encode(), key.encode()))
    head, _, _ = read_message(sock)
    assert int(head.split()[1]) == status
    assert harness.count_requests() == 0


def test_a_body_beyond_the_limit_is_refused(start):
    harness = start(answer, state=make_state(max_body_bytes=10))
    assert harness.ask("/orders/7", b"x" * 11)[0] == 413
    assert harness.count_requests() == 0


def test_no_upstream_is_refused_with_a_time_to_come_back(start):
    harness = start()
    status, head, _, _ = harness.ask("/orders/7")
    assert status == 503
    assert 0 < float(find_header(head, "Retry-After")) < 2


@pytest.mark.parametrize("path", ["/orders/7", "/plans/7"])
def test_what_runs_once_is_not_sent_again_after_a_break(start, path):
    harness = start(break_connection, break_connection)
    assert harness.ask(path)[0] == 502
    assert harness.count_requests() == 1


@pytest.mark.parametrize("path", ["/counts/7", "/summaries/7"])
def test_what_may_repeat_is_sent_again_after_a_break(start, path):
    harness = start(break_connection, break_connection)
    assert harness.ask(path)[0] == 502
    assert harness.count_requests() == 2


def test_what_the_upstream_did_not_run_is_sent_elsewhere(start):
    harness = start(shed, answer)
    for number in range(4):
        assert harness.ask("/orders/7", request_id=f"a{number}")[0] == 200


def test_refused_everywhere_is_a_refusal(start):
    harness = start(shed, shed)
    status, head, _, _ = harness.ask("/orders/7")
    assert status == 503
    assert find_header(head, "X-Sassafrashook-Response-Signature") is None


def test_a_failure_of_an_idempotent_call_is_tried_elsewhere(start):
    harness = start(fail, answer)
    assert {harness.ask("/counts/7", method="GET")[0] for _ in range(4)} == {200}


def test_a_failure_that_stays_is_passed_on(start):
    harness = start(fail, fail)
    status, head, body, _ = harness.ask("/orders/7")
    assert (status, body) == (500, b"broken")
    assert find_header(head, "X-Sassafrashook-Response-Signature") == "s"
    assert harness.count_requests() == 1


def test_unreachable_upstreams_cost_no_attempt(start):
    harness = start(answer, answer)
    harness.upstreams[0].stop()
    assert {harness.ask("/orders/7")[0] for _ in range(4)} == {200}


def test_an_answer_cut_within_its_body_is_no_success(start):
    def cut(_upstream, sock, head, _body):
        sock.sendall(encode_answer(head, b"whole answer")[:-4])
        return False

    harness = start(cut)
    assert harness.ask("/orders/7")[0] == 502


def test_an_answer_without_a_length_ends_with_its_connection(start):
    def unframed(_upstream, sock, head, _body):
        sock.sendall(encode_answer(head, b"whole").replace(b"Content-Length: 5\r\n", b""))
        return False

    harness = start(unframed)
    assert harness.ask("/orders/7")[2] == b"whole"


def test_an_answer_without_a_length_that_is_reset_is_no_success(start):
    def unframed(_upstream, sock, head, _body):
        sock.sendall(encode_answer(head, b"whole").replace(b"Content-Length: 5\r\n", b""))
        gevent.sleep(0.05)
        reset(sock)
        return False

    harness = start(unframed)
    assert harness.ask("/orders/7")[0] == 502


def test_a_success_without_a_signature_is_not_passed_on(start):
    def unsigned(_upstream, sock, head, _body):
        sock.sendall(encode_answer(head).replace(b"X-Sassafrashook-Response-Signature: s\r\n", b""))
        return True

    harness = start(unsigned)
    assert harness.ask("/orders/7")[0] == 502


def test_a_second_answer_reaches_nobody(start):
    def twice(_upstream, sock, head, _body):
        sock.sendall(encode_answer(head, b"mine") + encode_answer(head, b"extra"))
        return True

    harness = start(twice)
    bodies = [harness.ask("/orders/7", request_id=f"a{n}")[2] for n in range(3)]
    assert bodies == [b"mine"] * 3


def test_a_late_second_answer_is_skipped_by_its_id(start):
    def late(upstream, sock, head, _body):
        if len(upstream.requests) == 2:
            sock.sendall(encode_answer(head, b"stale", attempt="a0"))
            gevent.sleep(0.02)
        sock.sendall(encode_answer(head, b"mine"))
        return True

    harness = start(late)
    bodies = [harness.ask("/orders/7", request_id=f"a{n}")[2] for n in range(3)]
    assert bodies == [b"mine"] * 3
    assert harness.upstreams[0].connections == 1


def test_an_early_answer_leaves_no_bytes_on_the_connection(start):
    def early(_upstream, sock, head, _body):
        sock.sendall(encode_answer(head, b"early", "400 Bad Request"))
        return True

    harness = start(early, state=make_state(max_body_bytes=9_000_000))
    status, _, body, _ = harness.ask("/orders/7", b"x" * 3_000_000)
    assert (status, body) == (400, b"early")


def test_a_client_that_leaves_stops_the_upstream(start):
    def slow(_upstream, sock, _head, _body):
        return bool(sock.recv(1))

    harness = start(slow)
    sock = harness.connect()
    sock.sendall(encode_request("/orders/7"))
    assert wait_for(lambda: harness.count_requests() == 1)
    sock.close()
    assert wait_for(lambda: harness.upstreams[0].closed == 1, 0.4)


def test_a_request_past_its_time_is_answered(start):
    def silent(_upstream, sock, _head, _body):
        return bool(sock.recv(1))

    harness = start(silent, state=make_state(timeout_ms=200.0))
    assert harness.ask("/orders/7")[0] == 504


def test_connections_are_kept_on_both_sides(start):
    harness = start(answer)
    sock = harness.connect()
    for number in range(3):
        assert harness.ask("/counts/7", sock=sock, request_id=f"a{number}")[0] == 200
    assert harness.upstreams[0].connections == 1


def test_a_stream_passes_whole(start):
    harness = start(stream(last=4))
    status, _, body, rest = harness.ask("/plans/7")
    assert (status, body, rest) == (200, b"".join(map(make_event, range(1, 5))), b"")


def test_a_cut_stream_that_runs_once_ends_visibly_incomplete(start):
    harness = start(stream(cut=2), stream())
    _, _, body, rest = harness.ask("/plans/7")
    assert body == make_event(1) + make_event(2)
    assert rest is None
    assert harness.count_requests() == 1


def test_a_cut_stream_goes_on_elsewhere(start):
    harness = start(stream(cut=2), stream(cut=2))
    _, _, body, rest = harness.ask("/summaries/7")
    assert body == b"".join(map(make_event, range(1, 5)))
    assert rest is None  # the second upstream was cut too, and the route allows two
    assert harness.count_requests() == 2


def test_a_resumed_stream_is_whole(start):
    cuts = iter([2, None])

    def run(upstream, sock, head, body):
        return stream(last=6, cut=next(cuts))(upstream, sock, head, body)

    harness = start(run, run)
    _, _, body, rest = harness.ask("/summaries/7")
    assert (body, rest) == (b"".join(map(make_event, range(1, 7))), b"")


def test_events_pass_as_they_arrive(start):
    harness = start(stream(last=3, pause_s=0.3))
    sock = harness.connect()
    sock.sendall(encode_request("/plans/7"))
    data = b""
    with gevent.Timeout(0.25):
        while make_event(1) not in data:
            data += sock.recv(65_536)


def test_a_stop_serves_what_has_begun(start):
    harness = start(stream(last=5, pause_s=0.1))
    asked = gevent.spawn(harness.ask, "/plans/7")
    assert wait_for(lambda: harness.count_requests() == 1)
    cut = harness.server.stop(time.monotonic() + 5)
    assert cut == 0
    assert asked.get(timeout=1)[3] == b""


def test_a_stop_announces_the_close(start):
    harness = start(answer)
    sock = harness.connect()
    harness.ask("/counts/7", sock=sock)
    harness.server.is_stopping_ = True
    _, head, _, _ = harness.ask("/counts/7", sock=sock, request_id="a2")
    assert find_header(head, "Connection") == "close"


def test_what_may_repeat_leaves_a_dark_upstream(start):
    def silent(_upstream, sock, _head, _body):
        return bool(sock.recv(1))

    harness = start(silent, answer)
    dark = harness.placement.upstreams_["u0"]
    harness.placement.upstreams_["u1"].suspended_until_ = float("inf")
    asked = gevent.spawn(harness.ask, "/counts/7", method="GET")
    assert wait_for(lambda: harness.upstreams[0].requests)
    harness.placement.upstreams_["u1"].suspended_until_ = 0.0
    for now in (1.0, 2.0):
        dark.note_trial(False, now)
    assert dark.is_dark(2.0)
    assert harness.gateway.interrupt(dark) == 1
    assert asked.get(timeout=1)[0] == 200


def test_what_runs_once_stays_at_a_dark_upstream(start):
    def slow(upstream, sock, head, body):
        gevent.sleep(0.3)
        return answer(upstream, sock, head, body)

    harness = start(slow)
    asked = gevent.spawn(harness.ask, "/orders/7")
    assert wait_for(lambda: harness.upstreams[0].requests)
    assert harness.gateway.interrupt(harness.placement.upstreams_["u0"]) == 0
    assert asked.get(timeout=1)[0] == 200


def hang_once():
    """Return a script that answers nothing to the first request of all that share it."""
    seen = []

    def run(upstream, sock, head, body):
        seen.append(upstream.name)
        if len(seen) == 1:
            return bool(sock.recv(1))
        return answer(upstream, sock, head, body)

    return run


def test_what_may_repeat_leaves_a_silent_upstream_in_time(start):
    script = hang_once()
    harness = start(script, script)
    with gevent.Timeout(0.4):
        assert harness.ask("/counts/7", method="GET")[0] == 200


def test_what_runs_once_waits_for_a_silent_upstream(start):
    script = hang_once()
    harness = start(script, script, state=make_state(timeout_ms=500.0))
    assert harness.ask("/orders/7")[0] == 504
    assert harness.count_requests() == 1


def test_without_a_retry_left_a_silent_upstream_is_waited_for(start):
    def slow(upstream, sock, head, body):
        gevent.sleep(0.4)
        return answer(upstream, sock, head, body)

    harness = start(slow, slow, state=make_state(max_upstreams=1))
    assert harness.ask("/counts/7", method="GET")[0] == 200
    assert harness.count_requests() == 1


def test_a_stream_that_stalls_goes_on_elsewhere(start):
    pauses = iter([5.0, 0.0])

    def run(upstream, sock, head, body):
        return stream(last=4, pause_s=next(pauses))(upstream, sock, head, body)

    harness = start(run, run)
    with gevent.Timeout(1.5):
        _, _, body, rest = harness.ask("/summaries/7")
    assert (body, rest) == (b"".join(map(make_event, range(1, 5))), b"")


def test_another_boot_at_the_address_is_asked_once(start):
    def misdirect(_upstream, sock, head, _body):
        sock.sendall(encode_answer(head, b"", "421 Misdirected Request"))
        return True

    harness = start(misdirect, answer)
    for number in range(6):
        assert harness.ask("/orders/7", request_id=f"a{number}")[0] == 200
    assert len(harness.upstreams[0].requests) <= 1
    harness.register()
    assert harness.placement.upstreams_["u0"].is_replaced_ == bool(harness.upstreams[0].requests)


def test_a_request_waits_for_the_first_configuration(start):
    harness = start(answer)
    view = harness.gateway.view
    table, view.table_ = view.table_, None

    def configure():
        view.table_ = table
        view.configured_.set()

    gevent.spawn_later(0.2, configure)
    assert harness.ask("/orders/7")[0] == 200


def test_without_a_configuration_a_request_is_refused_in_a_quarter_of_its_time(start):
    harness = start(answer)
    harness.gateway.view.table_ = None
    started = time.monotonic()
    status, head, _, _ = harness.ask("/orders/7")
    assert status == 503
    assert time.monotonic() - started < 4.0 / 4
    assert 0 < float(find_header(head, "Retry-After")) <= 4.0 / 3
    assert harness.count_requests() == 0


@pytest.mark.parametrize(
    ("parts", "session"), [("a:10,b:20,c:5", "b"), ("a:10,b:20", "a"), ("a:10", "a")]
)
def test_a_session_is_the_last_part_that_other_requests_share(start, parts, session):
    harness = start(stream())
    harness.ask("/plans/7", fields=(f"X-Sassafrashook-Prefix-Hash: {parts}",))
    assert harness.placement.take_placed() == [(hash_key(session), "u0")]
