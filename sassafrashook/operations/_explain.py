"""Reads log lines of several processes back, for the story of one request."""

import json
import re
from dataclasses import dataclass

BELIEF_EVENTS = (
    "configuration_adopted",
    "controller_heard",
    "controller_left",
    "started",
    "upstream_reachable",
    "upstream_unreachable",
    "upstreams_changed",
    "zones_returned",
)
MAX_CONTEXT_LINES = 8
PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')  # a quoted value is a JSON string


@dataclass(slots=True, frozen=True)
class LogLine:
    """One line of a log.

    :param source: the file that it stands in, and what precedes the line's own text there.
    :param time: its time, as written.
    :param pairs: its other values by key.
    """

    source: str
    time: str
    pairs: dict

    @property
    def event(self):
        """Name of its event."""
        return self.pairs.get("event", "")


def parse_line(text, source):
    """Read one line; :returns: a :class:`LogLine`, or ``None`` if it is none.

    >>> line = parse_line('edge-1 time=2026-08-05T11:19:20.1 event=a detail="b c"', "f")
    >>> line.source, line.pairs
    ('f edge-1', {'event': 'a', 'detail': 'b c'})
    """
    before, separator, rest = text.rstrip("\n").partition("time=")
    if not separator:
        return None
    time, _, rest = rest.partition(" ")
    pairs = {}
    try:
        for key, value in PAIR.findall(rest):
            pairs[key] = json.loads(value) if value.startswith('"') else value
    except ValueError:
        return None  # a line that was cut while it was written
    label = before.split()[-1] if before.split() else ""
    return LogLine(f"{source} {label}".strip(), time, pairs)


def format_event(line):
    """Return a line's event and its other values, without the id that all have."""
    values = {k: v for k, v in line.pairs.items() if k not in ("event", "level", "request")}
    return " ".join([line.event, *(f"{key}={value}" for key, value in values.items())])


def explain_request(request_id, lines):
    """Return the lines of one request in order, and what its routers had come to believe before.

    :param request_id: the client's id of the request.
    :param lines: iterable of :class:`LogLine`, each process's in order.
    :returns: list of pairs of ``request`` or ``belief`` and the line.
    """
    recent, found = {}, []
    for line in lines:
        if line.pairs.get("request") == request_id:
            found.extend(("belief", earlier) for earlier in recent.pop(line.source, ()))
            found.append(("request", line))
        elif line.event in BELIEF_EVENTS:
            kept = recent.setdefault(line.source, [])
            kept.append(line)
            del kept[:-MAX_CONTEXT_LINES]
    return sorted(found, key=lambda pair: pair[1].time)


def find_cause(lines):
    """Return one sentence on why a request ended as it did.

    :param lines: the request's own :class:`LogLine`, in order.
    """
    by_event = {}
    for line in lines:
        by_event.setdefault(line.event, []).append(line.pairs)
    if "request_ended" in by_event:
        return _tell_end(by_event["request_ended"][-1], by_event)
    if "request_rejected" in by_event:
        pairs = by_event["request_rejected"][-1]
        return f"rejected before it was placed: {pairs['reason']} at version {pairs['version']}"
    return "no line says how it ended: the process stopped before, or the line was left out"


def _tell_end(pairs, by_event):
    if pairs["outcome"] == "answered":
        return f"answered by {pairs['upstream']} with {pairs['detail']} after {pairs['ms']} ms"
    if pairs["outcome"] == "client_left":
        return f"the client left after {pairs['ms']} ms"
    text = f"{pairs['outcome']} ({pairs['detail']}), verdict {pairs['verdict']}"
    if "attempt_failed" in by_event:
        failure = by_event["attempt_failed"][-1]
        text += f": {failure['kind']} at {failure['upstream']}, {failure['detail']}"
    if "request_unplaced" in by_event:
        refusal = by_event["request_unplaced"][-1]
        text += (
            f": {refusal['reason']} with {refusal['candidates']} candidates,"
            f" {refusal['suspended']} suspended, {refusal['tried']} tried"
        )
    if "request_not_retried" in by_event:
        text += f"; no further try: {by_event['request_not_retried'][-1]['reason']}"
    return text
