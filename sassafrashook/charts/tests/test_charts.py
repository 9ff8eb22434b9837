"""Tests of the interpreter and of the charts that come with the package."""

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


def load(changes):
    document = yaml.safe_load(yaml.safe_dump(DOCUMENT))
    for path, value in changes.items():
        *parents, last = path.split(".")
        target = document
        for key in parents:
            target = target[key]
        target[last] = value
    return Chart.load("door.yaml", yaml.safe_dump(document))


def test_states_change_by_events():
    door = ChartState(load({}))
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
    ("changes", "words"),
    [
        ({"initial": "ajar"}, ["initial", "'ajar'"]),
        ({"states.open.transitions.pushed": "ajar"}, ["'ajar'", "'open'", "'pushed'"]),
        ({"states.open.transitions.kicked": "closed"}, ["unknown event", "'open'", "'kicked'"]),
        ({"states.open.ignored": ["kicked"]}, ["unknown event", "'open'", "'kicked'"]),
        ({"states.open.ignored": ["pushed"]}, ["both", "'open'", "'pushed'"]),
        ({"states.ajar": {"transitions": {"pushed": "open"}}}, ["unreachable", "'ajar'"]),
        ({"states.open.transitions": {}}, ["no way out", "'open'"]),
        ({"states.open.transitions.pushed": "open"}, ["reaches no final", "'open'"]),
        ({"states.shut.transitions": {"pushed": "open"}, "states.shut.ignored": []}, ["final"]),
        ({"events": ["pushed", "locked", "kicked"]}, ["nowhere", "'kicked'"]),
        ({"events": ["pushed", "locked", "pushed"]}, ["twice", "'pushed'"]),
        ({"states.open.color": "red"}, ["unknown key", "'open'", "'color'"]),
        ({"events": ["pushed", "locked", True]}, ["not a list of names"]),
        ({"states": []}, ["states"]),
    ],
)
def test_wrong_charts_are_refused_by_name(changes, words):
    with pytest.raises(ChartError) as caught:
        load(changes)
    for word in ["door.yaml", *words]:
        assert word in str(caught.value)


def test_doubled_keys_and_unreadable_files_are_refused():
    text = yaml.safe_dump(DOCUMENT)
    with pytest.raises(ChartError, match="twice"):
        Chart.load("door.yaml", text + "\nname: gate\n")
    with pytest.raises(ChartError, match="not readable"):
        Chart.load("door.yaml", "{")
    with pytest.raises(ChartError, match="not a mapping"):
        Chart.load("door.yaml", "- door")


@pytest.mark.parametrize("name", CHART_NAMES)
def test_shipped_charts_keep_to_their_tables(name):
    chart = load_chart(name)
    rng = random.Random(7)
    covered = set()
    for _ in range(3_000):
        subject = ChartState(chart)
        for _ in range(20):
            before, event = subject.state, rng.choice(sorted(chart.events))
            try:
                after = subject.fire(event)
            except TransitionError:
                assert event not in chart.rows[before]
                assert subject.state == before
                continue
            assert subject.state == (before if after is None else after)
            covered.add((before, event))
    assert covered == {(state, event) for state, row in chart.rows.items() for event in row}


def test_gone_upstreams_and_closed_connections_stay_so():
    for name, events in (
        ("upstream", ["reported_warm", "left", "drained", "reported_warm", "confirmed_alive"]),
        ("connection", ["connected", "request_started", "broke", "progressed", "exchange_ended"]),
    ):
        subject = ChartState(load_chart(name))
        for event in events:
            subject.fire(event)
        assert subject.is_final
