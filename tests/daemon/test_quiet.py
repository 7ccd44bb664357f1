"""Tests of closing a listener without losing connections being made."""

import socket
import unittest

import banyanbank_web as web


class KeepNewOutTest(unittest.TestCase):
    """Finished handshakes are accepted; new ones do not begin."""

    def test_filter(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = listener.getsockname()
            early = socket.create_connection(address)
            web.keep_new_out(listener)
            late = socket.socket()
            late.setblocking(False)
            late.connect_ex(address)
            accepted, peer = listener.accept()
            self.assertEqual(peer, early.getsockname())
            early.sendall(b"request")
            self.assertEqual(accepted.recv(7), b"request")
            # On loopback a handshake would be over by now.
            listener.setblocking(False)
            with self.assertRaises(BlockingIOError):
                listener.accept()
            for one in (early, late, accepted):
                one.close()
