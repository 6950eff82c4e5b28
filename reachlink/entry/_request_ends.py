"""How requests end, on the metrics page and in the log."""

from typing import Any

from reachlink.entry._relay_metrics import RelayMetrics
from reachlink.entry._table_in_force import TableInForce
from reachlink.kernel import steady_time
from reachlink.requests import CallerRequest
from reachlink.telemetry import get_logger


class RequestEnds:
    """Counts requests by their outcome, and logs those that were not delivered.

    Parameters
    ----------
    metrics : RelayMetrics
        Where they are counted.
    table : TableInForce
        Table that they are decided by.
    """

    def __init__(self, metrics: RelayMetrics, table: TableInForce) -> None:
        self._metrics = metrics
        self._table = table
        self._log: Any = get_logger()

    def note(self, request: CallerRequest, code: str, duration_s: float) -> None:
        """Note the end of a request.

        Parameters
        ----------
        request : CallerRequest
            The request.
        code : str
            Its outcome.
        duration_s : float
            How long it took, in seconds.
        """
        labels = {"route": request.route.name, "outcome": code}
        self._metrics.requests.add(1, labels)
        self._metrics.duration.record(duration_s, {"route": request.route.name})
        if code != "delivered":
            self._log.info(
                "request_ended",
                request_id=request.request_id,
                route=request.route.name,
                workspace=request.relay.workspace,
                outcome=code,
                duration_ms=round(duration_s * 1000.0),
                table=self._table.number,
                at=round(steady_time(), 3),
            )
