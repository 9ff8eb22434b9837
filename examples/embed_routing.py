"""Embeds the routing cores in another program, which delivers their messages and sets the time.

The cores open no sockets and read no clock, so the program passes every message from one to the
other and gives the time with each call.

Usage: ``python -m examples.embed_routing``
"""

import random

from sassafrashook.configuration import Configuration, FleetState, Service, WorkClass
from sassafrashook.messages import (
    PermitOutcome,
    PermitRequested,
    UpstreamAnnouncement,
    UpstreamKind,
)
from sassafrashook.routing import (
    Acquired,
    AcquireRequested,
    ControllerMessageReceived,
    FleetStateChanged,
    PermitClient,
    PermitLedger,
    RegisteredRoutersLoaded,
    ReleaseRequested,
    RouterMessageReceived,
    Send,
    UpstreamAnnounced,
)
from sassafrashook.utils import hash_key

ENGINE_COUNT = 3
CHAT_COUNT = 6


class EmbeddedRouting:
    """One owner and one router that exchange messages by function calls.

    :ivar permits_: permits granted, by the number of the conversation.
    """

    def __init__(self):
        self.ledger = PermitLedger(epoch=1, rng=random.Random(1))
        self.client = PermitClient("router-1", "boot", ["owner"], random.Random(2))
        self.permits_ = {}
        configuration = Configuration(
            classes=[WorkClass(name="default", waiting_ms=500, completion_ms=60_000)],
            services=[Service(name="advice", kind=UpstreamKind.ENGINE)],
        )
        self.ledger.handle(FleetStateChanged(FleetState(1, configuration)), 0.0)
        self.ledger.handle(RegisteredRoutersLoaded(()), 0.0)

    def announce_engine(self, name):
        """Announce an engine to the owner."""
        announcement = UpstreamAnnouncement(
            name, UpstreamKind.ENGINE, "advice", "127.0.0.1", 8000, "zone-a", "boot", 1, 1,
            capacity=8, cold_capacity=8, valid_ms=60_000,
        )  # fmt: skip
        self.ledger.handle(UpstreamAnnounced(announcement), 0.0)

    def deliver(self, actions, now):
        """Deliver the router's messages to the owner, and the replies to the router.

        :param actions: actions that the permit client returned.
        :param now: current time in seconds, on any clock that does not go back.
        """
        for action in actions:
            if isinstance(action, Acquired):
                self.permits_[action.token] = action.permit
            elif isinstance(action, Send):
                event = RouterMessageReceived("router-1", action.message)
                for reply in self.ledger.handle(event, now):
                    event = ControllerMessageReceived("owner", reply.message)
                    self.deliver(self.client.handle(event, now), now)

    def place_chat(self, conversation, now):
        """Acquire a permit for a chat.

        :param conversation: number of the conversation; its key determines the preferred engine.
        :param now: current time in seconds.
        :returns: the permit, which names the engine.
        """
        key = hash_key(f"chat-{conversation}")
        request = PermitRequested(0, "advice", key, "shop", "default", 0, 60_000, key)
        self.deliver(self.client.handle(AcquireRequested(conversation, request, now + 1), now), now)
        return self.permits_[conversation]


def main():
    """Place several chats, end them, and place the first one again.

    :returns: whether the returning chat got the same engine as before.
    """
    routing = EmbeddedRouting()
    for number in range(ENGINE_COUNT):
        routing.announce_engine(f"engine-{number}")
    routing.deliver(routing.client.advance(0.0), 0.0)
    placed = {chat: routing.place_chat(chat, 0.1).upstream_id for chat in range(CHAT_COUNT)}
    for permit in routing.permits_.values():
        release = ReleaseRequested(permit.request_id, PermitOutcome.FINISHED, 40)
        routing.deliver(routing.client.handle(release, 0.2), 0.2)
    returned_to = routing.place_chat(0, 0.3).upstream_id
    print(f"placed: {placed}; chat 0 returned to {returned_to}")
    return placed[0] == returned_to


if __name__ == "__main__":
    raise SystemExit(0 if main() else 1)
