"""Runs the fault models of calls, orders and engine memory over many seeds.

Run ``python -m camphordrift.experiments._faults_soak MODEL FIRST_SEED SEED_COUNT`` with the name of
one model, or ``all``. A run ends with an ``AssertionError`` that names the seed if an invariant is
broken.
"""

import sys
from collections.abc import Callable, Mapping

from camphordrift.engine_memory import HoldSettings
from camphordrift.experiments._calls_soak import run_calls_soak
from camphordrift.experiments._claims_model import ClaimsModel
from camphordrift.experiments._memory_model import LIST_LAG_SECONDS, MemoryModel
from camphordrift.experiments._orders_model import OrdersModel
from camphordrift.leases import LeaseKeeper

#: Time with faults in one run of a model, in seconds of the model's clock.
_FAULTY_SECONDS = 300.0

#: Time that faults which began late may still last, in seconds.
_FAULTS_END_SECONDS = 60.0


def run_claims_seed(seed: int) -> None:
    """Asserts that no key runs twice."""
    runs = ClaimsModel(seed).simulate(steps=1000)
    assert runs <= 1, f"a key ran {runs} times"


def run_orders_seed(seed: int) -> None:
    """Asserts that old holders' orders never follow new ones', and that engines converge."""
    for checks_fencing in (True, False):
        model = OrdersModel(seed, LeaseKeeper, checks_fencing)
        model.simulate(until=_FAULTY_SECONDS, faults=True)
        model.simulate(until=_FAULTY_SECONDS + 120.0, faults=False)
        assert not model.is_out_of_order, "an old holder's order followed a new one's"
        assert model.is_converged, "the engine is not at the newest version"


def run_memory_seed(seed: int) -> None:
    """Asserts that no live owner loses a hold and that no lost hold stays."""
    model = MemoryModel(seed)
    model.simulate(_FAULTY_SECONDS, faults=True)
    bound_seconds = HoldSettings().gone_bound_seconds(LIST_LAG_SECONDS)
    model.simulate(_FAULTS_END_SECONDS + bound_seconds, faults=False)
    assert not model.wrongly_released, f"taken from a live owner: {model.wrongly_released}"
    assert not model.lost_holds(), f"lost for good: {model.lost_holds()}"


def _run_calls_seed(seed: int) -> None:
    run_calls_soak(seed)


MODELS: Mapping[str, Callable[[int], None]] = {
    "claims": run_claims_seed,
    "orders": run_orders_seed,
    "memory": run_memory_seed,
    "calls": _run_calls_seed,
}


def run_seeds(name: str, first_seed: int, seed_count: int) -> int:
    """Runs one model over some seeds and returns how many held every invariant: all of them."""
    for seed in range(first_seed, first_seed + seed_count):
        try:
            MODELS[name](seed)
        except AssertionError as error:
            raise AssertionError(f"model {name}, seed {seed}: {error}") from error
    return seed_count


def main() -> None:
    """Runs what the command line names and prints a line for each model."""
    name, first_seed, seed_count = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    names = tuple(MODELS) if name == "all" else (name,)
    for model in names:
        held = run_seeds(model, first_seed, seed_count)
        print(f"{model}: {held} seeds from {first_seed} held every invariant")


if __name__ == "__main__":
    main()
