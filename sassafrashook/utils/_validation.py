"""The one place where parameters are checked."""

import math

__all__ = ["Interval", "Options", "ParameterError", "check_parameters"]


class ParameterError(ValueError):
    """A parameter is outside its allowed range; the message names parameter, value and range."""


class Interval:
    """A closed range of numbers.

    :param kind: ``int`` or ``float``; a float range also takes whole numbers.
    :param low: smallest allowed value.
    :param high: largest allowed value.
    """

    __slots__ = ("kind", "low", "high")

    def __init__(self, kind, low, high=math.inf):
        self.kind = kind
        self.low = low
        self.high = high

    def allows(self, value):
        """Return whether a value lies in the range."""
        kinds = (int, float) if self.kind is float else (int,)
        is_number = isinstance(value, kinds) and not isinstance(value, bool)
        return is_number and self.low <= value <= self.high

    def __str__(self):
        return f"{self.kind.__name__} in [{self.low}, {self.high}]"


class Options:
    """A set of allowed values or types.

    :param options: each a type, ``None``, or a value that is compared by equality.
    """

    __slots__ = ("options",)

    def __init__(self, *options):
        self.options = options

    def allows(self, value):
        """Return whether a value is one of the options."""
        return any(
            isinstance(value, option) if isinstance(option, type) else value == option
            for option in self.options
        )

    def __str__(self):
        names = (o.__name__ if isinstance(o, type) else repr(o) for o in self.options)
        return "one of " + ", ".join(names)


def check_parameters(instance, constraints):
    """Check stored parameters against their constraints.

    :param instance: the object that stores each parameter under its own name.
    :param constraints: mapping from parameter name to an :class:`Interval` or :class:`Options`.
    :raises ParameterError: for the first value that is not allowed.
    """
    for name, constraint in constraints.items():
        value = getattr(instance, name)
        if not constraint.allows(value):
            raise ParameterError(
                f"parameter {name!r} of {type(instance).__name__} is {value!r}; "
                f"allowed: {constraint}"
            )
