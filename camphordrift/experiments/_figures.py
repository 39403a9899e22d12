"""Computes latency, goodput, refusal and fairness figures from the records of a run."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Optional

import numpy as np

from camphordrift.experiments._deployments import BANDS, LONG, SHORT, Deployment, LengthBand
from camphordrift.experiments._records import Record
from camphordrift.experiments._run import RunResult


@dataclass(frozen=True)
class Percentiles:
    """Percentiles of a quantity; all ``None`` if there are no values."""

    #: Number of values.
    count: int

    #: The median.
    p50: Optional[float]

    #: The 95th percentile.
    p95: Optional[float]

    #: The 99th percentile.
    p99: Optional[float]

    #: The largest value.
    largest: Optional[float]


@dataclass(frozen=True)
class Figures:
    """Results of one policy under one load."""

    #: Time to first token in seconds, by length band.
    first_token: dict[str, Percentiles]

    #: Total time of a short request divided by its total time in a run with short requests only.
    short_slowdown: Percentiles

    #: Total time of a long request divided by its time on an idle engine.
    long_slowdown: Percentiles

    #: Requests that arrived.
    offered: int

    #: Requests that got a complete response before their deadline.
    completed: int

    #: Completed requests per second of the arrival period.
    goodput: float

    #: Prompt tokens of completed requests per second of the arrival period.
    goodput_tokens: float

    #: Refused requests, which no engine ran, by result code name.
    refusals: dict[str, int]

    #: Requests that failed after they were sent to an engine, by result code name.
    failures: dict[str, int]

    #: Time from arrival to refusal, as a share of the request's timeout.
    refusal_lateness: Percentiles

    #: Requests that had not ended when the run did.
    unfinished: int

    #: Smallest and largest share of completed requests over all accounts.
    account_completion: tuple[float, float]

    #: Jain's fairness index of these shares; 1 means equal shares.
    account_fairness: float

    #: Control messages per second of the run.
    control_messages: float

    #: Control bytes per second of the run and per entry VM.
    control_bytes_per_vm: float


def percentiles(values: Iterable[Optional[float]]) -> Percentiles:
    """Returns the percentiles of all values that are not ``None``."""
    present = [value for value in values if value is not None]
    if not present:
        return Percentiles(0, None, None, None, None)
    p50, p95, p99 = (float(value) for value in np.percentile(present, [50, 95, 99]))
    return Percentiles(len(present), p50, p95, p99, float(max(present)))


def compute_figures(
    deployment: Deployment, run: RunResult, short_only: RunResult, seconds: float
) -> Figures:
    """Returns the figures of a run.

    ``short_only`` is the reference run with only the short requests of the same load, ``seconds``
    the length of the arrival period.
    """
    records = run.records
    completion_shares = _completion_shares(records)
    completed = [record for record in records if record.completed]
    refused = [record for record in records if record.refused]
    failed = [record for record in records if not record.completed and not record.refused]
    return Figures(
        first_token={band.name: _first_token_percentiles(records, band) for band in BANDS},
        short_slowdown=percentiles(_short_slowdowns(records, short_only.records)),
        long_slowdown=percentiles(_long_slowdowns(deployment, records)),
        offered=len(records),
        completed=len(completed),
        goodput=len(completed) / seconds,
        goodput_tokens=sum(record.arrival.prompt_tokens for record in completed) / seconds,
        refusals=_counts_by_code(refused),
        failures=_counts_by_code(failed),
        refusal_lateness=percentiles(_refusal_lateness(record) for record in refused),
        unfinished=sum(1 for record in records if record.ended_at is None),
        account_completion=(min(completion_shares), max(completion_shares)),
        account_fairness=jain_index(completion_shares),
        control_messages=run.cost.messages / run.seconds,
        control_bytes_per_vm=run.cost.byte_count / run.seconds / deployment.vm_count,
    )


def jain_index(shares: Sequence[float]) -> float:
    """Returns Jain's fairness index: from 1/n (one share is everything) to 1 (equal shares)."""
    total = sum(shares)
    squares = sum(share * share for share in shares)
    return 1.0 if squares == 0.0 else total * total / (len(shares) * squares)


def idle_seconds(deployment: Deployment, record: Record) -> float:
    """Returns the total time of a request on an idle engine with a cold cache, in seconds."""
    model = deployment.engine_models()[0]
    prefill = record.arrival.prompt_tokens / model.prefill_tokens_per_second
    step = model.step_seconds + model.step_seconds_per_request
    return prefill + (record.arrival.output_tokens - 1) * step


def _first_token_percentiles(records: Iterable[Record], band: LengthBand) -> Percentiles:
    return percentiles(
        record.first_token_seconds for record in records if record.arrival.band is band
    )


def _short_slowdowns(
    records: Iterable[Record], reference_records: Iterable[Record]
) -> list[Optional[float]]:
    reference_times = {
        record.arrival.index: record.total_seconds
        for record in reference_records
        if record.completed
    }
    slowdowns: list[Optional[float]] = []
    for record in records:
        reference = reference_times.get(record.arrival.index)
        if record.arrival.band is SHORT and record.completed and reference is not None:
            slowdowns.append(_ratio(record.total_seconds, reference))
    return slowdowns


def _long_slowdowns(deployment: Deployment, records: Iterable[Record]) -> list[Optional[float]]:
    return [
        _ratio(record.total_seconds, idle_seconds(deployment, record))
        for record in records
        if record.arrival.band is LONG and record.completed
    ]


def _ratio(seconds: Optional[float], reference: float) -> Optional[float]:
    return None if seconds is None else seconds / reference


def _refusal_lateness(record: Record) -> Optional[float]:
    return _ratio(record.total_seconds, record.arrival.band.timeout_seconds)


def _counts_by_code(records: Iterable[Record]) -> dict[str, int]:
    counts = Counter(record.code.name for record in records if record.code is not None)
    return dict(sorted(counts.items()))


def _completion_shares(records: Iterable[Record]) -> list[float]:
    offered: Counter[str] = Counter()
    completed: Counter[str] = Counter()
    for record in records:
        offered[record.arrival.account_id] += 1
        completed[record.arrival.account_id] += int(record.completed)
    return [completed[account] / offered[account] for account in sorted(offered)]
