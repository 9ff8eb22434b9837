"""Tests with real processes: partitioned routers, frozen connections and poison requests."""

import random
import signal

import pytest

from fakes.engine import POISON_TEXT
from fakes.fleet import ExpectationError, Fleet, FleetSize
from fakes.load import LoadGenerator, sleep

ENGINE_OPTIONS = ["--capacity=16", "--cold-capacity=8", "--token-ms=5"]
SEED = 7
ZONE_DEADLINE_S = 3.0
CHAT = {"model": "advisor", "stream": True, "max_tokens": 3}


def send_chat(fleet, router, text, conversation="c"):
    body = {**CHAT, "messages": [{"role": "user", "content": text}]}
    headers = {"X-Conversation-Id": conversation, "Content-Type": "application/json"}
    return fleet.send_request(router, "POST", "/v1/chat/completions", headers, body)


def count_requests(fleet, names):
    return sum(fleet.read_records(name)["counts"].get("requests", 0) for name in names)


@pytest.fixture
def proxied_fleet():
    with Fleet(FleetSize(engine_options=ENGINE_OPTIONS), proxied=["router-1"]) as fleet:
        fleet.start_serving()
        yield fleet


def test_partitioned_router_sends_nothing_to_drained_zone(proxied_fleet):
    fleet = proxied_fleet
    zone = fleet.zones[0]
    for proxy in fleet.find_proxies("router-1"):
        proxy.freeze("all")
    fleet.run_cli_checked("zone", "drain", zone)
    sleep(ZONE_DEADLINE_S)
    before = count_requests(fleet, fleet.list_zone_engines(zone))
    assert not fleet.is_serving("router-1")
    for number in range(5):
        response = send_chat(fleet, 0, f"question {number}", f"c{number}")
        error = response.decode_error()
        assert (response.status, error["verdict"]) == (503, "not_run")
        assert error["retry_after_ms"] > 0
    assert count_requests(fleet, fleet.list_zone_engines(zone)) == before
    for proxy in fleet.find_proxies("router-1"):
        proxy.heal()
    fleet.wait_until(lambda: fleet.is_serving("router-1"), "the router serves again")
    placed = {send_chat(fleet, 0, "question", f"d{n}").upstream_id for n in range(9)}
    assert placed and not placed & fleet.list_zone_engines(zone)


def test_service_recovers_when_peer_connections_freeze():
    names = [*(f"controller-{n}" for n in (1, 2, 3)), *(f"router-{n}" for n in (1, 2, 3))]
    with Fleet(FleetSize(engine_options=ENGINE_OPTIONS), proxied=names) as fleet:
        fleet.start_serving()
        load = LoadGenerator(fleet, random.Random(SEED)).start()
        for _ in range(2):
            sleep(1.0)
            served = load.counts_["complete"]
            for proxy in fleet.proxies_.values():
                proxy.freeze("existing")
            fleet.wait_until(
                lambda served=served: load.counts_["complete"] > served + 20,
                "chats are served again",
            )
        load.stop()
        assert load.find_violations() == []
        assert load.counts_["cut"] == load.counts_["connection_lost"] == 0


def test_resumed_router_sends_nothing_to_drained_zone(proxied_fleet):
    """Guards against a paused router that acts on stale state once it resumes.

    The zone is drained while the router is paused with requests in progress.
    """
    fleet = proxied_fleet
    load = LoadGenerator(fleet, random.Random(SEED), orders=1).start()
    sleep(1.0)
    fleet.processes_["router-2"].send_signal(signal.SIGSTOP)
    fleet.run_cli_checked("zone", "drain", fleet.zones[1])
    sleep(ZONE_DEADLINE_S)
    before = count_requests(fleet, fleet.list_zone_engines(fleet.zones[1]))
    fleet.processes_["router-2"].send_signal(signal.SIGCONT)
    sleep(2.0)
    assert count_requests(fleet, fleet.list_zone_engines(fleet.zones[1])) == before
    load.stop()
    assert load.find_violations() == []


def test_poison_request_crashes_at_most_two_engines():
    with Fleet(FleetSize(engines=4, engine_options=ENGINE_OPTIONS)) as fleet:
        fleet.start_serving()
        load = LoadGenerator(fleet, random.Random(SEED), chats=4, orders=0).start()
        sleep(1.0)
        responses = [send_poison(fleet, number) for number in range(8)]
        load.stop()
        crashed = [
            name for name in fleet.engines if fleet.processes_[name].popen.poll() is not None
        ]
        assert 1 <= len(crashed) <= 2
        assert "quarantined" in {response.decode_error().get("reason") for response in responses}
        assert not any(response.has_end_marker for response in responses)
        assert load.find_violations() == []
        assert load.counts_["cut"] == load.counts_["connection_lost"] == 0
        assert load.counts_["complete"] > 0


def send_poison(fleet, number):
    response = send_chat(fleet, number % 3, f"say {POISON_TEXT}", f"poison-{number % 2}")
    sleep(0.2)
    if response.status == 200 and not response.has_error:
        raise ExpectationError(f"response ended early without an error: {response.body!r}")
    return response
