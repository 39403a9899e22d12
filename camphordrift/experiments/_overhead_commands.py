"""Command line of ``camphordrift overhead``."""

import dataclasses
import json

import cyclopts
import trio

from camphordrift.experiments._overhead import OverheadTarget, measure_overhead

overhead_app = cyclopts.App(
    name="overhead",
    help="Measures the latency and CPU time that a running entry VM adds to a request.",
)


@overhead_app.default
def overhead_command(
    *,
    entry_url: str,
    operators_url: str,
    engine_url: str,
    model: str,
    account_key: str,
    operator_key: str,
    requests: int = 500,
    concurrency: int = 8,
) -> None:
    """Sends small requests directly to an engine and through an entry VM; prints response times.

    Parameters
    ----------
    entry_url
        Base URL of the entry VM's port for callers, such as http://127.0.10.1:8080.
    operators_url
        Base URL of the same VM's port for operators.
    engine_url
        Base URL of an engine that the entry VM uses.
    model
        Name of the requested model.
    account_key
        API key of a client account.
    operator_key
        Key of an operator.
    requests
        Number of requests each way.
    concurrency
        Number of concurrent requests in the throughput measurement.

    """
    target = OverheadTarget(entry_url, operators_url, engine_url, model, account_key, operator_key)
    figures = trio.run(measure_overhead, target, requests, concurrency)
    shown = dataclasses.asdict(figures)
    shown["requests_per_core_second"] = figures.requests_per_core_second
    print(json.dumps(shown, indent=2))
