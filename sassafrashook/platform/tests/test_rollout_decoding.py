"""Tests of the decoding of orders of rollouts, and of their bounds in the settings."""

import json

import pytest
from returns.pipeline import is_successful

from sassafrashook.platform._rollouts import decode_rollout_order
from sassafrashook.platform._settings import load_node_settings
from sassafrashook.platform.tests.documents import make_node_settings

ORDER = {"service": "s1", "to": "v2", "duration_s": 12}


def test_order_is_decoded():
    order = decode_rollout_order(json.dumps(ORDER).encode()).unwrap()
    assert (order.service, order.to, order.duration_s) == ("s1", "v2", 12.0)


@pytest.mark.parametrize("field", ["service", "to", "duration_s"])
@pytest.mark.parametrize("value", [None, 0, -1, "", True, [], 1e300])
def test_invalid_order_is_rejected(field, value):
    """Guards against an order that is stored although it can't be carried out."""
    for order in ({**ORDER, field: value}, {k: v for k, v in ORDER.items() if k != field}):
        assert not is_successful(decode_rollout_order(json.dumps(order).encode()))


@pytest.mark.parametrize("missing", ["canary_share", "canary_tolerance", "rollback_timeout_ms"])
def test_settings_without_all_bounds_have_no_rollouts(tmp_path, missing):
    """Guards against a change for earlier deployments."""
    path, settings = tmp_path / "node.json", make_node_settings("edge")
    bounds = {"canary_share": 0.1, "canary_tolerance": 50, "rollback_timeout_ms": 5_000}
    settings["bounds"] |= bounds
    path.write_text(json.dumps(settings))
    assert load_node_settings(path).unwrap().rollout_bounds.share == 0.1
    del settings["bounds"][missing]
    path.write_text(json.dumps(settings))
    assert load_node_settings(path).unwrap().rollout_bounds is None
