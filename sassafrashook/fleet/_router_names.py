"""Names of the routers: controllers send the changes of their lists, and nodes merge the lists."""

from collections import deque

# Routers that left, remembered to be sent as changes. Nodes that lack older changes are sent the
# whole list.
MAX_REMEMBERED_DEPARTURES = 1_000
# The list of a controller without an update for this time is no longer merged.
LIST_VALID_S = 5.0


class RouterNameHistory:
    """Names of the routers that one controller knows, with the revisions of their changes.

    :ivar names_: sorted names.
    :ivar revision_: number that increases with each change.

    >>> history = RouterNameHistory()
    >>> history.update(["r1", "r2"])
    >>> history.update(["r2", "r3"])
    >>> history.list_changes(1)
    (['r3'], ['r1'])
    >>> history.list_changes(0) is None
    True
    """

    def __init__(self):
        self.names_ = ()
        self.revision_ = 0
        self._joined_revisions = {}
        self._departures = deque()
        self._oldest_revision = 1

    def update(self, names):
        """Replace the names.

        :param names: iterable of names.
        """
        current, previous = set(names), set(self.names_)
        if current == previous:
            return
        self.revision_ += 1
        for name in previous - current:
            del self._joined_revisions[name]
            self._departures.append((self.revision_, name))
        for name in current - previous:
            self._joined_revisions[name] = self.revision_
        while len(self._departures) > MAX_REMEMBERED_DEPARTURES:
            self._oldest_revision, _ = self._departures.popleft()
        self.names_ = tuple(sorted(current))

    def list_changes(self, revision):
        """Return the names that joined and those that left after a revision.

        :param revision: the revision that a node holds.
        :returns: pair of lists, or ``None`` if the node has to be sent the whole list.
        """
        if revision < self._oldest_revision:
            return None
        joined = [name for name, at in self._joined_revisions.items() if at > revision]
        left = {name for at, name in self._departures if at > revision}
        return joined, sorted(left - self._joined_revisions.keys())


class RouterNameLists:
    """The lists of all controllers, as known to one node.

    A router counts as present while any controller lists it, because each router takes its part of
    the limits that all routers share.

    :ivar names_: sorted names of all routers.
    """

    def __init__(self):
        self.names_ = ()
        self._lists = {}

    def get_revision(self, boot_id):
        """Return the revision of a controller's list that this node holds, 0 if it holds none.

        :param boot_id: identifies one run of the controller.
        """
        names, revision, _ = self._lists.get(boot_id, ((), 0, 0.0))
        return revision if names else 0

    def apply(self, update, now):
        """Apply the names in an update.

        :param update: a :class:`~sassafrashook.fleet._messages.ViewChanged`.
        :param now: monotonic seconds.
        """
        names, revision, _ = self._lists.get(update.boot_id, (frozenset(), 0, now))
        if update.routers:
            names, revision = frozenset(update.routers), update.routers_revision
        elif names and update.base_routers_revision == revision:
            names = (names | set(update.joined_routers)) - set(update.left_routers)
            revision = update.routers_revision
        self._lists[update.boot_id] = (names, revision, now)
        self._lists = {
            boot_id: entry
            for boot_id, entry in self._lists.items()
            if now < entry[-1] + LIST_VALID_S
        }
        merged = frozenset().union(*(listed for listed, _, _ in self._lists.values()))
        if merged and merged != set(self.names_):
            self.names_ = tuple(sorted(merged))
