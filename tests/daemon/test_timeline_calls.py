"""Tests of gathering the time line over instances."""

import banyanbank_base as base
from banyanbank_daemon import _timeline
from banyanbank_daemon import _timeline_calls
import banyanbank_mesh as mesh
from twisted.internet import defer

from tests.mesh import support as mesh_support

A = mesh_support.A
B = mesh_support.B
GONE = base.InstanceId("gone")


class GatherTest(mesh_support.MeshCase):
    """One instance gathers the events of all that can be asked."""

    def serve(
        self, one: mesh.Mesh
    ) -> tuple[_timeline_calls.TimelineCalls, _timeline.Timeline]:
        """Serves the events of an instance."""
        from twisted.internet import reactor

        recorder = _timeline.Timeline(one.instance, self.clock)
        return (
            _timeline_calls.TimelineCalls(one, recorder, reactor),
            recorder,
        )

    def test_all_instances(self) -> None:
        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            calls, own = self.serve(a)
            _, far = self.serve(b)
            for number in range(3 * _timeline_calls.EVENTS_A_TURN + 5):
                far.record("a.far", request=f"r{number % 2}", detail="x" * 90)
            own.record("a.own", request="r1")
            query = _timeline.EventQuery(request="r1")
            gathered = await calls.gather(query, [A, B, GONE], self.soon())
            self.assertEqual(gathered.missing, (GONE,))
            kinds = [event.kind for event in gathered.events]
            self.assertEqual(kinds, ["a.far"] * 302 + ["a.own"])
            document = gathered.to_document()
            self.assertEqual(document["missing"], ["gone"])
            self.assertEqual(
                _timeline.event_from_document(document["events"][0]),
                gathered.events[0],
            )

        self.run_case(case)

    def test_broken_answers_are_missing(self) -> None:
        bodies = (b"no event\n", b'{"time": [1, 2]', b"\xff\n")

        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            calls, _ = self.serve(a)
            for body in bodies:
                with self.subTest(body=body):

                    async def answer(
                        sender: base.InstanceId,
                        data: bytes,
                        writer: mesh.StreamWriter,
                        body: bytes = body,
                    ) -> None:
                        await writer.write(body)

                    b.on_stream(_timeline_calls.METHOD, answer)
                    query = _timeline.EventQuery()
                    gathered = await calls.gather(query, [B], self.soon())
                    self.assertEqual(gathered.missing, (B,))

        self.run_case(case)

    def test_foreign_queries(self) -> None:
        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            self.serve(b)
            asked = [
                a.open_stream(B, _timeline_calls.METHOD, data, self.soon())
                for data in (b"", b"[]", b"\xff", b"[" * 100_000)
            ]
            reads = await defer.gatherResults([one.read() for one in asked])
            for read in reads:
                self.expect_error(
                    read, mesh.CallErrorKind.REFUSED, base.Outcome.NOT_RUN
                )

        self.run_case(case)

    def test_read_query(self) -> None:
        cases = (
            ({}, _timeline.EventQuery()),
            (
                {"key": "k", "epoch": "7"},
                _timeline.EventQuery(key="k", epoch=7),
            ),
            ({"epoch": "x"}, _timeline.EventQuery(epoch=-1)),
        )
        for fields, query in cases:
            with self.subTest(fields=fields):
                self.assertEqual(_timeline_calls.read_query(fields), query)
