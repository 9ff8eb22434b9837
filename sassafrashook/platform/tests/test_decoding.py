"""Tests of decoding the platform's documents and of its headers."""

import copy
import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from sassafrashook.fleet import FLEET_MESSAGES
from sassafrashook.fleet._messages import ViewChanged
from sassafrashook.gateway import ForwardingMetadata, PromptPart
from sassafrashook.http1 import Headers, ResponseHead
from sassafrashook.platform._configuration import (
    _Config,
    _convert_configuration,
    decode_configuration,
)
from sassafrashook.platform._header_codec import PlatformHeaderCodec
from sassafrashook.platform._registrations import decode_heartbeat
from sassafrashook.platform._settings import load_node_settings
from sassafrashook.platform.tests.documents import (
    ODD_FIELDS,
    make_config,
    make_liveness_report,
    make_node_settings,
)
from sassafrashook.registry import RegistrationState
from sassafrashook.routes import Repeatability, RouteTable
from sassafrashook.transport import Codec

NOW_MS = 5_000  # of the controller's clock


def decode(config):
    return decode_configuration(json.dumps(config).encode())


def test_configuration_is_decoded():
    configuration = decode(make_config()).unwrap()
    routes = {route.path_prefix: route for route in configuration.routes}
    assert routes["/plans/"].repeatability is Repeatability.STREAM
    assert routes["/summaries/"].repeatability is Repeatability.RESUMABLE_STREAM
    assert routes["/orders/"].repeatability is Repeatability.AT_MOST_ONCE
    assert routes["/counts/"].repeatability is Repeatability.IDEMPOTENT
    assert [(w.service, w.weight) for w in routes["/plans/"].services] == [("s1", 90), ("s2", 10)]
    assert configuration.services[0].cold_rate_per_s == 12.0
    assert configuration.accounts[0].keys == ["key-1", "key-2"]


def set_route(field, value, number=0):
    def change(config):
        config["route_table"][number][field] = value

    return change


def set_route_place(host, prefix):
    """Return a change that gives the second route another host and path prefix."""

    def change(config):
        config["route_table"][1] |= {"host": host, "path_prefix": prefix}

    return change


def clear_traffic_split(config):
    config["route_table"][0]["traffic_split"] = []


def add_duplicate_key(config):
    config["tenants"].append({"name": "other", "api_keys": ["key-1"]})


def set_zero_weights(config):
    for part in config["route_table"][0]["traffic_split"]:
        part["weight"] = 0


@pytest.mark.parametrize(
    ("change", "position"),
    [
        (set_route("service", "none", 1), "routes[1]"),
        (set_route("path_prefix", "/plans/", 1), "routes[1]"),
        (set_route_place("Shop.Example", "/plans/"), "routes[1]"),
        (set_route_place("shop.example.", "/plans/"), "routes[1]"),
        (set_route_place("SHOP.example.:8080", "/plans/"), "routes[1]"),
        (set_route("timeout_ms", 0), "routes[0]"),
        (set_route("timeout_ms", "soon"), "route_table[0].timeout_ms"),
        (set_route("kind", "other"), "kind"),
        (set_zero_weights, "routes[0]"),
        (clear_traffic_split, "routes[0]"),
        (add_duplicate_key, "accounts[1]"),
        (lambda config: config.pop("version"), "version"),
    ],
)
def test_configuration_error_states_position(change, position):
    config = make_config()
    change(config)
    result = decode(config)
    assert isinstance(result, Failure)
    assert position in result.failure()


HOSTS = ["shop.example", "Shop.Example", "shop.example.", "shop.example:80", "shop.example:"] + [
    "SHOP.EXAMPLE.:8080", "other.example", "shop.example..", "[::1]", "[::1]:80", "[::2]", "shop"
]  # fmt: skip


