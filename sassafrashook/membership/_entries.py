"""Entries of the upstream table, retired boots, and the results of merging."""

import math
from dataclasses import dataclass
from enum import StrEnum

from msgspec.structs import astuple, replace

from sassafrashook.messages import UpstreamAnnouncement
from sassafrashook.utils import hash_key

# A refresh is overdue, and another node is asked for it, once the remaining validity is below the
# larger of 15 % of the validity and min(3 s, 30 % of the validity).
OVERDUE_FRACTION = 0.15
OVERDUE_MARGIN_S = 3.0
MAX_OVERDUE_FRACTION = 0.3


class MergeResult(StrEnum):
    """Result of merging an announcement or a departure; values are counter attributes.

    :cvar IGNORED_REFRESH: a refresh received directly was ignored, since most of the validity
        remains.
    :cvar STALE: not newer than what is known, or its remaining lifetime is too short.
    :cvar OLDER_BOOT: a newer boot has superseded this one.
    :cvar AFTER_LEAVE: the boot has left.
    :cvar AFTER_EXPIRY: the announcement has expired, or is not newer than the boot's removed one.
    :cvar BOOT_AT_TWO_ADDRESSES: the boot is listed at another address.
    :cvar ID_AT_TWO_ADDRESSES: an earlier boot with this id is listed at another address.
    :cvar ADDRESS_OF_ANOTHER: an earlier boot of another upstream is listed at this address.
    """

    ADDED = "added"
    CHANGED = "changed"
    REFRESHED = "refreshed"
    LEFT = "left"
    IGNORED_REFRESH = "coalesced"
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
class UpstreamEntry:
    """A listed upstream.

    :param key: 64-bit key of the announcement without its sequence and validity.
    :param deadline: when the announcement expires, seconds.
    :param next_check_at: when expiry and overdue refresh are checked next, seconds.
    """

    announcement: UpstreamAnnouncement
    key: int
    deadline: float
    next_check_at: float = math.inf

    @property
    def address(self):
        """Host and port, as a tuple."""
        return self.announcement.host, self.announcement.port

    @property
    def start_order(self):
        """Sort key of boots by start time, earliest first."""
        return self.announcement.incarnation, self.announcement.boot_id

    def refresh_overdue_at(self):
        """Return the time at which a refresh becomes overdue, seconds."""
        validity_s = self.announcement.valid_ms / 1000
        margin_s = max(
            OVERDUE_FRACTION * validity_s, min(OVERDUE_MARGIN_S, MAX_OVERDUE_FRACTION * validity_s)
        )
        return self.deadline - margin_s


@dataclass(slots=True)
class RetiredBoot:
    """A boot of an upstream that is no longer listed.

    :param sequence: highest sequence received.
    :param final: whether all further announcements of this boot are refused.
    :param tombstone_key: key of its propagated departure, 0 if it hasn't left.
    :param record_key: key of its last record, 0 if unknown.
    :param expires_at: when it is removed, seconds.
    :param announcement: its last announcement, if the boot may still be listed again.
    """

    upstream_id: str
    boot_id: str
    sequence: int
    final: bool
    tombstone_key: int
    record_key: int
    address: tuple
    incarnation: int
    expires_at: float
    announcement: UpstreamAnnouncement | None = None

    @property
    def start_order(self):
        """Sort key of boots by start time, earliest first."""
        return self.incarnation, self.boot_id


def hash_announcement(announcement):
    """Return the 64-bit key of an announcement without its sequence and validity."""
    content = astuple(replace(announcement, sequence=0, valid_ms=0))
    return hash_key(*(repr(field) for field in content))
