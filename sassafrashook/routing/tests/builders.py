"""Builders and the ledger driver shared by the routing tests."""

import random

from sassafrashook.configuration import (
    ClientAccount,
    Configuration,
    FleetState,
    Service,
    WorkClass,
)
from sassafrashook.messages import (
    PermitGranted,
    PermitOutcome,
    PermitRefused,
    PermitReleased,
    PermitRequested,
    SessionOpened,
    UpstreamAnnouncement,
    UpstreamKind,
)
from sassafrashook.routing import (
    FleetStateChanged,
    PermitLedger,
    RegisteredRoutersLoaded,
    RouterMessageReceived,
    Send,
    UpstreamAnnounced,
)

SERVICE = "advice"
CLASSES = [
    WorkClass(name="counter", waiting_ms=1_000, completion_ms=20_000, priority=0),
    WorkClass(name="default", waiting_ms=2_000, completion_ms=20_000),
    WorkClass(name="plan", waiting_ms=20_000, completion_ms=120_000, priority=9),
]


def make_fleet_state(revision=1, drained=(), quarantined=(), accounts=(), load_bound=1.25):
    """Return a committed fleet state with three work classes.

    :param drained: names of the drained availability zones.
    :param quarantined: quarantined fingerprints.
    :param accounts: pairs of an account's name and its share.
    """
    configuration = Configuration(
        classes=CLASSES,
        services=[Service(name=SERVICE, kind=UpstreamKind.ENGINE)],
        accounts=[ClientAccount(name=name, share=share) for name, share in accounts],
        load_bound=load_bound,
    )
    return FleetState(
        revision=revision,
        configuration=configuration,
        drained_zones=sorted(drained),
        quarantined=sorted(quarantined),
    )


def make_announcement(name, zone="a", boot="b1", sequence=1, incarnation=1, **options):
    """Return the announcement of an engine with 8 slots, warm and cold, unless overridden."""
    defaults = {"capacity": 8, "cold_capacity": 8, "valid_ms": 10_000_000}
    return UpstreamAnnouncement(
        upstream_id=name,
        kind=UpstreamKind.ENGINE,
        service=SERVICE,
        host="127.0.0.1",
        port=1,
        availability_zone=zone,
        boot_id=boot,
        sequence=sequence,
        incarnation=incarnation,
        **(defaults | options),
    )


def make_query(request_id, key=None, account="shop", work_class="default", **options):
    """Return a permit request.

    :param key: conversation key; derived from ``request_id`` if ``None``.
    """
    defaults = {"waiting_ms": 20_000, "running_ms": 20_000, "fingerprint": request_id}
    return PermitRequested(
        request_id=request_id,
        service=SERVICE,
        conversation_key=request_id * 0x9E3779B97F4A7C15 % 2**64 if key is None else key,
        account=account,
        work_class=work_class,
        **(defaults | options),
    )


class LedgerDriver:
    """Drives a ledger in place of its routers, which send only what a test tells them to.

    :param engines: number of announced engines, spread over the zones ``a``, ``b`` and ``c``.
    :param options: further parameters of the ledger.
    """

    def __init__(self, engines=3, fleet_state=None, epoch=1, ledger_class=PermitLedger, **options):
        self.ledger = ledger_class(epoch=epoch, rng=random.Random(1), **options)
        self.now = 0.0
        self.actions = []
        self.handle(FleetStateChanged(fleet_state or make_fleet_state()))
        for index in range(engines):
            self.handle(UpstreamAnnounced(make_announcement(f"e{index}", zone="abc"[index % 3])))
        self.handle(RegisteredRoutersLoaded(()))
        self.open("r1")

    def handle(self, event):
        """Pass one event to the ledger and return its actions."""
        self.actions = self.ledger.handle(event, self.now)
        return self.actions

    def receive(self, message, router="r1"):
        """Pass one router's message to the ledger and return its actions."""
        return self.handle(RouterMessageReceived(router, message))

    def open(self, router, sequence=None, epoch=None, holdings=(), boot="boot"):
        """Open or renew a router's session."""
        sequence = int(self.now * 1000) if sequence is None else sequence
        epoch = self.ledger.epoch if epoch is None else epoch
        return self.receive(SessionOpened(router, boot, sequence, epoch, list(holdings)), router)

    def request_permit(self, request_id, router="r1", **options):
        """Request a permit; return the grant, the refusal, or ``None`` while the request waits."""
        self.receive(make_query(request_id, **options), router)
        return self.find_answer(request_id)

    def find_answer(self, request_id):
        """Return the grant or refusal of a request among the latest actions, or ``None``."""
        for action in self.actions:
            is_answer = isinstance(action, Send) and isinstance(
                action.message, PermitGranted | PermitRefused
            )
            if is_answer and action.message.request_id == request_id:
                return action.message
        return None

    def release(self, request_id, outcome=PermitOutcome.FINISHED, first_token_ms=-1, router="r1"):
        """Release a permit and return the ledger's actions."""
        return self.receive(PermitReleased(request_id, outcome, first_token_ms), router)

    def pass_time(self, seconds):
        """Advance the clock, renew the router's session and return the actions."""
        until = self.now + seconds
        actions = []
        while (due := self.ledger.next_deadline()) is not None and due <= until:
            self.now = max(self.now, due)
            actions += self.ledger.advance(self.now)
        self.now = until
        self.actions = actions + self.open("r1")
        return self.actions
