"""Fakes for the interfaces used by the services of a router."""

from sassafrashook.interfaces import Sender


class UnreachableSender(Sender):
    """Fails to send any message, as if no peer could be reached."""

    def send(self, peer, message):
        """Discard the message and report that it was not sent."""
        return False
