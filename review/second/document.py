"""The configuration that the cases publish."""

from typing import Any

HOST = "maler.example"
TENANT_KEY = "k-nord-1"
SUBMIT = "/avlesing/"
RECEIPT = "/kvitto/"


def route(name: str, prefix: str, kind: str, **more: Any) -> dict[str, Any]:
    """Return a route of the plain service, of public requests."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 3000,
        "slo_ms": 400,
        "priority": 2,
        "service": "app-backend",
        "max_attempts": 1,
        "public": True,
        **more,
    }


def document(version: int = 2, **limits: int) -> dict[str, Any]:
    """Return a whole configuration; `limits` take the place of the usual ones."""
    return {
        "version": version,
        "routes": [
            route("send-avlesing", SUBMIT, "non_idempotent"),
            route("hent-kvitto", RECEIPT, "idempotent", max_attempts=2),
        ],
        "services": [
            {
                "name": "app-backend",
                "health_path": "/health",
                "max_conns": 110,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            **limits,
        },
        "tenants": [{"name": "nord", "api_keys": [TENANT_KEY], "priority": 1}],
    }


CHAT = "/lesehjelp/"


def chat_document(version: int = 2) -> dict[str, Any]:
    """Return a whole configuration with engines that keep copies and do not move memory."""
    chat = route(
        "lesehjelp",
        CHAT,
        "streaming",
        service="modellpool",
        timeout_ms=39000,
        slo_ms=1800,
        priority=0,
        session_affinity=True,
        stream_resume=False,
        gap_aim_ms=180,
    )
    pool = {
        "name": "modellpool",
        "health_path": "/health",
        "max_conns": 442,
        "protocol": "h1",
        "tls": False,
        "engine": {
            "slots": 64,
            "kv_capacity_tokens": 34545,
            "kv_token_bytes": 18432,
            "link_mbps": 2700.0,
            "moves": False,
            "backups": True,
            "stride": 4,
            "most": 12,
            "pin_ms": 4000.0,
            "hold_ms": 2000.0,
            "handle_s": 5.0,
            "models": [{"name": "m"}],
        },
    }
    whole = document(version)
    return {**whole, "routes": [*whole["routes"], chat], "services": [*whole["services"], pool]}
