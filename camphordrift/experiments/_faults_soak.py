"""Soak test: runs the fault models of calls, orders and engine memory over many seeds.

Run ``python -m camphordrift.experiments._faults_soak MODEL FIRST_SEED SEED_COUNT`` with the name of
one model, or ``all``. It fails with an ``AssertionError`` that names the seed if an invariant does
not hold.
"""

import sys
from collections.abc import Callable, Mapping

from camphordrift.engine_memory import HoldSettings
from camphordrift.experiments._calls_soak import run_calls_soak
from camphordrift.experiments._claims_model import ClaimsModel
from camphordrift.experiments._memory_model import LIST_LAG_SECONDS, MemoryModel
from camphordrift.experiments._orders_model import OrdersModel
from camphordrift.leases import LeaseKeeper

#: Duration of the faults in one run of a model, in seconds of the model's clock.
_FAULTY_SECONDS = 300.0

#: Longest time that a fault lasts after the last injection, in seconds.
_FAULTS_END_SECONDS = 60.0


def run_claims_seed(seed: int) -> None:
    """Asserts that no key runs twice."""
    runs = ClaimsModel(seed).simulate(steps=1000)
    assert runs <= 1, f"a key ran {runs} times"


def run_orders_seed(seed: int) -> None:
    """Asserts that orders of an old lease holder never follow newer ones; engines converge."""
    for checks_fencing in (True, False):
        model = OrdersModel(seed, LeaseKeeper, checks_fencing)
        model.simulate(until=_FAULTY_SECONDS, faults=True)
        model.simulate(until=_FAULTY_SECONDS + 120.0, faults=False)
        assert (
            not model.is_out_of_order
        ), "an order of an old lease holder followed one of a newer holder"
        assert model.is_converged, "the engine does not have the newest version"


def run_memory_seed(seed: int) -> None:
    """Asserts that usable holds are never released and that orphaned holds always are."""
    model = MemoryModel(seed)
    model.simulate(_FAULTY_SECONDS, faults=True)
    bound_seconds = HoldSettings().dead_owner_bound_seconds(LIST_LAG_SECONDS)
    model.simulate(_FAULTS_END_SECONDS + bound_seconds, faults=False)
    assert not model.wrongly_released, f"released while usable: {model.wrongly_released}"
    assert (
        not model.orphaned_holds()
    ), f"orphaned holds that were not released: {model.orphaned_holds()}"


def _run_calls_seed(seed: int) -> None:
    run_calls_soak(seed)


MODELS: Mapping[str, Callable[[int], None]] = {
    "claims": run_claims_seed,
    "orders": run_orders_seed,
    "memory": run_memory_seed,
    "calls": _run_calls_seed,
}


def run_seeds(name: str, first_seed: int, seed_count: int) -> int:
    """Runs one model over consecutive seeds; returns ``seed_count`` if all invariants held."""
    for seed in range(first_seed, first_seed + seed_count):
        try:
            MODELS[name](seed)
        except AssertionError as error:
            raise AssertionError(f"model {name}, seed {seed}: {error}") from error
    return seed_count


def main() -> None:
    """Runs the models given on the command line and prints a line for each."""
    name, first_seed, seed_count = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    names = tuple(MODELS) if name == "all" else (name,)
    for model in names:
        held = run_seeds(model, first_seed, seed_count)
        print(f"{model}: {held} seeds from {first_seed}, all invariants held")


if __name__ == "__main__":
    main()
