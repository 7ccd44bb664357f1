"""Tests of the operators' commands."""

import json
import unittest.mock

from banyanbank_cli import _transport

from tests.cli import support

Answer = support.Answer
REFUSAL = {
    "detail": "Revision 8 is in force.",
    "outcome": "not run",
    "errors": [
        {
            "file": "keys.csv",
            "row": 3,
            "column": "account",
            "message": "No account 'x'.",
            "mend": "Add it.",
        }
    ],
}


class ApplyTest(support.CommandCase):
    """Sheets are sent whole, once, and refusals are shown in full."""

    def test_apply(self) -> None:
        sheet = self.folder / "keys.csv"
        sheet.write_bytes(b"\xef\xbb\xbfkind;name\r\n")
        scripted, url = self.serve(
            Answer(
                {
                    "revision": 8,
                    "changes": [{"change": "added", "item": "account a"}],
                }
            )
        )
        ending = self.run_at(url, "apply", str(sheet), "--expect-revision=7")
        self.assertEqual(ending.code, 0)
        self.assertEqual(
            ending.out, "revision 8 is accepted, 1 changes\n  added account a\n"
        )
        (taken,) = scripted.taken
        self.assertEqual(taken.body, b"\xef\xbb\xbfkind;name\r\n")
        self.assertEqual(taken.path, "/operator/apply")
        expected = {
            "x-expect-revision": "7",
            "x-sheet-name": "keys.csv",
            "authorization": f"Bearer {support.TOKEN}",
        }
        self.assertEqual(taken.headers, {**taken.headers, **expected})
        self.assertNotIn("x-dry-run", taken.headers)

    def test_refusal(self) -> None:
        _, url = self.serve(Answer(REFUSAL, status=409))
        sheet = self.folder / "keys.csv"
        sheet.write_text("")
        ending = self.run_at(url, "apply", str(sheet), "--expect-revision", "7")
        self.assertEqual((ending.code, ending.out), (1, ""))
        self.assertEqual(
            ending.err,
            "error (HTTP 409): Revision 8 is in force.\n"
            "keys.csv, row 3, column account: No account 'x'. Add it.\n"
            "outcome: not run\n",
        )

    def test_diff_changes_nothing(self) -> None:
        scripted, url = self.serve(Answer({"revision": 7, "changes": []}))
        sheet = self.folder / "a.csv"
        sheet.write_text("")
        ending = self.run_at(url, "diff", str(sheet))
        self.assertEqual(ending.out, "0 changes against revision 7\n")
        self.assertEqual(scripted.taken[0].headers["x-dry-run"], "1")

    def test_usage(self) -> None:
        cases = (
            ("apply", "missing.csv", "--expect-revision", "1"),
            ("apply", "missing.csv", "--expect-revision", "one"),
            ("status", "--token-file", "/nowhere"),
            ("status", "--server", "http://localhost:1"),
            ("timeline", "--epoch", "-1"),
            ("rollout", "submit", "a", "0", "0", "--prompt-file", "/nowhere"),
        )
        for arguments in cases:
            with self.subTest(arguments=arguments):
                ending = self.run_command(*arguments)
                self.assertEqual((ending.code, ending.out), (1, ""))
                self.assertTrue(ending.err.startswith("error"))


class ResendTest(support.CommandCase):
    """A lost answer is asked for again under the same request id."""

    def test_lost_answers(self) -> None:
        lost = Answer(lost=True)
        no_leader = Answer({"outcome": "may have run"}, status=503)
        scripted, url = self.serve(
            lost, no_leader, lost, Answer({"revision": 8, "changes": []})
        )
        sheet = self.folder / "a.csv"
        sheet.write_text("x")
        ending = self.run_at(url, "apply", str(sheet), "--expect-revision=7")
        self.assertEqual(ending.code, 0)
        ids = [taken.headers["x-request-id"] for taken in scripted.taken]
        self.assertEqual((len(ids), len(set(ids))), (4, 1))

    def test_outcome_when_giving_up(self) -> None:
        _, url = self.serve(Answer(lost=True))
        not_run = {"outcome": "not run"}
        _, busy = self.serve(Answer(not_run, status=503))
        _, lost_then_busy = self.serve(
            Answer(lost=True), Answer(not_run, status=503)
        )
        _, lost_then_denied = self.serve(
            Answer(lost=True), Answer(not_run, status=401)
        )
        _, lost_then_judged = self.serve(
            Answer(lost=True), Answer(not_run, status=409)
        )
        cases = (
            (url, "outcome: may have run"),
            (busy, "outcome: not run"),
            (lost_then_busy, "outcome: may have run"),
            (lost_then_denied, "outcome: may have run"),
            (lost_then_judged, "outcome: not run"),
            ("http://127.0.0.1:1", "outcome: not run"),
        )
        for server, words in cases:
            with self.subTest(server=server):
                ending = self.run_at(server, "drain", "e1")
                self.assertEqual(ending.code, 1)
                self.assertIn(words, ending.err)
                self.assertNotIn(support.TOKEN, ending.err)

    def test_too_long_answer(self) -> None:
        _, url = self.serve(Answer({"long": "x" * 2000}))
        with unittest.mock.patch.object(_transport, "MAX_ANSWER_BYTES", 1000):
            ending = self.run_at(url, "status")
        self.assertEqual((ending.code, ending.out), (1, ""))
        self.assertIn("more than 1000 bytes", ending.err)

    def test_cut_answer_is_no_answer(self) -> None:
        scripted, url = self.serve(
            Answer({"revision": 1}, cut=True), Answer({"revision": 2})
        )
        self.assertEqual(self.run_at(url, "status").out, "revision: 2\n")
        self.assertEqual(len(scripted.taken), 2)

    def test_refusals_are_not_repeated(self) -> None:
        scripted, url = self.serve(Answer(REFUSAL, status=409))
        self.run_at(url, "drain", "e1")
        self.assertEqual(len(scripted.taken), 1)


