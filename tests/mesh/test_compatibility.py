"""What version 0.1 (commit 99e4504) sent and stored is read as it was meant, and what is sent now is the same bytes.

``fixtures/wire.json`` and ``fixtures/state`` were made by that commit: the messages of :mod:`.wire_samples` as it
serialized them, and the folder of a control replica as its store wrote it.
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
                sent = bytes.fromhex(self.wire[kind][name])
                self.assertEqual(parse.FromString(sent), sample)
                self.assertEqual(sample.SerializeToString(deterministic=True), sent)

    def test_datagrams_are_the_same_bytes(self) -> None:
        self.check("datagrams", GossipMessage, dict(wire_samples.datagrams()))

    def test_frames_are_the_same_bytes(self) -> None:
        self.check("frames", Frame, dict(wire_samples.frames()))

    def test_a_frame_of_each_kind_is_among_the_samples(self) -> None:
        kinds = {field.name for field in Frame.DESCRIPTOR.oneofs[0].fields}
        self.assertEqual({frame.WhichOneof("what") for frame in wire_samples.frames().values()}, kinds)


class Disk(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = Path(scratch.name) / "state"
        shutil.copytree(FIXTURES / "state", self.folder)

    async def test_a_replica_finds_all_that_it_stored(self) -> None:
        store = ReplicaStore(self.folder)
        self.addCleanup(store.close)
        await asyncio.get_running_loop().run_in_executor(None, store.load)
        self.assertEqual(store.disk, "0123456789abcdef0123456789abcdef")
        self.assertEqual(store.vote, Vote(5, "disk-2"))
        self.assertEqual(store.entry, wire_samples.entry())

    def test_the_command_that_shows_a_folder_shows_the_same(self) -> None:
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
