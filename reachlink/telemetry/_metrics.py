"""OpenTelemetry metrics, exposed in the Prometheus format and optionally exported by OTLP."""

from collections.abc import Callable, Iterable
from typing import Any

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import MetricReader, PeriodicExportingMetricReader
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

OTLP_INTERVAL_MS = 15_000


class Metrics:
    """Metric instruments of one process.

    Parameters
    ----------
    role, instance, availability_zone : str
        Role of the process, name of its instance and its availability zone; set
        as attributes of the OpenTelemetry resource.
    otlp_endpoint : str, optional
        URL to which metrics are pushed; if empty, they are only available from
        `page`.
    """

    def __init__(
        self, role: str, instance: str, availability_zone: str, otlp_endpoint: str = ""
    ) -> None:
        self._registry = CollectorRegistry()
        readers: list[MetricReader] = [PrometheusMetricReader(registry=self._registry)]
        if otlp_endpoint:
            readers.append(_otlp_reader(otlp_endpoint))
        resource = Resource.create(
            {
                "service.name": f"reachlink-{role}",
                "service.instance.id": instance,
                "cloud.availability_zone": availability_zone,
            }
        )
        self._provider = MeterProvider(metric_readers=readers, resource=resource)
        self._meter = self._provider.get_meter("reachlink")

    def counter(self, name: str, unit: str, description: str) -> Any:
        """Return a new monotonic counter."""
        return self._meter.create_counter(name, unit=unit, description=description)

    def histogram(self, name: str, unit: str, description: str) -> Any:
        """Return a new histogram."""
        return self._meter.create_histogram(name, unit=unit, description=description)

    def observed_counter(
        self, name: str, unit: str, description: str, read: Callable[[], int]
    ) -> None:
        """Export a monotonic counter whose current value `read` returns."""
        self._meter.create_observable_counter(
            name, [lambda options: [Observation(read())]], unit=unit, description=description
        )

    def gauge(self, name: str, unit: str, description: str, read: Callable[[], float]) -> None:
        """Export a gauge whose current value `read` returns."""
        self._meter.create_observable_gauge(
            name, [lambda options: [Observation(read())]], unit=unit, description=description
        )

    def gauges(
        self,
        name: str,
        unit: str,
        description: str,
        read: Callable[[], Iterable[tuple[float, dict[str, str]]]],
    ) -> None:
        """Export a gauge with labels; `read` returns each current value with its labels."""
        self._meter.create_observable_gauge(
            name,
            [lambda options: [Observation(value, labels) for value, labels in read()]],
            unit=unit,
            description=description,
        )

    def page(self) -> bytes:
        """Return the current metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Export pending metrics and shut down."""
        self._provider.shutdown()


def _otlp_reader(endpoint: str) -> MetricReader:
    # Imported on demand: the exporter takes about 10 MB of memory, and most processes do not
    # use it.
    from opentelemetry.exporter.otlp.proto.http.metric_exporter import OTLPMetricExporter

    exporter = OTLPMetricExporter(endpoint=endpoint)
    return PeriodicExportingMetricReader(exporter, export_interval_millis=OTLP_INTERVAL_MS)
