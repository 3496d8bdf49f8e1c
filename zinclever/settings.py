"""The settings object of the first message or of the configuration, read into :class:`Settings`."""

from __future__ import annotations

from typing import Any

from . import interface


def _given(source: Any, names: dict[str, str]) -> dict[str, Any]:
    """The values that ``source`` holds under the wire's names, under ours; absent ones keep their default."""
    return {ours: source[wire] for wire, ours in names.items() if source.get(wire) is not None}


def read_settings(told: dict[str, Any]) -> interface.Settings:
    """Settings from the wire's object; keys not known here are skipped."""
    same = ("aim", "deadline", "value", "repeat", "group", "window", "streamed", "name")
    per_class = {k: k for k in same} | {"late-worth": "late_worth", "aim-stretch": "aim_stretch"}
    limits = {
        "attempts-cap": "max_attempts",
        "cancel": "cancel",
        "second-copies": "second_copies",
        "probes": "probes",
        "peers": "peers",
        "retry-after": "retry_after",
        "max-retry-after": "max_retry_after",
        "dial-timeout": "connect_timeout",
        "conn-idle": "connection_idle",
        "multiplex": "streams_per_connection",
    }
    prices = {k: k for k in ("waste", "probe", "peer", "connection", "handshake")}
    prices |= {"late-fail": "late_fail", "cross-zone": "cross_zone"}
    rules = {
        "answer-slack": "answer_slack",
        "ask-within": "ask_within",
        "stop-sending-within": "drain_grace",
        "cold-share": "cold_share",
        "cold": "cold_for",
        "overload-factor": "overload_factor",
        "fall": "overload_for",
    }
    tenants = {"name": "name", "portion": "portion", "quota-per-s": "quota_per_s"}
    top = {
        "group-size": "group_size",
        "me": "me",
        "zone": "zone",
        "registry-mode": "discovery",
        "value-by": "value_by",
        "over-share-worth": "over_share_worth",
        "granularity": "tick",
    }
    family: dict[str, Any] = told.get("family-info") or {}
    report: dict[str, Any] = told.get("report") or {}
    return interface.Settings(
        classes=tuple(interface.RequestClass(**_given(c, per_class)) for c in told.get("classes") or ()),
        tenants=tuple(interface.Tenant(**_given(t, tenants)) for t in told.get("realms") or ()),
        limits=interface.Limits(**_given(told.get("limits") or {}, limits)),
        prices=interface.Prices(**_given(told.get("prices") or {}, prices)),
        rules=interface.Rules(**_given(told.get("rules") or {}, rules)),
        reports=report.get("how", "silent"),
        report_fields=tuple(report.get("fields") or ()),
        warm_keys=bool(family.get("warm-keys")),
        sizes_told=told.get("weights") != "silent",
        **_given(told, top),
    )
