"""Definitions of all settings: type, range, default, unit and allowed levels of the tree."""

from dataclasses import dataclass
from typing import Annotated, Any, Literal

import msgspec

from reachlink.routing import PublishedTable
from reachlink.settings._zone_orders import ZONE_ORDER, ZoneOrder

_INHERITED = frozenset(
    {
        "DEFAULTS",
        "SERVICE",
        "SERVICE_SITE",
        "SERVICE_WORKSPACE",
        "SERVICE_WORKSPACE_SITE",
        "WORKSPACE",
    }
)
_SERVICE = frozenset({"SERVICE"})
_WORKSPACE = frozenset({"WORKSPACE"})
_SITE = frozenset({"SITE"})
_OPERATOR = frozenset({"OPERATOR"})
_DEFAULTS = frozenset({"DEFAULTS"})
_ROUTING = frozenset({"ROUTING"})

Count = Annotated[int, msgspec.Meta(ge=0, le=10_000_000)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=10_000_000)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=86_400)]
Milliseconds = Annotated[float, msgspec.Meta(gt=0, le=60_000)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Weight = Annotated[float, msgspec.Meta(gt=0, le=1000)]
Priority = Annotated[int, msgspec.Meta(ge=0, le=9)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
KeyHash = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]
UrlPath = Annotated[str, msgspec.Meta(pattern="^/[A-Za-z0-9._~/-]*$", max_length=256)]
Versions = Annotated[list[Name], msgspec.Meta(max_length=16)]


@dataclass(slots=True, frozen=True)
class Setting:
    """Definition of one setting.

    Attributes
    ----------
    name : str
        Last part of its path; may contain a dot.
    type : type
        Type with its constraints, as `msgspec` validates it.
    default : object
        Value that applies if the tree has none.
    scopes : frozenset of str
        Names of the `Scope` members in which it may be set.
    description : str
        One sentence that includes the unit.
    """

    name: str
    type: Any
    default: Any
    scopes: frozenset[str]
    description: str


_DEFINITIONS = [
    Setting("kind", Literal["model", "plain"], "model", _SERVICE, "Model engines or plain."),
    Setting("adapter", Name, "", _SERVICE, "Upstream adapter; empty for the kind's usual one."),
    Setting("upstream", Name, "", _SERVICE, "Upstream in the platform list; default: its name."),
    Setting("model", Name, "", _SERVICE, "Model name that callers use; default: its name."),
    Setting("versions", Versions, [], _SERVICE, "Model versions that the upstream must serve."),
    Setting(
        "path", UrlPath, "", _SERVICE, "Path prefix under which callers reach a plain service."
    ),
    Setting("checks_fencing", bool, True, _SERVICE, "Whether its engines check fencing tokens."),
    Setting("replicas.min", Count, 0, _SERVICE, "Fewest replicas that keep serving in a reload."),
    Setting("repeatable", bool, True, _INHERITED, "Whether requests may run more than once."),
    Setting("priority", Priority, 5, _INHERITED, "Priority; 9 is served first."),
    Setting("weight", Weight, 1.0, _INHERITED, "Share among workspaces of equal priority."),
    Setting("limits.concurrent", Count, 0, _INHERITED, "Requests in progress; 0 for no limit."),
    Setting("limits.requests_per_s", Rate, 0.0, _INHERITED, "Requests a second; 0 for no limit."),
    Setting("limits.tokens_per_s", Rate, 0.0, _INHERITED, "Output tokens a second; 0: no limit."),
    Setting("limits.queue_length", Count, 256, _INHERITED, "Requests waiting in an instance."),
    Setting("limits.queue_wait_s", Seconds, 1.2, _INHERITED, "Longest wait in s before refusal."),
    Setting("limits.prompt_tokens", Positive, 32_768, _INHERITED, "Longest prompt in tokens."),
    Setting("limits.body_bytes", Positive, 1_048_576, _INHERITED, "Largest request body in bytes."),
    Setting("limits.retry_share", Share, 0.1, _INHERITED, "Retries as a share of first attempts."),
    Setting("targets.first_token_s", Seconds, 1.5, _INHERITED, "Promised first token, in s."),
    Setting("targets.gap_ms", Milliseconds, 100.0, _INHERITED, "Promised gap of tokens, in ms."),
    Setting("placement.spill", bool, True, _INHERITED, "Whether other zones may serve."),
    Setting("placement.link_cost_ms", Milliseconds, 3.0, _INHERITED, "Cost of another zone."),
    Setting(
        "answers.keep_s", Seconds, 86_400.0, _INHERITED, "Time in s for claims, an hour or more."
    ),
    Setting("answers.grace_s", Seconds, 10.0, _INHERITED, "Time to reconnect before a cancel."),
    Setting("region", Name, "", _SITE, "Region that the availability zone belongs to."),
    Setting(ZONE_ORDER, ZoneOrder, None, _SITE, "Last order that took it out of service, or back."),
    Setting("key_hashes", list[KeyHash], [], _WORKSPACE, "SHA-256 of its bearer keys, in hex."),
    Setting("key_hash", KeyHash, "", _OPERATOR, "SHA-256 of the operator's key, in hex."),
    Setting("role", Literal["reader", "operator"], "reader", _OPERATOR, "What the key may do."),
    Setting("table", PublishedTable, None, _ROUTING, "Routing table, published as a whole."),
    Setting("audit.keep", Positive, 20_000, _DEFAULTS, "Audit records that are kept."),
]

SETTINGS: dict[str, Setting] = {setting.name: setting for setting in _DEFINITIONS}


def setting_named(name: str) -> Setting:
    """Return the definition of a setting.

    Raises
    ------
    KeyError
        If there is no such setting.
    """
    return SETTINGS[name]
