"""The part of the operators' state dump that shows memory holds."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Optional

from camphordrift.clocks import ClockReading
from camphordrift.engine_memory._reconciliation import ReconcileReport
from camphordrift.engine_memory._registry import HoldRegistry


@dataclass(frozen=True)
class ClaimedHoldState:
    """A hold that this process claims, in the state dump."""

    #: Id of the hold.
    hold_id: str

    #: Id of the engine that has the hold.
    engine_id: str

    #: Id of the request that the memory is reserved for.
    request_id: str

    #: Whether the engine is guaranteed to still reserve the memory for this process.
    usable: bool


@dataclass(frozen=True)
class EngineMemoryState:
    """The claimed holds of this process and the results of its last reconciliation round."""

    #: Holds that this process claims.
    claimed: tuple[ClaimedHoldState, ...]

    #: Number of holds that the last round listed; ``None`` before the first round.
    holds_listed: Optional[int]

    #: Holds that the last round released, each formatted as ``<engine id> <hold id> <reason>``.
    released: tuple[str, ...]

    #: Ids of the engines that the last round could not query, or that did not confirm a release.
    failed_engines: tuple[str, ...]


def dump_state(
    registry: HoldRegistry, last_round: Optional[ReconcileReport], now: ClockReading
) -> EngineMemoryState:
    """Returns the holds for the state dump; ``last_round`` is ``None`` before the first round."""
    claimed = tuple(
        ClaimedHoldState(
            hold.hold_id, hold.engine_id, hold.request_id, registry.may_use(hold.hold_id, now)
        )
        for hold in registry.claimed
    )
    if last_round is None:
        return EngineMemoryState(claimed, None, (), ())
    return EngineMemoryState(
        claimed=claimed,
        holds_listed=last_round.holds_listed,
        released=_format_releases(last_round),
        failed_engines=tuple(last_round.failed_engines),
    )


def _format_releases(report: ReconcileReport) -> tuple[str, ...]:
    lines: Iterable[str] = (
        f"{release.engine_id} {release.hold.hold_id} {release.reason.value}"
        for release in report.released
    )
    return tuple(lines)
