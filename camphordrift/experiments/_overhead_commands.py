"""The command ``camphordrift overhead``."""

import dataclasses
import json

import cyclopts
import trio

from camphordrift.experiments._overhead import OverheadTarget, measure_overhead

overhead_app = cyclopts.App(
    name="overhead", help="Measures what a running entry VM adds to a request."
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
    """Sends small requests straight to an engine and through an entry VM, and prints the times.

    Parameters
    ----------
    entry_url
        The callers' port of the entry VM, such as http://127.0.10.1:8080.
    operators_url
        The operators' port of the same VM.
    engine_url
        An engine that the entry VM uses.
    model
        The model to ask for.
    account_key
        The key of a client account.
    operator_key
        The key of an operator.
    requests
        Requests each way.
    concurrency
        Requests at once when the throughput is measured.

    """
    target = OverheadTarget(entry_url, operators_url, engine_url, model, account_key, operator_key)
    figures = trio.run(measure_overhead, target, requests, concurrency)
    shown = dataclasses.asdict(figures)
    shown["requests_per_core_second"] = figures.requests_per_core_second
    print(json.dumps(shown, indent=2))
