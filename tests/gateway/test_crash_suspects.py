"""Tests of telling deadly requests from others at the same endpoints."""

import unittest

import banyanbank_base as base
import banyanbank_gateway as gateway
from banyanbank_gateway import _crash_suspects

DIGEST = b"request"


class CrashSuspectsTest(unittest.TestCase):
    """Two losses condemn a request, the second of them alone."""

    def test_losses(self) -> None:
        lost, alone, answered = "lost", "lost alone", "answered"
        for name, steps, now, is_suspect, is_condemned in (
            ("nothing", [], 1.0, False, False),
            ("lost once", [lost], 1.0, True, False),
            ("lost once, long ago", [lost], 70.0, False, False),
            ("lost beside others twice", [lost, lost], 1.0, True, False),
            ("lost, then lost alone", [lost, alone], 1.0, True, True),
            ("condemned, a copy is lost", [lost, alone, lost], 1.0, True, True),
            ("lost, then answered", [lost, answered], 1.0, False, False),
            ("answered in between", [lost, answered, lost], 1.0, True, False),
            ("condemned long ago", [lost, alone], 70.0, False, False),
        ):
            with self.subTest(name):
                suspects = gateway.CrashSuspects()
                for step in steps:
                    if step == answered:
                        suspects.record_answer(DIGEST)
                    else:
                        suspects.record_loss(DIGEST, step == alone, 0.0)
                self.assertEqual(suspects.is_suspect(DIGEST, now), is_suspect)
                self.assertEqual(
                    suspects.is_condemned(DIGEST, now), is_condemned
                )

    def test_one_suspect_at_an_endpoint(self) -> None:
        suspects = gateway.CrashSuspects()
        endpoint = base.EndpointId("e")
        self.assertTrue(suspects.is_free(endpoint))
        suspects.enter(endpoint)
        self.assertFalse(suspects.is_free(endpoint))
        suspects.leave(endpoint)
        self.assertTrue(suspects.is_free(endpoint))

    def test_number_of_remembered_requests(self) -> None:
        suspects = gateway.CrashSuspects()
        count = _crash_suspects.MAX_REQUESTS + 5
        for number in range(count):
            suspects.record_loss(b"%d" % number, False, 0.001 * number)
        self.assertEqual(len(suspects), _crash_suspects.MAX_REQUESTS)
        self.assertFalse(suspects.is_suspect(b"4", 20.0))
        self.assertTrue(suspects.is_suspect(b"5", 20.0))
        suspects.record_loss(b"later", False, 100.0)
        self.assertEqual(len(suspects), 1)


class DigestTest(unittest.TestCase):
    """A repeated request has the same digest, and another one does not."""

    def test_digests(self) -> None:
        same = ("POST", "host", "/x?q", [("a", "1"), ("b", "2")], b"body")
        first = gateway.digest_request(*same)
        for name, changed, is_same in (
            ("repeated", same, True),
            ("order of headers", (*same[:3], same[3][::-1], same[4]), True),
            ("method", ("PUT", *same[1:]), False),
            ("query", (*same[:2], "/x?r", *same[3:]), False),
            ("header", (*same[:3], [("a", "1")], same[4]), False),
            ("body", (*same[:4], b"bodY"), False),
        ):
            with self.subTest(name):
                digest = gateway.digest_request(*changed)
                self.assertEqual(digest == first, is_same)


if __name__ == "__main__":
    unittest.main()
