"""Prints what callers see before, during and after each fault of a fleet of processes.

Run it on a machine that does nothing else: ``python -m camphordrift.tests.fault_figures``.
"""

from collections.abc import Sequence
from functools import partial

import numpy
import trio

from camphordrift.tests.process_faults import (
    Fault,
    FaultSpan,
    both,
    kill_a_vm,
    kill_an_engine,
    log_outage,
    lose_log_answers,
    pause_a_vm,
    replace_every_vm,
    run_fleet,
)
from camphordrift.tests.process_load import Account, Sample

#: Load before the fault and after it, in seconds.
SECONDS_AROUND = 8.0

FAULTS: dict[str, Fault] = {
    "kill -9 of a VM, a new one after 1 s": kill_a_vm,
    "a VM paused for 6 s": pause_a_vm,
    "an engine dies, back after 2 s": kill_an_engine,
    "log silent for 3 s": log_outage,
    "engine dies while the log is silent": partial(both, kill_an_engine, log_outage),
    "VM paused while log answers are lost": partial(both, pause_a_vm, lose_log_answers),
    "VM killed while an engine dies": partial(both, kill_a_vm, kill_an_engine),
    "every VM replaced in turn": replace_every_vm,
}


def main() -> None:
    """Runs every fault once and prints a table."""
    print("| Fault | before p50 / p95 | during | after | not whole | last failure | codes |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for name, fault in FAULTS.items():
        account = Account()
        span = trio.run(run_fleet, fault, account, SECONDS_AROUND)
        assert not account.violations, account.violations
        print(_row(name, account, span), flush=True)


def _row(name: str, account: Account, span: FaultSpan) -> str:
    samples = account.samples
    before = [each for each in samples if each.begun_at + each.seconds < span.began_at]
    after = [each for each in samples if each.begun_at >= span.ended_at]
    during = [each for each in samples if each not in before and each not in after]
    failed = [each for each in samples if not each.whole]
    last = max((each.begun_at + each.seconds - span.ended_at for each in failed), default=None)
    codes = {**account.failures, "broken connection": account.broken_connections}
    shown = ", ".join(f"{code} {count}" for code, count in sorted(codes.items()) if count)
    cells = (
        name,
        _times(before),
        _times(during),
        _times(after),
        f"{len(failed)} of {len(samples)}",
        "none" if last is None else f"{last:+.1f} s",
        shown or "none",
    )
    return "| " + " | ".join(cells) + " |"


def _times(samples: Sequence[Sample]) -> str:
    seconds = [sample.seconds for sample in samples]
    if not seconds:
        return "no request"
    p50, p95 = numpy.percentile(seconds, [50, 95])
    return f"{p50:.2f} / {p95:.2f} s"


if __name__ == "__main__":
    main()
