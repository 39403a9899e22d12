"""An owner's own record of the holds that it claims."""

from dataclasses import dataclass, replace
from typing import Optional

from camphordrift.clocks import TwoClocks
from camphordrift.engine_memory._owners import OwnerResponded
from camphordrift.engine_memory._settings import HoldSettings
from camphordrift.identifiers import BackendServerId, HoldId, Incarnation, RequestId


@dataclass(frozen=True)
class ClaimedHold:
    """A hold that this process wants to keep."""

    #: The hold.
    hold_id: HoldId

    #: The engine that keeps it.
    engine_id: BackendServerId

    #: The request that it serves.
    request_id: RequestId

    #: The claim ends by itself then, at the latest; the request's time is over.
    claimed_until: TwoClocks

    #: When the placement or renewal was sent that the engine confirmed last; ``None`` before that.
    confirmed_from: Optional[TwoClocks] = None


class HoldRegistry:
    """Claims holds before they are placed, renews them, and gives them up in time.

    A hold is claimed before the request that places it is sent, and an id is never used twice. A
    hold that could not be renewed in time is lost: its request must not use it any more.

    Example::

        registry.claim(hold_id, engine_id, request_id, now.plus(remaining_seconds))
        await client.place_hold(engine_id, hold)
        registry.record_confirmed(hold_id, sent_at=now)
    """

    def __init__(self, incarnation: Incarnation, settings: HoldSettings) -> None:
        self._incarnation = incarnation
        self._settings = settings
        self._claimed: dict[HoldId, ClaimedHold] = {}

    @property
    def claimed(self) -> tuple[ClaimedHold, ...]:
        """Every hold that is claimed."""
        return tuple(self._claimed.values())

    def claim(
        self,
        hold_id: HoldId,
        engine_id: BackendServerId,
        request_id: RequestId,
        claimed_until: TwoClocks,
    ) -> None:
        """Claims a hold that is about to be placed."""
        if hold_id in self._claimed:
            raise ValueError(f"hold {hold_id} is claimed already; ids are used once")
        self._claimed[hold_id] = ClaimedHold(hold_id, engine_id, request_id, claimed_until)

    def record_confirmed(self, hold_id: HoldId, sent_at: TwoClocks) -> None:
        """Notes that the engine confirmed a placement or renewal that was sent at ``sent_at``."""
        hold = self._claimed.get(hold_id)
        if hold is not None:
            self._claimed[hold_id] = replace(hold, confirmed_from=sent_at)

    def drop(self, hold_id: HoldId) -> None:
        """Stops claiming a hold, before or after its release is sent."""
        self._claimed.pop(hold_id, None)

    def drop_request(self, request_id: RequestId) -> tuple[ClaimedHold, ...]:
        """Stops claiming all holds of a request and returns them, to be released."""
        dropped = tuple(hold for hold in self.claimed if hold.request_id == request_id)
        for hold in dropped:
            self.drop(hold.hold_id)
        return dropped

    def may_use(self, hold_id: HoldId, now: TwoClocks) -> bool:
        """Whether the engine surely still keeps the hold for this process."""
        hold = self._claimed.get(hold_id)
        if hold is None or hold.confirmed_from is None:
            return False
        return not now.is_past(self._usable_until(hold.confirmed_from))

    def renewals_due(self, now: TwoClocks) -> tuple[ClaimedHold, ...]:
        """Returns the holds to renew now; ask about twice per renewal interval."""
        return tuple(hold for hold in self.claimed if self._is_renewal_due(hold, now))

    def expire(self, now: TwoClocks) -> tuple[ClaimedHold, ...]:
        """Stops claiming holds whose request is over or that were not renewed in time.

        Returns them; their requests must be failed or placed anew under other holds.
        """
        expired = tuple(hold for hold in self.claimed if self._is_expired(hold, now))
        for hold in expired:
            self.drop(hold.hold_id)
        return expired

    def current_claims(self, asked_at: float) -> OwnerResponded:
        """Returns what this process says when it is asked for its claims."""
        return OwnerResponded(self._incarnation, frozenset(self._claimed), asked_at)

    def _usable_until(self, confirmed_from: TwoClocks) -> TwoClocks:
        return confirmed_from.plus(self._settings.usable_seconds)

    def _is_renewal_due(self, hold: ClaimedHold, now: TwoClocks) -> bool:
        if hold.confirmed_from is None or self._is_expired(hold, now):
            return False
        return now.is_past(hold.confirmed_from.plus(self._settings.renew_every_seconds))

    def _is_expired(self, hold: ClaimedHold, now: TwoClocks) -> bool:
        if now.is_past(hold.claimed_until):
            return True
        if hold.confirmed_from is None:
            return False
        return now.is_past(self._usable_until(hold.confirmed_from))
