"""Prints the response times and failures that callers see before, during and after each fault.

Run it on an otherwise idle machine: ``python -m camphordrift.tests.fault_figures``.
"""

from collections.abc import Sequence
from functools import partial

import numpy
import trio

from camphordrift.tests.process_faults import (
    Fault,
    FaultSpan,
    inject_both,
    kill_engine,
    kill_vm,
    log_outage,
    lose_log_responses,
    pause_vm,
    restart_vms_in_turn,
    run_load_with_fault,
)
from camphordrift.tests.process_load import ClientObservations, Sample

#: Duration of the load before and after each fault, in seconds.
SECONDS_AROUND = 8.0

FAULTS: dict[str, Fault] = {
    "kill -9 of a VM, a new one after 1 s": kill_vm,
    "a VM paused for 6 s": pause_vm,
    "an engine dies, back after 2 s": kill_engine,
    "log silent for 3 s": log_outage,
    "engine dies while the log is silent": partial(inject_both, kill_engine, log_outage),
    "VM paused while log answers are lost": partial(inject_both, pause_vm, lose_log_responses),
    "VM killed while an engine dies": partial(inject_both, kill_vm, kill_engine),
    "every VM replaced in turn": restart_vms_in_turn,
}


def main() -> None:
    """Runs each fault once and prints the figures as a Markdown table."""
    print("| Fault | before p50 / p95 | during | after | incomplete | last failure | codes |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for name, fault in FAULTS.items():
        observations = ClientObservations()
        span = trio.run(run_load_with_fault, fault, observations, SECONDS_AROUND)
        assert not observations.violations, observations.violations
        print(_row(name, observations, span), flush=True)


def _row(name: str, observations: ClientObservations, span: FaultSpan) -> str:
    samples = observations.samples
    before = [sample for sample in samples if sample.started_at + sample.seconds < span.started_at]
    after = [sample for sample in samples if sample.started_at >= span.ended_at]
    during = [sample for sample in samples if sample not in before and sample not in after]
    incomplete = [sample for sample in samples if not sample.complete]
    last_failure = max(
        (sample.started_at + sample.seconds - span.ended_at for sample in incomplete), default=None
    )
    codes = {**observations.failures, "broken connection": observations.broken_connections}
    failure_counts = ", ".join(f"{code} {count}" for code, count in sorted(codes.items()) if count)
    cells = (
        name,
        _response_times(before),
        _response_times(during),
        _response_times(after),
        f"{len(incomplete)} of {len(samples)}",
        "none" if last_failure is None else f"{last_failure:+.1f} s",
        failure_counts or "none",
    )
    return "| " + " | ".join(cells) + " |"


def _response_times(samples: Sequence[Sample]) -> str:
    seconds = [sample.seconds for sample in samples]
    if not seconds:
        return "no request"
    p50, p95 = numpy.percentile(seconds, [50, 95])
    return f"{p50:.2f} / {p95:.2f} s"


if __name__ == "__main__":
    main()
