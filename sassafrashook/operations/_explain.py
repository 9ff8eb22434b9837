"""Parses log lines of several processes and explains the outcome of one request."""

import json
import re
from dataclasses import dataclass

# Events that change what a process knows of upstreams, controllers and configuration.
CONTEXT_EVENTS = (
    "configuration_adopted",
    "controller_heard",
    "controller_left",
    "rate_limit_changed",
    "started",
    "upstream_crashed",
    "upstream_reachable",
    "upstream_unreachable",
    "upstreams_changed",
    "zones_returned",
)
MAX_CONTEXT_LINES = 8
FIELD_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')  # a quoted value is a JSON string


@dataclass(slots=True, frozen=True)
class LogLine:
    """A parsed log line.

    :param source: file of the line, and the prefix of the line in that file if it has one.
    :param time: timestamp as written.
    :param fields: other fields by key.
    """

    source: str
    time: str
    fields: dict

    @property
    def event(self):
        """Name of the event, empty if the line has none."""
        return self.fields.get("event", "")


def parse_log_line(text, source):
    """Parse one line of a log file.

    :param text: the line.
    :param source: name of the file.
    :returns: a :class:`LogLine`, or ``None`` if the line is incomplete or no log line.

    >>> line = parse_log_line('edge-1 time=2026-08-05T11:19:20.1 event=a detail="b c"', "f")
    >>> line.source, line.fields
    ('f edge-1', {'event': 'a', 'detail': 'b c'})
    """
    prefix, separator, rest = text.rstrip("\n").partition("time=")
    if not separator:
        return None
    time, _, rest = rest.partition(" ")
    fields = {}
    try:
        for key, value in FIELD_PATTERN.findall(rest):
            fields[key] = json.loads(value) if value.startswith('"') else value
    except ValueError:
        return None  # the line was truncated while it was written
    label = prefix.split()[-1] if prefix.split() else ""
    return LogLine(f"{source} {label}".strip(), time, fields)


def format_event(line):
    """Return the event of a line and its fields other than level and request id."""
    values = {k: v for k, v in line.fields.items() if k not in ("event", "level", "request")}
    return " ".join([line.event, *(f"{key}={value}" for key, value in values.items())])


def collect_request_lines(request_id, lines):
    """Return the log lines of one request with the context events that precede them.

    Only :mod:`sassafrashook.gateway` logs lines with the field ``request``.

    :param request_id: id of the request, as in the field ``request`` of the log lines.
    :param lines: iterable of :class:`LogLine`, in order for each process.
    :returns: list of (kind, line) in order of time, where the kind is ``request``, or ``belief``
        for one of the last ``MAX_CONTEXT_LINES`` context events of a process.
    """
    recent, matches = {}, []
    for line in lines:
        if line.fields.get("request") == request_id:
            matches.extend(("belief", earlier) for earlier in recent.pop(line.source, ()))
            matches.append(("request", line))
        elif line.event in CONTEXT_EVENTS:
            kept = recent.setdefault(line.source, [])
            kept.append(line)
            del kept[:-MAX_CONTEXT_LINES]
    return sorted(matches, key=lambda pair: pair[1].time)


def describe_cause(lines):
    """Return one sentence that explains the outcome of a request.

    :param lines: log lines of the request, list of :class:`LogLine` in order.
    """
    by_event = {}
    for line in lines:
        by_event.setdefault(line.event, []).append(line.fields)
    if "request_ended" in by_event:
        return _describe_end(by_event["request_ended"][-1], by_event)
    if "request_rejected" in by_event:
        fields = by_event["request_rejected"][-1]
        return (
            f"rejected before placement: {fields['reason']}"
            f" (configuration version {fields['version']})"
        )
    return "no log line records how it ended: the process stopped first, or the line was dropped"


def _describe_end(fields, by_event):
    if fields["outcome"] == "answered":
        return f"answered by {fields['upstream']} with {fields['detail']} after {fields['ms']} ms"
    if fields["outcome"] == "client_left":
        return f"the caller disconnected after {fields['ms']} ms"
    text = f"{fields['outcome']} ({fields['detail']}), verdict {fields['verdict']}"
    if "attempt_failed" in by_event:
        failure = by_event["attempt_failed"][-1]
        text += f": {failure['kind']} at {failure['upstream']}, {failure['detail']}"
    if "request_quarantined" in by_event:
        quarantine = by_event["request_quarantined"][-1]
        text += f": trait {quarantine['trait']} crashed {quarantine['crashed']}"
    if "request_unplaced" in by_event:
        refusal = by_event["request_unplaced"][-1]
        text += (
            f": {refusal['reason']} with {refusal['candidates']} candidates,"
            f" {refusal['suspended']} suspended, {refusal['tried']} tried"
        )
    if "request_not_retried" in by_event:
        text += f"; no further try: {by_event['request_not_retried'][-1]['reason']}"
    return text
