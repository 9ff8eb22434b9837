"""Tests of streams that clients resume without naming their first attempt, on changed routes."""

import time
import zlib
from types import SimpleNamespace

import msgspec
import pytest

from sassafrashook.fleet import FleetStreamVersions
from sassafrashook.fleet._messages import StreamVersionReply, ViewChanged
from sassafrashook.platform.tests.scripted_upstreams import (
    Harness,
    find_header,
    list_event_versions,
    make_route_configuration,
    make_versioned_stream_script,
)
from sassafrashook.registry import Registration, RegistrationState
from sassafrashook.routes import Service, WeightedService

CONTROLLERS = ("c1", "c2", "c3")
RESUMPTIONS = 12
TARGETS = {"u0": ("chat-a", "v1"), "u1": ("chat-b", "v2"), "u2": ("chat-c", "v1")}


class ControllerMesh:
    """Mesh whose controllers answer at once which versions each service has had.

    :ivar streams: the :class:`FleetStreamVersions` that asks.
    """

    def __init__(self):
        self.streams = None

    def send(self, name, message):
        versions = [v for service, v in TARGETS.values() if service == message.service]
        self.streams.deliver(name, StreamVersionReply(message.lookup_id, None, versions, True))


class SplitHarness(Harness):
    """Gateway in front of one upstream for each service of ``TARGETS``.

    :param weights: weight of each service in the route of resumable streams.
    """

    def __init__(self, weights):
        scripts = [make_versioned_stream_script(version) for _, version in TARGETS.values()]
        super().__init__(*scripts)
        mesh = ControllerMesh()
        mesh.streams = FleetStreamVersions(mesh, SimpleNamespace(controllers_=set(CONTROLLERS)))
        self.gateway.streams = mesh.streams
        self.gateway.view.table_ = None
        self.apply(1, weights)

    def register(self):
        """Register each upstream at its service."""
        registrations = [
            Registration(
                upstream.name, 1, 1, RegistrationState.READY, TARGETS[upstream.name][0],
                *upstream.address, "z", TARGETS[upstream.name][1], 8,
            )
            for upstream in self.upstreams
        ]  # fmt: skip
        cold_until = {registration.upstream_id: 0.0 for registration in registrations}
        self.placement.set_registrations(registrations, cold_until, 0.0)

    def apply(self, version, weights, prefix="/summaries/"):
        """Put a configuration in force, as an update from a controller does."""
        configuration = make_route_configuration(version=version)
        routes = {route.path_prefix: route for route in configuration.routes}
        services = [WeightedService(name, weight) for name, weight in weights.items()]
        base = routes["/summaries/"]
        routes[prefix] = msgspec.structs.replace(base, path_prefix=prefix, services=services)
        if prefix != "/summaries/":
            kept = [WeightedService("chat-a", 1.0)]
            routes["/summaries/"] = msgspec.structs.replace(base, services=kept)
        configuration = msgspec.structs.replace(
            configuration,
            routes=list(routes.values()),
            services=[
                Service("service", 0.0),
                *(Service(name, 0.0) for name, _ in TARGETS.values()),
            ],
        )
        encoded = zlib.compress(msgspec.msgpack.encode(configuration))
        update = ViewChanged(
            "b", 1, [], [], ["r1"], 0, [], version, encoded, newest_version=version
        )
        self.gateway.view.apply(update, time.monotonic())
        self.gateway.view.age_.confirmed_at_ = float("inf")

    def resume_all(self, path="/summaries/7"):
        """Resume streams under several ids; :returns: the responses."""
        return [
            self.send_request(path, fields=("Last-Event-Id: 2",), request_id=f"c{number}")
            for number in range(RESUMPTIONS)
        ]


@pytest.fixture
def start_split():
    """Return a function that starts a :class:`SplitHarness`."""
    harnesses = []

    def start(weights):
        harnesses.append(SplitHarness(weights))
        return harnesses[-1]

    yield start
    for harness in harnesses:
        harness.stop()


def assert_rejected(responses):
    for status, head, *_ in responses:
        assert (status, find_header(head, "Retry-After") is not None) == (503, True)


def assert_goes_on(responses, version):
    for status, _, body, _ in responses:
        assert (status, set(list_event_versions(body))) == (200, {version})


def test_stream_of_split_route_is_rejected_if_its_services_run_different_versions(start_split):
    """Guards against text joined from the versions of two services of a route."""
    assert_rejected(start_split({"chat-a": 50.0, "chat-b": 50.0}).resume_all())


def test_stream_of_split_route_goes_on_if_its_services_run_the_same_version(start_split):
    assert_goes_on(start_split({"chat-a": 50.0, "chat-c": 50.0}).resume_all(), "v1")


@pytest.mark.parametrize(
    "weights",
    [{"chat-b": 1.0}, {"chat-a": 0.0, "chat-b": 1.0}],
)
def test_stream_of_moved_route_is_rejected_if_it_led_to_another_version(start_split, weights):
    """Guards against text joined from the version before and after a change of a route."""
    harness = start_split({"chat-a": 1.0})
    harness.apply(2, weights)
    assert_rejected(harness.resume_all())


def test_stream_of_a_route_that_is_new_under_another_prefix_is_rejected(start_split):
    """Guards against a new route that takes over requests of the route with a shorter prefix."""
    harness = start_split({"chat-a": 1.0})
    harness.apply(2, {"chat-b": 1.0}, prefix="/summaries/vip/")
    assert_rejected(harness.resume_all("/summaries/vip/7"))
    assert_goes_on(harness.resume_all(), "v1")


def test_stream_of_route_with_changed_weights_of_the_same_services_is_rejected(start_split):
    harness = start_split({"chat-a": 1.0, "chat-b": 0.0})
    assert_goes_on(harness.resume_all(), "v1")
    harness.apply(2, {"chat-a": 1.0, "chat-b": 1.0})
    assert_rejected(harness.resume_all())
    harness.apply(3, {"chat-a": 1.0, "chat-b": 0.0})
    assert_rejected(harness.resume_all())


def test_stream_goes_on_after_a_change_that_leaves_the_services_of_its_route(start_split):
    harness = start_split({"chat-a": 1.0})
    harness.apply(2, {"chat-a": 3.0})
    assert_goes_on(harness.resume_all(), "v1")


@pytest.mark.parametrize(
    "age", [{"newest_version_": 2}, {"confirmed_at_": float("-inf")}], ids=["newer", "old"]
)
def test_stream_goes_on_by_a_configuration_that_may_be_outdated(start_split, age):
    """A newer one may have led the stream to another service and version."""
    harness = start_split({"chat-a": 1.0})
    for name, value in age.items():
        setattr(harness.gateway.view.age_, name, value)
    assert_rejected(harness.resume_all())
