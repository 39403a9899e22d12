"""What a state dump shows of engines' memory."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Optional

from camphordrift.clocks import TwoClocks
from camphordrift.engine_memory._reconciling import ReconcileReport
from camphordrift.engine_memory._registry import HoldRegistry


@dataclass(frozen=True)
class ClaimedHoldState:
    """A hold that this process claims."""

    #: The hold.
    hold_id: str

    #: The engine that keeps it.
    engine_id: str

    #: The request that it serves.
    request_id: str

    #: True if the engine surely still keeps it.
    usable: bool


@dataclass(frozen=True)
class EngineMemoryState:
    """What this process knows of engines' memory."""

    #: Holds that it claims.
    claimed: tuple[ClaimedHoldState, ...]

    #: Holds that its last round listed; ``None`` before the first.
    holds_listed: Optional[int]

    #: Holds that its last round released, each as "engine hold reason".
    released: tuple[str, ...]

    #: Engines at which its last round failed.
    failed_engines: tuple[str, ...]


def dump_state(
    registry: HoldRegistry, last_round: Optional[ReconcileReport], now: TwoClocks
) -> EngineMemoryState:
    """Returns what a state dump shows."""
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
        released=_lines(last_round),
        failed_engines=tuple(last_round.failed_engines),
    )


def _lines(report: ReconcileReport) -> tuple[str, ...]:
    lines: Iterable[str] = (
        f"{release.engine_id} {release.hold.hold_id} {release.reason.value}"
        for release in report.released
    )
    return tuple(lines)
