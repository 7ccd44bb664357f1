"""The exchange by which entries learn what is in force."""

from banyanbank_daemon._sync._client import SyncClient
from banyanbank_daemon._sync._client import SyncListener
from banyanbank_daemon._sync._server import METHOD
from banyanbank_daemon._sync._server import SyncServer

__all__ = ["METHOD", "SyncClient", "SyncListener", "SyncServer"]
