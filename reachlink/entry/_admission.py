"""Limits of a workspace around one request."""

from types import TracebackType

from reachlink.entry._node import EntryNode
from reachlink.entry.exceptions import RequestError
from reachlink.kernel import steady_time
from reachlink.limits import QuotaLimits
from reachlink.settings import ServicePolicy


class Admission:
    """Context in which a request counts towards its workspace's limits.

    Parameters
    ----------
    node : EntryNode
        The entry instance.
    service, workspace : str
        Whose limits count.
    policy : ServicePolicy
        Settings in force for them.
    counted : bool
        False for the rest of an answer that was admitted before.

    Raises
    ------
    RequestError
        On entering, where a limit stands in the way.
    """

    def __init__(
        self,
        node: EntryNode,
        service: str,
        workspace: str,
        policy: ServicePolicy,
        counted: bool = True,
    ) -> None:
        self._node = node
        self._key = f"{service}/{workspace}"
        self._limits = QuotaLimits(policy.concurrent, policy.requests_per_s, policy.tokens_per_s)
        self._counted = counted and self._limits.any
        self.tokens = 0

    def __enter__(self) -> "Admission":
        if self._counted:
            self._admit()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._counted:
            self._node.quotas.release(self._key, self.tokens)

    def _admit(self) -> None:
        digests = self._node.digests
        refusal = self._node.quotas.admit(
            self._key,
            self._limits,
            digests.others_demand(),
            digests.limit_instances(),
            steady_time(),
        )
        if refusal is not None:
            message = f"the workspace's limit of {refusal.reason.value} is reached"
            raise RequestError(429, "rate_limited", message, retry_after_s=refusal.retry_after_s)
