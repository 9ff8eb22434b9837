"""Proposes typed commands to the replicated log."""

import time

from returns.result import Failure, Success

from sassafrashook.interfaces import ProposalError, ProposalErrorReason
from sassafrashook.state import CommandRefused, decode_reply, encode_command

__all__ = ["CommandProposer", "read_wall_clock_ms"]


def read_wall_clock_ms():
    """Return the wall-clock time in milliseconds."""
    return time.time_ns() // 1_000_000


class CommandProposer:
    """Encodes commands with their proposal time and decodes the replies.

    :param log: a :class:`~sassafrashook.interfaces.ReplicatedLog`.
    :param clock: returns monotonic seconds.
    :param wall_clock_ms: returns the wall-clock time in milliseconds.

    Example::

        >>> from sassafrashook.controller import CommandProposer
        >>> CommandProposer(log=None, wall_clock_ms=lambda: 5).wall_clock_ms()
        5
    """

    def __init__(self, log, clock=time.monotonic, wall_clock_ms=read_wall_clock_ms):
        self.log = log
        self.clock = clock
        self.wall_clock_ms = wall_clock_ms

    def propose(self, command, deadline):
        """Propose one command and block until it is committed.

        :param command: a command of :mod:`sassafrashook.state`.
        :param deadline: monotonic seconds.
        :returns: ``Success`` of the decoded reply or ``Failure`` of a
            :class:`~sassafrashook.interfaces.ProposalError`.
        """
        if self.log.get_leading_term(self.clock()) == 0:
            return Failure(ProposalError(ProposalErrorReason.NOT_LEADER, self.log.get_leader()))
        result = self.log.propose(encode_command(command, self.wall_clock_ms()), deadline)
        if isinstance(result, Failure):
            return result
        reply = decode_reply(result.unwrap())
        if isinstance(reply, CommandRefused):
            return Failure(ProposalError(ProposalErrorReason.NOT_ACCEPTED))
        return Success(reply)
