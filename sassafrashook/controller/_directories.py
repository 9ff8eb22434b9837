"""What a controller's services ask other parts of the process."""

from abc import ABC, abstractmethod

import msgspec

__all__ = ["Member", "MemberDirectory", "UpstreamDirectory"]


class UpstreamDirectory(ABC):
    """Knows the upstreams that are announced."""

    @abstractmethod
    def list_upstreams(self):
        """Return the newest :class:`~sassafrashook.messages.UpstreamAnnouncement` of each."""


class Member(msgspec.Struct, frozen=True):
    """One controller of the group.

    :param identity: identity of its data folder.
    :param votes: whether it counts towards a quorum.
    :param synced: whether it holds, on disk, everything that is committed.
    """

    name: str
    identity: str
    host: str
    port: int
    votes: bool
    synced: bool
    detail: str = ""


class MemberDirectory(ABC):
    """Knows and changes the controllers of the group."""

    @abstractmethod
    def list_members(self):
        """Return a list of :class:`Member`."""

    @abstractmethod
    def replace_member(self, name, body, deadline):
        """Put a new member in the place of one whose disk was lost.

        :param name: name of the member to replace.
        :param body: the operator's JSON object.
        :param deadline: monotonic seconds.
        :returns: ``Success`` of a JSON object or ``Failure`` of a
            :class:`~sassafrashook.gateways.ProposalError`.
        """
