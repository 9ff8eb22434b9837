"""Interpreter of state charts in YAML files.

A chart is a flat state machine: states, events, and the transitions of each state. The sismic
library also supports nested and parallel states, history, guards and actions in Python code, timed
events, contracts, and a step-wise interpreter with a run-to-completion queue. The charts of this
package need none of that, and one dictionary lookup per event is cheap on the request path.

The keys of a file are ``name``, ``initial``, ``events`` and ``states``. The keys of a state are
``transitions`` (mapping from event to next state), ``ignored`` (events without effect) and
``final``. Any other event in a state is an error.
"""

from functools import cache
from importlib.resources import files

import yaml

from sassafrashook.settings import UniqueKeyLoader

CHART_KEYS = {"name", "initial", "events", "states"}
STATE_KEYS = {"transitions", "ignored", "final"}


class ChartError(ValueError):
    """Raised for an invalid chart file; the message names file, state and event."""

    def __init__(self, source, problem, state=None, event=None):
        parts = [f"chart {source}"]
        parts += [f"state {state!r}"] if state is not None else []
        parts += [f"event {event!r}"] if event is not None else []
        super().__init__(": ".join([*parts, problem]))
        self.source = source
        self.state = state
        self.event = event


class TransitionError(RuntimeError):
    """Raised for an event that the chart doesn't allow in the current state."""

    def __init__(self, chart, state, event):
        super().__init__(f"chart {chart}: state {state!r}: event {event!r} is not allowed")
        self.chart = chart
        self.state = state
        self.event = event


class Chart:
    """A validated state chart, which :class:`ChartState` runs.

    :param source: name of the file, for error messages.
    :param document: content of the file as mappings and lists.

    :ivar name: name of the chart.
    :ivar initial: name of the initial state.
    :ivar events: names of the events, a frozenset.
    :ivar final_states: names of the final states, a frozenset.
    :ivar transitions: for each state a mapping from event to next state, ``None`` if ignored.

    :raises ChartError: if the document is incomplete or inconsistent.

    >>> chart = Chart.load("lamp.yaml", '''
    ... name: lamp
    ... initial: dark
    ... events: [pressed]
    ... states:
    ...   dark: {transitions: {pressed: lit}}
    ...   lit: {transitions: {pressed: dark}}
    ... ''')
    >>> ChartState(chart).fire("pressed")
    'lit'
    """

    def __init__(self, source, document):
        self.source = source
        check_keys(source, document, CHART_KEYS, CHART_KEYS, None)
        self.name = document["name"]
        self.initial = document["initial"]
        self.events = frozenset(check_names(source, document["events"], "events"))
        states = document["states"]
        if not isinstance(states, dict) or not states:
            raise ChartError(source, "states is not a mapping")
        check_names(source, list(states), "states")
        self.transitions = {
            state: self._build_transitions(state, body or {}) for state, body in states.items()
        }
        self.final_states = frozenset(s for s, body in states.items() if (body or {}).get("final"))
        self._check_targets()
        self._check_events()
        self._check_reachability()

    @classmethod
    def load(cls, source, text):
        """Parse and validate the text of a chart file.

        :param source: name of the file, for error messages.
        :param text: content of the file.
        :returns: a :class:`Chart`.
        :raises ChartError: if the text isn't a valid chart.
        """
        try:
            document = yaml.load(text, Loader=UniqueKeyLoader)
        except yaml.YAMLError as error:
            raise ChartError(source, f"invalid YAML: {error}") from error
        return cls(source, document)

    def _build_transitions(self, state, body):
        check_keys(self.source, body, STATE_KEYS, set(), state)
        transitions = body.get("transitions", {})
        if not isinstance(transitions, dict):
            raise ChartError(self.source, "transitions is not a mapping", state)
        targets = dict(transitions)
        for event in check_names(self.source, body.get("ignored", []), "ignored", state):
            if event in targets:
                raise ChartError(self.source, "both a transition and ignored", state, event)
            targets[event] = None
        for event in targets:
            if event not in self.events:
                raise ChartError(self.source, "unknown event", state, event)
        if body.get("final") and transitions:
            raise ChartError(self.source, "a final state has transitions", state)
        return targets

    def _check_targets(self):
        if self.initial not in self.transitions:
            raise ChartError(self.source, "unknown initial state", self.initial)
        for state, targets in self.transitions.items():
            for event, target in targets.items():
                if target is not None and target not in self.transitions:
                    raise ChartError(self.source, f"unknown state {target!r}", state, event)

    def _check_events(self):
        used = {
            event
            for targets in self.transitions.values()
            for event in targets
            if targets[event] is not None
        }
        for event in sorted(self.events - used):
            raise ChartError(self.source, "no state has a transition for it", event=event)

    def _check_reachability(self):
        reachable = self._find_reachable_states(self.initial)
        for state in self.transitions:
            if state not in reachable:
                raise ChartError(self.source, "unreachable", state)
            if state not in self.final_states and not any(self.transitions[state].values()):
                raise ChartError(self.source, "neither transitions nor final", state)
            if self.final_states and not self._find_reachable_states(state) & self.final_states:
                raise ChartError(self.source, "can't reach a final state", state)

    def _find_reachable_states(self, start):
        reachable, pending = {start}, [start]
        while pending:
            for target in self.transitions[pending.pop()].values():
                if target is not None and target not in reachable:
                    reachable.add(target)
                    pending.append(target)
        return reachable


