"""Quorums of the configurations in force."""

__all__ = ["Quorum"]


class Quorum:
    """Counts the voters of each configuration in force, and needs enough of every one.

    Enough is a majority. If a configuration has ``2k`` voters and one of them is lost for good,
    ``k`` of the others are enough as well: such a set shares a voter with every majority. Two such
    sets that leave out different voters share one if both candidates knew the lost voters when
    their candidacies started, and only what voters did after that start is counted.

    :param configurations: the configurations in force, the latest one last; each a tuple of
        :class:`Member`.
    :param lost: identities that are known to be lost for good.

    >>> from sassafrashook.consensus import Member
    >>> voters = tuple(Member(name, name) for name in "abcd")
    >>> Quorum([voters]).is_met_by({"a", "b"}), Quorum([voters], {"d"}).is_met_by({"a", "b"})
    (False, True)
    """

    __slots__ = ("voters", "lost")

    def __init__(self, configurations, lost=frozenset()):
        self.voters = [
            tuple(member.identity for member in configuration if member.voter)
            for configuration in configurations
        ]
        self.lost = lost

    def is_met_by(self, identities):
        """Return whether a set of identities contains enough voters."""
        return self.find_value(lambda identity: identity in identities)

    def find_value(self, get_value, min_copies=1):
        """Return the largest value that enough voters have reached.

        :param get_value: callable that returns the value of a voter's identity.
        :param min_copies: number of voters that must have reached the value in the latest
            configuration; all of its voters if there are fewer.
        """
        *previous, latest = self.voters
        values = [self._find_value_of(voters, get_value, 1) for voters in previous]
        return min([*values, self._find_value_of(latest, get_value, min_copies)])

    def _find_value_of(self, voters, get_value, min_copies):
        """Return the largest value that enough voters of one configuration have reached."""
        majority = len(voters) // 2 + 1
        min_copies = min(min_copies, len(voters))
        value = _find_reached(map(get_value, voters), max(majority, min_copies))
        remaining = [identity for identity in voters if identity not in self.lost]
        required = max(majority - 1, min_copies)
        if len(voters) % 2 == 0 and required <= len(remaining) < len(voters):
            value = max(value, _find_reached(map(get_value, remaining), required))
        return value


def _find_reached(values, count):
    """Return the largest value that ``count`` of some values reach."""
    return sorted(values, reverse=True)[count - 1]
