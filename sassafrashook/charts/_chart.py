"""Interpreter of state charts that are written in YAML files.

A chart is flat: states, events, and for each state where each event leads. The sismic library
would offer more: nested and parallel states, history, guards and actions in Python code, timed
events, contracts, and a step-wise interpreter with a run-to-completion queue. None of these
charts needs that; a dictionary look-up for each event is enough and cheap on the request path.

The file's keys are ``name``, ``initial``, ``events`` and ``states``; a state's keys are
``transitions`` (from event to state), ``ignored`` (events without effect there) and ``final``.
Any other event in a state is an error.
"""

from functools import cache
from importlib.resources import files

import yaml

from sassafrashook.settings import UniqueKeyLoader

CHART_KEYS = {"name", "initial", "events", "states"}
STATE_KEYS = {"transitions", "ignored", "final"}


class ChartError(ValueError):
    """A chart file is wrong; the message names file, state and event."""

    def __init__(self, source, problem, state=None, event=None):
        parts = [f"chart {source}"]
        parts += [f"state {state!r}"] if state is not None else []
        parts += [f"event {event!r}"] if event is not None else []
        super().__init__(": ".join([*parts, problem]))
        self.source = source
        self.state = state
        self.event = event


class TransitionError(RuntimeError):
    """An event happened in a state in which the chart doesn't allow it."""

    def __init__(self, chart, state, event):
        super().__init__(f"chart {chart}: state {state!r}: event {event!r} is not allowed")
        self.chart = chart
        self.state = state
        self.event = event


class Chart:
    """A checked state chart.

    :param source: name of the file, for messages.
    :param document: the file's content as plain mappings and lists.

    Attributes:

    :ivar name: the chart's name.
    :ivar initial: name of the first state.
    :ivar events: names of the events, a frozenset.
    :ivar finals: names of the final states, a frozenset.
    :ivar rows: for each state a dictionary from event to next state, ``None`` if ignored.

    :raises ChartError: if the document is incomplete or contradicts itself.

    See also: :class:`ChartState`, which runs a chart.

    Example:

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
        self.rows = {state: self._build_row(state, body or {}) for state, body in states.items()}
        self.finals = frozenset(s for s, body in states.items() if (body or {}).get("final"))
        self._check_targets()
        self._check_events()
        self._check_reach()

    @classmethod
    def load(cls, source, text):
        """Load a chart from the text of a file.

        :param source: name of the file, for messages.
        :raises ChartError: if the text isn't a complete chart.
        """
        try:
            document = yaml.load(text, Loader=UniqueKeyLoader)
        except yaml.YAMLError as error:
            raise ChartError(source, f"not readable: {error}") from error
        return cls(source, document)

    def _build_row(self, state, body):
        check_keys(self.source, body, STATE_KEYS, set(), state)
        transitions = body.get("transitions", {})
        if not isinstance(transitions, dict):
            raise ChartError(self.source, "transitions is not a mapping", state)
        row = dict(transitions)
        for event in check_names(self.source, body.get("ignored", []), "ignored", state):
            if event in row:
                raise ChartError(self.source, "both a transition and ignored", state, event)
            row[event] = None
        for event in row:
            if event not in self.events:
                raise ChartError(self.source, "unknown event", state, event)
        if body.get("final") and transitions:
            raise ChartError(self.source, "a final state has transitions", state)
        return row

    def _check_targets(self):
        if self.initial not in self.rows:
            raise ChartError(self.source, "unknown initial state", self.initial)
        for state, row in self.rows.items():
            for event, target in row.items():
                if target is not None and target not in self.rows:
                    raise ChartError(self.source, f"unknown state {target!r}", state, event)

    def _check_events(self):
        used = {event for row in self.rows.values() for event in row if row[event] is not None}
        for event in sorted(self.events - used):
            raise ChartError(self.source, "leads nowhere from any state", event=event)

    def _check_reach(self):
        reached = self._list_reached(self.initial)
        for state in self.rows:
            if state not in reached:
                raise ChartError(self.source, "unreachable", state)
            if state not in self.finals and not any(self.rows[state].values()):
                raise ChartError(self.source, "no way out, and not final", state)
            if self.finals and not self._list_reached(state) & self.finals:
                raise ChartError(self.source, "reaches no final state", state)

    def _list_reached(self, start):
        reached, pending = {start}, [start]
        while pending:
            for target in self.rows[pending.pop()].values():
                if target is not None and target not in reached:
                    reached.add(target)
                    pending.append(target)
        return reached


class ChartState:
    """The current state of one thing that lives by a chart.

    :param chart: a :class:`Chart`.

    Attributes:

    :ivar state: name of the current state.

    See also: :class:`Chart`.

    Example:

    >>> request = ChartState(load_chart("request"))
    >>> request.fire("queued")
    'queued'
    """

    __slots__ = ("chart", "state", "_row")

    def __init__(self, chart):
        self.chart = chart
        self.state = chart.initial
        self._row = chart.rows[chart.initial]

    @property
    def is_final(self):
        """Whether the state is final."""
        return self.state in self.chart.finals

    def allows(self, event):
        """Return whether the event leads to a state from here."""
        return self._row.get(event) is not None

    def fire(self, event):
        """Take one event.

        :param event: its name.
        :returns: the new state, or ``None`` if the chart ignores the event in this state.
        :raises TransitionError: if the chart doesn't allow the event in this state.
        """
        try:
            target = self._row[event]
        except KeyError:
            raise TransitionError(self.chart.name, self.state, event) from None
        if target is not None:
            self.state = target
            self._row = self.chart.rows[target]
        return target


def check_keys(source, mapping, allowed, required, state):
    """Check the keys of a part of the document.

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
    """Check that a list holds distinct texts.

    :returns: the list.
    :raises ChartError: if it doesn't.
    """
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise ChartError(source, f"{key} is not a list of names", state)
    for name in names:
        if names.count(name) > 1:
            raise ChartError(source, f"{name!r} stands twice in {key}", state)
    return names


@cache
def load_chart(name):
    """Load one of the charts that come with the package, once.

    :param name: ``upstream``, ``zone``, ``connection``, ``request`` or ``process``.
    :raises ChartError: if the file isn't a complete chart.
    """
    path = files("sassafrashook.charts") / f"{name}.yaml"
    return Chart.load(path.name, path.read_text(encoding="utf-8"))
