"""Formats the output of operator commands as aligned text or JSON."""

import json
import sys


def print_response(body, as_json, columns=None, rows=None):
    """Print one response.

    :param body: decoded JSON object.
    :param as_json: whether to print the object as JSON.
    :param columns: column headings to print a table, or ``None`` to print one line per key.
    :param rows: rows of the table, lists as long as ``columns``.
    """
    if as_json:
        print(json.dumps(body, indent=2, sort_keys=True))
    elif columns is not None:
        print(format_table(columns, rows))
    else:
        print(format_pairs(body))


def print_error(text):
    """Print an error message to standard error."""
    print(text, file=sys.stderr)


def format_table(columns, rows):
    """Return a table with aligned columns.

    :param columns: column headings.
    :param rows: list of rows, lists as long as ``columns``.
    """
    texts = [[_format_value(value) for value in row] for row in [columns, *rows]]
    widths = [max(len(row[index]) for row in texts) for index in range(len(columns))]
    lines = ("  ".join(t.ljust(w) for t, w in zip(row, widths, strict=True)) for row in texts)
    return "\n".join(line.rstrip() for line in lines)


def format_pairs(body):
    """Return one line per key of a dictionary, with aligned values."""
    width = max((len(key) for key in body), default=0)
    return "\n".join(f"{key.ljust(width)}  {_format_value(value)}" for key, value in body.items())


def _format_value(value):
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ",".join(str(item) for item in value) or "-"
    if value in (None, ""):
        return "-"
    return str(value)
