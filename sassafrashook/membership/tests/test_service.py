"""Tests of the service that runs the membership core in a greenlet."""

import random
from contextlib import contextmanager

import gevent
import pytest

from sassafrashook.interfaces import Sender
from sassafrashook.membership import (
    MembershipCore,
    MembershipService,
    PeerRecord,
    PeerRemoved,
    RemovalReason,
    UpstreamAnnounced,
    UpstreamRemoved,
)
from sassafrashook.membership.tests.network import make_announcement, measure

WAIT_S = 10.0


class Link(Sender):
    """Sender that delivers messages directly to services in this process."""

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
    services, notifications = {}, []
    names = [f"r{index}" for index in range(count)]
    for index, name in enumerate(names):
        record = PeerRecord(name, "router", f"10.0.0.{index + 1}", 7000, "muscat-a", "b1", 1)
        core = MembershipCore(record, random.Random(index), measure, interval_ms=50, **parameters)
        service = MembershipService(core, Link(name, services), probe=services.__contains__)
        service.subscribe(
            lambda notification, name=name: notifications.append((name, notification))
        )
        service.start()
        services[name] = service
    for service in services.values():
        service.set_seeds(names)
    try:
        yield services, notifications
    finally:
        for service in list(services.values()):
            service.stop()


def test_announcements_and_departures_reach_all_subscribers():
    with run_services(3) as (services, notifications):
        services["r0"].announce(make_announcement())
        wait_until(lambda: all(service.upstreams() for service in services.values()))
        services["r2"].announce_departure("engine-1", "b1")
        wait_until(lambda: not any(service.upstreams() for service in services.values()))
        wait_until(lambda: all(service.synchronized for service in services.values()))
    seen = {
        name for name, notification in notifications if isinstance(notification, UpstreamAnnounced)
    }
    assert seen == {"r0", "r1", "r2"}
    left = UpstreamRemoved("engine-1", "b1", RemovalReason.LEFT)
    assert all((name, left) in notifications for name in seen)


def test_stopped_and_silent_nodes_are_detected():
    with run_services(3, reply_timeout_ms=200) as (services, notifications):
        wait_until(lambda: all(len(service.peers()) == 3 for service in services.values()))
        services.pop("r1").stop()
        departed = PeerRemoved("r1", "b1", RemovalReason.LEFT)
        wait_until(lambda: ("r0", departed) in notifications and ("r2", departed) in notifications)
        silent = services.pop("r2")
        silent.sender.services = {}
        lost = PeerRemoved("r2", "b1", RemovalReason.LOST)
        wait_until(lambda: ("r0", lost) in notifications)
        silent.stop()


def test_subscriber_errors_are_isolated_and_full_inbox_is_counted():
    with run_services(1) as (services, notifications):
        service = services["r0"]

        def fail(notification):
            raise ValueError(notification)

        service.subscribe(fail)
        service.announce(make_announcement())
        wait_until(service.upstreams)
        service.announce(make_announcement("engine-2", port=8_001))
        wait_until(lambda: len(service.upstreams()) == 2)
        taken = [service.announce_departure("engine-2", "b1") for _ in range(10_001)]
        assert taken == [True] * 10_000 + [False]
        assert service.dropped_ == 1
        service.stop()
        assert service.core.stopped_


def test_stop_without_start_has_no_effect():
    record = PeerRecord("r0", "router", "10.0.0.1", 7000, "muscat-a", "b1", 1)
    service = MembershipService(MembershipCore(record, random.Random(1), measure), sender=None)
    service.stop()
    with pytest.raises(AttributeError):
        service.upstreams()
