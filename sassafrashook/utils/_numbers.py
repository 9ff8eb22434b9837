"""Numbers in texts that come from outside, with a range for each."""

import math
import re

__all__ = ["parse_decimal", "parse_integer"]

INTEGER = re.compile(r"[ \t]*0*([0-9]+)[ \t]*", re.ASCII)
DECIMAL = re.compile(
    r"[ \t]*((?:[0-9]+(?:\.[0-9]*)?|\.[0-9]+)(?:[eE][+-]?[0-9]{1,3})?)[ \t]*", re.ASCII
)


def parse_integer(text, maximum, is_capped=False):
    """Return the integer from 0 to ``maximum`` that a text states in ASCII digits.

    :param text: the text, ``None`` if there is none.
    :param maximum: largest number that makes sense.
    :param is_capped: whether a larger number is taken as ``maximum``.
    :returns: ``None`` if there is no such number.

    >>> parse_integer(" 007", 100), parse_integer("101", 100), parse_integer("101", 100, True)
    (7, None, 100)
    >>> parse_integer("\u00b2", 100), parse_integer("-1", 100), parse_integer("9" * 5_000, 100)
    (None, None, None)
    """
    match = INTEGER.fullmatch(text) if text is not None else None
    if match is None:
        return None
    # The interpreter limits how many digits it converts.
    is_long = len(match[1]) > len(str(maximum))
    if is_long or int(match[1]) > maximum:
        return maximum if is_capped else None
    return int(match[1])


def parse_decimal(text, maximum, is_capped=False):
    """Return the number from 0 to ``maximum`` that a text states in ASCII digits.

    :param text: the text, ``None`` if there is none.
    :param maximum: largest number that makes sense.
    :param is_capped: whether a larger finite number is taken as ``maximum``.
    :returns: ``None`` if there is no such number.

    >>> parse_decimal("1.5", 10), parse_decimal("1e3", 10), parse_decimal("1e3", 10, True)
    (1.5, None, 10)
    >>> parse_decimal("nan", 10), parse_decimal("1_0", 10), parse_decimal("1e400", 10, True)
    (None, None, None)
    """
    match = DECIMAL.fullmatch(text) if text is not None else None
    number = float(match[1]) if match is not None else math.inf
    if number <= maximum:
        return number
    return maximum if is_capped and number < math.inf else None
