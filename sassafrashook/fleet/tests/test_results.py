"""Exchange of results and ejections between routers and controllers."""

import time
from types import SimpleNamespace

from sassafrashook.ejection import UpstreamResults
from sassafrashook.fleet._exchange import LoadExchange
from sassafrashook.fleet._messages import LoadReported, LoadShared, OtherLoads
from sassafrashook.quarantine import CrashLedger
from sassafrashook.registry import Registration, RegistrationState, Registry


def make_exchange(sent, other_controller):
    registry = Registry(3.0, 1.0)
    for number, name in enumerate("abc"):
        registration = Registration(
            name, 1, 1, RegistrationState.READY, "orders", "10.0.0.1", 80 + number, "z", "v1", 8
        )
        registry.merge(registration, time.monotonic())
    mesh = SimpleNamespace(send=lambda name, message: sent.append((name, message)))
    publisher = SimpleNamespace(list_controllers=lambda _now, _within: [other_controller])
    return LoadExchange(mesh, registry, CrashLedger(), publisher)


def make_report(failed):
    results = [UpstreamResults(name, 1, 20, 0) for name in "bc"]
    return LoadReported({}, results=[*results, UpstreamResults("a", 1, 20 - failed, failed)])


def test_routers_of_every_controller_learn_of_ejections():
    """Guards against results that reach only the controller of the routers that counted them."""
    sent, now = [], time.monotonic()
    exchanges = {"c1": make_exchange(sent, "c2"), "c2": make_exchange(sent, "c1")}
    for router in ("r1", "r2"):
        exchanges["c1"].deliver(router, make_report(failed=10))
    exchanges["c2"].deliver("r3", LoadReported({}))
    exchanges["c1"].send_due(now)
    exchanges["c1"].send_due(now + 1.0)
    shared = [message for name, message in sent if name == "c2"]
    assert all(isinstance(message, LoadShared) for message in shared)
    assert [len(message.results) for message in shared] == [3, 0]
    exchanges["c2"].deliver("c1", shared[0])
    exchanges["c2"].send_due(now)
    to_routers = {name: message for name, message in sent if isinstance(message, OtherLoads)}
    ejected = {name: [e.upstream_id for e in m.ejections] for name, m in to_routers.items()}
    assert ejected == {"r1": ["a"], "r2": ["a"], "r3": ["a"]}
