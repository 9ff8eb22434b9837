"""Base class of the services of a controller process."""

from abc import ABC, abstractmethod

from sassafrashook.base import Parametrized

__all__ = ["ControllerService"]


class ControllerService(Parametrized, ABC):
    """Base class of a service with its own state and tasks that receives messages.

    :attr:`handled_messages` lists the message types that :meth:`deliver` accepts. Several services
    may handle the same type.

    See also :class:`ClaimService`, :class:`ConfigurationService`, :class:`PermitService`.
    """

    handled_messages = ()

    @abstractmethod
    def start(self):
        """Validate the parameters and start the tasks.

        :raises ParameterError: for a parameter outside its allowed range.
        """

    @abstractmethod
    def stop(self):
        """Stop the tasks; no message is sent after this returns."""

    def deliver(self, sender, message):
        """Accept one message without blocking.

        :param sender: name of the process that sent the message.
        :param message: one of :attr:`handled_messages`.
        """
