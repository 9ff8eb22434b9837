"""Fakes at the interfaces of a router's drivers."""

from sassafrashook.gateways import Sender


class SilentSender(Sender):
    """Sends nothing."""

    def send(self, peer, message):
        """Drop the message."""
        return False
