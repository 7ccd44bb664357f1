"""File operations used by the storage of a log node."""

import fcntl
import os
import pathlib
import typing

from banyanbank_consensus import _errors

LOCK_FILE_NAME = "lock"
"""File that is locked to exclude other processes from the folder."""


class Files(typing.Protocol):
    """Flat folder of append-only files; operations raise `OSError`."""

    def read(self, name: str) -> bytes | None:
        """Returns the content of a file; None when it does not exist."""
        ...

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Returns up to `size` bytes of a file, starting at `offset`."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file; creates the file if it is missing."""
        ...

    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""
        ...

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to a size in bytes."""
        ...

    def replace(self, source: str, target: str) -> None:
        """Renames a file over another, durable after `sync_folder`."""
        ...

    def remove(self, name: str) -> None:
        """Removes a file if it exists, durable after `sync_folder`."""
        ...

    def sync_folder(self) -> None:
        """Makes file creations, renames and removals durable."""
        ...

    def close(self) -> None:
        """Closes all files and releases the lock."""
        ...


class OsFiles:
    """Files in a folder of the file system, which stays locked until `close`.

    Args:
        folder: Path of the folder; it and its parents are created if missing.

    Raises:
        FolderLockedError: Another process holds the lock of the folder.
        OSError: The folder cannot be created or opened.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._fds: dict[str, int] = {}
        _create_folder_durably(folder)
        self._folder_fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        self._lock_fd = os.open(
            folder / LOCK_FILE_NAME, os.O_RDWR | os.O_CREAT, 0o600
        )
        try:
            fcntl.flock(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as exc:
            os.close(self._lock_fd)
            os.close(self._folder_fd)
            raise _errors.FolderLockedError(
                f"Data folder {folder} is locked by another process; "
                "stop that process or choose another folder."
            ) from exc

    def read(self, name: str) -> bytes | None:
        """Returns the content of a file; None when it does not exist."""
        try:
            return (self._folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Returns up to `size` bytes of a file, starting at `offset`."""
        with (self._folder / name).open("rb") as file:
            file.seek(offset)
            return file.read(size)

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file; creates the file if it is missing."""
        fd = self._open_fd(name)
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(fd, remaining) :]

    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""
        os.fsync(self._open_fd(name))

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to a size in bytes."""
        os.ftruncate(self._open_fd(name), size)

    def replace(self, source: str, target: str) -> None:
        """Renames a file over another, durable after `sync_folder`."""
        self._close_fd(target)
        (self._folder / source).replace(self._folder / target)
        if source in self._fds:
            self._fds[target] = self._fds.pop(source)

    def remove(self, name: str) -> None:
        """Removes a file if it exists, durable after `sync_folder`."""
        self._close_fd(name)
        (self._folder / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        """Makes file creations, renames and removals durable."""
        os.fsync(self._folder_fd)

    def close(self) -> None:
        """Closes all files and releases the lock."""
        for name in tuple(self._fds):
            self._close_fd(name)
        os.close(self._lock_fd)
        os.close(self._folder_fd)

    def _open_fd(self, name: str) -> int:
        fd = self._fds.get(name)
        if fd is None:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            fd = os.open(self._folder / name, flags, 0o600)
            self._fds[name] = fd
        return fd

    def _close_fd(self, name: str) -> None:
        fd = self._fds.pop(name, None)
        if fd is not None:
            os.close(fd)


def _create_folder_durably(folder: pathlib.Path) -> None:
    """Creates a folder and its parents, and syncs their directory entries."""
    if folder.is_dir():
        return
    _create_folder_durably(folder.parent)
    folder.mkdir(mode=0o700, exist_ok=True)
    parent = os.open(folder.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(parent)
    finally:
        os.close(parent)
