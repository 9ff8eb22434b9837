"""Tests of request forwarding by a gateway in front of scripted upstreams on loopback."""

import math
import time

import gevent
import msgspec
import pytest

from sassafrashook.gateway import _server
from sassafrashook.gateway._stopping import GracefulStop
from sassafrashook.http1.tests.upstreams import close_with_reset
from sassafrashook.platform.tests.crashing_upstreams import (
    POISON_PART,
    crash_on_poison_part,
    make_prompt_field,
)
from sassafrashook.platform.tests.scripted_upstreams import (
    ACCOUNT,
    HOST,
    KEY,
    Harness,
    encode_request,
    encode_response,
    find_header,
    list_event_versions,
    make_event,
    make_route_configuration,
    make_stream_script,
    make_unframed_stream_script,
    make_versioned_stream_script,
    read_http_message,
    respond_with_name,
    wait_for,
)
from sassafrashook.routes import ClientLimits, RouteTable, Service, WeightedService
from sassafrashook.utils import hash_key


@pytest.fixture
def start_harness():
    """Return a function that starts a harness; all harnesses are stopped after the test."""
    harnesses = []

    def make_harness(*scripts, **options):
        harnesses.append(Harness(*scripts, **options))
        return harnesses[-1]

    yield make_harness
    for harness in harnesses:
        harness.stop()


def close_connection(_upstream, _sock, _head, _body):
    """Script that closes the connection without a response."""
    return False


def refuse_request(_upstream, sock, head, _body):
    """Script that states that the request has not run."""
    fields = ("X-Sassafrashook-Not-Executed: 1",)
    sock.sendall(encode_response(head, b"", "503 Service Unavailable", fields))
    return True


def respond_with_500(_upstream, sock, head, _body):
    """Script that responds with an error status after running the request."""
    sock.sendall(encode_response(head, b"broken", "500 Internal Server Error"))
    return True


def make_script_sequence(*scripts):
    """Return a script for several upstreams that responds to each request by the next script."""
    remaining = iter(scripts)

    def run(upstream, sock, head, body):
        return next(remaining)(upstream, sock, head, body)

    return run


def test_response_is_relayed_unchanged(start_harness):
    harness = start_harness(respond_with_name)
    status, head, body, _ = harness.send_request("/orders/7?x=1", b"flour")
    assert (status, body) == (200, b"u0")
    assert find_header(head, "X-Sassafrashook-Response-Signature") == "s"


def test_upstream_receives_account_name_without_key(start_harness):
    harness = start_harness(respond_with_name)
    harness.send_request("/orders/7", b"flour", fields=("X-Sassafrashook-Tenant: other",))
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
def test_reserved_headers_of_clients_are_removed(start_harness, field):
    harness = start_harness(respond_with_name)
    harness.send_request("/orders/7", fields=(f"{field}: forged",))
    assert b"forged" not in harness.upstreams[0].requests[0][0]


def test_upstream_receives_remaining_time_as_deadline(start_harness):
    harness = start_harness(respond_with_name)
    harness.send_request("/orders/7")
    passed = int(find_header(harness.upstreams[0].requests[0][0], "X-Sassafrashook-Deadline-Ms"))
    assert 2_800 <= passed <= 3_000  # route timeout 3,000 ms, client deadline 4,000 ms


def test_chunked_request_body_is_forwarded_whole(start_harness):
    harness = start_harness(respond_with_name)
    body = b"5\r\nflour\r\n6\r\nbutter\r\n0\r\n\r\n"
    harness.send_request("/orders/7", body, fields=("Transfer-Encoding: chunked",))
    assert harness.upstreams[0].requests[0][1] == b"flourbutter"


def test_smuggled_request_is_not_forwarded(start_harness):
    """With both framing headers, bytes after the chunked body must not run as a second request."""
    harness = start_harness(respond_with_name)
    hidden = encode_request("/orders/8", b"", request_id="hidden")
    sock = harness.connect()
    fields = ("Transfer-Encoding: chunked", "Content-Length: 4")
    sock.sendall(encode_request("/orders/7", b"0\r\n\r\n" + hidden, fields=fields))
    read_http_message(sock)
    gevent.sleep(0.1)
    assert [b"hidden" in head for head, _ in harness.upstreams[0].requests] == [False]


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/none/1", KEY, 404), ("/orders/1", "wrong", 401)],
)
def test_unknown_route_or_key_is_rejected(start_harness, path, key, status):
    harness = start_harness(respond_with_name)
    sock = harness.connect()
    sock.sendall(encode_request(path).replace(KEY.encode(), key.encode()))
    head, _, _ = read_http_message(sock)
    assert int(head.split()[1]) == status
    assert harness.count_requests() == 0


@pytest.mark.parametrize(("path", "key"), [("/none/1", KEY), ("/orders/1", "wrong")])
@pytest.mark.parametrize(
    "view_state", [{"newest_version_": 2}, {"confirmed_at_": float("-inf")}], ids=["newer", "old"]
)
def test_unknown_route_or_key_is_not_final_while_the_configuration_may_be_outdated(
    start_harness, path, key, view_state
):
    harness = start_harness(respond_with_name)
    for name, value in view_state.items():
        setattr(harness.gateway.view.age_, name, value)
    sock = harness.connect()
    sock.sendall(encode_request(path).replace(KEY.encode(), key.encode()))
    head, _, _ = read_http_message(sock)
    assert int(head.split()[1]) == 503
    assert float(find_header(head, "Retry-After")) > 0
    assert harness.send_request("/orders/1")[0] == 200


