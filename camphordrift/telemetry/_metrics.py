"""Metrics by OpenTelemetry, collected when they are read; no thread takes part.

The periodic readers of the library start threads. The Prometheus reader collects in the caller's
task, which suits one loop on one thread.
"""

from collections.abc import Callable
from dataclasses import dataclass

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import Histogram as SdkHistogram
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from camphordrift.event_log import LogLevel, log_event
from camphordrift.telemetry._gauges import ObservedGauge

#: Upper bounds of the buckets of time spans, in seconds.
SECONDS_BUCKETS = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0, 900.0,
)  # fmt: skip

#: The content type of what ``Metrics.render`` returns.
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@dataclass(frozen=True)
class InstrumentDescription:
    """One metric, for the documents."""

    #: The name, without the prefix that the renderer adds.
    name: str

    #: ``counter``, ``histogram`` or ``level``.
    kind: str

    #: What it counts.
    description: str


class Counter:
    """Counts events; only grows."""

    def __init__(self, provider: MeterProvider, name: str, description: str) -> None:
        meter = provider.get_meter("camphordrift")
        self._counter = meter.create_counter(name, description=description)

    def add(self, amount: int = 1, **labels: str) -> None:
        """Adds ``amount``, which is not negative."""
        self._counter.add(amount, labels)


class SecondsHistogram:
    """Gathers time spans in buckets."""

    def __init__(self, provider: MeterProvider, name: str, description: str) -> None:
        meter = provider.get_meter("camphordrift")
        self._histogram = meter.create_histogram(name, unit="s", description=description)

    def record(self, seconds: float, **labels: str) -> None:
        """Adds one time span."""
        self._histogram.record(seconds, labels)


class InstrumentRegistry:
    """The instruments of one process, and the page that shows them.

    Every object has a registry of its own, so that several VMs can run in one process.
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
        self._descriptions: list[InstrumentDescription] = []

    @property
    def descriptions(self) -> tuple[InstrumentDescription, ...]:
        """All instruments, in the order in which they were made."""
        return tuple(self._descriptions)

    def counter(self, name: str, description: str) -> Counter:
        """Makes a counter."""
        self._descriptions.append(InstrumentDescription(name, "counter", description))
        return Counter(self._provider, name, description)

    def seconds_histogram(self, name: str, description: str) -> SecondsHistogram:
        """Makes a histogram of time spans."""
        self._descriptions.append(InstrumentDescription(name, "histogram", description))
        return SecondsHistogram(self._provider, name, description)

    def gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Registers the function that returns a level when the metrics are collected.

        It must not wait. While it raises, the level is left out of the page.
        """

        def observations(options: CallbackOptions) -> list[Observation]:
            try:
                return [Observation(float(read()))]
            except Exception as error:
                log_event("metric_failed", level=LogLevel.ERROR, metric=name, error=repr(error))
                return []

        self._descriptions.append(InstrumentDescription(name, "level", description))
        self._provider.get_meter("camphordrift").create_observable_gauge(
            name, [observations], description=description
        )

    def render(self) -> bytes:
        """Returns all metrics in Prometheus' text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Gives the registry back. The object is not used afterwards."""
        self._provider.shutdown()


class Metrics(InstrumentRegistry):
    """All instruments of an entry process, each a public attribute.

    Example::

        metrics = Metrics("oliwa-1")
        metrics.requests.add(interface="chat", code="0")
        page = metrics.render()
    """

    def __init__(self, vm_id: str) -> None:
        super().__init__(vm_id)
        self.requests = self.counter("requests", "Answered requests, by interface and code.")
        self.refusals = self.counter("refusals", "Requests refused before running, by code.")
        self.output_tokens = self.counter("output_tokens", "Tokens passed on to callers.")
        self.backend_failures = self.counter(
            "backend_failures", "Failures of backend servers, by server and kind."
        )
        self.holds_released = self.counter(
            "holds_released", "Memory holds without an owner that were released, by reason."
        )
        self.request_seconds = self.seconds_histogram(
            "request_seconds", "Time from request to whole answer."
        )
        self.first_token_seconds = self.seconds_histogram(
            "first_token_seconds", "Time from request to first token, by band of prompt length."
        )
        self.loop_lag_seconds = self.seconds_histogram(
            "loop_lag_seconds", "How late the event loop ran a timer."
        )

    @property
    def descriptions(self) -> tuple[InstrumentDescription, ...]:
        """All instruments: counters and histograms, then the levels that can be observed."""
        made = tuple(item for item in self._descriptions if item.kind != "level")
        levels = (
            InstrumentDescription(level.metric_name, "level", level.description)
            for level in ObservedGauge
        )
        return (*made, *levels)

    def observe(self, level: ObservedGauge, read: Callable[[], float]) -> None:
        """Registers the function that returns ``level`` when the metrics are collected."""
        self.gauge(level.metric_name, level.description, read)


def render_metrics(metrics: InstrumentRegistry) -> bytes:
    """Returns all metrics in Prometheus' text format."""
    return metrics.render()
