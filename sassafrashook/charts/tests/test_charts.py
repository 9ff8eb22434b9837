"""Tests of the state chart interpreter and of the charts of the package."""

import random

import pytest
import yaml

from sassafrashook.charts import (
    CHART_NAMES,
    Chart,
    ChartError,
    ChartState,
    TransitionError,
    load_chart,
)

DOCUMENT = {
    "name": "door",
    "initial": "closed",
    "events": ["pushed", "locked"],
    "states": {
        "closed": {"transitions": {"pushed": "open", "locked": "shut"}},
        "open": {"transitions": {"pushed": "closed"}, "ignored": ["locked"]},
        "shut": {"final": True, "ignored": ["pushed"]},
    },
}


def load_changed_document(changes):
    """Load ``DOCUMENT`` with the values at some dotted paths replaced."""
    document = yaml.safe_load(yaml.safe_dump(DOCUMENT))
    for path, value in changes.items():
        *parents, last = path.split(".")
        target = document
        for key in parents:
            target = target[key]
        target[last] = value
    return Chart.load("door.yaml", yaml.safe_dump(document))


def test_events_change_state():
    door = ChartState(load_changed_document({}))
    assert door.fire("pushed") == "open"
    assert door.fire("locked") is None
    assert door.state == "open"
    assert door.fire("pushed") == "closed"
    assert door.fire("locked") == "shut"
    assert door.is_final
    with pytest.raises(TransitionError, match="door.*'shut'.*'locked'"):
        door.fire("locked")
    assert door.state == "shut"


@pytest.mark.parametrize(
    ("changes", "message_parts"),
    [
        ({"initial": "ajar"}, ["initial", "'ajar'"]),
        ({"states.open.transitions.pushed": "ajar"}, ["'ajar'", "'open'", "'pushed'"]),
        ({"states.open.transitions.kicked": "closed"}, ["unknown event", "'open'", "'kicked'"]),
        ({"states.open.ignored": ["kicked"]}, ["unknown event", "'open'", "'kicked'"]),
        ({"states.open.ignored": ["pushed"]}, ["both", "'open'", "'pushed'"]),
        ({"states.ajar": {"transitions": {"pushed": "open"}}}, ["unreachable", "'ajar'"]),
        ({"states.open.transitions": {}}, ["neither transitions nor final", "'open'"]),
        ({"states.open.transitions.pushed": "open"}, ["can't reach a final", "'open'"]),
        ({"states.shut.transitions": {"pushed": "open"}, "states.shut.ignored": []}, ["final"]),
        ({"events": ["pushed", "locked", "kicked"]}, ["no state has a transition", "'kicked'"]),
        ({"events": ["pushed", "locked", "pushed"]}, ["duplicate", "'pushed'"]),
        ({"states.open.color": "red"}, ["unknown key", "'open'", "'color'"]),
        ({"events": ["pushed", "locked", True]}, ["not a list of names"]),
        ({"states": []}, ["states"]),
    ],
)
def test_chart_error_names_file_and_problem(changes, message_parts):
    with pytest.raises(ChartError) as caught:
        load_changed_document(changes)
    for part in ["door.yaml", *message_parts]:
        assert part in str(caught.value)


def test_duplicate_keys_and_invalid_yaml_are_rejected():
    text = yaml.safe_dump(DOCUMENT)
    with pytest.raises(ChartError, match="duplicate key"):
        Chart.load("door.yaml", text + "\nname: gate\n")
    with pytest.raises(ChartError, match="invalid YAML"):
        Chart.load("door.yaml", "{")
    with pytest.raises(ChartError, match="not a mapping"):
        Chart.load("door.yaml", "- door")


@pytest.mark.parametrize("name", CHART_NAMES)
def test_random_events_cover_all_transitions_of_packaged_charts(name):
    chart = load_chart(name)
    rng = random.Random(7)
    fired = set()
    for _ in range(3_000):
        current = ChartState(chart)
        for _ in range(20):
            previous, event = current.state, rng.choice(sorted(chart.events))
            try:
                target = current.fire(event)
            except TransitionError:
                assert event not in chart.transitions[previous]
                assert current.state == previous
                continue
            assert current.state == (previous if target is None else target)
            fired.add((previous, event))
    assert fired == {
        (state, event) for state, targets in chart.transitions.items() for event in targets
    }


def test_final_states_of_upstream_and_connection_ignore_events():
    for name, events in (
        ("upstream", ["reported_warm", "left", "drained", "reported_warm", "confirmed_alive"]),
        ("connection", ["connected", "request_started", "broke", "progressed", "exchange_ended"]),
    ):
        current = ChartState(load_chart(name))
        for event in events:
            current.fire(event)
        assert current.is_final