@pytest.mark.parametrize("host", ["Shop.Example", "shop.example.", "SHOP.example.:80"])
def test_host_of_a_request_matches_whatever_its_case_trailing_dot_and_port(start_harness, host):
    """Guards against a 404 for a host that is the same by RFC 9110 and RFC 3986."""
    harness = start_harness(respond_with_name)
    sock = harness.connect()
    request = encode_request("/counts/1").replace(b"Host: shop.example", b"Host: " + host.encode())
    sock.sendall(request)
    assert read_http_message(sock)[1] == b"u0"


def test_too_large_body_is_rejected(start_harness):
    harness = start_harness(
        respond_with_name, configuration=make_route_configuration(max_body_bytes=10)
    )
    assert harness.send_request("/orders/7", b"x" * 11)[0] == 413
    assert harness.count_requests() == 0


@pytest.mark.parametrize("served_before", [0, 2])
@pytest.mark.parametrize(("size", "expected"), [(20_000, 200), (400_000, 431)])
def test_limits_of_a_new_configuration_hold_on_open_connections(
    start_harness, served_before, size, expected
):
    """Guards against connections that keep the limits of the moment in which they were opened."""
    harness = start_harness(respond_with_name)
    sock = harness.connect()
    for _ in range(served_before):
        assert harness.send_request("/counts/7", sock=sock)[0] == 200
    gevent.sleep(0.05)
    configuration = make_route_configuration(version=2, max_body_bytes=200_000)
    configuration = msgspec.structs.replace(
        configuration, limits=ClientLimits(65_536, 200_000, 1_000, 2_000)
    )
    harness.gateway.view.table_ = RouteTable(configuration)
    fields = (f"X-Long: {'x' * size}",)
    body = bytes(150_000) if expected == 200 else b""
    assert harness.send_request("/counts/7", body, fields=fields, sock=sock)[0] == expected


def test_without_upstreams_response_is_503_with_retry_after(start_harness):
    harness = start_harness()
    status, head, _, _ = harness.send_request("/orders/7")
    assert status == 503
    assert 0 < float(find_header(head, "Retry-After")) < 2


@pytest.mark.parametrize("path", ["/orders/7", "/plans/7"])
def test_at_most_once_request_is_not_retried_after_broken_connection(start_harness, path):
    harness = start_harness(close_connection, close_connection)
    assert harness.send_request(path)[0] == 502
    assert harness.count_requests() == 1


@pytest.mark.parametrize("path", ["/counts/7", "/summaries/7"])
def test_idempotent_request_is_retried_after_broken_connection(start_harness, path):
    harness = start_harness(close_connection, close_connection)
    assert harness.send_request(path)[0] == 502
    assert harness.count_requests() == 2


def test_refused_request_is_retried_at_another_upstream(start_harness):
    harness = start_harness(refuse_request, respond_with_name)
    for number in range(4):
        assert harness.send_request("/orders/7", request_id=f"a{number}")[0] == 200


def test_request_refused_by_all_upstreams_is_rejected_with_503(start_harness):
    harness = start_harness(refuse_request, refuse_request)
    status, head, _, _ = harness.send_request("/orders/7")
    assert status == 503
    assert find_header(head, "X-Sassafrashook-Response-Signature") is None


def test_idempotent_request_is_retried_after_error_status(start_harness):
    harness = start_harness(respond_with_500, respond_with_name)
    assert {harness.send_request("/counts/7", method="GET")[0] for _ in range(4)} == {200}


def test_error_response_to_at_most_once_request_is_relayed(start_harness):
    harness = start_harness(respond_with_500, respond_with_500)
    status, head, body, _ = harness.send_request("/orders/7")
    assert (status, body) == (500, b"broken")
    assert find_header(head, "X-Sassafrashook-Response-Signature") == "s"
    assert harness.count_requests() == 1


def test_at_most_once_request_is_retried_after_failed_connect(start_harness):
    harness = start_harness(respond_with_name, respond_with_name)
    harness.upstreams[0].stop()
    assert {harness.send_request("/orders/7")[0] for _ in range(4)} == {200}


def test_truncated_response_is_not_relayed(start_harness):
    def truncate(_upstream, sock, head, _body):
        sock.sendall(encode_response(head, b"whole answer")[:-4])
        return False

    harness = start_harness(truncate)
    assert harness.send_request("/orders/7")[0] == 502


def test_response_without_length_ends_when_connection_closes(start_harness):
    def respond_without_length(_upstream, sock, head, _body):
        sock.sendall(encode_response(head, b"whole").replace(b"Content-Length: 5\r\n", b""))
        return False

    harness = start_harness(respond_without_length)
    assert harness.send_request("/orders/7")[2] == b"whole"


def test_response_without_length_is_not_relayed_after_reset(start_harness):
    def respond_without_length(_upstream, sock, head, _body):
        sock.sendall(encode_response(head, b"whole").replace(b"Content-Length: 5\r\n", b""))
        gevent.sleep(0.05)
        close_with_reset(sock)
        return False

    harness = start_harness(respond_without_length)
    assert harness.send_request("/orders/7")[0] == 502


@pytest.mark.parametrize("events", [make_event(1) + b"id: 2\nda", b""])
def test_unframed_stream_that_ends_within_event_is_not_relayed_as_complete(start_harness, events):
    harness = start_harness(make_unframed_stream_script(events))
    status, head, body, rest = harness.send_request("/plans/7")
    assert (status, rest) in ((200, None), (502, b""))
    assert b"id: 2" not in (body or b"")


