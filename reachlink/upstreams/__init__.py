"""Adapters to what runs behind reachlink: model engines and plain services."""

from reachlink.upstreams import _chat_engine, _plain_service  # noqa: F401  (register themselves)
from reachlink.upstreams._base import (
    ADAPTERS,
    CacheChange,
    CallRequest,
    CallResponse,
    EngineAdapter,
    GenerationInfo,
    GenerationRequest,
    LoadReport,
    OrderRequest,
    OrderStatus,
    Replica,
    ServiceAdapter,
    TokenEvent,
    TokenStream,
)
from reachlink.upstreams._http import HttpClient
from reachlink.upstreams._prompts import PromptDigest, digest_prompt
from reachlink.upstreams.exceptions import (
    GenerationUnknownError,
    UpstreamBrokenError,
    UpstreamError,
    UpstreamRefusedError,
    UpstreamUnreachableError,
)

__all__ = [
    "ADAPTERS",
    "CacheChange",
    "CallRequest",
    "CallResponse",
    "EngineAdapter",
    "GenerationInfo",
    "GenerationRequest",
    "GenerationUnknownError",
    "HttpClient",
    "LoadReport",
    "OrderRequest",
    "OrderStatus",
    "PromptDigest",
    "Replica",
    "ServiceAdapter",
    "TokenEvent",
    "TokenStream",
    "UpstreamBrokenError",
    "UpstreamError",
    "UpstreamRefusedError",
    "UpstreamUnreachableError",
    "digest_prompt",
]
