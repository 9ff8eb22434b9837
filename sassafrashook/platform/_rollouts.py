"""Decoding of the orders of rollouts."""

from typing import Annotated

import msgspec
from returns.result import Failure, Success

MAX_DURATION_S = 86_400
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class RolloutOrder(msgspec.Struct, frozen=True):
    """Order of an operator.

    :param service: name of the service.
    :param to: software version that the traffic is moved to.
    :param duration_s: time within which the rollout must end, in seconds.
    """

    service: _Name
    to: _Name
    duration_s: Annotated[float, msgspec.Meta(gt=0, le=MAX_DURATION_S)]


def decode_rollout_order(body):
    """Decode an order.

    :param body: the order as JSON, ``bytes``.
    :returns: ``Success`` of a :class:`RolloutOrder` or ``Failure`` of an error message.
    """
    try:
        return Success(msgspec.json.decode(body, type=RolloutOrder))
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return Failure(str(error))
