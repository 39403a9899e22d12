"""Instruments of OpenTelemetry, rendered for Prometheus.

Importing OpenTelemetry takes longer than any other import of the program, so this module is only
imported once metrics are to be rendered.
"""

from collections.abc import Callable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Histogram, Observation
from opentelemetry.metrics import Counter as CounterInstrument
from opentelemetry.sdk.metrics import Histogram as SdkHistogram
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from camphordrift.event_log import LogLevel, log_event

#: Upper bounds in seconds of the buckets of all histograms of durations.
SECONDS_BUCKETS = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0, 900.0,
)  # fmt: skip


class OpenTelemetryInstruments:
    """Creates instruments and renders their values.

    Each instance has its own Prometheus registry, so that several VMs can run in one process.
    """

    def __init__(self, vm_id: str) -> None:
        self._registry = CollectorRegistry()
        self._reader = PrometheusMetricReader(
            disable_target_info=True,
            prefix="camphordrift",
            scope_info_enabled=False,
            registry=self._registry,
        )
        buckets = ExplicitBucketHistogramAggregation(SECONDS_BUCKETS)
        self._provider = MeterProvider(
            metric_readers=[self._reader],
            resource=Resource({"service.name": "camphordrift", "service.instance.id": vm_id}),
            views=[View(instrument_type=SdkHistogram, aggregation=buckets)],
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter("camphordrift")

    def counter(self, name: str, description: str) -> CounterInstrument:
        """Creates a counter."""
        return self._meter.create_counter(name, description=description)

    def seconds_histogram(self, name: str, description: str) -> Histogram:
        """Creates a histogram of durations in seconds."""
        return self._meter.create_histogram(name, unit="s", description=description)

    def gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Creates a gauge; ``read`` returns its value when the metrics are collected.

        If ``read`` raises, the error is logged and the gauge is not rendered.
        """

        def observations(options: CallbackOptions) -> list[Observation]:
            try:
                return [Observation(float(read()))]
            except Exception as error:
                log_event("metric_failed", level=LogLevel.ERROR, metric=name, error=repr(error))
                return []

        self._meter.create_observable_gauge(name, [observations], description=description)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def shutdown(self) -> None:
        """Shuts the meter provider down. The instance must not be used afterwards."""
        self._provider.shutdown()