class ChartState:
    """The current state of one object whose life cycle a chart describes.

    :param chart: a :class:`Chart`.

    :ivar state: name of the current state.

    >>> request = ChartState(load_chart("request"))
    >>> request.fire("queued")
    'queued'
    """

    __slots__ = ("chart", "state", "_targets")

    def __init__(self, chart):
        self.chart = chart
        self.state = chart.initial
        self._targets = chart.transitions[chart.initial]

    @property
    def is_final(self):
        """Whether the current state is final."""
        return self.state in self.chart.final_states

    def allows(self, event):
        """Return whether an event causes a transition in the current state."""
        return self._targets.get(event) is not None

    def fire(self, event):
        """Process one event.

        :param event: name of the event.
        :returns: the new state, or ``None`` if the chart ignores the event in this state.
        :raises TransitionError: if the chart doesn't allow the event in this state.
        """
        try:
            target = self._targets[event]
        except KeyError:
            raise TransitionError(self.chart.name, self.state, event) from None
        if target is not None:
            self.state = target
            self._targets = self.chart.transitions[target]
        return target


def check_keys(source, mapping, allowed, required, state):
    """Check the keys of a mapping in the document.

    :raises ChartError: if it isn't a mapping, or a key is unknown or missing.
    """
    if not isinstance(mapping, dict):
        raise ChartError(source, "not a mapping", state)
    for key in mapping:
        if key not in allowed:
            raise ChartError(source, f"unknown key {key!r}", state)
    for key in sorted(required - mapping.keys()):
        raise ChartError(source, f"key {key!r} is missing", state)


def check_names(source, names, key, state=None):
    """Check that a value is a list of distinct strings.

    :returns: the list.
    :raises ChartError: if it isn't.
    """
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise ChartError(source, f"{key} is not a list of names", state)
    for name in names:
        if names.count(name) > 1:
            raise ChartError(source, f"duplicate {name!r} in {key}", state)
    return names


@cache
def load_chart(name):
    """Load one of the charts of this package; the result is cached.

    :param name: ``upstream``, ``zone``, ``connection``, ``request`` or ``process``.
    :returns: a :class:`Chart`.
    :raises ChartError: if the file isn't a valid chart.
    """
    path = files("sassafrashook.charts") / f"{name}.yaml"
    return Chart.load(path.name, path.read_text(encoding="utf-8"))
