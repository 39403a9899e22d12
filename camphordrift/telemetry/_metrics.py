"""OpenTelemetry metrics, rendered for Prometheus without threads.

The process runs one event loop on one thread. OpenTelemetry's periodic readers would start threads;
its Prometheus reader collects the metrics in the task that renders them.

A process that is not asked for its metrics need not load OpenTelemetry: instruments keep what is
recorded until it is loaded. A VM thus serves callers sooner after a start.
"""

import importlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Optional

import trio

from camphordrift.telemetry._gauges import ObservedGauge

if TYPE_CHECKING:
    from opentelemetry.metrics import Counter as CounterInstrument
    from opentelemetry.metrics import Histogram

    from camphordrift.telemetry._open_telemetry import OpenTelemetryInstruments

#: The content type of the text that ``Metrics.render`` returns.
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

#: Number of durations that an instrument keeps before OpenTelemetry should be loaded, which then
#: sums them up.
MAX_KEPT_DURATIONS = 1000

#: Modules that are imported one after the other, with a pause between them, so that loading
#: OpenTelemetry does not hold up the event loop for long.
_LOADING_STEPS = (
    "typing_extensions",
    "email.message",
    "http.server",
    "wsgiref.simple_server",
    "prometheus_client.registry",
    "opentelemetry.metrics",
    "opentelemetry.sdk.resources",
    "opentelemetry.sdk.metrics",
    "opentelemetry.exporter.prometheus",
    "camphordrift.telemetry._open_telemetry",
)

#: Pause in seconds between these steps.
_LOADING_PAUSE = 0.05


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

    def __init__(self) -> None:
        self._instrument: Optional[CounterInstrument] = None
        self._kept: dict[tuple[tuple[str, str], ...], int] = {}

    def add(self, amount: int = 1, **labels: str) -> None:
        """Adds ``amount``, which must not be negative, to the series of ``labels``."""
        if self._instrument is not None:
            self._instrument.add(amount, labels)
            return
        series = tuple(labels.items())
        self._kept[series] = self._kept.get(series, 0) + amount

    def use(self, instrument: "CounterInstrument") -> None:
        """Records in ``instrument`` from now on, and what was recorded before."""
        self._instrument = instrument
        for series, amount in self._kept.items():
            instrument.add(amount, dict(series))
        self._kept.clear()


class SecondsHistogram:
    """A histogram metric of durations in seconds.

    Args:
        on_many_kept: Called when :data:`MAX_KEPT_DURATIONS` are kept.

    """

    def __init__(self, on_many_kept: Callable[[], None]) -> None:
        self._instrument: Optional[Histogram] = None
        self._kept: list[tuple[float, dict[str, str]]] = []
        self._on_many_kept = on_many_kept

    def record(self, seconds: float, **labels: str) -> None:
        """Records one duration in the series of ``labels``."""
        if self._instrument is not None:
            self._instrument.record(seconds, labels)
            return
        self._kept.append((seconds, labels))
        if len(self._kept) == MAX_KEPT_DURATIONS:
            self._on_many_kept()

    def use(self, instrument: "Histogram") -> None:
        """Records in ``instrument`` from now on, and what was recorded before."""
        self._instrument = instrument
        for seconds, labels in self._kept:
            instrument.record(seconds, labels)
        self._kept.clear()


class InstrumentRegistry:
    """Creates instruments and renders their values.

    OpenTelemetry is loaded by :meth:`load_in_steps`, by :meth:`load`, or by the first rendering.
    """

    def __init__(self, vm_id: str) -> None:
        self._vm_id = vm_id
        self._instruments: Optional[OpenTelemetryInstruments] = None
        self._load_needed = trio.Event()
        self._descriptions: list[InstrumentDescription] = []
        #: Creates the instruments of OpenTelemetry for those that were created before it is loaded.
        self._creations: list[Callable[[OpenTelemetryInstruments], None]] = []

    @property
    def descriptions(self) -> tuple[InstrumentDescription, ...]:
        """Descriptions of all instruments, in order of creation."""
        return tuple(self._descriptions)

    @property
    def is_loaded(self) -> bool:
        """Whether OpenTelemetry is loaded."""
        return self._instruments is not None

    def counter(self, name: str, description: str) -> Counter:
        """Creates and describes a counter with the given metric name."""
        self._descriptions.append(InstrumentDescription(name, "counter", description))
        counter = Counter()
        self._create(lambda instruments: counter.use(instruments.counter(name, description)))
        return counter

    def seconds_histogram(self, name: str, description: str) -> SecondsHistogram:
        """Creates and describes a histogram of durations in seconds."""
        self._descriptions.append(InstrumentDescription(name, "histogram", description))
        histogram = SecondsHistogram(self._load_needed.set)
        self._create(
            lambda instruments: histogram.use(instruments.seconds_histogram(name, description))
        )
        return histogram

    def gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Creates a gauge; ``read`` returns its value when the metrics are collected.

        ``read`` must not block. If it raises, the error is logged and the gauge is not rendered.
        """
        self._descriptions.append(InstrumentDescription(name, "level", description))
        self._create(lambda instruments: instruments.gauge(name, description, read))

    def load(self) -> None:
        """Loads OpenTelemetry at once, if it is not loaded yet."""
        if self._instruments is not None:
            return
        module = importlib.import_module("camphordrift.telemetry._open_telemetry")
        self._instruments = instruments = module.OpenTelemetryInstruments(self._vm_id)
        for create in self._creations:
            create(instruments)
        self._creations.clear()

    async def load_in_steps(self) -> None:
        """Loads OpenTelemetry, if it is not loaded yet; other tasks run between the steps."""
        for module in () if self.is_loaded else _LOADING_STEPS:
            importlib.import_module(module)
            await trio.sleep(_LOADING_PAUSE)
        self.load()

    async def load_when_needed(self) -> None:
        """Loads OpenTelemetry in steps once an instrument keeps many durations."""
        await self._load_needed.wait()
        await self.load_in_steps()

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        self.load()
        assert self._instruments is not None
        return self._instruments.render()

    def close(self) -> None:
        """Shuts the meter provider down. The instance must not be used afterwards."""
        if self._instruments is not None:
            self._instruments.shutdown()

    def _create(self, create: Callable[["OpenTelemetryInstruments"], None]) -> None:
        """Creates an instrument of OpenTelemetry, now or when it is loaded."""
        if self._instruments is None:
            self._creations.append(create)
        else:
            create(self._instruments)


class Metrics(InstrumentRegistry):
    """The instruments of an entry process; counters and histograms are public attributes.

    Example::

        metrics = Metrics("oliwa-1")
        metrics.requests.add(interface="chat", code="0")
        text = metrics.render()
    """

    def __init__(self, vm_id: str) -> None:
        super().__init__(vm_id)
        self.load()
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
