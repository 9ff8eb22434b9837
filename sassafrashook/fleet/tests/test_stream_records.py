"""Tests of what a controller answers about the software versions of streams after restarts."""

import itertools
from types import SimpleNamespace

import msgspec

from sassafrashook.fleet import FleetCache, FleetController, FleetState
from sassafrashook.fleet._messages import StreamVersionReply, StreamVersionRequested
from sassafrashook.registry import Registration, RegistrationState, Registry
from sassafrashook.storage import LocalFileSystem, SnapshotStore

CONTROLLERS = ("c1", "c2", "c3")
RECALLED_VALID_S = 2.4


class RecordingMesh:
    """Mesh that records the messages sent.

    :ivar sent: list of messages.
    """

    def __init__(self):
        self.sent = []

    def update_peer_address(self, _address):
        pass

    def subscribe(self, _types, _handler):
        pass

    def send(self, _name, message):
        self.sent.append(message)


class Controller:
    """Controller ``c1`` that is connected to all others and restarts with the same disk.

    :param folder: its data folder.
    :param clock: object with the time, monotonic seconds, as ``now``.
    """

    def __init__(self, folder, clock, monkeypatch):
        self.folder = folder
        self.clock = clock
        self.sequences = itertools.count(1)
        for module in ("_controller", "_streams"):
            time = SimpleNamespace(monotonic=lambda: clock.now, time_ns=lambda: 0)
            monkeypatch.setattr(f"sassafrashook.fleet.{module}.time", time)
        self.restart()

    def restart(self):
        members = [SimpleNamespace(name=name, voter=True) for name in CONTROLLERS]
        replica = SimpleNamespace(
            get_members=lambda: members, add_announcement_targets=lambda _names: None
        )
        store = SnapshotStore(LocalFileSystem(), self.folder, "c1")
        self.mesh = RecordingMesh()
        self.fleet = FleetController(
            "c1", replica, FleetState(), Registry(10.0), self.mesh, 7_340, FleetCache(store),
            RECALLED_VALID_S,
        )  # fmt: skip
        self.fleet.load_cache()

    def save(self):
        assert self.fleet.cache.save(self.fleet.collect_fleet())

    def heartbeat(self, name, version, boot=1, state=RegistrationState.READY):
        registration = Registration(
            name, boot, next(self.sequences), state, "advisor", "10.0.0.1", 80, "z0", version, 8
        )
        self.fleet.registry.merge(registration, self.clock.now)

    def ask(self):
        """Return the reply to a router that asks for a stream of an unnamed request."""
        self.fleet.has_majority = lambda _now: True
        self.fleet.streams_.deliver("r1", StreamVersionRequested(1, 7, "advisor"))
        (reply,) = [m for m in self.mesh.sent if isinstance(m, StreamVersionReply)]
        self.mesh.sent.clear()
        return reply


def make_clock():
    return SimpleNamespace(now=100.0)


def test_versions_of_replaced_and_silent_upstreams_are_known_after_a_restart(tmp_path, monkeypatch):
    clock = make_clock()
    controller = Controller(str(tmp_path), clock, monkeypatch)
    controller.heartbeat("a", "v1", boot=1)
    controller.heartbeat("a", "v1.1", boot=2)
    controller.heartbeat("b", "v1.2")
    controller.heartbeat("b", "v1.2", state=RegistrationState.SILENT)
    controller.save()
    controller.restart()
    clock.now += RECALLED_VALID_S
    assert controller.ask().known_versions == ["v1", "v1.1", "v1.2"]


def test_controller_that_restarted_does_not_answer_for_all_versions_at_once(tmp_path, monkeypatch):
    """Upstreams that registered just before it stopped may be missing in what it had saved."""
    clock = make_clock()
    controller = Controller(str(tmp_path), clock, monkeypatch)
    controller.heartbeat("a", "v1")
    controller.save()
    controller.heartbeat("b", "v1.1")
    controller.restart()
    clock.now += 0.5
    assert not controller.ask().is_current
    controller.heartbeat("b", "v1.1")
    clock.now += RECALLED_VALID_S
    assert controller.ask() == msgspec.structs.replace(
        controller.ask(), known_versions=["v1", "v1.1"], is_current=True
    )
