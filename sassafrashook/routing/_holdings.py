"""What a router waits for and holds."""

from dataclasses import dataclass

from sassafrashook.gateways import Permit
from sassafrashook.messages import Holding, PermitReleased, PermitRequested


@dataclass(slots=True, eq=False)
class Wait:
    """One request that waits for a permit.

    :param request_id: under which the owner was asked, 0 while it was not.
    :param asked: seconds when it was asked first under this id.
    """

    token: object
    query: PermitRequested
    deadline: float
    request_id: int = 0
    asked: float = 0.0


@dataclass(slots=True, eq=False)
class Held:
    """One permit in use.

    :param deadline: seconds until which its request may run.
    :param release: what to tell the owner once the session is open, or ``None`` while in use.
    """

    permit: Permit
    query: PermitRequested
    deadline: float
    release: PermitReleased | None = None


def make_holding(held, now):
    """Return what a new owner is told of a permit."""
    running_s = held.deadline - now if held.release is None else 0.0
    return Holding(
        request_id=held.permit.request_id,
        upstream_id=held.permit.upstream_id,
        boot_id=held.permit.boot_id,
        account=held.query.account,
        work_class=held.query.work_class,
        fingerprint=held.query.fingerprint,
        running_ms=max(0, int(running_s * 1000)),
    )
