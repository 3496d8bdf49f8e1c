"""Configurations, settings and calls: what is read, and what is refused and why."""

from __future__ import annotations

import copy
import json
import unittest
import zlib
from typing import Any

from mesh.cases import params
from zinclever.mesh.configuration.active import ActiveConfiguration, decompress
from zinclever.mesh.configuration.document import MAX_TEXT_BYTES, parse
from zinclever.mesh.control_api.router import Router
from zinclever.mesh.errors import MeshError
from zinclever.mesh.roles import node_settings

CONFIG: dict[str, Any] = {
    "Generation": 7,
    "Routes": {
        "search": {
            "Authority": "A.example",
            "PathPrefix": "/s/",
            "RouteClass": "idempotent",
            "DeadlineS": 1.5,
            "TargetLatencyS": 0.6,
            "Priority": 2,
            "MaxAttempts": 2,
            "WeightedTargets": [{"Target": "one", "Weight": 90}, {"Target": "two", "Weight": 10}],
        },
        "deep": {
            "Authority": "a.example",
            "PathPrefix": "/s/deep/",
            "RouteClass": "non_idempotent",
            "DeadlineS": 2,
            "Target": "two",
            "New": {"field": 1},
        },
    },
    "Services": {"one": {"HealthPath": "/health", "MaxConns": 120}, "two": {}},
    "Limits": {"MaxHeaderBytes": 16384},
}


def changed(path: str, value: Any) -> bytes:
    """The configuration with one field changed; None removes it."""
    made = copy.deepcopy(CONFIG)
    *parts, last = path.split(".")
    at = made
    for part in parts:
        at = at[part]
    if value is None:
        del at[last]
    else:
        at[last] = value
    return json.dumps(made).encode()


class Recipes(unittest.TestCase):
    @params(
        ("a.example", "/s/x", "search"),
        ("a.example", "/s/deep/x", "deep"),
        ("a.example", "/s/deep", "search"),
        ("a.example", "/other/", None),
        ("b.example", "/s/x", None),
        ("a.example", "/", None),
    )
    def test_the_longest_prefix(self, host: str, path: str, want: str | None) -> None:
        route = parse(json.dumps(CONFIG).encode()).find_route(host, path)
        self.assertEqual(route.name if route else None, want)

    @params(
        ("Routes.deep.Target", "three", "Routes.deep.Target"),
        ("Routes.deep.Target", None, "Routes.deep"),
        ("Routes.deep.DeadlineS", 0, "Routes.deep.DeadlineS"),
        ("Routes.deep.DeadlineS", True, "Routes.deep.DeadlineS"),
        ("Routes.deep.Authority", "", "Routes.deep.Authority"),
        ("Routes.deep.RouteClass", "maybe", "Routes.deep.RouteClass"),
        ("Routes.deep.PathPrefix", "/s/", "Routes.deep.PathPrefix"),
        ("Routes.search.WeightedTargets", [{"Target": "one", "Weight": 0}], "Routes.search.WeightedTargets"),
        ("Routes", [], "Routes"),
        ("Services", None, "Services"),
        ("Generation", "7", "Generation"),
        ("Limits.MaxHeaderBytes", -1, "Limits.MaxHeaderBytes"),
    )
    def test_invalid_ones_name_the_field(self, path: str, value: Any, field: str) -> None:
        with self.assertRaises(MeshError) as caught:
            parse(changed(path, value))
        self.assertEqual(caught.exception.field, field)

    @params(b"", b"{", b"[]", b'{"Generation":1}', b"\xff")
    def test_what_can_not_be_read_whole(self, text: bytes) -> None:
        with self.assertRaises(MeshError):
            parse(text)

    def test_only_forward(self) -> None:
        active, text = ActiveConfiguration(), json.dumps(CONFIG).encode()
        self.assertTrue(active.apply(3, 7, text))
        self.assertFalse(active.apply(2, 9, changed("Generation", 9)))
        self.assertEqual(active.generation, 7)
        with self.assertRaises(MeshError):
            active.apply(4, 9, b"{")
        self.assertEqual(active.index, 3)

    def test_two_thousand_routes(self) -> None:
        made = copy.deepcopy(CONFIG)
        for n in range(2000):
            made["Routes"][f"r{n}"] = {**CONFIG["Routes"]["deep"], "PathPrefix": f"/p{n}/"}
        configuration = parse(json.dumps(made).encode())
        route = configuration.find_route("a.example", "/p1999/x")
        self.assertEqual(route.name if route else None, "r1999")


