"""What every service of a controller process has in common."""

from abc import ABC, abstractmethod

from sassafrashook.base import Parametrized

__all__ = ["ControllerService"]


class ControllerService(Parametrized, ABC):
    """A task of a controller process that owns its state and is told messages.

    :attr:`handled_messages` lists the message types that :meth:`deliver` takes; one type may
    interest several services.

    See also :class:`ClaimService`, :class:`ConfigurationService`, :class:`PermitService`.
    """

    handled_messages = ()

    @abstractmethod
    def start(self):
        """Check the parameters and start the tasks.

        :raises ParameterError: for a parameter outside its allowed range.
        """

    @abstractmethod
    def stop(self):
        """End the tasks; nothing is sent afterwards."""

    def deliver(self, sender, message):
        """Take one message without blocking.

        :param sender: name of the process that it came from.
        :param message: one of :attr:`handled_messages`.
        """
