"""Linearizability checker for recorded histories, after Wing and Gong."""

import math
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class Operation:
    """One operation of a client.

    :param call: the operation and its arguments.
    :param started_at: when the client sent it.
    :param ended_at: when the reply arrived; infinite if none did, so that the operation may or
        may not have taken effect.
    :param result: the reply.
    """

    call: tuple
    started_at: float
    ended_at: float = math.inf
    result: object = None


def is_linearizable(history, apply, initial):
    """Return whether some sequential order of the operations gives every recorded result.

    :param history: list of :class:`Operation`.
    :param apply: sequential specification, ``(state, call) -> (state, result)``; states are
        hashable.
    :param initial: initial state.
    """
    completed_mask = sum(
        1 << n for n, operation in enumerate(history) if operation.ended_at < math.inf
    )
    visited = set()
    stack = [(0, initial)]
    while stack:
        applied_mask, state = stack.pop()
        if applied_mask & completed_mask == completed_mask:
            return True
        if (applied_mask, state) in visited:
            continue
        visited.add((applied_mask, state))
        remaining = [(n, op) for n, op in enumerate(history) if not applied_mask >> n & 1]
        earliest_end = min(operation.ended_at for _, operation in remaining)
        for number, operation in remaining:
            if operation.started_at > earliest_end:
                continue
            next_state, result = apply(state, operation.call)
            if operation.ended_at == math.inf or result == operation.result:
                stack.append((applied_mask | 1 << number, next_state))
    return False
