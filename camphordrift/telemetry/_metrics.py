"""OpenTelemetry metrics, rendered for Prometheus without threads.

The process runs one event loop on one thread. OpenTelemetry's periodic readers would start threads;
its Prometheus reader collects the metrics in the task that renders them.
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

#: Upper bounds in seconds of the buckets of all histograms of durations.
SECONDS_BUCKETS = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0, 900.0,
)  # fmt: skip

#: The content type of the text that ``Metrics.render`` returns.
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@dataclass(frozen=True)
class InstrumentDescription:
    """Name, kind and description of one metric, as listed in the reference documents."""

    #: The name without the prefix ``camphordrift_``.
    name: str

    #: ``counter``, ``histogram`` or ``level`` (a gauge).
    kind: str

    #: What the metric measures.
    description: str


class Counter:
    """A counter metric, whose series only increase."""

    def __init__(self, provider: MeterProvider, name: str, description: str) -> None:
        meter = provider.get_meter("camphordrift")
        self._counter = meter.create_counter(name, description=description)

    def add(self, amount: int = 1, **labels: str) -> None:
        """Adds ``amount``, which must not be negative, to the series of ``labels``."""
        self._counter.add(amount, labels)


class SecondsHistogram:
    """A histogram metric of durations in seconds."""

    def __init__(self, provider: MeterProvider, name: str, description: str) -> None:
        meter = provider.get_meter("camphordrift")
        self._histogram = meter.create_histogram(name, unit="s", description=description)

    def record(self, seconds: float, **labels: str) -> None:
        """Records one duration in the series of ``labels``."""
        self._histogram.record(seconds, labels)


class InstrumentRegistry:
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
        self._descriptions: list[InstrumentDescription] = []

    @property
    def descriptions(self) -> tuple[InstrumentDescription, ...]:
        """Descriptions of all instruments, in order of creation."""
        return tuple(self._descriptions)

    def counter(self, name: str, description: str) -> Counter:
        """Creates and describes a counter with the given metric name."""
        self._descriptions.append(InstrumentDescription(name, "counter", description))
        return Counter(self._provider, name, description)

    def seconds_histogram(self, name: str, description: str) -> SecondsHistogram:
        """Creates and describes a histogram of durations in seconds."""
        self._descriptions.append(InstrumentDescription(name, "histogram", description))
        return SecondsHistogram(self._provider, name, description)

    def gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Creates a gauge; ``read`` returns its value when the metrics are collected.

        ``read`` must not block. If it raises, the error is logged and the gauge is not rendered.
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
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Shuts the meter provider down. The instance must not be used afterwards."""
        self._provider.shutdown()


class Metrics(InstrumentRegistry):
    """The instruments of an entry process; counters and histograms are public attributes.

    Example::

        metrics = Metrics("oliwa-1")
        metrics.requests.add(interface="chat", code="0")
        text = metrics.render()
    """

    def __init__(self, vm_id: str) -> None:
        super().__init__(vm_id)
        self.requests = self.counter(
            "requests", "Requests that received a response, by interface and code."
        )
        self.refusals = self.counter("refusals", "Requests refused before they ran, by code.")
        self.output_tokens = self.counter("output_tokens", "Output tokens sent to callers.")
        self.backend_failures = self.counter(
            "backend_failures", "Failures of backend servers, by server and kind of failure."
        )
        self.holds_released = self.counter(
            "holds_released", "Engine memory holds released because no VM claimed them, by reason."
        )
        self.request_seconds = self.seconds_histogram(
            "request_seconds", "Time from the request to its complete response."
        )
        self.first_token_seconds = self.seconds_histogram(
            "first_token_seconds",
            "Time from the request to the first token, by prompt length band.",
        )
        self.loop_lag_seconds = self.seconds_histogram(
            "loop_lag_seconds", "Delay with which the event loop ran a timer."
        )

    @property
    def descriptions(self) -> tuple[InstrumentDescription, ...]:
        """Descriptions of counters and histograms, then of all gauges, also unregistered ones."""
        created = tuple(item for item in self._descriptions if item.kind != "level")
        gauges = (
            InstrumentDescription(gauge.metric_name, "level", gauge.description)
            for gauge in ObservedGauge
        )
        return (*created, *gauges)

    def observe(self, gauge: ObservedGauge, read: Callable[[], float]) -> None:
        """Registers the function that reads ``gauge`` when the metrics are collected."""
        self.gauge(gauge.metric_name, gauge.description, read)


def render_metrics(metrics: InstrumentRegistry) -> bytes:
    """Returns all metrics in the Prometheus text format."""
    return metrics.render()
