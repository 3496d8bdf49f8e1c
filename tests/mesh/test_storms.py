"""Random fault schedules, checked for lost changes and for linearizable call histories."""

from __future__ import annotations

import unittest

from zinclever.mesh.consensus import messages
from zinclever.mesh.consensus.replica import Replica
from zinclever.mesh.model.histories import Call, CallOutcome, is_linearizable
from zinclever.mesh.model.members import World
from zinclever.mesh.transport.mesh_pb2 import ConsensusMessage, LogEntry


class RandomFaults(unittest.TestCase):
    """Random faults that stay within the tolerated number of simultaneous failures."""

    def run_schedule(self, seed: int, kind: type[Replica] = Replica) -> World:
        """Run a fault schedule drawn from a seed, and check that no acknowledged change is lost."""
        world = World(seed, kind=kind)
        world.run(2.0)
        world.loss, world.duplicates, world.delay, world.synced, world.reply_loss = 0.1, 0.1, 0.01, 0.15, 0.1
        generation, failed, last_node = 0, "", 20
        for _ in range(40):
            world.run(0.3 * world.rng.random())
            for ip in world.leaders():
                replica = world.machines[ip].replica
                if replica is not None and world.rng.random() < 0.7:
                    for _ in range(world.rng.randrange(1, 3)):
                        generation += 1
                        world.put(ip, replica.committed.generation, generation)
                self.other_calls(world, ip)
                if world.rng.random() < 0.5:
                    world.get(ip)
            draw = world.rng.random()
            if failed and draw < 0.5:  # only one replica fails at a time: it recovers before the next one fails
                if failed in world.machines and world.machines[failed].replica is None:
                    world.start(failed)
                elif failed in world.machines and world.machines[failed].paused:
                    world.run(2.0 * world.rng.random())  # the others continue without it
                    for ip in world.leaders():
                        generation += 1
                        world.put(ip, max(world.acked, default=0), generation)
                    world.run(0.3)
                    world.resume(failed)
                    self.other_calls(world, failed)  # before it has handled any message
                    world.get(failed)
                world.cut.clear()
                world.full.clear()
                world.run(4.0)  # time to catch up, during which it still counts as failed
                failed = ""
            elif not failed and draw < 0.8:
                failed = world.rng.choice(list(world.machines))
                fault = world.rng.randrange(7)
                if fault == 0:
                    world.kill(failed)
                elif fault == 1:
                    world.wipe(failed)
                elif fault == 2:
                    world.cut = {(a, b) for a in world.machines for b in world.machines if failed in (a, b)}
                elif fault == 3:
                    world.cut = {(a, failed) for a in world.machines if a != failed}
                elif fault == 4:
                    world.full = {failed}
                elif fault == 5:
                    world.pause(failed)
                else:
                    last_node += 1
                    world.remove(failed)
                    failed = f"10.0.0.{last_node}"
                    world.add(failed)
            elif draw > 0.9 and not failed:  # a power failure of all replicas, shortly after a change was sent
                for ip in world.leaders():
                    replica = world.machines[ip].replica
                    if replica is not None:
                        generation += 1
                        world.put(ip, replica.committed.generation, generation)
                world.run(0.15 * world.rng.random())
                for ip in list(world.machines):
                    world.kill(ip)
                for ip in list(world.machines):
                    world.start(ip)
        world.quiet(8.0)
        world.assert_acknowledged_kept()
        world.assert_one_change_per_base()
        return world

    def other_calls(self, world: World, ip: str) -> None:
        """Send a replica further random changes.

        These repeat an earlier change, reuse its generation with another text, or have a generation that is not above
        the newest acknowledged one.
        """
        earlier = [call for call in world.history if call.kind == "put"]
        newest = max(world.acked, default=0)
        if earlier and world.rng.random() < 0.4:
            world.again(ip, world.rng.choice(earlier[-8:]))
        if earlier and world.rng.random() < 0.2:
            call = world.rng.choice(earlier[-8:])
            world.put(ip, call.base, call.generation, call.variant + 1)
        if world.rng.random() < 0.3:
            world.put(ip, newest, world.rng.randrange(newest + 1))

    def test_no_acknowledged_change_is_lost_and_histories_are_linearizable(self) -> None:
        acked = 0
        answers = dict.fromkeys(CallOutcome, 0)
        for seed in range(25):
            with self.subTest(seed=seed):
                world = self.run_schedule(seed)
                self.assertEqual(len(world.leaders()), 1)
                self.assertTrue(world.reads(world.leaders()[0]))
                self.assertTrue(is_linearizable(world.history))
                acked += len(world.acked)
                for call in world.history:
                    answers[call.outcome] += call.kind == "put"
        self.assertGreater(acked, 200)
        self.assertGreater(min(answers.values()), 50, answers)

    def test_broken_replicas_are_detected(self) -> None:
        """The checks detect replies sent before they are durable, and a leader that ignores the votes' entries."""

        class ReplyBeforeSave(Replica):
            def persist(self, accepted: LogEntry | None, after: list[messages.Send]) -> None:
                for send in after:
                    if send.message.kind == messages.MessageKind.VOTE_REPLY and self.accepted is not None:
                        send.message.entry.CopyFrom(self.accepted)
                    self.actions.append(send)
                super().persist(accepted, [])

        class IgnoreVotedEntries(Replica):
            def on_vote_reply(self, now: float, message: ConsensusMessage) -> None:
                if message.disk != self.own_voter.disk:
                    message.ClearField("entry")
                    message.ClearField("committed")
                super().on_vote_reply(now, message)

        for kind in (ReplyBeforeSave, IgnoreVotedEntries):
            with self.subTest(kind=kind.__name__):
                self.assertTrue(any(self.fails(seed, kind) for seed in range(60)))

    def test_unconfirmed_rejections_are_detected(self) -> None:
        class UnconfirmedAnswers(Replica):
            def answer_confirmed(self) -> None:
                if self.is_established():
                    self.calls.answer_confirmed(self.committed, [v.disk for v in self.committed.voters])

        self.assertFalse(
            all(is_linearizable(self.run_schedule(seed, UnconfirmedAnswers).history) for seed in range(60))
        )

    def fails(self, seed: int, kind: type[Replica]) -> bool:
        try:
            self.run_schedule(seed, kind)
        except AssertionError:
            return True
        return False


