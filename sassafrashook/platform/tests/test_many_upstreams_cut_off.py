"""Tests of routers that lose their paths to all or most of many upstreams, at few requests."""

import itertools
import time

import gevent
import pytest
from gevent.server import StreamServer

from sassafrashook.platform.tests.crashing_upstreams import make_prompt_field
from sassafrashook.platform.tests.isolated_fleet import PEER_PORT, serve_request
from sassafrashook.platform.tests.scripted_upstreams import make_stream_script

SIZES = (5, 70, 300)  # upstreams
PATHS = ("/orders/7", "/counts/7", "/plans/7", "/summaries/7")
TARGET_S = 0.7  # for the whole response
LEARNING_S = 1.0  # from the cut until the share of requests that are served in time is measured
MEASURED_S = 4.0
MIN_SHARE = 2 / 3  # of what the other routers serve
STREAM_S = 1.0


def send_paced(fleet, name, rate, duration_s):
    """Send requests of all kinds to one router at a steady rate.

    :returns: the share of all requests that were served within the target.
    """

    def send(number, path):
        began = time.monotonic()
        status = fleet.send_request(name, path, request_id=f"{name}-{began:.3f}-{number}")[0]
        return status == 200 and time.monotonic() - began <= TARGET_S

    tasks, until = [], time.monotonic() + duration_s
    for number, path in enumerate(itertools.cycle(PATHS)):
        if time.monotonic() >= until:
            break
        tasks.append(gevent.spawn(send, number, path))
        gevent.sleep(1 / rate)
    gevent.joinall(tasks)
    return sum(bool(task.value) for task in tasks) / len(tasks)


def measure_routers(fleet, rate, duration_s):
    """Send requests to all routers side by side; :returns: the share served in time by router."""
    tasks = {name: gevent.spawn(send_paced, fleet, name, rate, duration_s) for name in fleet.names}
    gevent.joinall(tasks.values())
    return {name: task.value for name, task in tasks.items()}


@pytest.mark.parametrize("upstreams", SIZES)
@pytest.mark.parametrize("rate", [2, 6])
def test_first_attempts_are_served_in_time_at_router_that_lost_its_paths_to_many_upstreams(
    start_fleet, upstreams, rate
):
    fleet = start_fleet(3, *[serve_request] * upstreams)
    cut_off, *others = fleet.names
    measure_routers(fleet, rate, 1.0)
    fleet.partition(cut_off, "hang")
    measure_routers(fleet, rate, LEARNING_S)
    served = measure_routers(fleet, rate, MEASURED_S)
    assert served[cut_off] >= MIN_SHARE * min(served[name] for name in others) > 0


@pytest.mark.parametrize("upstreams", [70, 300])
def test_first_attempts_are_served_in_time_at_router_that_keeps_a_tenth_of_its_paths(
    start_fleet, upstreams
):
    fleet = start_fleet(3, *[serve_request] * upstreams)
    cut_off, *others = fleet.names
    measure_routers(fleet, 6, 1.0)
    fleet.partition(cut_off, "hang", reached=upstreams // 10)
    measure_routers(fleet, 6, LEARNING_S)
    served = measure_routers(fleet, 6, MEASURED_S)
    assert served[cut_off] >= MIN_SHARE * min(served[name] for name in others) > 0


@pytest.mark.parametrize("upstreams", SIZES)
@pytest.mark.parametrize("how", ["hang", "reset"])
def test_router_that_reaches_one_of_many_upstreams_serves_more_requests_than_this_one_holds(
    start_fleet, upstreams, how
):
    # Each upstream has 8 slots; the streams run side by side.
    script = make_stream_script(last=20, pause_s=STREAM_S / 20)
    fleet = start_fleet(3, *[script] * upstreams)
    cut_off, fields = fleet.names[0], (make_prompt_field(),)
    fleet.partition(cut_off, how, reached=1)
    measure_routers(fleet, 6, LEARNING_S)
    streams = []
    for number in range(24):
        request_id = f"stream-{number}"
        streams.append(gevent.spawn(fleet.send_request, cut_off, "/plans/7", fields, request_id))
        gevent.sleep(0.02)
    gevent.joinall(streams)
    statuses = [stream.value[0] for stream in streams if stream.value is not None]
    assert statuses.count(200) == len(streams)


@pytest.mark.parametrize("upstreams", SIZES)
def test_connections_that_are_reset_on_most_paths_of_one_router_are_no_crashes(
    start_fleet, upstreams
):
    fleet = start_fleet(1, *[make_stream_script(last=50, pause_s=0.05)] * upstreams)
    name = fleet.names[0]
    streams = [
        gevent.spawn(fleet.send_request, name, "/plans/7", (make_prompt_field(),), f"stream-{n}")
        for n in range(12)
    ]
    gevent.sleep(0.5)
    fleet.partition(name, "reset", reached=upstreams // 5)
    gevent.joinall(streams)
    gevent.sleep(0.5)
    crashes = fleet.routers[name].view_.crashes
    assert crashes.list_changes(0, time.monotonic()) == []


def test_router_that_does_not_respond_to_a_forwarded_request_is_not_preferred(start_fleet):
    fleet = start_fleet(3, *[serve_request] * 4)
    cut_off, silent, _ = fleet.names
    fleet.partition(cut_off, "reset")
    gevent.sleep(LEARNING_S)
    fleet.routers[silent].peer_server_.server_.stop(timeout=0)
    listener = StreamServer((silent, PEER_PORT), lambda *_: gevent.sleep(60.0))
    listener.start()
    peers = fleet.routers[cut_off].gateway_.peers
    peers.record_success("service", silent, time.monotonic())
    first = (fleet.send_request(cut_off, "/orders/7", request_id=f"a{n}")[0] for n in range(50))
    assert any(status == 504 for status in first)
    statuses = [fleet.send_request(cut_off, "/orders/7", request_id=f"b{n}")[0] for n in range(9)]
    listener.stop(timeout=0)
    assert statuses == [200] * 9
