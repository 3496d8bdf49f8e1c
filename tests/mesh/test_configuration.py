"""Parsing and validation of configurations and node settings, and matching of control API paths."""

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
from zinclever.mesh.transport.mesh_pb2 import ForwardRequest

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


def config_with(path: str, value: Any) -> bytes:
    """Return the configuration with the field at ``path`` set to ``value``, or removed if that is None."""
    document = copy.deepcopy(CONFIG)
    *parents, field = path.split(".")
    table = document
    for parent in parents:
        table = table[parent]
    if value is None:
        del table[field]
    else:
        table[field] = value
    return json.dumps(document).encode()


class ConfigurationParsing(unittest.TestCase):
    @params(
        ("a.example", "/s/x", "search"),
        ("a.example", "/s/deep/x", "deep"),
        ("a.example", "/s/deep", "search"),
        ("a.example", "/other/", None),
        ("b.example", "/s/x", None),
        ("a.example", "/", None),
    )
    def test_the_route_with_the_longest_prefix_is_found(self, host: str, path: str, expected: str | None) -> None:
        route = parse(json.dumps(CONFIG).encode()).find_route(host, path)
        self.assertEqual(route.name if route else None, expected)

    @params(
        ("a.example:8080", "/s/x", "search"),
        ("a.example:8080", "/s/deep/x", "ported"),  # its authority has the port
        ("a.example:81", "/s/deep/x", "deep"),
        ("a.example", "/s/deep/x", "deep"),
    )
    def test_authority_with_a_port(self, host: str, path: str, expected: str) -> None:
        """Guards against routes that are never found, as the port was cut off Host only."""
        document = copy.deepcopy(CONFIG)
        document["Routes"]["ported"] = {**CONFIG["Routes"]["deep"], "Authority": "A.example:8080"}
        route = parse(json.dumps(document).encode()).find_route(host, path)
        self.assertEqual(route.name if route else None, expected)

    @params((-1, 0.0), (-0.5, 0.0), (3, 3.0))
    def test_priority_below_the_highest(self, priority: float, expected: float) -> None:
        """Guards against a priority that is acknowledged, but can't be sent to another sidecar."""
        configuration = parse(config_with("Routes.deep.Priority", priority))
        self.assertEqual(configuration.routes["deep"].priority, expected)
        ForwardRequest(priority=int(configuration.routes["deep"].priority))

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
    def test_an_invalid_field_is_named_in_the_error(self, path: str, value: Any, field: str) -> None:
        with self.assertRaises(MeshError) as caught:
            parse(config_with(path, value))
        self.assertEqual(caught.exception.field, field)

    @params(b"", b"{", b"[]", b'{"Generation":1}', b"\xff")
    def test_malformed_documents_are_rejected(self, text: bytes) -> None:
        with self.assertRaises(MeshError):
            parse(text)

    def test_the_active_configuration_is_only_replaced_by_a_newer_one(self) -> None:
        active, text = ActiveConfiguration(), json.dumps(CONFIG).encode()
        self.assertTrue(active.apply(3, 7, text))
        self.assertFalse(active.apply(2, 9, config_with("Generation", 9)))
        self.assertEqual(active.generation, 7)
        with self.assertRaises(MeshError):
            active.apply(4, 9, b"{")
        self.assertEqual(active.index, 3)

    def test_two_thousand_routes_are_parsed(self) -> None:
        document = copy.deepcopy(CONFIG)
        for n in range(2000):
            document["Routes"][f"r{n}"] = {**CONFIG["Routes"]["deep"], "PathPrefix": f"/p{n}/"}
        configuration = parse(json.dumps(document).encode())
        route = configuration.find_route("a.example", "/p1999/x")
        self.assertEqual(route.name if route else None, "r1999")


SETTINGS: dict[str, Any] = {
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


class NodeSettingsParsing(unittest.TestCase):
    def test_valid_settings_are_parsed(self) -> None:
        settings = node_settings.parse(json.dumps(SETTINGS).encode())
        self.assertEqual(dict(settings.bounds), {"DrainS": 2.0, "Closed": 0.0, "RetryRatio": 0.2})
        self.assertEqual(settings.seeds, (("127.0.0.2", 5),))

    @params(
        ("NodeName", None),
        ("EphemeralPorts", [1]),
        ("EphemeralPorts", [9, 8]),
        ("SeedNodes", ["x"]),
        ("Bind", {"Egress": "nowhere"}),
        ("Bounds", ["DrainS=soon"]),
        ("HeartbeatS", 0),
    )
    def test_invalid_settings_are_rejected(self, field: str, value: Any) -> None:
        document = {**SETTINGS, field: value}
        if value is None:
            del document[field]
        with self.assertRaises(MeshError):
            node_settings.parse(json.dumps(document).encode())


class PathMatching(unittest.TestCase):
    @params(
        ("POST", "/v1/endpoints/i-1/heartbeat", "beat", ["i-1"], True),
        ("POST", "/v1/endpoints/i-1/heartbeat?x=1", "beat", ["i-1"], True),
        ("GET", "/v1/endpoints/i-1/heartbeat", None, ["i-1"], True),
        ("POST", "/v1/endpoints//heartbeat", None, [], False),
        ("GET", "/v1/ready", "ready", [], True),
        ("GET", "/v1", None, [], False),
        ("GET", "/", None, [], False),
    )
    def test_method_and_path_find_the_handler(
        self, method: str, path: str, handler: str | None, parameters: list[str], known: bool
    ) -> None:
        router: Router[str] = Router()
        router.add("POST /v1/endpoints/{id}/heartbeat", "beat")
        router.add("GET /v1/ready", "ready")
        found = router.find(method, path)
        self.assertEqual((found.handler, found.path_parameters, found.is_known_path), (handler, parameters, known))


class Compression(unittest.TestCase):
    def test_a_compressed_text_is_decompressed_unchanged(self) -> None:
        active = ActiveConfiguration()
        text = json.dumps({"Generation": 1, "Routes": {}, "Services": {f"s{n}": {} for n in range(2000)}}).encode()
        active.apply(1, 1, text)
        compressed = active.compressed()
        self.assertLess(len(compressed), len(text) / 4)
        self.assertEqual(decompress(compressed), text)
        active.apply(2, 2, b'{"Generation": 2, "Routes": {}, "Services": {}}')
        self.assertEqual(active.compressed(), b"")  # too small to be compressed

    @params(b"", b"no zlib", zlib.compress(b"x" * 100)[:-3], zlib.compress(bytes(MAX_TEXT_BYTES + 1)))
    def test_damaged_or_too_long_data_is_rejected(self, compressed: bytes) -> None:
        with self.assertRaises(MeshError):
            decompress(compressed)


if __name__ == "__main__":
    unittest.main()
