"""Searches a recorded history for one order that explains it (Wing and Gong)."""

import math
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class Operation:
    """One call of a client.

    :param ended: when the answer came; infinite if none did, so that it may never have run.
    """

    call: tuple
    began: float
    ended: float = math.inf
    result: object = None


def is_linearizable(history, apply, initial):
    """Return whether some order of the calls explains every answer.

    :param history: the :class:`Operation` values.
    :param apply: (state, call) -> (state, result); states are hashable.
    """
    answered = sum(1 << n for n, operation in enumerate(history) if operation.ended < math.inf)
    seen = set()
    stack = [(0, initial)]
    while stack:
        done, state = stack.pop()
        if done & answered == answered:
            return True
        if (done, state) in seen:
            continue
        seen.add((done, state))
        left = [(n, op) for n, op in enumerate(history) if not done >> n & 1]
        horizon = min(operation.ended for _, operation in left)
        for number, operation in left:
            if operation.began > horizon:
                continue
            following, result = apply(state, operation.call)
            if operation.ended == math.inf or result == operation.result:
                stack.append((done | 1 << number, following))
    return False