def test_resumable_stream_that_ends_within_event_resumes_at_another_upstream(start_harness):
    broken = make_unframed_stream_script(make_event(1) + b"id: 2\nda")
    run = make_script_sequence(broken, make_stream_script(last=4))
    harness = start_harness(run, run)
    _, _, body, rest = harness.send_request("/summaries/7")
    assert (body, rest) == (b"".join(map(make_event, range(1, 5))), b"")


def test_unframed_stream_that_ends_after_event_is_relayed_whole(start_harness):
    harness = start_harness(make_unframed_stream_script(make_event(1)))
    assert harness.send_request("/plans/7")[2:] == (make_event(1), b"")


def test_unframed_stream_is_not_relayed_as_complete_if_its_upstream_crashed_after_event(
    start_harness,
):
    harness = start_harness(make_unframed_stream_script(make_event(1), stops_listening=True))
    assert harness.send_request("/plans/7")[2:] == (make_event(1), None)


def test_unframed_resumable_stream_goes_on_elsewhere_if_its_upstream_crashed_after_event(
    start_harness,
):
    broken = make_unframed_stream_script(make_event(1), stops_listening=True)
    run = make_script_sequence(broken, make_stream_script(last=4))
    harness = start_harness(run, run)
    _, _, body, rest = harness.send_request("/summaries/7")
    assert (body, rest) == (b"".join(map(make_event, range(1, 5))), b"")


@pytest.mark.parametrize("path", ["/orders/7", "/counts/7"])
def test_unframed_response_is_not_relayed_as_complete_if_its_upstream_crashed(start_harness, path):
    harness = start_harness(make_unframed_stream_script(b"who", stops_listening=True))
    assert harness.send_request(path)[0] == 502


@pytest.mark.parametrize("is_crash", [False, True])
def test_request_ended_by_close_is_complete_unless_connection_is_refused(
    start_harness, monkeypatch, is_crash
):
    harness = start_harness(make_unframed_stream_script(make_event(1), stops_listening=is_crash))
    completed = []
    monkeypatch.setattr(
        harness.gateway.view.crashes, "record_completion", lambda *args: completed.append(args)
    )
    harness.send_request("/plans/7")
    assert len(completed) == (0 if is_crash else 1)
    assert harness.gateway.crash_observed_.is_set() == is_crash


def test_connection_that_confirms_unframed_response_carries_next_request(start_harness):
    harness = start_harness(make_unframed_stream_script(make_event(1)))
    for _ in range(5):
        harness.send_request("/plans/7")
    assert wait_for(lambda: harness.upstreams[0].connections >= 6)
    assert harness.upstreams[0].connections == 6


def test_prompt_part_that_crashes_upstreams_after_whole_event_of_unframed_stream_is_quarantined(
    start_harness,
):
    def run(upstream, sock, head, body):
        is_poisoned = POISON_PART.encode() in head
        script = make_unframed_stream_script(make_event(1), stops_listening=is_poisoned)
        return script(upstream, sock, head, body)

    harness = start_harness(*[run] * 9)
    for _ in range(8):
        harness.send_request("/plans/7", fields=(make_prompt_field(POISON_PART),))
        harness.send_request("/plans/7", fields=(make_prompt_field(),))
    poisoned = [
        head for u in harness.upstreams for head, _ in u.requests if POISON_PART.encode() in head
    ]
    assert len(poisoned) <= 5


@pytest.mark.parametrize(("path", "most"), [("/orders/666", 2), ("/counts/666", 3)])
def test_repeated_request_that_crashes_upstreams_is_quarantined(start_harness, path, most):
    def run(upstream, sock, head, body):
        if b"/666 " not in head:
            return respond_with_name(upstream, sock, head, body)
        upstream.stop()
        return False

    harness = start_harness(*[run] * 6)
    for number in range(8):
        harness.send_request(path, request_id=f"poison-{number}")
        for _ in range(6):
            harness.send_request("/orders/1")
    poisoned = [head for u in harness.upstreams for head, _ in u.requests if b"/666 " in head]
    assert len(poisoned) <= most
    assert harness.send_request(path, request_id="last")[0] == 503
    assert harness.send_request("/orders/1")[0] == 200


def test_successful_response_without_signature_is_not_relayed(start_harness):
    def respond_unsigned(_upstream, sock, head, _body):
        sock.sendall(
            encode_response(head).replace(b"X-Sassafrashook-Response-Signature: s\r\n", b"")
        )
        return True

    harness = start_harness(respond_unsigned)
    assert harness.send_request("/orders/7")[0] == 502


def test_surplus_response_is_discarded(start_harness):
    """A second response to one request must not reach the next request on the connection."""

    def respond_twice(_upstream, sock, head, _body):
        sock.sendall(encode_response(head, b"mine") + encode_response(head, b"extra"))
        return True

    harness = start_harness(respond_twice)
    bodies = [harness.send_request("/orders/7", request_id=f"a{n}")[2] for n in range(3)]
    assert bodies == [b"mine"] * 3


def test_late_response_to_earlier_request_is_discarded(start_harness):
    """A response with the id of an earlier request arrives while the next request waits."""

    def respond_late(upstream, sock, head, _body):
        if len(upstream.requests) == 2:
            sock.sendall(encode_response(head, b"stale", attempt="a0"))
            gevent.sleep(0.02)
        sock.sendall(encode_response(head, b"mine"))
        return True

    harness = start_harness(respond_late)
    bodies = [harness.send_request("/orders/7", request_id=f"a{n}")[2] for n in range(3)]
    assert bodies == [b"mine"] * 3
    assert harness.upstreams[0].connections == 1


