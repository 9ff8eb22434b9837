"""In-memory log entries."""

from sassafrashook.consensus._actions import InvariantError

__all__ = ["EntryLog"]


class EntryLog:
    """Log entries that follow a compacted prefix.

    :param base_index: index of the last compacted entry.
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

    def get_term(self, index):
        """Return the term of an entry, or ``None`` if the log does not contain it."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def append(self, entry):
        """Append the next entry.

        :raises InvariantError: if its index or term does not follow the last entry.
        """
        if entry.index != self.last_index + 1 or entry.term < self.last_term:
            raise InvariantError(
                f"cannot append entry {entry.index} of term {entry.term} after entry"
                f" {self.last_index} of term {self.last_term}"
            )
        self.entries.append(entry)

    def read(self, first, last):
        """Return the entries from ``first`` to ``last``, inclusive."""
        return self.entries[first - self.base_index - 1 : last - self.base_index]

    def read_batch(self, first, max_entries, max_bytes):
        """Return consecutive entries from ``first`` within two limits.

        The first entry is returned even if it is larger than ``max_bytes``.

        :param max_entries: maximum number of entries.
        :param max_bytes: maximum size of their data, bytes.
        """
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
        """Remove all entries from ``index`` on."""
        del self.entries[index - self.base_index - 1 :]

    def compact(self, index):
        """Remove all entries up to ``index``, which becomes the base index."""
        if index <= self.base_index:
            return
        term = self.get_term(index)
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def find_term_start(self, index):
        """Return the first index in the log of the run of entries with the term at ``index``."""
        term = self.get_term(index)
        while index > self.base_index + 1 and self.get_term(index - 1) == term:
            index -= 1
        return index
