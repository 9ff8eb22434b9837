"""Write-ahead log, which syncs each record before the caller may act on it."""

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
    """Content of one segment file.

    :param number: number in the file name; increases by 1 with each segment.
    :param is_checkpoint: whether its first record replaces all earlier segments.
    :param payloads: the records, without the segment header.
    :param last_frame: the last valid frame.
    :param size: size of the file, bytes, including a torn tail.
    """

    path: str
    number: int
    is_checkpoint: bool
    payloads: list[bytes]
    last_frame: Frame
    size: int


class WriteAheadLog(Parametrized):
    """Log of opaque records in checksummed segment files, bound to one identity.

    The first frame of each segment holds its kind and the identity. A *checkpoint* segment starts
    with a record that replaces all earlier segments.

    :param file_system: a :class:`~sassafrashook.storage.FileSystem`.
    :param folder: path of the data folder.
    :param identity: identity of the data folder, ``str``.
    :param segment_bytes: size from which a new segment is started, bytes.
    :ivar failed_: whether an operation failed, except for a write on a full disk that was undone;
        every later write is refused.
    :ivar segment_number_: number of the current segment, 0 if there is none.
    :ivar segment_size_: size of the current segment, bytes.
    :ivar next_sequence_: sequence number of the next frame in the current segment.
    :raises StorageError: from any method if a file operation failed; the process must stop.
    :raises DiskFullError: if the disk is full; the write may be retried.
    :raises CorruptionError: from :meth:`open` if synced bytes no longer verify.
    :raises IdentityError: from :meth:`open` if a segment belongs to another identity.

    See also :class:`~sassafrashook.storage.SnapshotStore`.

    >>> import tempfile
    >>> from sassafrashook.storage import LocalFileSystem
    >>> with tempfile.TemporaryDirectory() as folder:
    ...     log = WriteAheadLog(LocalFileSystem(), folder, "a1")
    ...     records_before = log.open()
    ...     log.write(b"one")
    ...     records_after = WriteAheadLog(LocalFileSystem(), folder, "a1").open()
    >>> records_before, records_after
    ([], [b'one'])
    """

    _parameter_constraints = {"segment_bytes": Interval(int, 1024)}

    def __init__(self, file_system, folder, identity, segment_bytes=SEGMENT_BYTES):
        self.file_system = file_system
        self.folder = folder
        self.identity = identity
        self.segment_bytes = segment_bytes

    def open(self):
        """Read all records and truncate a torn tail.

        :returns: list of the payloads since the last checkpoint, its own record included.
        """
        self.validate_parameters()
        self.failed_ = False
        self.segment_number_ = 0
        self.next_sequence_ = 0
        self.segment_size_ = 0
        self._has_partial_write = False
        segments = self._read_segments()
        if segments:
            self._resume_segment(segments[-1])
        return [payload for segment in segments for payload in segment.payloads]

    def write(self, payload):
        """Append one record and sync it.

        :param payload: ``bytes``; recovered either completely or not at all.
        """
        self._run_operation(self._append_record, payload)

    def checkpoint(self, payload):
        """Replace all earlier records with one, which is synced before they are removed.

        :param payload: ``bytes``.
        """
        self._run_operation(self._checkpoint, payload)

    def _run_operation(self, operation, payload):
        if self.failed_:
            raise StorageError(self.folder, "an earlier operation failed")
        if self._has_partial_write:
            self._truncate_partial_write()
        try:
            operation(payload)
        except DiskFullError:
            self._truncate_partial_write()
            raise
        except Exception:
            self.failed_ = True
            raise

    def _truncate_partial_write(self):
        """Remove what a failed write left in the current segment, so that it can be retried."""
        self._has_partial_write = self.segment_size_ > 0
        if not self._has_partial_write:
            return
        try:
            self.file_system.truncate(self._build_path(self.segment_number_), self.segment_size_)
        except DiskFullError:
            raise  # the next operation begins with another attempt
        except StorageError:
            self.failed_ = True
            raise
        self._has_partial_write = False

    def _append_record(self, payload):
        if self.segment_size_ == 0 or self.segment_size_ >= self.segment_bytes:
            self._start_segment(b"", checkpoint=False)
        path = self._build_path(self.segment_number_)
        frame = encode_frame(self.next_sequence_, payload)
        self.file_system.append(path, frame)
        self.file_system.sync(path)
        self.next_sequence_ += 1
        self.segment_size_ += len(frame)

    def _checkpoint(self, payload):
        self._start_segment(encode_frame(1, payload), checkpoint=True)
        self.next_sequence_ = 2
        # An earlier attempt on a full disk may have left a file with the name of the new segment.
        current_path = self._build_path(self.segment_number_)
        for name in self._list_segment_names():
            path = os.path.join(self.folder, name)
            if path != current_path:
                self.file_system.remove(path)
        self.file_system.sync_folder(self.folder)

    def _start_segment(self, frames, checkpoint):
        kind = CHECKPOINT_KIND if checkpoint else SEGMENT_KIND
        data = encode_frame(0, kind + b" " + self.identity.encode()) + frames
        self.file_system.replace(self._build_path(self.segment_number_ + 1), data)
        self.segment_number_ += 1
        self.next_sequence_ = 1
        self.segment_size_ = len(data)

    def _read_segments(self):
        """Read the segments since the latest checkpoint, and remove all older ones."""
        names = self._list_segment_names()
        segments = []
        while names and not (segments and segments[0].is_checkpoint):
            segments.insert(0, self._read_segment(names.pop(), is_last=not segments))
        if segments and not segments[0].is_checkpoint and segments[0].number > 1:
            raise CorruptionError(segments[0].path, 0, "an earlier segment is missing")
        for previous, segment in pairwise(segments):
            if segment.number != previous.number + 1:
                raise CorruptionError(segment.path, 0, "the preceding segment is missing")
        for name in names:
            self.file_system.remove(os.path.join(self.folder, name))
        return segments

    def _read_segment(self, name, is_last):
        path = os.path.join(self.folder, name)
        data = self.file_system.read(path)
        frames = read_frames(path, data, allow_torn_tail=is_last)
        if not frames:
            raise CorruptionError(path, 0, "segment header is missing or invalid")
        kind, _, identity = frames[0].payload.partition(b" ")
        if identity != self.identity.encode():
            raise IdentityError(path, f"belongs to identity {identity.decode(errors='replace')}")
        is_checkpoint = kind == CHECKPOINT_KIND
        if is_checkpoint and len(frames) < 2:
            raise CorruptionError(path, frames[0].end, "checkpoint record is missing")
        number = int(name[len(SEGMENT_PREFIX) : -len(SEGMENT_SUFFIX)], 16)
        payloads = [frame.payload for frame in frames[1:]]
        return _Segment(path, number, is_checkpoint, payloads, frames[-1], len(data))

    def _resume_segment(self, segment):
        """Truncate a torn tail and sync the rest.

        After a process crash the rest may have been read from the page cache without ever having
        been synced, so it must be synced before its records are used.
        """
        end = segment.last_frame.end
        if end < segment.size:
            self.file_system.truncate(segment.path, end)
        self.file_system.sync(segment.path)
        self.file_system.sync_folder(self.folder)
        self.segment_number_ = segment.number
        self.next_sequence_ = segment.last_frame.sequence + 1
        self.segment_size_ = end

    def _build_path(self, number):
        return os.path.join(self.folder, f"{SEGMENT_PREFIX}{number:016x}{SEGMENT_SUFFIX}")

    def _list_segment_names(self):
        names = self.file_system.list_names(self.folder)
        return [n for n in names if n.startswith(SEGMENT_PREFIX) and n.endswith(SEGMENT_SUFFIX)]
