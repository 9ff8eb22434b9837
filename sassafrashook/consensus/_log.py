"""The log in memory."""

from sassafrashook.consensus._actions import InvariantError

__all__ = ["EntryLog"]


class EntryLog:
    """Entries after a base that was compacted away.

    :param base_index: index of the last entry that is no longer held.
    :param base_term: term of that entry.
    :param entries: consecutive entries from ``base_index + 1``.
    """

    __slots__ = ("base_index", "base_term", "entries")

    def __init__(self, base_index=0, base_term=0, entries=()):
        self.base_index = base_index
        self.base_term = base_term
        self.entries = []
        for entry in entries:
            self.append(entry)

    @property
    def last_index(self):
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self):
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index):
        """Return the term of an entry, or ``None`` if it is not held."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def append(self, entry):
        """Append the next entry."""
        if entry.index != self.last_index + 1 or entry.term < self.last_term:
            raise InvariantError(f"entry {entry.index} of term {entry.term} is out of order")
        self.entries.append(entry)

    def read(self, first, last):
        """Return the entries from ``first`` to ``last``, both included."""
        return self.entries[first - self.base_index - 1 : last - self.base_index]

    def read_batch(self, first, max_entries, max_bytes):
        """Return entries from ``first``, at least one if there is one, within two limits."""
        start = first - self.base_index - 1
        batch = []
        size = 0
        for entry in self.entries[start : start + max_entries]:
            size += len(entry.data)
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return batch

    def truncate(self, index):
        """Drop every entry from ``index`` on."""
        del self.entries[index - self.base_index - 1 :]

    def compact(self, index):
        """Drop every entry up to ``index``, which becomes the base."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def find_term_start(self, index):
        """Return the first held index whose entry has the term of the one at ``index``."""
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index