@pytest.mark.parametrize("second", HOSTS)
@pytest.mark.parametrize("first", HOSTS)
def test_two_routes_of_a_prefix_are_accepted_if_and_only_if_each_is_found(first, second):
    """Guards against a host that the check and the lookup compare by different rules.

    A route would then replace another one whose configuration has been acknowledged, or be refused
    although it could be found.
    """
    config = make_config()
    set_route("host", first, 0)(config)
    set_route_place(second, "/plans/")(config)
    configuration = _convert_configuration(msgspec.json.decode(json.dumps(config), type=_Config))
    table = RouteTable(configuration)
    found = [table.match(host, "/plans/1").name for host in (first, second)]
    assert isinstance(decode(config), Success) == (found == ["r0", "r1"])


@pytest.mark.parametrize("length", [0, 1, 100, -1])
def test_truncated_configuration_is_rejected(length):
    body = json.dumps(make_config()).encode()
    assert isinstance(decode_configuration(body[:length]), Failure)


def test_unknown_configuration_fields_are_ignored():
    config = make_config()
    config["later"] = {"more": 1}
    assert isinstance(decode(config), Success)


def test_registration_is_decoded():
    registration = decode_heartbeat(
        "i-1", json.dumps(make_liveness_report(state="draining")).encode(), NOW_MS
    ).unwrap()
    assert registration.state is RegistrationState.DRAINING
    assert (registration.host, registration.port, registration.boot_ms, registration.sequence) == (
        "10.0.0.9",
        8080,
        1_000,
        4,
    )


@pytest.mark.parametrize(
    ("field", "value"),
    [("state", "odd"), ("slots", "many"), ("slots", 0), ("address", "10.0.0.9"), ("born", 1.5)]
    + [("address", "host:80"), ("sequence", None), ("warmup_remaining_ms", -1), ("service", 7)],
)
def test_registration_with_invalid_field_is_rejected(field, value):
    report = {**make_liveness_report(), field: value}
    assert isinstance(decode_heartbeat("i-1", json.dumps(report).encode(), NOW_MS), Failure)


@pytest.mark.parametrize(("field", "value"), ODD_FIELDS)
def test_registration_with_odd_field_is_rejected(field, value):
    report = {**make_liveness_report(), field: value}
    assert isinstance(decode_heartbeat("i-1", json.dumps(report).encode(), NOW_MS), Failure)


@pytest.mark.parametrize("nesting", [("[", "]"), ('{"a":', "}")])
def test_deeply_nested_registration_is_rejected(nesting):
    opening, closing = nesting
    report = json.dumps(make_liveness_report())[:-1]
    body = f'{report}, "x": {opening * 20_000}1{closing * 20_000}}}'
    assert isinstance(decode_heartbeat("i-1", body.encode(), NOW_MS), Failure)


@pytest.mark.parametrize("name", ["", "a b", "a\r\nX: y", "\u00e9", "\ud800", "i" * 10_000])
def test_registration_with_odd_name_is_rejected(name):
    body = json.dumps(make_liveness_report()).encode()
    assert isinstance(decode_heartbeat(name, body, NOW_MS), Failure)


@given(
    st.fixed_dictionaries(
        {
            field: st.one_of(
                st.just(value),
                st.integers(-(2**70), 2**70),
                st.floats(allow_nan=False, allow_infinity=False),
                st.text(max_size=20),
            )
            for field, value in make_liveness_report().items()
        }
    )
)
def test_every_accepted_registration_can_be_sent_to_routers(report):
    decoded = decode_heartbeat("i-1", json.dumps(report).encode(), NOW_MS)
    if isinstance(decoded, Failure):
        return
    codec = Codec(FLEET_MESSAGES)
    change = ViewChanged("b", 1, [decoded.unwrap()], [], [], 0, [])
    assert codec.decode(codec.encode(change)) == change


@pytest.mark.parametrize("field", sorted(make_liveness_report()))
def test_registration_with_missing_field_is_rejected(field):
    report = make_liveness_report()
    del report[field]
    assert isinstance(decode_heartbeat("i-1", json.dumps(report).encode(), NOW_MS), Failure)


def test_settings_of_both_roles_are_loaded(tmp_path):
    for role in ("edge", "core"):
        path = tmp_path / role
        path.write_text(json.dumps(make_node_settings(role)))
        settings = load_node_settings(path).unwrap()
        assert settings.seeds == ("127.0.0.11", "127.0.0.12", "127.0.0.13")
        assert (settings.router is None) == (role == "core")
        assert (settings.control is None) == (role == "edge")