def test_response_during_upload_is_relayed(start_harness):
    """The upstream responds before the long request has been sent to its end."""

    def respond_early(_upstream, sock, head, _body):
        sock.sendall(encode_response(head, b"early", "400 Bad Request"))
        return True

    harness = start_harness(
        respond_early, configuration=make_route_configuration(max_body_bytes=9_000_000)
    )
    status, _, body, _ = harness.send_request("/orders/7", b"x" * 3_000_000)
    assert (status, body) == (400, b"early")


def test_client_disconnect_cancels_request_at_upstream(start_harness):
    def hang(_upstream, sock, _head, _body):
        return bool(sock.recv(1))

    harness = start_harness(hang)
    sock = harness.connect()
    sock.sendall(encode_request("/orders/7"))
    assert wait_for(lambda: harness.count_requests() == 1)
    sock.close()
    assert wait_for(lambda: harness.upstreams[0].closed == 1, 0.4)


def test_request_is_answered_with_504_at_deadline(start_harness):
    def hang(_upstream, sock, _head, _body):
        return bool(sock.recv(1))

    harness = start_harness(hang, configuration=make_route_configuration(timeout_ms=200.0))
    assert harness.send_request("/orders/7")[0] == 504


def test_client_and_upstream_connections_are_reused(start_harness):
    harness = start_harness(respond_with_name)
    sock = harness.connect()
    for number in range(3):
        assert harness.send_request("/counts/7", sock=sock, request_id=f"a{number}")[0] == 200
    assert harness.upstreams[0].connections == 1


def test_stream_is_relayed_whole(start_harness):
    harness = start_harness(make_stream_script(last=4))
    status, _, body, rest = harness.send_request("/plans/7")
    assert (status, body, rest) == (200, b"".join(map(make_event, range(1, 5))), b"")


def test_broken_at_most_once_stream_ends_incomplete(start_harness):
    harness = start_harness(make_stream_script(cut=2), make_stream_script())
    _, _, body, rest = harness.send_request("/plans/7")
    assert body == make_event(1) + make_event(2)
    assert rest is None
    assert harness.count_requests() == 1


def test_broken_resumable_stream_resumes_at_another_upstream(start_harness):
    harness = start_harness(make_stream_script(cut=2), make_stream_script(cut=2))
    _, _, body, rest = harness.send_request("/summaries/7")
    assert body == b"".join(map(make_event, range(1, 5)))
    assert rest is None  # the second stream breaks too, and the route allows two upstreams
    assert harness.count_requests() == 2


def test_resumed_stream_is_complete(start_harness):
    cuts = iter([2, None])

    def run(upstream, sock, head, body):
        return make_stream_script(last=6, cut=next(cuts))(upstream, sock, head, body)

    harness = start_harness(run, run)
    _, _, body, rest = harness.send_request("/summaries/7")
    assert (body, rest) == (b"".join(map(make_event, range(1, 7))), b"")


def start_versioned_harness(start_harness, *versions):
    """Start a harness whose upstreams have these software versions and break off new streams."""
    scripts = [make_versioned_stream_script(version) for version in versions]
    return start_harness(*scripts, software_versions=versions)


def test_broken_stream_does_not_go_on_at_another_software_version(start_harness):
    harness = start_versioned_harness(start_harness, "v1", "v1.1")
    _, _, body, rest = harness.send_request("/summaries/7")
    assert len(set(list_event_versions(body))) == 1
    assert rest is None


def test_broken_stream_goes_on_at_another_upstream_of_its_software_version(start_harness):
    harness = start_versioned_harness(start_harness, "v1", "v1.1", "v1", "v1.1")
    for number in range(12):
        fields = (make_prompt_field(f"session{number}:3"),)
        _, _, body, rest = harness.send_request("/summaries/7", fields=fields)
        versions = list_event_versions(body)
        assert (len(versions), len(set(versions)), rest) == (9, 1, b"")


def test_stream_that_client_takes_up_goes_on_at_its_software_version(start_harness):
    harness = start_versioned_harness(start_harness, "v1", "v1.1")
    for number in range(12):
        fields = (make_prompt_field(f"session{number}:3"),)
        begun = harness.send_request("/summaries/7", fields=fields, request_id=f"b{number}")[2]
        fields = (f"Last-Event-Id: {len(list_event_versions(begun))}", f"Resumes: b{number}")
        fields += (make_prompt_field(f"session{number}:4"),)
        status, _, resumed, _ = harness.send_request(
            "/summaries/7", fields=fields, request_id=f"c{number}"
        )
        versions = list_event_versions(begun + resumed)
        assert (status, len(versions), len(set(versions))) == (200, 9, 1)


def test_stream_of_unknown_software_version_is_rejected_as_not_run(start_harness):
    harness = start_versioned_harness(start_harness, "v1", "v1.1")
    for fields in [("Last-Event-Id: 2", "Resumes: unknown"), ("Last-Event-Id: 2",)]:
        status, head, _, _ = harness.send_request("/summaries/7", fields=fields)
        assert status == 503
        assert find_header(head, "Retry-After") is not None
    assert harness.count_requests() == 0


def test_silent_stream_is_not_abandoned_without_another_upstream_of_its_version(start_harness):
    scripts = [make_stream_script(last=2, pause_s=0.6)] * 2
    harness = start_harness(*scripts, software_versions=("v1", "v1.1"))
    _, _, body, rest = harness.send_request("/summaries/7")
    assert (body, rest) == (make_event(1) + make_event(2), b"")
    assert harness.count_requests() == 1


