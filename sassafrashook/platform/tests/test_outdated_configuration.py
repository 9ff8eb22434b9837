"""Tests of a gateway whose configuration has been replaced by one that it does not have."""

import pytest

from sassafrashook.fleet._configurations import hash_api_key, hash_route_key
from sassafrashook.platform.tests.scripted_upstreams import HOST, KEY, respond_with_name
from sassafrashook.utils import read_boot_time

APPLY_S = 2.0  # until an acknowledged version has to be in force


@pytest.mark.parametrize(("age_s", "status"), [(0.5 * APPLY_S, 200), (3 * APPLY_S, 503)])
def test_request_by_a_route_that_a_newer_version_may_have_dropped(start_harness, age_s, status):
    """A version that is known to be replaced is acted on for as long as callers were told."""
    harness = start_harness(respond_with_name)
    harness.gateway.view.age_.newest_version_ = 2
    harness.gateway.view.age_.confirmed_at_ = read_boot_time() - age_s
    assert harness.send_request("/orders/1")[0] == status
    assert harness.count_requests() == (status == 200)


@pytest.mark.parametrize(
    ("superseded", "status"),
    [
        ([hash_route_key(HOST, "/orders/")], 503),
        ([hash_api_key(KEY)], 503),
        ([hash_route_key(HOST, "/counts/"), hash_api_key("other")], 200),
        ([], 200),
    ],
    ids=["route", "key", "others", "nothing"],
)
def test_lagging_router_refuses_more_than_what_the_newer_version_changes(
    start_harness, superseded, status
):
    harness = start_harness(respond_with_name)
    now = read_boot_time()
    age = harness.gateway.view.age_
    age.confirmed_at_ = now - 3 * APPLY_S
    age.record(1, 2, confirmed_at=now, base_version=1, superseded=superseded)
    assert harness.send_request("/orders/1")[0] == status