@pytest.mark.parametrize("field", ["ip", "bounds", "seed_nodes", "internal_port_range"])
def test_settings_without_required_field_are_rejected(tmp_path, field):
    node = copy.deepcopy(make_node_settings("edge"))
    del node[field]
    path = tmp_path / "node.json"
    path.write_text(json.dumps(node))
    assert field in load_node_settings(path).failure()


def test_request_headers_are_decoded():
    fields = [
        (b"X-Sassafrashook-Attempt-Id", b"a1"),
        (b"X-Sassafrashook-Deadline-Ms", b"1500"),
        (b"X-Sassafrashook-Prefix-Hash", b"5c1e:800, 91bd:410,e440:250"),
    ]
    metadata = PlatformHeaderCodec().decode_request_headers(Headers(fields))
    assert (metadata.request_id, metadata.deadline_ms) == ("a1", 1500.0)
    assert metadata.parts[1] == PromptPart("91bd", 410)


@pytest.mark.parametrize("text", [b"", b"soon", b"-5", b"1.5"])
def test_malformed_deadline_is_none(text):
    headers = Headers([(b"X-Sassafrashook-Deadline-Ms", text)])
    assert PlatformHeaderCodec().decode_request_headers(headers).deadline_ms is None


@pytest.mark.parametrize(
    ("text", "load", "slowdown"),
    [
        (b"3,1,8", (3, 1), None),
        (b"3,1,8,250", (3, 1), 2.5),
        (b"3, 1, 8, 100", (3, 1), 1.0),
        (b"3,1,8,0", (3, 1), None),
        (b"3,1,8,fast", None, None),
        (b"3,1,8,100,7", None, None),
    ],
)
def test_load_with_and_without_its_fourth_figure_is_decoded(text, load, slowdown):
    """Guards against losing the load of an engine that also states how long work takes."""
    head = ResponseHead(200, Headers([(b"X-Sassafrashook-Instance-Load", text)]))
    metadata = PlatformHeaderCodec().decode_response_head(head)
    assert (metadata.load, metadata.slowdown) == (load, slowdown)


def test_response_headers_are_decoded():
    fields = [(b"X-Sassafrashook-Instance-Load", b"3,1,8"), (b"X-Sassafrashook-Not-Executed", b"1")]
    metadata = PlatformHeaderCodec().decode_response_head(ResponseHead(503, Headers(fields)))
    assert (metadata.load, metadata.was_not_executed, metadata.is_signed) == ((3, 1), True, False)
    assert (
        PlatformHeaderCodec().decode_response_head(ResponseHead(421, Headers([]))).was_not_executed
    )
    assert (
        not PlatformHeaderCodec()
        .decode_response_head(ResponseHead(503, Headers([])))
        .was_not_executed
    )


def test_forwarded_headers_are_encoded():
    forwarding = ForwardingMetadata("i-1", 900.7, None, 12, "7", ("10.0.0.3", 81))
    fields = dict(PlatformHeaderCodec().encode_forwarded_headers(Headers([]), forwarding))
    assert fields[b"Kv-Fetch"] == b"10.0.0.3:81"
    assert fields[b"X-Sassafrashook-Deadline-Ms"] == b"900"
    assert fields[b"X-Sassafrashook-Request-Priority"] == b"9"
    assert fields[b"Last-Event-Id"] == b"7"
    assert b"X-Sassafrashook-Tenant" not in fields


@pytest.mark.parametrize(
    ("limits", "bytes_per_s"),
    [
        ({"limits": {"bandwidth_mbps": 6.0}}, 750_000.0),
        ({"limits": {"bandwidth_mbps": 0}}, 125_000_000.0),
        ({"limits": {"bandwidth_mbps": None}}, 125_000_000.0),
        ({}, 125_000_000.0),
    ],
)
def test_bandwidth_of_the_link_is_read(tmp_path, limits, bytes_per_s):
    path = tmp_path / "node.json"
    path.write_text(json.dumps(make_node_settings("core", data_dir="/data") | limits))
    assert load_node_settings(str(path)).unwrap().link_bytes_per_s == bytes_per_s