class ShowTest(support.CommandCase):
    """Answers are readable, and exports are byte for byte."""

    def test_export(self) -> None:
        document = {"revision": 3, "sheet": "a;b\r\n1;2\r\n", "text": "{}\n"}
        _, url = self.serve(Answer(document))
        self.assertEqual(self.run_at(url, "export").out, "a;b\r\n1;2\r\n")
        self.assertEqual(self.run_at(url, "export", "--text").out, "{}\n")

    def test_status(self) -> None:
        document = {
            "revision": 3,
            "leader": None,
            "instances": [
                {"instance": "e1", "voter": True, "roles": ["entry", "x"]},
                {"instance": "e22", "queue": 5},
            ],
        }
        _, url = self.serve(Answer(document))
        self.assertEqual(
            self.run_at(url, "status").out,
            "revision: 3\n"
            "leader: -\n"
            "instances:\n"
            "  instance  voter  roles     queue\n"
            "  e1        yes    entry, x  -\n"
            "  e22       -      -         5\n",
        )
        shown = self.run_at(url, "status", "--json").out
        self.assertEqual(json.loads(shown), document)

    def test_paths(self) -> None:
        cases = (
            (("keys", "create", "tesfaye"), "POST", "/operator/keys"),
            (("keys", "list"), "GET", "/operator/keys"),
            (
                ("keys", "withdraw", "k/1"),
                "POST",
                "/operator/keys/k%2F1/withdraw",
            ),
            (("drain", "0012"), "POST", "/operator/drain/0012"),
            (
                ("voters", "add", "i4"),
                "POST",
                "/operator/voters/i4/add",
            ),
        )
        for arguments, method, path in cases:
            with self.subTest(arguments=arguments):
                scripted, url = self.serve(Answer({"done": True}))
                ending = self.run_at(url, *arguments)
                self.assertEqual(ending.out, "done: yes\n")
                taken = scripted.taken[0]
                self.assertEqual((taken.method, taken.path), (method, path))

    def test_foreign_answers(self) -> None:
        cases = (("status", "x"), ("export", [1]), ("export", {"no": 1}))
        for command, document in cases:
            with self.subTest(command=command, document=document):
                _, url = self.serve(Answer(document))
                ending = self.run_at(url, command)
                self.assertIn(ending.code, (0, 1))
                self.assertTrue(ending.out or ending.err)

    def test_help(self) -> None:
        shown = self.run_command("--help")
        for word in ("apply", "timeline", "--token-file"):
            self.assertIn(word, shown.out + shown.err)


