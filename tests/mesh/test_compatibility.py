"""Compatibility of the wire and disk formats with version 0.1 (commit 99e4504).

That commit wrote the fixtures: ``fixtures/wire.json`` holds the messages of :mod:`.wire_samples` as it serialized them,
``fixtures/state`` is the state folder of a control node.
"""

from __future__ import annotations

import asyncio
import json
import shutil
import tempfile
import unittest
from pathlib import Path

from google.protobuf.message import Message

from mesh import wire_samples
from zinclever.mesh.consensus.messages import Vote
from zinclever.mesh.consensus.replica_store import ReplicaStore, read_stored_state
from zinclever.mesh.operator_cli.commands import describe_disk
from zinclever.mesh.transport.mesh_pb2 import Frame, GossipMessage

FIXTURES = Path(__file__).parent / "fixtures"


class Wire(unittest.TestCase):
    def setUp(self) -> None:
        self.wire: dict[str, dict[str, str]] = json.loads((FIXTURES / "wire.json").read_text())

    def check(self, kind: str, parse: type[Message], samples: dict[str, Message]) -> None:
        self.assertEqual(sorted(self.wire[kind]), sorted(samples))
        for name, sample in samples.items():
            with self.subTest(kind=kind, name=name):
                encoded = bytes.fromhex(self.wire[kind][name])
                self.assertEqual(parse.FromString(encoded), sample)
                self.assertEqual(sample.SerializeToString(deterministic=True), encoded)

    def test_datagram_encoding_is_unchanged(self) -> None:
        self.check("datagrams", GossipMessage, dict(wire_samples.datagrams()))

    def test_frame_encoding_is_unchanged(self) -> None:
        self.check("frames", Frame, dict(wire_samples.frames()))

    def test_samples_include_every_kind_of_frame(self) -> None:
        kinds = {field.name for field in Frame.DESCRIPTOR.oneofs[0].fields}
        self.assertEqual({frame.WhichOneof("what") for frame in wire_samples.frames().values()}, kinds)


class Disk(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = Path(scratch.name) / "state"
        shutil.copytree(FIXTURES / "state", self.folder)

    async def test_replica_loads_its_stored_state(self) -> None:
        store = ReplicaStore(self.folder)
        self.addCleanup(store.close)
        await asyncio.get_running_loop().run_in_executor(None, store.load)
        self.assertEqual(store.disk, "0123456789abcdef0123456789abcdef")
        self.assertEqual(store.vote, Vote(5, "disk-2"))
        self.assertEqual(store.entry, wire_samples.entry())

    def test_operator_command_shows_the_stored_state(self) -> None:
        state = read_stored_state(self.folder)
        assert state.entry is not None
        self.assertEqual(
            describe_disk(state, state.entry),
            {
                "Disk": "0123456789abcdef0123456789abcdef",
                "Vote": "5 disk-2",
                "Term": 5,
                "Number": 9,
                "Generation": 7,
                "Config": wire_samples.CONFIGURATION.decode(),
                "Voters": [
                    {"Disk": "disk-1", "Name": "core-1", "Ip": "127.0.0.1"},
                    {"Disk": "disk-2", "Name": "core-2", "Ip": "127.0.0.2"},
                    {"Disk": "disk-3", "Name": "core-3", "Ip": "127.0.0.3"},
                ],
            },
        )
