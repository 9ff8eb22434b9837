"""Abstract base classes that every subject shares, with uniform verbs.

A *core* holds decisions only. It does no input or output, reads no clock and draws no random
number of its own: events and the current time come in, actions go out. The same core runs in a
daemon, in a randomised test and inside an embedding program.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from sassafrashook.utils import check_parameters

__all__ = ["Action", "Core", "Count", "Event", "Parametrized", "Send", "StateMachine"]


class Event:
    """Base of everything that a core is told."""

    __slots__ = ()


class Action:
    """Base of everything that a core asks its driver to do."""

    __slots__ = ()


@dataclass(slots=True, frozen=True)
class Send(Action):
    """Send a message to a named process; it may be lost.

    :param message: a :class:`~sassafrashook.messages.Message`.
    """

    peer: str
    message: object


@dataclass(slots=True, frozen=True)
class Count(Action):
    """Add to a counter.

    :param name: metric name.
    :param attribute: value of the metric's one attribute, such as a refusal reason.
    """

    name: str
    attribute: str
    amount: int = 1


class Parametrized:
    """Base of classes whose ``__init__`` only stores parameters.

    Subclasses list the allowed values in ``_parameter_constraints`` and call
    :meth:`validate_parameters` in the one place where they start to work.

    :raises ParameterError: from :meth:`validate_parameters`, naming parameter, value and range.
    """

    _parameter_constraints = {}

    def validate_parameters(self):
        """Check every parameter against ``_parameter_constraints``.

        :raises ParameterError: for the first parameter outside its allowed range.
        """
        check_parameters(self, self._parameter_constraints)


class Core(Parametrized):
    """Base of the sans-I/O state machines.

    Times are seconds of one monotonic clock, handed in by the caller. Live state is held in
    attributes whose names end in an underscore.
    """

    @abstractmethod
    def handle(self, event, now):
        """Take one event.

        :param event: the :class:`Event` or message that happened.
        :param now: the current time, seconds.
        :returns: the list of actions to carry out, in order.
        """

    @abstractmethod
    def advance(self, now):
        """Do what has become due.

        :param now: the current time, seconds.
        :returns: the list of actions to carry out, in order.
        """

    @abstractmethod
    def next_deadline(self):
        """Return when :meth:`advance` must be called next.

        :returns: seconds on the caller's clock, or ``None`` if nothing is pending.
        """


class StateMachine(ABC):
    """Base of what a replicated log carries: deterministic, told nothing but committed commands."""

    @abstractmethod
    def apply(self, index, command):
        """Apply one committed command.

        :param index: log index of the command, from 1.
        :param command: encoded command, ``bytes``.
        :returns: the encoded reply, ``bytes``, the same on every replica.
        """

    @abstractmethod
    def save(self):
        """Return the whole state, encoded, for a snapshot.

        :returns: ``bytes``; equal states give equal bytes on every replica.
        """

    @abstractmethod
    def restore(self, snapshot):
        """Replace the whole state by a snapshot.

        :param snapshot: what :meth:`save` returned, ``bytes``.
        """
