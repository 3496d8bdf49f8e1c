"""Finding codes of the configuration checks, and single findings. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal, NamedTuple

Severity = Literal["error", "warning"]
Path = tuple[str | int, ...]


class Code(NamedTuple):
    """A kind of finding. Codes are stable: a code is never reused for another meaning."""

    title: str
    severity: Severity
    explanation: str


CODES: dict[str, Code] = {
    # --- encoding and syntax ---
    "ZC101": Code("not UTF-8", "error", "The file holds bytes that are no UTF-8. Save it as UTF-8."),
    "ZC102": Code(
        "no TOML or JSON",
        "error",
        "The text breaks the rules of its format, so that nothing in it can be trusted. In TOML this "
        "covers keys and tables that come twice.",
    ),
    "ZC103": Code("a key that comes twice", "error", "JSON readers differ in which of two values counts. Keep one."),
    "ZC104": Code(
        "a byte-order mark",
        "error",
        "The file begins with U+FEFF, which editors add unseen. Save it as UTF-8 without one.",
    ),
    # --- single keys and values ---
    "ZC110": Code(
        "an unknown key",
        "error",
        "Nothing reads this key, so that what it was meant to set stays at its default. Most are typos.",
    ),
    "ZC111": Code("a missing key", "error", "The key has no default: its value has to be told."),
    "ZC112": Code(
        "a value of the wrong kind",
        "error",
        "A text, a number, true or false, an array and a table are never taken for one another.",
    ),
    "ZC113": Code(
        "no finite number",
        "error",
        "NaN, infinity, and numbers that no double or 64-bit integer holds set no limit at all.",
    ),
    "ZC114": Code("a value out of bounds", "error", "The value lies outside what can work."),
    "ZC115": Code("an unknown choice", "error", "The key takes one of a few words."),
    "ZC116": Code("no address", "error", "Addresses are host:port with a port from 1 to 65535."),
    "ZC117": Code(
        "an unsuitable text",
        "error",
        "The text is empty, holds control characters, or is not in the form that the key asks for.",
    ),
    "ZC118": Code(
        "a key with a look-alike letter",
        "error",
        "The key looks like a known one, but holds a letter of another script.",
    ),
    "ZC119": Code(
        "a key that is not read here",
        "warning",
        "The platform's settings may hold keys that this sidecar doesn't use. It is no known key's typo.",
    ),
    "ZC120": Code(
        "a file for a newer sidecar",
        "error",
        "It may hold settings that this sidecar doesn't know, and is not half understood. Use a newer one.",
    ),
    "ZC121": Code(
        "a file for an older sidecar",
        "error",
        "Its keys had other names. `config migrate` brings it up, keeping comments and order.",
    ),
    # --- settings that decide whether a request may run twice ---
    "ZC201": Code(
        "an aim beyond its deadline",
        "error",
        "No answer could come between the two: the aim must lie within the deadline.",
    ),
    "ZC202": Code(
        "a setting for keyed classes on another class",
        "error",
        "Only deduplicated classes have a window, a group or keys. Whoever wrote it here believes that "
        "a repeat is discarded, and it is not.",
    ),
    "ZC203": Code(
        "a keyed class without a window",
        "error",
        "How long endpoints remember a key has to be known: after that a repeat runs again.",
    ),
    "ZC204": Code(
        "a window that a request outlives",
        "error",
        "A repeat may be sent up to the deadline, be queued by the endpoint, and two machines' clocks "
        "differ. The window must exceed the deadline by the time to connect and a margin, or a late "
        "repeat of an unlock takes effect a second time.",
    ),
    "ZC205": Code(
        "a default class that may be repeated",
        "error",
        "Methods that are not listed might do something twice: their class must be at_most_once.",
    ),
    "ZC206": Code(
        "a method under two classes",
        "error",
        "The same name is listed as a method and as another one's alias, or as an alias twice. Where "
        "one of the classes is safe to repeat and the other isn't, something runs twice.",
    ),
    "ZC207": Code(
        "names that differ in case only, under two classes",
        "warning",
        "Endpoints that don't heed case would run one method under two classes.",
    ),
    "ZC208": Code(
        "a group that the endpoints don't tell",
        "error",
        "A keyed class is repeated inside a zone or cell only. Two or more endpoints that name none "
        "would be taken for one group, and a repeat at another one of them runs again.",
    ),
    "ZC209": Code(
        "an error code that can't prove that nothing ran",
        "error",
        "never_ran_errors lets a tip be sent again. Internal errors (-32603) and a sidecar's own -32051 "
        "say that it may have run.",
    ),
    "ZC210": Code(
        "a code of two meanings",
        "error",
        "An error code either proves that nothing ran or is a fault that may have run.",
    ),
    # --- settings that have no effect or can't work ---
    "ZC220": Code(
        "attempts that are never made",
        "warning",
        "With one attempt, or with copies forbidden, a slow safe call waits out its deadline at one "
        "endpoint: the copy after the delay never goes out.",
    ),
    "ZC221": Code(
        "no time to connect twice",
        "warning",
        "An endpoint that is unreachable uses up the whole deadline before another one is tried.",
    ),
    "ZC222": Code(
        "fewer connections than endpoints",
        "error",
        "The descriptors that are left beside clients and reserve don't reach every endpoint once.",
    ),
    "ZC223": Code(
        "more memory than there is",
        "error",
        "All clients with a text of full size each would hold more than the memory told.",
    ),
    "ZC224": Code("an address that is listened on twice", "error", "Only one service can listen there."),
    "ZC225": Code(
        "a service that others can reach",
        "error",
        "The sidecar serves the application beside it, without a password. Listen on 127.0.0.1, or say expose = true.",
    ),
    "ZC226": Code("an endpoint that is the sidecar itself", "error", "Requests would go round until their time is up."),
    "ZC227": Code("an endpoint that comes twice", "error", "It would get a double share, and copies of itself."),
    "ZC228": Code(
        "either endpoints or discovery",
        "error",
        "One of them tells where requests go; both would contradict each other.",
    ),
    "ZC229": Code(
        "a service without methods",
        "error",
        "No method is listed and there is no default_class: every call would be answered -32601.",
    ),
    "ZC230": Code(
        "a zone that no endpoint is in", "warning", "The sidecar's own zone is none of its endpoints': nothing is near."
    ),
    "ZC231": Code("a name that comes twice", "error", "Classes and tenants are told apart by their names."),
    "ZC232": Code(
        "a reserved method that may be repeated",
        "warning",
        "The specification reserves names that begin with rpc. for extensions: make sure what it does.",
    ),
    "ZC233": Code(
        "a number beyond the instances",
        "error",
        "Instances number themselves from 0 to instances - 1: another number stands in for one of them, "
        "and the endpoints of both carry more than the rest.",
    ),
    "ZC234": Code(
        "a cap that can't be kept",
        "warning",
        "Each endpoint is known to more instances than it may have connections, and each of them may open one.",
    ),
    "ZC235": Code(
        "a floor under no ratio",
        "warning",
        "floor_per_s is what goes out whatever the ratios; without a ratio nothing is bounded by it.",
    ),
}


@dataclass(frozen=True, slots=True)
class Finding:
    """One problem found in a configuration file."""

    code: str
    path: Path
    """Path of the offending key; empty if the finding concerns the whole file."""
    reason: str
    instead: str = ""
    """Suggested correction; may be empty."""
    related: tuple[Path, ...] = field(default=())
    """Paths of the keys that the offending key conflicts with."""
    at: tuple[int, int] | None = None
    """Line and column, both from 1, if the parser reported them. Otherwise they are derived from ``path``."""

    @property
    def severity(self) -> Severity:
        """Severity of the finding's code."""
        return CODES[self.code].severity

    @property
    def key(self) -> str:
        """Path of the offending key as text, see :func:`dotted`."""
        return dotted(self.path)


def dotted(path: Path) -> str:
    """Format a path for messages, for example ``a.b[0]."c.d"``."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            is_bare_key = part.replace("-", "").replace("_", "").isalnum() and part.isascii()
            text += ("." if text else "") + (part if is_bare_key else f'"{part}"')
    return text


def errors(findings: list[Finding]) -> list[Finding]:
    """Return the findings of severity ``error``."""
    return [f for f in findings if f.severity == "error"]