def test_resumed_stream_goes_on_at_service_of_its_first_request(start_harness):
    configuration = make_route_configuration()
    route = next(r for r in configuration.routes if r.path_prefix == "/summaries/")
    route.services.append(WeightedService("other", 1.0))
    configuration.services.append(Service("other", 0.0))
    harness = start_harness(make_stream_script(), configuration=configuration)
    table = harness.gateway.view.table_
    ids = [f"a{n}" for n in range(64)]
    begun_at = {request_id: table.pick_service(route, request_id).name for request_id in ids}
    began = next(request_id for request_id in ids if begun_at[request_id] == "service")
    resumed = next(request_id for request_id in ids if begun_at[request_id] == "other")
    harness.send_request("/summaries/7", request_id=began)
    fields = ("Last-Event-Id: 2", f"Resumes: {began}")
    status, _, body, _ = harness.send_request("/summaries/7", fields=fields, request_id=resumed)
    assert (status, body) == (200, b"".join(map(make_event, range(3, 6))))


def test_events_are_relayed_without_delay(start_harness):
    harness = start_harness(make_stream_script(last=3, pause_s=0.3))
    sock = harness.connect()
    sock.sendall(encode_request("/plans/7"))
    data = b""
    with gevent.Timeout(0.25):
        while make_event(1) not in data:
            data += sock.recv(65_536)


def test_stop_serves_requests_in_progress(start_harness):
    harness = start_harness(make_stream_script(last=5, pause_s=0.1))
    pending = gevent.spawn(harness.send_request, "/plans/7")
    assert wait_for(lambda: harness.count_requests() == 1)
    abandoned = harness.server.stop(time.monotonic() + 5)
    assert abandoned == 0
    assert pending.get(timeout=1)[3] == b""


@pytest.mark.parametrize("delay_s", [0.0, 0.1, 0.2])
def test_stop_waits_for_the_request_of_a_connection_that_was_accepted_last(
    start_harness, monkeypatch, delay_s
):
    """Guards against a process that ends while a request is on its way (review/12)."""
    monkeypatch.setattr(_server, "CLOSE_IDLE_AFTER_S", 0.1)
    monkeypatch.setattr(_server, "STOP_ACCEPTING_AFTER_S", 0.3)
    harness = start_harness(make_stream_script(last=5, pause_s=0.05))
    stop = gevent.spawn(harness.server.stop, time.monotonic() + 5)
    gevent.sleep(0.28)
    sock = harness.connect()
    gevent.sleep(delay_s)
    pending = gevent.spawn(harness.send_request, "/plans/7", sock=sock)
    assert stop.get(timeout=5) == 0
    assert harness.server.active_request_count_ == 0
    assert pending.get(timeout=0.1)[3] == b""


def test_stop_does_not_wait_for_a_connection_without_a_request(start_harness, monkeypatch):
    """Guards against idle connections that keep a process from stopping."""
    monkeypatch.setattr(_server, "CLOSE_IDLE_AFTER_S", 0.1)
    monkeypatch.setattr(_server, "STOP_ACCEPTING_AFTER_S", 0.3)
    harness = start_harness(respond_with_name)
    stop = gevent.spawn(harness.server.stop, time.monotonic() + 5)
    gevent.sleep(0.28)
    harness.connect()
    assert stop.get(timeout=1.5) == 0


def test_stop_announces_connection_close(start_harness):
    harness = start_harness(respond_with_name)
    sock = harness.connect()
    harness.send_request("/counts/7", sock=sock)
    harness.server.stop_ = GracefulStop(time.monotonic(), time.monotonic() + 7.6)
    _, head, _, _ = harness.send_request("/counts/7", sock=sock, request_id="a2")
    assert find_header(head, "Connection") == "close"


def test_idempotent_request_leaves_upstream_whose_host_is_down(start_harness):
    def hang(_upstream, sock, _head, _body):
        return bool(sock.recv(1))

    harness = start_harness(hang, respond_with_name)
    upstream = harness.placement.upstreams_["u0"]
    harness.placement.upstreams_["u1"].path.is_failed_ = True
    pending = gevent.spawn(harness.send_request, "/counts/7", method="GET")
    assert wait_for(lambda: harness.upstreams[0].requests)
    harness.placement.upstreams_["u1"].path.is_failed_ = False
    for now in (1.0, 2.0):
        harness.placement.record_probe(upstream, False, now - 0.25, now)
    assert upstream.path.is_unresponsive(2.0)
    assert harness.gateway.abort_attempts(upstream) == 1
    assert pending.get(timeout=1)[0] == 200


def test_at_most_once_request_is_not_aborted(start_harness):
    def slow(upstream, sock, head, body):
        gevent.sleep(0.3)
        return respond_with_name(upstream, sock, head, body)

    harness = start_harness(slow)
    pending = gevent.spawn(harness.send_request, "/orders/7")
    assert wait_for(lambda: harness.upstreams[0].requests)
    assert harness.gateway.abort_attempts(harness.placement.upstreams_["u0"]) == 0
    assert pending.get(timeout=1)[0] == 200


def make_script_that_hangs_once():
    """Return a script that never responds to the first request of all upstreams that share it."""
    seen = []

    def run(upstream, sock, head, body):
        seen.append(upstream.name)
        if len(seen) == 1:
            return bool(sock.recv(1))
        return respond_with_name(upstream, sock, head, body)

    return run


def test_idempotent_request_leaves_silent_upstream(start_harness):
    script = make_script_that_hangs_once()
    harness = start_harness(script, script)
    with gevent.Timeout(0.4):
        assert harness.send_request("/counts/7", method="GET")[0] == 200


def test_at_most_once_request_waits_for_silent_upstream(start_harness):
    """A retry would run the request a second time, so it waits until its deadline."""
    script = make_script_that_hangs_once()
    harness = start_harness(
        script, script, configuration=make_route_configuration(timeout_ms=500.0)
    )
    assert harness.send_request("/orders/7")[0] == 504
    assert harness.count_requests() == 1


