"""Validation of constructor parameters."""

import math

__all__ = ["Interval", "Options", "ParameterError", "check_parameters"]


class ParameterError(ValueError):
    """Raised for a parameter outside its allowed range; names parameter, value and range."""


class Interval:
    """Closed interval of allowed numbers.

    :param kind: ``int`` or ``float``; a ``float`` interval also accepts ``int`` values.
    :param low: smallest allowed value.
    :param high: largest allowed value.
    """

    __slots__ = ("kind", "low", "high")

    def __init__(self, kind, low, high=math.inf):
        self.kind = kind
        self.low = low
        self.high = high

    def allows(self, value):
        """Return whether a value is a number of the right type within the interval."""
        types = (int, float) if self.kind is float else (int,)
        is_number = isinstance(value, types) and not isinstance(value, bool)
        return is_number and self.low <= value <= self.high

    def __str__(self):
        return f"{self.kind.__name__} in [{self.low}, {self.high}]"


class Options:
    """Set of allowed values and types.

    :param options: types, which allow their instances, or values, which are compared by equality.
    """

    __slots__ = ("options",)

    def __init__(self, *options):
        self.options = options

    def allows(self, value):
        """Return whether a value equals an option or is an instance of one."""
        return any(
            isinstance(value, option) if isinstance(option, type) else value == option
            for option in self.options
        )

    def __str__(self):
        labels = (o.__name__ if isinstance(o, type) else repr(o) for o in self.options)
        return "one of " + ", ".join(labels)


def check_parameters(instance, constraints):
    """Check the parameters of an object against their constraints.

    :param instance: object that stores each parameter in an attribute of the same name.
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