class TimelineTest(support.CommandCase):
    """The time line is merged over all that can be asked."""

    def event(self, instance: str, second: int, request: str) -> object:
        """Returns an event as a server sends it."""
        return {
            "instance": instance,
            "time": [second * 1_000_000, 0],
            "kind": "a.b",
            "request": request,
        }

    def test_text(self) -> None:
        late = self.event("e2", 2, "r1")
        early = self.event("e1", 1, "r1")
        other = self.event("e1", 1, "r2")
        scripted, url = self.serve(
            Answer({"events": [late, other], "missing": ["e3"]})
        )
        _, beyond = self.serve(Answer({"events": [early, late], "missing": []}))
        ending = self.run_at(
            url,
            "timeline",
            "--request=r1",
            f"--servers={beyond},http://127.0.0.1:1",
        )
        self.assertEqual(
            ending.out,
            "1970-01-01T00:00:01.000000Z+0 e1 a.b request=r1\n"
            "1970-01-01T00:00:02.000000Z+0 e2 a.b request=r1\n",
        )
        self.assertIn(f"{url} could not get the events of e3", ending.err)
        self.assertIn("No answer from http://127.0.0.1:1", ending.err)
        self.assertEqual(
            scripted.taken[0].path, "/operator/timeline?request=r1&scope=all"
        )

    def test_html(self) -> None:
        event = self.event("e1", 1, "r1")
        _, url = self.serve(Answer({"events": [event], "missing": []}))
        page = self.folder / "page.html"
        ending = self.run_at(url, "timeline", "--request=r1", f"--html={page}")
        self.assertIn("1 events", ending.out)
        self.assertEqual(ending.err, "")
        self.assertIn("<svg", page.read_text())

    def test_folder_of_a_lost_instance(self) -> None:
        folder = self.folder / "lost"
        folder.mkdir()
        line = json.dumps(self.event("e9", 5, "r1"))
        (folder / "timeline.jsonl").write_text(line + "\n")
        _, url = self.serve(Answer({"events": [], "missing": []}))
        ending = self.run_at(url, "timeline", f"--folders={folder},/nowhere")
        self.assertIn("e9 a.b request=r1", ending.out)

    def test_nobody_answers(self) -> None:
        for document in ({"no": 1}, {"events": [{}]}, {"events": 3}):
            with self.subTest(document=document):
                _, url = self.serve(Answer(document))
                ending = self.run_at(url, "timeline")
                self.assertEqual((ending.code, ending.out), (1, ""))


class RolloutTest(support.CommandCase):
    """Trainers submit, fetch and acknowledge."""

    def run_at_entry(self, url: str, *arguments: str) -> support.Ending:
        """Runs a command against an entry, with a key."""
        flags = ("--entry", url, "--key-file", str(self.token_file))
        return self.run_command("rollout", *arguments, *flags)

    def test_submit(self) -> None:
        scripted, url = self.serve(Answer({"result": "GroupAccepted"}, 202))
        ending = self.run_at_entry(
            url, "submit", "t", "3", "0", "--prompt=12", "--max-tokens=9"
        )
        self.assertEqual(ending.code, 0, ending.err)
        (taken,) = scripted.taken
        document = json.loads(taken.body)
        self.assertEqual(document["request_id"], taken.headers["x-request-id"])
        self.assertEqual(
            (document["step"], document["group"], document["prompt"]),
            (3, 0, "12"),
        )

    def test_fetch_and_acknowledge(self) -> None:
        scripted, url = self.serve(Answer({"batch": "b"}))
        file = self.folder / "batch.json"
        self.run_at_entry(url, "fetch", "t", "3", f"--output={file}")
        self.assertEqual(json.loads(file.read_text()), {"batch": "b"})
        ending = self.run_at_entry(url, "acknowledge", "t", "t/3/1 x")
        self.assertEqual(ending.out, "batch: b\n")
        self.assertEqual(
            [taken.path for taken in scripted.taken],
            [
                "/v1/rollouts/t/steps/3/batch?wait_s=30",
                "/v1/rollouts/t/batches/t/3/1%20x/acknowledge",
            ],
        )

    def test_posts(self) -> None:
        newest = {"newest_version": 5}
        version = {"version": 7, "location": "w/7", "size_bytes": 9}
        adapter = {"version": 8, "location": "", "size_bytes": 0}
        adapter["base_model"] = "coach"
        for arguments, path, body in (
            (
                ("reject", "t", "3.0", "--newest-version=5"),
                "batches/3.0/reject",
                newest,
            ),
            (("cancel", "t", "3"), "steps/3/cancel", {}),
            (
                ("publish", "t", "7", "--location=w/7", "--size-bytes=9"),
                "versions",
                version,
            ),
            (
                ("publish", "t", "8", "--base-model=coach"),
                "versions",
                adapter,
            ),
        ):
            with self.subTest(arguments=arguments):
                scripted, url = self.serve(Answer({"result": "done"}))
                ending = self.run_at_entry(url, *arguments)
                self.assertEqual(ending.out, "result: done\n", ending.err)
                (taken,) = scripted.taken
                self.assertEqual(
                    (taken.method, taken.path),
                    ("POST", f"/v1/rollouts/t/{path}"),
                )
                self.assertEqual(json.loads(taken.body), body)

    def test_batch_not_whole(self) -> None:
        _, url = self.serve(
            Answer(None, 204, headers=(("x-samples-missing", "4"),))
        )
        ending = self.run_at_entry(url, "fetch", "t", "3")
        self.assertEqual(ending.code, 1)
        self.assertIn("4 missing", ending.err)
