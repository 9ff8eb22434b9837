"""Fakes for the interfaces used by the services of a router."""

from sassafrashook.interfaces import Sender


class SilentSender(Sender):
    """Discards all messages."""

    def send(self, peer, message):
        """Discard the message and report that it was not sent."""
        return False
