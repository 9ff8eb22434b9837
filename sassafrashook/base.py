"""Abstract base classes that all packages share.

A *core* is a sans-I/O state machine. It does no input or output, reads no clock and draws no random
numbers itself: it takes events and the current time and returns actions. The same core therefore
runs in a daemon, in a randomised test and in a program that embeds the library.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from sassafrashook.utils import check_parameters

__all__ = ["Action", "Core", "Count", "Event", "Parametrized", "Send", "StateMachine"]


class Event:
    """Base class of the inputs of a :class:`Core` other than received messages."""

    __slots__ = ()


class Action:
    """Base class of the outputs of a :class:`Core`, which its driver carries out."""

    __slots__ = ()


@dataclass(slots=True, frozen=True)
class Send(Action):
    """Sends a message to a process; delivery is not guaranteed.

    :param peer: name of the receiving process.
    :param message: a :class:`~sassafrashook.messages.Message`.
    """

    peer: str
    message: object


@dataclass(slots=True, frozen=True)
class Count(Action):
    """Increments a counter.

    :param name: metric name.
    :param attribute: value of the metric's only attribute, such as a refusal reason.
    :param amount: increment.
    """

    name: str
    attribute: str
    amount: int = 1


class Parametrized:
    """Base class of classes whose ``__init__`` only stores its parameters.

    Subclasses list the allowed values in ``_parameter_constraints`` and call
    :meth:`validate_parameters` once, before they first use the parameters.

    :raises ParameterError: from :meth:`validate_parameters`, with the parameter, value and range.
    """

    _parameter_constraints = {}

    def validate_parameters(self):
        """Check every parameter against ``_parameter_constraints``.

        :raises ParameterError: for the first parameter that is outside its allowed range.
        """
        check_parameters(self, self._parameter_constraints)


class Core(Parametrized):
    """Base class of sans-I/O state machines.

    Times are seconds on a monotonic clock that the caller reads. Attributes that hold live state
    have names that end in an underscore.
    """

    @abstractmethod
    def handle(self, event, now):
        """Process one event.

        :param event: the :class:`Event` or received message.
        :param now: the current time, seconds.
        :returns: the list of actions to carry out, in order.
        """

    @abstractmethod
    def advance(self, now):
        """Process all timers that have expired.

        :param now: the current time, seconds.
        :returns: the list of actions to carry out, in order.
        """

    @abstractmethod
    def next_deadline(self):
        """Return the time at which :meth:`advance` must be called next.

        :returns: seconds on the caller's clock, or ``None`` if no timer is pending.
        """


class StateMachine(ABC):
    """Base class of deterministic state machines that apply the commands of a replicated log."""

    @abstractmethod
    def apply(self, index, command):
        """Apply one committed command.

        :param index: log index of the command, from 1.
        :param command: encoded command, ``bytes``.
        :returns: the encoded reply, ``bytes``, identical on every replica.
        """

    @abstractmethod
    def save(self):
        """Encode the whole state as a snapshot.

        :returns: ``bytes``; equal states give equal bytes on every replica.
        """

    @abstractmethod
    def restore(self, snapshot):
        """Replace the whole state by that of a snapshot.

        :param snapshot: result of :meth:`save`, ``bytes``.
        """