BOOT: dict[str, Any] = {
    "NodeName": "n1",
    "Role": "forager",
    "Ip": "127.0.0.1",
    "Zone": "z",
    "Serves": ["auxiliary"],
    "Bind": {"Egress": "127.0.0.1:1"},
    "EphemeralPorts": [7620, 7635],
    "SeedNodes": ["127.0.0.2:5"],
    "Bounds": ["DrainS=2", "Closed=false,RetryRatio=0.2"],
    "StateDir": None,
    "Later": 1,
}


class Boots(unittest.TestCase):
    def test_read(self) -> None:
        told = node_settings.parse(json.dumps(BOOT).encode())
        self.assertEqual(dict(told.bounds), {"DrainS": 2.0, "Closed": 0.0, "RetryRatio": 0.2})
        self.assertEqual(told.seeds, (("127.0.0.2", 5),))

    @params(
        ("NodeName", None),
        ("EphemeralPorts", [1]),
        ("EphemeralPorts", [9, 8]),
        ("SeedNodes", ["x"]),
        ("Bind", {"Egress": "nowhere"}),
        ("Bounds", ["DrainS=soon"]),
        ("HeartbeatS", 0),
    )
    def test_refused(self, field: str, value: Any) -> None:
        made = {**BOOT, field: value}
        if value is None:
            del made[field]
        with self.assertRaises(MeshError):
            node_settings.parse(json.dumps(made).encode())


class Matchers(unittest.TestCase):
    @params(
        ("POST", "/v1/endpoints/i-1/heartbeat", "beat", ["i-1"], True),
        ("POST", "/v1/endpoints/i-1/heartbeat?x=1", "beat", ["i-1"], True),
        ("GET", "/v1/endpoints/i-1/heartbeat", None, ["i-1"], True),
        ("POST", "/v1/endpoints//heartbeat", None, [], False),
        ("GET", "/v1/ready", "ready", [], True),
        ("GET", "/v1", None, [], False),
        ("GET", "/", None, [], False),
    )
    def test_find(self, method: str, path: str, want: str | None, captured: list[str], known: bool) -> None:
        tree: Router[str] = Router()
        tree.add("POST /v1/endpoints/{id}/heartbeat", "beat")
        tree.add("GET /v1/ready", "ready")
        found = tree.find(method, path)
        self.assertEqual((found.handler, found.path_parameters, found.is_known_path), (want, captured, known))


class Packed(unittest.TestCase):
    def test_there_and_back(self) -> None:
        active = ActiveConfiguration()
        text = json.dumps({"Generation": 1, "Routes": {}, "Services": {f"s{n}": {} for n in range(2000)}}).encode()
        active.apply(1, 1, text)
        packed = active.compressed()
        self.assertLess(len(packed), len(text) / 4)
        self.assertEqual(decompress(packed), text)
        active.apply(2, 2, b'{"Generation": 2, "Routes": {}, "Services": {}}')
        self.assertEqual(active.compressed(), b"")  # too small to be worth it

    @params(b"", b"no zlib", zlib.compress(b"x" * 100)[:-3], zlib.compress(bytes(MAX_TEXT_BYTES + 1)))
    def test_what_is_none_is_refused(self, packed: bytes) -> None:
        with self.assertRaises(MeshError):
            decompress(packed)


if __name__ == "__main__":
    unittest.main()
