"""Tests of the greenlets around the membership core."""

import random
from contextlib import contextmanager

import gevent
import pytest

from sassafrashook.gateways import Sender
from sassafrashook.membership import (
    DepartureReason,
    MembershipCore,
    MembershipService,
    PeerGone,
    PeerRecord,
    UpstreamLeft,
    UpstreamSeen,
)
from sassafrashook.membership.tests.network import make_announcement, measure

WAIT_S = 10.0


class Link(Sender):
    """Delivers messages to services in this process."""

    def __init__(self, own, services):
        self.own = own
        self.services = services

    def send(self, peer, message):
        if peer not in self.services:
            return False
        self.services[peer].deliver(self.own, message)
        return True


def wait_until(check):
    with gevent.Timeout(WAIT_S):
        while not check():
            gevent.sleep(0.01)


@contextmanager
def run_services(count, **parameters):
    services, notices = {}, []
    names = [f"r{index}" for index in range(count)]
    for index, name in enumerate(names):
        record = PeerRecord(name, "router", f"10.0.0.{index + 1}", 7000, "muscat-a", "b1", 1)
        core = MembershipCore(record, random.Random(index), measure, interval_ms=50, **parameters)
        service = MembershipService(core, Link(name, services), probe=services.__contains__)
        service.subscribe(lambda notice, name=name: notices.append((name, notice)))
        service.start()
        services[name] = service
    for service in services.values():
        service.set_peers(names)
    try:
        yield services, notices
    finally:
        for service in list(services.values()):
            service.stop()


def test_announcements_and_leaves_reach_subscribers_everywhere():
    with run_services(3) as (services, notices):
        services["r0"].announce(make_announcement())
        wait_until(lambda: all(service.upstreams() for service in services.values()))
        services["r2"].leave("engine-1", "b1")
        wait_until(lambda: not any(service.upstreams() for service in services.values()))
        wait_until(lambda: all(service.synchronised for service in services.values()))
    seen = {name for name, notice in notices if isinstance(notice, UpstreamSeen)}
    assert seen == {"r0", "r1", "r2"}
    left = UpstreamLeft("engine-1", "b1", DepartureReason.LEFT)
    assert all((name, left) in notices for name in seen)


def test_stopped_and_silent_nodes_are_noticed():
    with run_services(3, answer_timeout_ms=200) as (services, notices):
        wait_until(lambda: all(len(service.peers()) == 3 for service in services.values()))
        services.pop("r1").stop()
        gone = PeerGone("r1", "b1", DepartureReason.LEFT)
        wait_until(lambda: ("r0", gone) in notices and ("r2", gone) in notices)
        silent = services.pop("r2")
        silent.sender.services = {}
        lost = PeerGone("r2", "b1", DepartureReason.LOST)
        wait_until(lambda: ("r0", lost) in notices)
        silent.stop()


def test_failing_subscriber_stops_nothing_and_full_inbox_is_counted():
    with run_services(1) as (services, notices):
        service = services["r0"]

        def fail(notice):
            raise ValueError(notice)

        service.subscribe(fail)
        service.announce(make_announcement())
        wait_until(service.upstreams)
        service.announce(make_announcement("engine-2", port=8_001))
        wait_until(lambda: len(service.upstreams()) == 2)
        taken = [service.leave("engine-2", "b1") for _ in range(10_001)]
        assert taken == [True] * 10_000 + [False]
        assert service.dropped_ == 1
        service.stop()
        assert service.core.stopped_


def test_stop_without_start_does_nothing():
    record = PeerRecord("r0", "router", "10.0.0.1", 7000, "muscat-a", "b1", 1)
    service = MembershipService(MembershipCore(record, random.Random(1), measure), sender=None)
    service.stop()
    with pytest.raises(AttributeError):
        service.upstreams()
