"""The few file operations that storage rests on."""

import fcntl
import os
import pathlib
import typing

from banyanbank_consensus import _errors

LOCK_NAME = "lock"
"""File whose lock keeps a second process out of the folder."""


class Files(typing.Protocol):
    """One flat folder of append-only files; errors are `OSError`."""

    def read(self, name: str) -> bytes | None:
        """Returns the content of a file; None when it does not exist."""
        ...

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Returns a piece of a file."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Writes at the end of a file, which is created when missing."""
        ...

    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""
        ...

    def truncate(self, name: str, size: int) -> None:
        """Cuts a file to a size."""
        ...

    def replace(self, source: str, target: str) -> None:
        """Renames a file over another; durable after `sync_folder`."""
        ...

    def remove(self, name: str) -> None:
        """Removes a file if it exists; durable after `sync_folder`."""
        ...

    def sync_folder(self) -> None:
        """Makes creations, renames and removals durable."""
        ...

    def close(self) -> None:
        """Closes every file and gives up the lock."""
        ...


class OsFiles:
    """Files in a folder of the operating system.

    Args:
        folder: The folder; created, with its parents, when missing.

    Raises:
        FolderLockedError: Another process uses the folder.
        OSError: The folder cannot be created or opened.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._handles: dict[str, int] = {}
        _make_durable_folder(folder)
        self._folder_fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        self._lock_fd = os.open(
            folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600
        )
        try:
            fcntl.flock(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as exc:
            os.close(self._lock_fd)
            os.close(self._folder_fd)
            raise _errors.FolderLockedError(
                f"Data folder {folder} is used by another process; "
                "stop that process or choose another folder."
            ) from exc

    def read(self, name: str) -> bytes | None:
        """Returns the content of a file; None when it does not exist."""
        try:
            return (self._folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Returns a piece of a file."""
        with (self._folder / name).open("rb") as file:
            file.seek(offset)
            return file.read(size)

    def append(self, name: str, data: bytes) -> None:
        """Writes at the end of a file, which is created when missing."""
        handle = self._handle(name)
        view = memoryview(data)
        while view:
            view = view[os.write(handle, view) :]

    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""
        os.fsync(self._handle(name))

    def truncate(self, name: str, size: int) -> None:
        """Cuts a file to a size."""
        os.ftruncate(self._handle(name), size)

    def replace(self, source: str, target: str) -> None:
        """Renames a file over another; durable after `sync_folder`."""
        self._forget(target)
        (self._folder / source).replace(self._folder / target)
        if source in self._handles:
            self._handles[target] = self._handles.pop(source)

    def remove(self, name: str) -> None:
        """Removes a file if it exists; durable after `sync_folder`."""
        self._forget(name)
        (self._folder / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        """Makes creations, renames and removals durable."""
        os.fsync(self._folder_fd)

    def close(self) -> None:
        """Closes every file and gives up the lock."""
        for name in tuple(self._handles):
            self._forget(name)
        os.close(self._lock_fd)
        os.close(self._folder_fd)

    def _handle(self, name: str) -> int:
        handle = self._handles.get(name)
        if handle is None:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            handle = os.open(self._folder / name, flags, 0o600)
            self._handles[name] = handle
        return handle

    def _forget(self, name: str) -> None:
        handle = self._handles.pop(name, None)
        if handle is not None:
            os.close(handle)


def _make_durable_folder(folder: pathlib.Path) -> None:
    """Creates a folder and syncs the entry of each folder it had to make."""
    if folder.is_dir():
        return
    _make_durable_folder(folder.parent)
    folder.mkdir(mode=0o700, exist_ok=True)
    parent = os.open(folder.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(parent)
    finally:
        os.close(parent)