def test_idempotent_request_limited_to_one_upstream_waits_for_slow_upstream(start_harness):
    def slow(upstream, sock, head, body):
        gevent.sleep(0.4)
        return respond_with_name(upstream, sock, head, body)

    harness = start_harness(slow, slow, configuration=make_route_configuration(max_upstreams=1))
    assert harness.send_request("/counts/7", method="GET")[0] == 200
    assert harness.count_requests() == 1


def test_stalled_stream_resumes_at_another_upstream(start_harness):
    pauses = iter([5.0, 0.0])

    def run(upstream, sock, head, body):
        return make_stream_script(last=4, pause_s=next(pauses))(upstream, sock, head, body)

    harness = start_harness(run, run)
    with gevent.Timeout(1.5):
        _, _, body, rest = harness.send_request("/summaries/7")
    assert (body, rest) == (b"".join(map(make_event, range(1, 5))), b"")


def test_upstream_replaced_by_another_boot_is_not_chosen_again(start_harness):
    """Another boot at the address of a registered upstream responds with 421."""

    def respond_misdirected(_upstream, sock, head, _body):
        sock.sendall(encode_response(head, b"", "421 Misdirected Request"))
        return True

    harness = start_harness(respond_misdirected, respond_with_name)
    for number in range(6):
        assert harness.send_request("/orders/7", request_id=f"a{number}")[0] == 200
    assert len(harness.upstreams[0].requests) <= 1
    harness.register()
    assert harness.placement.upstreams_["u0"].is_address_reused_ == bool(
        harness.upstreams[0].requests
    )


def test_misdirected_answer_to_a_version_that_the_client_expects_is_a_plain_refusal(start_harness):
    """Guards against a client that takes sound upstreams out with a version that they don't run."""

    def respond_by_version(upstream, sock, head, body):
        if find_header(head, "X-Sassafrashook-Expect-Version") in (None, "2"):
            return respond_with_name(upstream, sock, head, body)
        sock.sendall(encode_response(head, b"", "421 Misdirected Request"))
        return True

    harness = start_harness(respond_by_version, respond_by_version)
    for number in range(4):
        fields = ("X-Sassafrashook-Expect-Version: 7",)
        response = harness.send_request("/orders/7", fields=fields, request_id=f"a{number}")
        assert (response[0], find_header(response[1], "Retry-After") is not None) == (503, True)
    assert not any(u.is_address_reused_ for u in harness.placement.upstreams_.values())
    fields = ("X-Sassafrashook-Expect-Version: 2",)
    assert harness.send_request("/orders/7", fields=fields, request_id="b")[0] == 200
    assert harness.send_request("/orders/7", request_id="c")[0] == 200


def test_upstream_that_sent_one_misdirected_answer_is_used_again_after_its_next_heartbeat(
    start_harness,
):
    """Guards against a sound upstream that gets no requests for the rest of its boot."""
    answers = iter(["421 Misdirected Request"])

    def respond(_upstream, sock, head, _body):
        sock.sendall(encode_response(head, b"ok", next(answers, "200 OK")))
        return True

    harness = start_harness(respond)
    assert harness.send_request("/orders/7", request_id="a0")[0] == 503
    (state,) = harness.placement.upstreams_.values()
    suspected_at = time.monotonic()
    assert harness.placement.list_doubted() == ["u0"]
    harness.placement.record_heartbeat(state.key, suspected_at - 1.0)
    assert harness.send_request("/orders/7", request_id="a1")[0] == 503
    harness.placement.record_heartbeat(state.key, suspected_at)
    assert harness.placement.list_doubted() == []
    assert harness.send_request("/orders/7", request_id="a2")[0] == 200


def test_request_waits_for_first_configuration(start_harness):
    harness = start_harness(respond_with_name)
    view = harness.gateway.view
    table, view.table_ = view.table_, None

    def configure():
        view.table_ = table
        view.configured_.set()

    gevent.spawn_later(0.2, configure)
    assert harness.send_request("/orders/7")[0] == 200


def test_request_without_configuration_is_rejected_within_quarter_of_deadline(start_harness):
    harness = start_harness(respond_with_name)
    harness.gateway.view.table_ = None
    started = time.monotonic()
    status, head, _, _ = harness.send_request("/orders/7")
    assert status == 503
    assert time.monotonic() - started < 4.0 / 4
    assert 0 < float(find_header(head, "Retry-After")) <= 4.0 / 3
    assert harness.count_requests() == 0


@pytest.mark.parametrize(
    ("parts", "session"), [("a:10,b:20,c:5", "b"), ("a:10,b:20", "a"), ("a:10", "a")]
)
def test_session_is_keyed_by_last_shared_prompt_part(start_harness, parts, session):
    harness = start_harness(make_stream_script())
    harness.send_request("/plans/7", fields=(f"X-Sassafrashook-Prefix-Hash: {parts}",))
    assert harness.placement.take_new_cached_parts() == [(hash_key(session), "u0")]


MIB = 2**20
MAX_ENDLESS_BYTES = 100 * MIB  # the scripts stop by themselves after this many bytes


def make_endless_script(start, data, sent):
    """Return a script that sends the start of a response, then the same data without end.

    :param start: called with the head of the request; returns ``bytes``.
    :param sent: list to which the number of bytes of each response is appended.
    """

    def send_endlessly(_upstream, sock, head, _body):
        sock.sendall(start(head))
        sent.append(0)
        while sent[-1] < MAX_ENDLESS_BYTES:
            sock.sendall(data)
            sent[-1] += len(data)
            gevent.sleep(0)
        return False

    return send_endlessly


