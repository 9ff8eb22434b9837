"""One upstream in the list, what is remembered of one that is gone, and how admission ends."""

import math
from dataclasses import dataclass
from enum import StrEnum

from msgspec.structs import astuple, replace

from sassafrashook.messages import UpstreamAnnouncement
from sassafrashook.utils import hash_key

LAGGING_SHARE = 0.15  # of the validity: with less than this left, peers are asked
LAGGING_S = 3.0  # the same for short validities, but no more than the share that follows
LAGGING_LIMIT_SHARE = 0.3


class Admission(StrEnum):
    """What became of an announcement; one counter attribute each."""

    ADDED = "added"
    CHANGED = "changed"
    REFRESHED = "refreshed"
    LEFT = "left"
    COALESCED = "coalesced"
    STALE = "stale"
    OLDER_BOOT = "older_boot"
    AFTER_LEAVE = "after_leave"
    AFTER_EXPIRY = "after_expiry"
    BOOT_AT_TWO_ADDRESSES = "boot_at_two_addresses"
    ID_AT_TWO_ADDRESSES = "id_at_two_addresses"
    ADDRESS_OF_ANOTHER = "address_of_another"
    LIST_FULL = "list_full"
    OUT_OF_BOUNDS = "out_of_bounds"


@dataclass(slots=True)
class Entry:
    """A listed upstream.

    :param key: 64-bit key of boot and content; sequence and validity are not in it.
    :param deadline: until when the announcement holds, seconds.
    :param wake_at: when it is looked at next, seconds.
    """

    announcement: UpstreamAnnouncement
    key: int
    deadline: float
    wake_at: float = math.inf

    @property
    def address(self):
        """Host and port, a tuple."""
        return self.announcement.host, self.announcement.port

    @property
    def age(self):
        """What orders boots: a smaller value started earlier."""
        return self.announcement.incarnation, self.announcement.boot_id

    def lag_deadline(self):
        """Return from when on a refresh is overdue, seconds."""
        valid_s = self.announcement.valid_ms / 1000
        lag_s = max(LAGGING_SHARE * valid_s, min(LAGGING_S, LAGGING_LIMIT_SHARE * valid_s))
        return self.deadline - lag_s


@dataclass(slots=True)
class PastBoot:
    """What is remembered of a boot that is no longer listed.

    :param sequence: highest sequence seen.
    :param final: whether no announcement of this boot is ever taken again.
    :param left_key: key under which its departure is spread, 0 if it isn't.
    :param content_key: key of its last record, 0 if unknown.
    :param forget_at: seconds.
    :param announcement: its last announcement, if it may still come back.
    """

    upstream_id: str
    boot_id: str
    sequence: int
    final: bool
    left_key: int
    content_key: int
    address: tuple
    incarnation: int
    forget_at: float
    announcement: UpstreamAnnouncement | None = None

    @property
    def age(self):
        """What orders boots: a smaller value started earlier."""
        return self.incarnation, self.boot_id


def hash_announcement(announcement):
    """Return the 64-bit key of an announcement's boot and content."""
    content = astuple(replace(announcement, sequence=0, valid_ms=0))
    return hash_key(*(repr(field) for field in content))
