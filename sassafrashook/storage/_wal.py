"""The write-ahead log: what must be synced before it is spoken of."""

import os
from dataclasses import dataclass
from itertools import pairwise

from sassafrashook.base import Parametrized
from sassafrashook.storage._errors import (
    CorruptionError,
    DiskFullError,
    IdentityError,
    StorageError,
)
from sassafrashook.storage._frames import Frame, encode_frame, read_frames
from sassafrashook.utils import Interval

__all__ = ["WriteAheadLog"]

SEGMENT_BYTES = 4 * 1024 * 1024
SEGMENT_PREFIX = "wal-"
SEGMENT_SUFFIX = ".log"
SEGMENT_KIND = b"segment"
CHECKPOINT_KIND = b"checkpoint"


@dataclass(slots=True, frozen=True)
class _Segment:
    """One segment as read.

    :param size: size of the file, bytes, with a torn tail.
    """

    path: str
    number: int
    is_checkpoint: bool
    payloads: list[bytes]
    last_frame: Frame
    size: int


class WriteAheadLog(Parametrized):
    """Checksummed segments of opaque records, bound to one identity.

    The first frame of a segment holds the identity. A segment that starts a *checkpoint* makes
    all earlier ones superfluous.

    :param file_system: a :class:`~sassafrashook.storage.FileSystem`.
    :param folder: path of the data folder.
    :param identity: identity of the data folder, ``str``.
    :param segment_bytes: a new segment is started after this size, bytes.

    Attributes: ``failed_`` is whether an operation failed; nothing is written after that.

    :raises StorageError: from any method when the operation failed; the process must stop.
    :raises DiskFullError: when there was no room; the write may be tried again.
    :raises CorruptionError: from :meth:`open` when synced bytes no longer verify.
    :raises IdentityError: from :meth:`open` when a segment belongs to another identity.

    See also :class:`~sassafrashook.storage.SnapshotStore`.

    >>> import tempfile
    >>> from sassafrashook.storage import LocalFileSystem
    >>> with tempfile.TemporaryDirectory() as folder:
    ...     log = WriteAheadLog(LocalFileSystem(), folder, "a1")
    ...     before = log.open()
    ...     log.write(b"one")
    ...     after = WriteAheadLog(LocalFileSystem(), folder, "a1").open()
    >>> before, after
    ([], [b'one'])
    """

    _parameter_constraints = {"segment_bytes": Interval(int, 1024)}

    def __init__(self, file_system, folder, identity, segment_bytes=SEGMENT_BYTES):
        self.file_system = file_system
        self.folder = folder
        self.identity = identity
        self.segment_bytes = segment_bytes

    def open(self):
        """Read all records and cut a torn tail.

        :returns: the payloads written since the last checkpoint, in order.
        """
        self.validate_parameters()
        self.failed_ = False
        self.number_ = 0
        self.sequence_ = 0
        self.size_ = 0
        segments = self._read_segments()
        if segments:
            self._continue_segment(segments[-1])
        return [payload for segment in segments for payload in segment.payloads]

    def write(self, payload):
        """Append one record and sync it.

        :param payload: ``bytes``; written and recovered as a whole.
        """
        self._guard(self._write, payload)

    def checkpoint(self, payload):
        """Replace everything written so far by one record, synced before the old goes away."""
        self._guard(self._checkpoint, payload)

    def _guard(self, operation, payload):
        if self.failed_:
            raise StorageError(self.folder, "an earlier operation failed")
        try:
            operation(payload)
        except DiskFullError:
            self._undo_write()
            raise
        except Exception:
            self.failed_ = True
            raise

    def _undo_write(self):
        """Cut what a write on a full disk left behind, so that it can be tried again."""
        if self.size_ == 0:
            return
        try:
            self.file_system.truncate(self._path(self.number_), self.size_)
        except StorageError:
            self.failed_ = True
            raise

    def _write(self, payload):
        if self.size_ == 0 or self.size_ >= self.segment_bytes:
            self._start_segment(b"", checkpoint=False)
        path = self._path(self.number_)
        frame = encode_frame(self.sequence_, payload)
        self.file_system.append(path, frame)
        self.file_system.sync(path)
        self.sequence_ += 1
        self.size_ += len(frame)

    def _checkpoint(self, payload):
        old = self._segment_names()
        self._start_segment(encode_frame(1, payload), checkpoint=True)
        self.sequence_ = 2
        for name in old:
            self.file_system.remove(os.path.join(self.folder, name))
        self.file_system.sync_folder(self.folder)

    def _start_segment(self, frames, checkpoint):
        kind = CHECKPOINT_KIND if checkpoint else SEGMENT_KIND
        data = encode_frame(0, kind + b" " + self.identity.encode()) + frames
        self.file_system.replace(self._path(self.number_ + 1), data)
        self.number_ += 1
        self.sequence_ = 1
        self.size_ = len(data)

    def _read_segments(self):
        """Read from the newest segment back to the newest checkpoint, and drop what is older."""
        names = self._segment_names()
        segments = []
        while names and not (segments and segments[0].is_checkpoint):
            segments.insert(0, self._read_segment(names.pop(), is_last=not segments))
        if segments and not segments[0].is_checkpoint and segments[0].number > 1:
            raise CorruptionError(segments[0].path, 0, "an earlier segment is missing")
        for before, after in pairwise(segments):
            if after.number != before.number + 1:
                raise CorruptionError(after.path, 0, "the segment before is missing")
        for name in names:
            self.file_system.remove(os.path.join(self.folder, name))
        return segments

    def _read_segment(self, name, is_last):
        path = os.path.join(self.folder, name)
        data = self.file_system.read(path)
        frames = read_frames(path, data, may_be_torn=is_last)
        if not frames:
            raise CorruptionError(path, 0, "no segment header")
        kind, _, identity = frames[0].payload.partition(b" ")
        if identity != self.identity.encode():
            raise IdentityError(path, f"belongs to identity {identity.decode(errors='replace')}")
        is_checkpoint = kind == CHECKPOINT_KIND
        if is_checkpoint and len(frames) < 2:
            raise CorruptionError(path, frames[0].end, "checkpoint record is missing")
        number = int(name[len(SEGMENT_PREFIX) : -len(SEGMENT_SUFFIX)], 16)
        payloads = [frame.payload for frame in frames[1:]]
        return _Segment(path, number, is_checkpoint, payloads, frames[-1], len(data))

    def _continue_segment(self, segment):
        """Cut a torn tail; what was read but perhaps never synced is synced before use."""
        end = segment.last_frame.end
        if end < segment.size:
            self.file_system.truncate(segment.path, end)
        self.file_system.sync(segment.path)
        self.file_system.sync_folder(self.folder)
        self.number_ = segment.number
        self.sequence_ = segment.last_frame.sequence + 1
        self.size_ = end

    def _path(self, number):
        return os.path.join(self.folder, f"{SEGMENT_PREFIX}{number:016x}{SEGMENT_SUFFIX}")

    def _segment_names(self):
        names = self.file_system.list_names(self.folder)
        return [n for n in names if n.startswith(SEGMENT_PREFIX) and n.endswith(SEGMENT_SUFFIX)]
