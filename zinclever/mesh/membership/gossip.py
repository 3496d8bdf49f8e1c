"""One process among the others: who is there, by probes in turn; what is known, by news passed on and digests.

Pure: instants (s, of any clock that only moves forward) and random numbers are handed in, and what is to be sent is
left in :attr:`Gossip.out`. Sources: SWIM (Das and others, 2002) and Lifeguard (2018) for probes, second opinions,
suspicion and doubting oneself; Scuttlebutt (van Renesse and others, 2008) for the mending of gaps.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random

from ...core.protocol import Address
from ..transport.mesh_pb2 import GossipMessage, NodeInfo, Record, RecordVersion
from .orphans import Orphans
from .pending import Probe, Receipt
from .records import GONE, MOST_RECORDS, NODE, Key, Records, key, order, sound
from .standing import Standing as Standing
from .standing import urgent

FANOUT = 3  # peers that hot news goes to at a time
ROUNDS = 2  # times that news is passed on by each: who is missed by all hears of it by digests, within a second or two
URGENT = 3  # times for what has a bound: drains, departures, versions
YOUNG = 6.0  # s after its own start for which a process knows few others yet ...
EAGER = 5  # ... and passes on everything so many times more: of what it tells a few, they tell the rest too late
YOUNG_BYTES = 60_000  # that it has sent by then at the most: where there are many, digests do for the rest
ROOTS = 3  # version of the wire from which on a digest's root is understood
RATE = 25_000.0  # bytes a second that news may take where nothing is said of the link
BURST = 1.0  # s of that which may be saved up
DOUBTS = 6  # the most by which this process doubts itself: probes are waited for by so many times longer
TICK = 0.2  # s between two turns
PROBE_EACH = 0.4  # s between two probes of a peer in turn
ANSWERS = 0.25  # s within which a probe is answered, before others are asked to try
SECOND = 0.5  # s more, before it is suspected
SUSPECTED = 1.6  # s for which it may say that it lives
ASKED = 2  # others that give a second opinion
DIGEST_EACH = 0.5  # s between two digests to one peer
SEED_EACH = 2.0  # s between two digests to a seed, or to one that is taken for dead: how two sides of a cut meet
SEED_SPREAD = 1.0  # s over which these are spread: those of one side don't all call at the same instant
LATE = 3 * TICK  # s between two turns from which on this process doubts itself, not the others
MOST_NEWS = 1100  # bytes of records in one datagram
MOST_HOLDINGS = 24  # of them in one datagram
MOST_WHY = 300  # bytes
AGAIN = 0.15  # s after which news that wants a receipt is told again


class Gossip:
    """Feed it :meth:`tick` each TICK, :meth:`hear` with what comes, and :meth:`tell` with what is new here."""

    def __init__(
        self, me: str, life: int, info: NodeInfo, seeds: Iterable[Address], now: float, rng: Random, rate: float = RATE
    ) -> None:
        """``rate``: bytes a second that news may take; what has a bound goes all the same, and is counted."""
        self.me, self.rng, self.seeds = me, rng, list(seeds)
        self.rate = self.credit = rate
        self.spent = 0
        """Bytes that were sent."""
        self.doubts = 0
        """Of itself: it rises with each probe that nobody answers, and falls with each that is answered."""
        self.records = Records()
        self.orphans = Orphans()
        self.out: list[tuple[Address, GossipMessage]] = []
        self.changed: list[tuple[Record, str]] = []
        """Records that are new here since this was last emptied, and who told them."""
        self.hot: dict[Key, int] = {}
        """News still to be passed on, so many times."""
        self.ring: list[str] = []
        self.listed = -1
        self.others: list[str] = []
        self.probes: dict[int, Probe] = {}
        self.favours: dict[int, tuple[str, int]] = {}
        """Probes on another's behalf: by number who asked, and its number."""
        self.suspects: dict[str, float] = {}
        self.receipts: dict[int, Receipt] = {}
        self.heard: dict[str, float] = {}
        self.numbers = 0
        self.began = self.ticked_at = self.probed_at = self.seeded_at = now
        self.digested_at = -math.inf
        self.met = False
        """Another has answered a digest of ours, or told us news."""
        self.counts = {"sent": 0, "heard": 0, "dropped": 0, "suspected": 0, "dead": 0}
        self.records.put(now, Record(kind=NODE, id=me, life=life, seq=1, rank=0, body=info.SerializeToString()))
        self.heat((NODE, me))

    # --- who is there ---

    def node_info(self, name: str) -> NodeInfo | None:
        r = self.records.get(NODE, name)
        return NodeInfo.FromString(r.body) if r is not None else None

    def standing(self, name: str) -> Standing | None:
        r = self.records.get(NODE, name)
        return Standing(min(r.rank, 3)) if r is not None else None

    def peers(self) -> list[str]:
        """The others that are not known to be gone. Not to be changed by who asks."""
        if self.listed != self.records.nodes:
            self.listed = self.records.nodes
            self.others = [r.id for r in self.records.all(NODE) if r.rank < GONE and r.id != self.me]
        return self.others

    def some(self, most: int, but: str = "") -> list[str]:
        """So many others, drawn."""
        peers = self.peers()
        drawn = self.rng.sample(peers, min(len(peers), most + (but != "")))
        return [p for p in drawn if p != but][:most]

    def address(self, name: str) -> Address | None:
        info = self.node_info(name)
        return (info.ip, info.port) if info is not None else None

    def leave(self, now: float) -> None:
        """This process ends in order."""
        mine = self.records.held[(NODE, self.me)]
        self.tell(now, Record(kind=NODE, id=self.me, life=mine.life, seq=mine.seq, rank=Standing.LEFT, body=mine.body))

    # --- news ---

    def tell(self, now: float, r: Record) -> bool:
        """Something is new here: it goes out at once. False where newer is known."""
        if not self.records.put(now, r):
            return False
        self.changed.append((r, self.me))
        self.heat(key(r))
        self.pass_on(now)
        return True

    def tell_surely(self, now: float, r: Record, to: Iterable[str]) -> int:
        """The same, and told to these until they have said that they have it: a number for :attr:`receipts`."""
        self.tell(now, r)
        self.numbers += 1
        self.receipts[self.numbers] = Receipt(r, set(to) - {self.me})
        self.remind(now)
        return self.numbers

    def remind(self, now: float) -> None:
        for number, receipt in self.receipts.items():
            if now - receipt.at >= AGAIN:
                receipt.at = now
                for name in receipt.owed - receipt.received:
                    self.send(name, GossipMessage(news=[receipt.record], receipt=number))

    def heat(self, k: Key) -> None:
        young = EAGER if self.ticked_at - self.began < YOUNG and self.spent < YOUNG_BYTES else 0
        self.hot[k] = young + (URGENT if urgent(self.records.held[k]) else ROUNDS)

    def pass_on(self, now: float) -> None:
        """What is hot to a few others: what has a bound at once, the rest as the rate allows."""
        if not self.hot or not self.peers():
            return
        held = self.records.held
        keys = [k for k in self.hot if k in held and (self.credit > 0.0 or urgent(held[k]))]
        if not keys:
            return
        for name in self.some(FANOUT):
            self.send_news(name, [held[k] for k in keys])
        for k in keys:
            self.hot[k] -= 1
            if self.hot[k] <= 0:
                del self.hot[k]

    def send_news(self, name: str, news: Iterable[Record]) -> None:
        """Records in datagrams of a bounded size."""
        batch: list[Record] = []
        size = 0
        for r in news:
            more = r.ByteSize() + 4
            if batch and size + more > MOST_NEWS:
                self.send(name, GossipMessage(news=batch))
                batch, size = [], 0
            batch.append(r)
            size += more
        if batch:
            self.send(name, GossipMessage(news=batch))

    def send(self, name: str, w: GossipMessage) -> None:
        address = self.address(name)
        if address is not None:
            self.send_to(address, w)

    def send_to(self, address: Address, w: GossipMessage) -> None:
        w.life = self.records.held[(NODE, self.me)].life
        w.sender = self.me
        self.counts["sent"] += 1
        size = w.ByteSize()
        self.credit -= size
        self.spent += size
        self.out.append((address, w))

    # --- turns ---

    def tick(self, now: float) -> None:
        late = now - self.ticked_at > LATE
        self.credit = min(BURST * self.rate, self.credit + self.rate * (now - self.ticked_at))
        self.ticked_at = now
        if late:
            # This process stood still or starved: what it didn't hear in that time says nothing of the others.
            self.probes.clear()
            self.favours.clear()
            self.suspects = {name: now for name in self.suspects}
        self.records.age(now)
        for record in self.orphans.look(now, self.records):
            self.tell(now, record)
        self.pass_on(now)
        self.remind(now)
        self.judge(now)
        if now - self.probed_at >= PROBE_EACH:
            self.probed_at = now
            self.probe(now)
        if now - self.digested_at >= DIGEST_EACH:
            self.digested_at = now
            self.mend(now)

    def mend(self, now: float) -> None:
        """A digest to one of the others, and now and then to a seed or to one that may have come back."""
        peers = self.peers()
        digest = GossipMessage(sums=self.records.digest())
        if peers:
            name = self.rng.choice(peers)
            info = self.node_info(name)
            rooted = self.met and info is not None and info.speaks >= ROOTS
            self.send(name, GossipMessage(root=self.records.root()) if rooted else digest)
        if self.seeds and (not peers or not self.met or now - self.seeded_at >= SEED_EACH):
            self.seeded_at = now + SEED_SPREAD * (self.rng.random() - 0.5)
            mine = self.address(self.me)
            for seed in self.seeds if not self.met else [self.rng.choice(self.seeds)]:
                if seed != mine:
                    news = [self.records.held[(NODE, self.me)], *self.records.newest_version()]
                    other = GossipMessage(sums=digest.sums, news=news)
                    self.send_to(seed, other)
            gone = [r.id for r in self.records.all(NODE) if r.rank == Standing.DEAD]
            if gone:
                name = self.rng.choice(gone)
                news = [self.records.held[(NODE, name)], *self.records.newest_version()]
                self.send(name, GossipMessage(sums=digest.sums, news=news))

    def probe(self, now: float) -> None:
        """The next of the others in turn."""
        while self.ring:
            name = self.ring.pop()
            standing = self.standing(name)
            if standing is not None and standing < GONE:
                self.numbers += 1
                self.probes[self.numbers] = Probe(name, now)
                self.send(name, GossipMessage(ping=self.numbers))
                return
        self.ring = list(self.peers())
        self.rng.shuffle(self.ring)

    def judge(self, now: float) -> None:
        """Probes that are not answered, and suspicions that nobody refutes."""
        for number, probe in list(self.probes.items()):
            patience = 1 + self.doubts
            if self.heard.get(probe.name, -math.inf) >= probe.at:
                del self.probes[number]
                self.doubts = max(0, self.doubts - 1)
            elif not probe.asked and now - probe.at >= ANSWERS * patience:
                probe.asked = True
                probe.through = self.some(ASKED, but=probe.name)
                for name in probe.through:
                    self.send(name, GossipMessage(ping=number, target=probe.name))
            elif now - probe.at >= (ANSWERS + SECOND) * patience:
                del self.probes[number]
                self.doubts = min(DOUBTS, self.doubts + 1)
                through = f", nor through {' and '.join(probe.through)}" if probe.through else ""
                self.think(now, probe.name, Standing.SUSPECT, f"no answer in {now - probe.at:.2f} s{through}")
        for name, since in list(self.suspects.items()):
            if self.standing(name) is not Standing.SUSPECT:
                del self.suspects[name]
            elif now - since >= SUSPECTED:
                del self.suspects[name]
                info = self.node_info(name)
                cause = f" (by {info.by}: {info.why})" if info is not None else ""
                self.think(now, name, Standing.DEAD, f"suspected for {now - since:.1f} s, and said nothing{cause}")

    def think(self, now: float, name: str, standing: Standing, why: str) -> None:
        """Say of another what was found, and what it is drawn from: it may refute it by a higher number."""
        r = self.records.get(NODE, name)
        if r is not None and r.rank < standing:
            self.counts["suspected" if standing is Standing.SUSPECT else "dead"] += 1
            info = NodeInfo.FromString(r.body)
            info.by, info.why = self.me, why[:MOST_WHY]
            self.tell(
                now, Record(kind=NODE, id=name, life=r.life, seq=r.seq, rank=standing, body=info.SerializeToString())
            )
            self.watch(now, self.records.held[(NODE, name)])

    def watch(self, now: float, r: Record) -> None:
        if r.rank == Standing.SUSPECT:
            self.suspects.setdefault(r.id, now)

    # --- what comes ---

    def hear(self, now: float, w: GossipMessage, sender: Address) -> None:
        """A datagram of another."""
        name = w.sender
        if not name or name == self.me:
            self.counts["dropped"] += 1
            return
        self.counts["heard"] += 1
        fresh = False
        for r in w.news:
            fresh = self.take(now, r, name) or fresh
        if self.records.get(NODE, name) is not None:  # whoever else writes is not remembered
            self.heard[name] = now
        if w.receipt:
            above = self.records.above(w.news)
            if above:  # the news has changed nothing here: the teller hears of what has
                self.send_news(name, above)
            elif above is not None:
                self.send(name, GossipMessage(received=w.receipt))
        if w.received and w.received in self.receipts:
            self.receipts[w.received].received.add(name)
        if w.ping:
            self.answer(now, w, name)
        if w.ack:
            favour = self.favours.pop(w.ack, None)
            if favour is not None:
                self.send(favour[0], GossipMessage(ack=favour[1], target=name))
            probe = self.probes.pop(w.ack, None)
            if probe is not None and probe.name != name:
                self.heard[probe.name] = now
        known = self.records.get(NODE, name)
        if known is not None and (w.life < known.life or known.rank in (Standing.SUSPECT, Standing.DEAD)):
            # It hears what is thought of it, and may refute that; also of an earlier life with a clock that was ahead.
            self.send(name, GossipMessage(news=[known, *self.records.newest_version()]))
        if w.root == self.records.root():
            self.met = True
        elif w.root:
            self.reply(name, sender, GossipMessage(sums=self.records.digest()))
        if w.sums:
            self.compare(w, name, sender)
        if w.ranges:
            lacks, wanted = self.records.compare(w.ranges, w.holdings)
            self.send_news(name, lacks)
            for at in range(0, len(wanted), MOST_HOLDINGS):
                self.reply(name, sender, GossipMessage(wanted=wanted[at : at + MOST_HOLDINGS]))
            self.met = True
        if w.wanted:
            self.send_news(name, [self.records.held[key(h)] for h in w.wanted if key(h) in self.records.held])
        if fresh:
            self.met = True
            self.pass_on(now)

    def take(self, now: float, r: Record, teller: str) -> bool:
        """A record from another; whether it is new here."""
        k = key(r)
        if k == (NODE, self.me):
            mine = self.records.held[k]
            if order(r) > order(mine) and (r.rank or r.life > mine.life):
                # Somebody thinks this process gone, or an earlier life of it had a clock that was ahead.
                self.tell(
                    now, Record(kind=NODE, id=self.me, life=r.life, seq=r.seq + 1, rank=mine.rank, body=mine.body)
                )
                self.counts["refuted"] = self.counts.get("refuted", 0) + 1
            return False
        if not sound(r) or (k not in self.records.held and len(self.records.held) >= MOST_RECORDS):
            self.counts["dropped"] += 1
            return False
        if not self.records.put(now, r):
            return False
        if r.kind == NODE:
            self.watch(now, r)
        self.changed.append((r, teller))
        self.heat(k)
        return True

    def answer(self, now: float, w: GossipMessage, name: str) -> None:
        if not w.target:
            self.send(name, GossipMessage(ack=w.ping))
        elif self.address(w.target) is not None:
            self.numbers += 1
            self.favours[self.numbers] = (name, w.ping)
            if len(self.favours) > 64:
                self.favours.pop(next(iter(self.favours)))
            self.send(w.target, GossipMessage(ping=self.numbers))

    def compare(self, w: GossipMessage, name: str, sender: Address) -> None:
        """The holdings of ranges that differ, in datagrams of a bounded size."""
        ranges: list[int] = []
        holdings: list[RecordVersion] = []
        for n in self.records.differing(w.sums):
            here = self.records.holdings(n)
            if ranges and len(holdings) + len(here) > MOST_HOLDINGS:
                self.reply(name, sender, GossipMessage(ranges=ranges, holdings=holdings))
                ranges, holdings = [], []
            ranges.append(n)
            holdings += here
        if ranges:
            self.reply(name, sender, GossipMessage(ranges=ranges, holdings=holdings))
        else:
            self.met = True

    def reply(self, name: str, sender: Address, w: GossipMessage) -> None:
        """To one that may not be known by name yet."""
        if self.address(name) is not None:
            self.send(name, w)
        else:
            self.send_to(sender, w)