class Histories(unittest.TestCase):
    """The linearizability checker."""

    def put(
        self, began: float, ended: float, base: int, generation: int, outcome: CallOutcome = CallOutcome.DONE
    ) -> Call:
        return Call(began, ended, "put", generation, base, outcome)

    def get(self, began: float, ended: float, generation: int) -> Call:
        return Call(began, ended, "get", generation, 0, CallOutcome.DONE)

    def test_linearizable_and_other_histories(self) -> None:
        put, get = self.put, self.get
        cases: list[tuple[str, list[Call], bool]] = [
            ("sequential calls", [put(0, 1, 0, 1), put(2, 3, 1, 2), get(4, 5, 2)], True),
            ("reads concurrent with a change", [put(0, 3, 0, 1), get(1, 2, 0), get(1, 2, 1)], True),
            ("a stale read", [put(0, 1, 0, 1), get(2, 3, 0)], False),
            ("reads that go back", [put(0, 9, 0, 1), get(1, 2, 1), get(3, 4, 0)], False),
            ("two changes applied on one base", [put(0, 1, 0, 1), put(0, 1, 0, 2)], False),
            ("one of two changes applied", [put(0, 1, 0, 1), put(0, 1, 0, 2, CallOutcome.STALE)], True),
            ("rejected without a cause", [put(0, 1, 0, 1, CallOutcome.STALE), get(2, 3, 0)], False),
            ("a repeated change", [put(0, 1, 0, 1), put(2, 3, 1, 2), put(4, 5, 0, 1)], True),
            (
                "unclear and applied later",
                [put(0, 1, 0, 1, CallOutcome.INDETERMINATE), get(2, 3, 0), get(4, 5, 1)],
                True,
            ),
            (
                "unclear and never applied",
                [put(0, 1, 0, 1, CallOutcome.INDETERMINATE), put(2, 3, 0, 2), get(4, 5, 2)],
                True,
            ),
            (
                "unclear, applied and undone",
                [put(0, 1, 0, 1, CallOutcome.INDETERMINATE), get(2, 3, 1), get(4, 5, 0)],
                False,
            ),
            ("rejected but applied", [put(0, 1, 0, 1), put(2, 3, 0, 2, CallOutcome.STALE), get(4, 5, 2)], False),
            ("lost", [put(0, 1, 0, 1), put(2, 3, 0, 2)], False),
        ]
        for name, history, want in cases:
            with self.subTest(name):
                self.assertEqual(is_linearizable(history), want)

    def test_unconfirmed_reads_are_detected(self) -> None:
        class UnconfirmedReads(Replica):
            def read(self, now: float, call: int) -> None:
                self.actions.append(
                    messages.Reply(call, 200 if self.committed.generation else 404, self.committed.text)
                )

        detected = False
        for seed in range(20):
            world = World(seed, kind=UnconfirmedReads)
            world.run(2.0)
            (ip,) = world.leaders()
            world.cut = {(a, b) for a in world.machines for b in world.machines if ip in (a, b) and a != b}
            for n in range(1, 100):
                world.run(0.02)
                for leader in world.leaders():
                    replica = world.machines[leader].replica
                    if leader != ip and replica is not None:
                        world.put(leader, replica.committed.generation, n)
                    world.get(leader)
            detected = detected or not is_linearizable(world.history)
        self.assertTrue(detected)


if __name__ == "__main__":
    unittest.main()
