"""Observability of a process: logs, metrics, state dump and recent decisions."""

from camphordrift.event_log import (
    LogLevel,
    configure_logging,
    format_event,
    log_event,
    redact_keys,
    request_context,
)
from camphordrift.telemetry._decisions import Decision, DecisionRecord
from camphordrift.telemetry._gauges import ObservedGauge
from camphordrift.telemetry._loop_lag import measure_loop_lag
from camphordrift.telemetry._metrics import (
    METRICS_CONTENT_TYPE,
    Counter,
    InstrumentDescription,
    InstrumentRegistry,
    Metrics,
    SecondsHistogram,
    render_metrics,
)
from camphordrift.telemetry._process_usage import ProcessUsage, process_usage
from camphordrift.telemetry._signals import (
    DUMP_SIGNAL,
    STOP_SIGNALS,
    call_on_stop_signal,
    dump_on_signal,
)
from camphordrift.telemetry._state_dump import StateDump, render_dump, to_json_types

__all__ = [
    "DUMP_SIGNAL",
    "METRICS_CONTENT_TYPE",
    "STOP_SIGNALS",
    "Counter",
    "Decision",
    "DecisionRecord",
    "InstrumentDescription",
    "InstrumentRegistry",
    "LogLevel",
    "Metrics",
    "ProcessUsage",
    "ObservedGauge",
    "SecondsHistogram",
    "StateDump",
    "call_on_stop_signal",
    "configure_logging",
    "dump_on_signal",
    "format_event",
    "log_event",
    "measure_loop_lag",
    "process_usage",
    "redact_keys",
    "render_dump",
    "render_metrics",
    "request_context",
    "to_json_types",
]