def start_endless_body(head):
    return encode_response(head, b"").replace(b"Content-Length: 0\r\n", b"")


def start_endless_late_body(head):
    return encode_response(head, b"", attempt="earlier").replace(b"Content-Length: 0\r\n", b"")


def start_endless_refusal(head):
    fields = ("X-Sassafrashook-Not-Executed: 1",)
    refusal = encode_response(head, b"", "503 Service Unavailable", fields)
    return refusal.replace(b"Content-Length: 0\r\n", b"")


@pytest.mark.parametrize(
    ("path", "start", "data"),
    [
        ("/orders/7", lambda _head: b"HTTP/1.1 200 OK\r\nX-Pad: ", b"x" * 65_536),
        ("/orders/7", lambda _head: b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 1_000),
        ("/orders/7", start_endless_body, b"x" * 65_536),
        ("/plans/7", start_endless_body, b"x" * 65_536),
        ("/orders/7", start_endless_late_body, b"x" * 65_536),
        ("/orders/7", start_endless_refusal, b"x" * 65_536),
    ],
    ids=["head", "informational heads", "body", "event", "late response", "refusal"],
)
def test_endless_response_is_cut_off_before_it_fills_memory(start_harness, path, start, data):
    sent = []
    harness = start_harness(make_endless_script(start, data, sent))
    sock = harness.connect()
    pending = gevent.spawn(harness.send_request, path, sock=sock)
    with gevent.Timeout(10):
        status, _, body, rest = pending.get()
    assert status in (502, 503) or rest is None
    assert wait_for(lambda: harness.upstreams[0].closed == harness.upstreams[0].connections)
    assert max(sent) <= 24 * MIB


def make_limited_script(rate):
    """Return a script that states a limit of requests per second."""

    def respond_with_limit(_upstream, sock, head, _body):
        sock.sendall(encode_response(head, extra=(f"Server-Limit: {rate}",)))
        return True

    return respond_with_limit


def test_upstream_does_not_get_more_requests_than_the_rate_limit_that_it_states(start_harness):
    harness = start_harness(make_limited_script(2.0), respond_with_name)
    started = time.monotonic()
    for _ in range(200):
        assert harness.send_request("/orders/7")[0] == 200
    elapsed_s = time.monotonic() - started
    assert len(harness.upstreams[0].requests) <= 2.0 * 1.5 * max(4.0, elapsed_s) + 5


def test_request_beyond_rate_limits_of_all_upstreams_is_rejected_at_once_with_spread_retry_delays(
    start_harness,
):
    harness = start_harness(make_limited_script(2.0))
    responses = [harness.send_request("/orders/7") for _ in range(10)]
    rejected = [response for response in responses if response[0] == 503]
    assert {response[2] for response in rejected} == {b"upstream_limit\n"}
    assert len(rejected) >= 8
    delays_s = [float(find_header(response[1], "Retry-After")) for response in rejected]
    gaps_s = [later - earlier for earlier, later in zip(delays_s, delays_s[1:], strict=False)]
    assert all(0.3 < gap_s < 0.7 for gap_s in gaps_s)


def test_rate_limit_ends_with_response_that_does_not_state_it(start_harness):
    limits = iter([("Server-Limit: 0.5",)])

    def run(_upstream, sock, head, _body):
        sock.sendall(encode_response(head, extra=next(limits, ())))
        return True

    harness = start_harness(run)
    harness.send_request("/orders/7")
    assert harness.placement.upstreams_["u0"].rate_limit_ == 0.5
    assert wait_for(lambda: harness.send_request("/orders/7")[0] == 200)
    assert {harness.send_request("/orders/7")[0] for _ in range(20)} == {200}


@pytest.mark.parametrize("value", ["-1", "nan", "soon", "", "1e400"])
def test_invalid_rate_limit_is_ignored(start_harness, value):
    harness = start_harness(make_limited_script(value))
    assert {harness.send_request("/orders/7")[0] for _ in range(20)} == {200}


def respond_as_leaving(_upstream, sock, head, _body):
    sock.sendall(encode_response(head, extra=("Server-Leaving: 1",)))
    return True


def make_waiting_script(retry_after, accepted_at=math.inf):
    """Return a script that refuses requests with a wait until a time, monotonic seconds."""

    def refuse(_upstream, sock, head, _body):
        fields = ("X-Sassafrashook-Not-Executed: 1", f"Retry-After: {retry_after}")
        if time.monotonic() >= accepted_at:
            sock.sendall(encode_response(head))
        else:
            sock.sendall(encode_response(head, status="503 Busy", extra=fields))
        return True

    return refuse


def test_upstream_that_says_it_leaves_gets_no_further_requests(start_harness):
    harness = start_harness(respond_as_leaving, respond_with_name)
    assert {harness.send_request("/orders/7")[0] for _ in range(30)} == {200}
    assert len(harness.upstreams[0].requests) <= 1


def test_request_is_rejected_at_once_if_all_upstreams_leave(start_harness):
    harness = start_harness(respond_as_leaving)
    assert harness.send_request("/orders/7")[0] == 200
    status, head, body, _ = harness.send_request("/orders/7")
    assert (status, body) == (503, b"no_upstream\n")
    assert find_header(head, "Retry-After") is not None
    assert harness.count_requests() == 1


