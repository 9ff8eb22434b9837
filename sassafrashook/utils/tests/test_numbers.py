"""Property tests of the readers of numbers in texts."""

import math

from hypothesis import given
from hypothesis import strategies as st

from sassafrashook.utils import parse_decimal, parse_integer

MAXIMUM = 1_000_000
ODD_DIGITS = "0123456789.,eE+-_ \t²³¹٣０½nfiat\x00"
TEXTS = st.one_of(
    st.text(),
    st.text(alphabet=ODD_DIGITS, max_size=40),
    st.builds(lambda digit, count: digit * count, st.sampled_from("09²٣"), st.integers(1, 6_000)),
)


@given(TEXTS, st.booleans())
def test_any_text_is_a_number_within_its_range_or_none(text, is_capped):
    """Guards against a text that raises an error, or states a number out of its range."""
    for parse, kind in ((parse_integer, int), (parse_decimal, (int, float))):
        number = parse(text, MAXIMUM, is_capped)
        assert number is None or (isinstance(number, kind) and 0 <= number <= MAXIMUM)
        assert number is None or text.isascii()


@given(st.integers(0, 10**30))
def test_integers_are_read_exactly_or_capped(number):
    assert parse_integer(f" {number:040d}", MAXIMUM, is_capped=True) == min(number, MAXIMUM)
    assert parse_integer(str(number), MAXIMUM) == (number if number <= MAXIMUM else None)


@given(st.floats(0, allow_nan=False))
def test_decimals_are_read_as_python_writes_them(number):
    expected = min(number, MAXIMUM) if number < math.inf else None
    assert parse_decimal(str(number), MAXIMUM, is_capped=True) == expected
