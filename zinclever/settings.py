"""Converts the platform's settings object into :class:`zinclever.interface.Settings`."""

from __future__ import annotations

from typing import Any

from . import interface


def _present(source: Any, names: dict[str, str]) -> dict[str, Any]:
    """Return the values that ``source`` holds, renamed from wire keys to field names; absent ones are left out."""
    return {name: source[key] for key, name in names.items() if source.get(key) is not None}


def read_settings(raw: dict[str, Any]) -> interface.Settings:
    """Build the settings from the platform's object; unknown keys are ignored.

    Raises:
        ValueError: a value is out of range.
    """
    unchanged = ("aim", "deadline", "value", "repeat", "group", "window", "streamed", "name")
    per_class = {k: k for k in unchanged} | {"late-worth": "late_worth", "aim-stretch": "aim_stretch"}
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
    family: dict[str, Any] = raw.get("family-info") or {}
    report: dict[str, Any] = raw.get("report") or {}
    return interface.Settings(
        classes=tuple(interface.RequestClass(**_present(c, per_class)) for c in raw.get("classes") or ()),
        tenants=tuple(interface.Tenant(**_present(t, tenants)) for t in raw.get("realms") or ()),
        limits=interface.Limits(**_present(raw.get("limits") or {}, limits)),
        prices=interface.Prices(**_present(raw.get("prices") or {}, prices)),
        rules=interface.Rules(**_present(raw.get("rules") or {}, rules)),
        reports=report.get("how", "silent"),
        report_fields=tuple(report.get("fields") or ()),
        warm_keys=bool(family.get("warm-keys")),
        sizes_told=raw.get("weights") != "silent",
        **_present(raw, top),
    )
