"""Drives the routing cores inside another program: no sockets, no clock of their own."""

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
    FleetStateChanged,
    FromController,
    FromRouter,
    PermitClient,
    PermitLedger,
    ReleaseRequested,
    RoutersKnown,
    Send,
    UpstreamSeen,
)
from sassafrashook.utils import hash_key

ENGINES = 3
CHATS = 6


class Embedding:
    """One owner and one router whose messages are handed over in place."""

    def __init__(self):
        self.ledger = PermitLedger(epoch=1, rng=random.Random(1))
        self.client = PermitClient("router-1", "boot", ["owner"], random.Random(2))
        self.permits = {}
        configuration = Configuration(
            classes=[WorkClass(name="default", waiting_ms=500, completion_ms=60_000)],
            services=[Service(name="advice", kind=UpstreamKind.ENGINE)],
        )
        self.ledger.handle(FleetStateChanged(FleetState(1, configuration)), 0.0)
        self.ledger.handle(RoutersKnown(()), 0.0)

    def announce(self, name):
        """Tell the owner of an engine."""
        announcement = UpstreamAnnouncement(
            name, UpstreamKind.ENGINE, "advice", "127.0.0.1", 8000, "zone-a", "boot", 1, 1,
            capacity=8, cold_capacity=8, valid_ms=60_000,
        )  # fmt: skip
        self.ledger.handle(UpstreamSeen(announcement), 0.0)

    def carry(self, actions, now):
        """Carry the client's messages to the ledger and the answers back."""
        for action in actions:
            if isinstance(action, Acquired):
                self.permits[action.token] = action.permit
            elif isinstance(action, Send):
                event = FromRouter("router-1", action.message)
                for answer in self.ledger.handle(event, now):
                    event = FromController("owner", answer.message)
                    self.carry(self.client.handle(event, now), now)

    def chat(self, conversation, now):
        """Place one chat; return the engine."""
        key = hash_key(f"chat-{conversation}")
        query = PermitRequested(0, "advice", key, "shop", "default", 0, 60_000, key)
        self.carry(self.client.handle(AcquireRequested(conversation, query, now + 1), now), now)
        return self.permits[conversation]


def main():
    """Place some chats, and one of them again after its return."""
    embedding = Embedding()
    for number in range(ENGINES):
        embedding.announce(f"engine-{number}")
    embedding.carry(embedding.client.advance(0.0), 0.0)
    placed = {chat: embedding.chat(chat, 0.1).upstream_id for chat in range(CHATS)}
    for permit in embedding.permits.values():
        ended = ReleaseRequested(permit.request_id, PermitOutcome.FINISHED, 40)
        embedding.carry(embedding.client.handle(ended, 0.2), 0.2)
    again = embedding.chat(0, 0.3).upstream_id
    print(f"placed: {placed}; chat 0 returned to {again}")
    return placed[0] == again


if __name__ == "__main__":
    raise SystemExit(0 if main() else 1)
