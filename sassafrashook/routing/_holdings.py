"""Records of a router's waiting requests and permits in use."""

from dataclasses import dataclass

from sassafrashook.interfaces import Permit
from sassafrashook.messages import Holding, PermitReleased, PermitRequested


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that waits for a permit.

    :param token: the driver's key for the request.
    :param query: the permit request to send.
    :param deadline: seconds until which the request may wait.
    :param request_id: id under which it was sent to the owner, or 0 if it was not.
    :param first_sent_at: seconds when it was first sent under this id.
    """

    token: object
    query: PermitRequested
    deadline: float
    request_id: int = 0
    first_sent_at: float = 0.0


@dataclass(slots=True, eq=False)
class HeldPermit:
    """A permit in use, or one whose release is to be sent.

    :param permit: the permit.
    :param query: the permit request that it answers.
    :param deadline: seconds until which its request may run; once a crash was reported, seconds
        until which the crash is reported again to new owners.
    :param release: the message that ends it, sent once the session is open; ``None`` while the
        request runs.
    """

    permit: Permit
    query: PermitRequested
    deadline: float
    release: PermitReleased | None = None


def make_holding(held, now):
    """Return the description of a permit that is sent to a new owner.

    :param held: the :class:`HeldPermit`.
    :param now: the current time, seconds.
    :returns: a :class:`~sassafrashook.messages.Holding`; its running time is 0 if the request has
        ended.
    """
    remaining_s = held.deadline - now if held.release is None else 0.0
    return Holding(
        request_id=held.permit.request_id,
        upstream_id=held.permit.upstream_id,
        boot_id=held.permit.boot_id,
        account=held.query.account,
        work_class=held.query.work_class,
        fingerprint=held.query.fingerprint,
        running_ms=max(0, int(remaining_s * 1000)),
    )