def test_upstream_that_asks_for_a_wait_gets_no_requests_until_its_end(start_harness):
    started = time.monotonic()
    harness = start_harness(make_waiting_script(1.2, started + 0.2), respond_with_name)
    waiting = harness.upstreams[0]
    assert wait_for(lambda: harness.send_request("/counts/7")[0] == 200 and waiting.requests)
    refused_at = time.monotonic()
    while time.monotonic() < refused_at + 1.0:
        assert harness.send_request("/counts/7")[0] == 200
        gevent.sleep(0.01)
    assert len(waiting.requests) == 1
    assert wait_for(
        lambda: harness.send_request("/counts/7")[0] == 200 and len(waiting.requests) > 1
    )


def test_request_is_rejected_at_once_with_the_wait_that_all_upstreams_ask_for(start_harness):
    harness = start_harness(make_waiting_script(3), make_waiting_script(5))
    harness.send_request("/counts/7")
    wait_for(lambda: harness.send_request("/counts/7")[2] == b"upstream_wait\n")
    count, delays_s, started = harness.count_requests(), [], time.monotonic()
    for _ in range(10):
        status, head, body, _ = harness.send_request("/counts/7")
        assert (status, body) == (503, b"upstream_wait\n")
        delays_s.append(float(find_header(head, "Retry-After")))
    assert harness.count_requests() == count
    assert time.monotonic() - started < 0.5
    assert all(2.0 < delay_s < 6.0 for delay_s in delays_s)
    assert len(set(delays_s)) > 5


@pytest.mark.parametrize("value", ["-1", "nan", "soon", "", "1e400", "1, 2"])
def test_invalid_wait_is_ignored(start_harness, value):
    harness = start_harness(make_waiting_script(value, time.monotonic() + 0.2))
    assert wait_for(lambda: harness.send_request("/counts/7")[0] == 200, 1.0)


def test_endless_wait_is_bounded(start_harness):
    harness = start_harness(make_waiting_script("1000000000000"))
    harness.send_request("/counts/7")
    (state,) = harness.placement.upstreams_.values()
    assert state.wait_until_ <= time.monotonic() + 30.0


@pytest.mark.parametrize("path", ["/plans/7", "/summaries/7"])
def test_requests_with_prompt_part_that_crashes_upstreams_do_not_crash_more_than_five(
    start_harness, path
):
    harness = start_harness(*[crash_on_poison_part] * 9)
    statuses = []
    for _ in range(12):
        harness.send_request(path, fields=(make_prompt_field(POISON_PART),))
        statuses.append(harness.send_request(path, fields=(make_prompt_field(),))[0])
    poisoned = [
        head for u in harness.upstreams for head, _ in u.requests if POISON_PART.encode() in head
    ]
    assert len(poisoned) <= 5
    assert statuses == [200] * 12


def test_request_of_quarantined_prompt_part_is_rejected_at_once_as_not_run(start_harness):
    harness = start_harness(*[crash_on_poison_part] * 9)
    for _ in range(6):
        harness.send_request("/plans/7", fields=(make_prompt_field(POISON_PART),))
    request_count = harness.count_requests()
    started = time.monotonic()
    status, head, body, _ = harness.send_request(
        "/plans/7", fields=(make_prompt_field(POISON_PART),)
    )
    assert (status, body) == (503, b"quarantined\n")
    assert float(find_header(head, "Retry-After")) > 1.0
    assert time.monotonic() - started < 0.5
    assert harness.count_requests() == request_count


def test_broken_connection_requests_probe_at_once(start_harness):
    harness = start_harness(close_connection)
    assert not harness.gateway.probe_requested_.is_set()
    harness.send_request("/orders/7")
    assert harness.gateway.probe_requested_.is_set()


def test_crash_is_reported_at_once(start_harness):
    harness = start_harness(*[crash_on_poison_part] * 3)
    for _ in range(3):
        harness.send_request("/plans/7", fields=(make_prompt_field(POISON_PART),))
    assert harness.gateway.crash_observed_.is_set()


def record_events(monkeypatch):
    """Record the log lines of requests; :returns: list of the pairs of each line."""
    events = []
    monkeypatch.setattr(
        "sassafrashook.gateway._request_log.log_event",
        lambda event, **pairs: events.append({"event": event, **pairs}),
    )
    return events


def list_failure_details(events):
    return [str(pairs["detail"]) for pairs in events if pairs["event"] == "attempt_failed"]


def test_log_says_that_upstream_closed_connection_before_its_response(start_harness, monkeypatch):
    events = record_events(monkeypatch)
    start_harness(close_connection).send_request("/orders/7")
    detail = "the upstream closed the connection before a complete response head"
    assert list_failure_details(events) == [detail]


def test_log_says_why_this_router_closed_the_connection(start_harness, monkeypatch):
    def hang(_upstream, _sock, _head, _body):
        gevent.sleep(1.0)
        return False

    events = record_events(monkeypatch)
    harness = start_harness(hang, respond_with_name)
    task = gevent.spawn(harness.send_request, "/counts/7")
    assert wait_for(lambda: harness.count_requests() == 1)
    for upstream in harness.placement.upstreams_.values():
        harness.gateway.abort_attempts(upstream)
    assert task.get(timeout=5)[0] == 200
    assert list_failure_details(events) == ["this router gave up the unresponsive host"]


def test_log_says_how_many_upstreams_have_no_room(start_harness, monkeypatch):
    events = record_events(monkeypatch)
    harness = start_harness(*[respond_with_name] * 3)
    for upstream in harness.placement.upstreams_.values():
        upstream.running_ = 1_000
    assert harness.send_request("/orders/7")[0] == 503
    (unplaced,) = [pairs for pairs in events if pairs["event"] == "request_unplaced"]
    assert (unplaced["candidates"], unplaced["full"], unplaced["held_back"]) == (3, 3, 0)
