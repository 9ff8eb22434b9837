"""Interfaces through which controller services query upstreams and group members."""

from abc import ABC, abstractmethod

import msgspec

__all__ = ["Member", "MemberDirectory", "UpstreamDirectory"]


class UpstreamDirectory(ABC):
    """Lists the announced upstreams."""

    @abstractmethod
    def list_upstreams(self):
        """Return the latest announcement of each upstream.

        :returns: list of :class:`~sassafrashook.messages.UpstreamAnnouncement`.
        """


class Member(msgspec.Struct, frozen=True):
    """One controller of the consensus group.

    :param identity: identity stored in its data folder.
    :param votes: whether it counts towards a quorum.
    :param synced: whether all committed entries are stored on its disk.
    """

    name: str
    identity: str
    host: str
    port: int
    votes: bool
    synced: bool
    detail: str = ""


class MemberDirectory(ABC):
    """Lists and replaces the controllers of the consensus group."""

    @abstractmethod
    def list_members(self):
        """Return a list of :class:`Member`."""

    @abstractmethod
    def replace_member(self, name, body, deadline):
        """Replace a member whose disk was lost by a new member.

        :param name: name of the member to replace.
        :param body: the operator's JSON object.
        :param deadline: monotonic seconds.
        :returns: ``Success`` of a JSON object or ``Failure`` of a
            :class:`~sassafrashook.interfaces.ProposalError`.
        """
