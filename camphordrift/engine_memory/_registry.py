"""The owner's registry of the holds that it claims."""

from dataclasses import dataclass, replace
from typing import Optional

from camphordrift.clocks import ClockReading
from camphordrift.engine_memory._owners import OwnerResponded
from camphordrift.engine_memory._settings import HoldSettings
from camphordrift.identifiers import BackendServerId, HoldId, Incarnation, RequestId


@dataclass(frozen=True)
class ClaimedHold:
    """A hold that this process claims, for one of its requests."""

    #: Id of the hold.
    hold_id: HoldId

    #: Id of the engine that has the hold.
    engine_id: BackendServerId

    #: Id of the request that the memory is reserved for.
    request_id: RequestId

    #: When the claim expires at the latest: the request's deadline.
    claimed_until: ClockReading

    #: When the latest placement or renewal that the engine confirmed was sent; ``None`` before the
    #: first confirmation.
    confirmed_sent_at: Optional[ClockReading] = None


class HoldRegistry:
    """Tracks which holds this process claims, when to renew them, and when they expire.

    A hold must be claimed before the request that places it is sent, and an id must never be used
    twice. After a hold has expired without renewal, its request must not use it any more.

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
        """All claimed holds, including those that are not yet confirmed."""
        return tuple(self._claimed.values())

    def claim(
        self,
        hold_id: HoldId,
        engine_id: BackendServerId,
        request_id: RequestId,
        claimed_until: ClockReading,
    ) -> None:
        """Claims a hold that is about to be placed.

        Raises ``ValueError`` if the id is already claimed.
        """
        if hold_id in self._claimed:
            raise ValueError(f"hold {hold_id} is already claimed; hold ids must not be reused")
        self._claimed[hold_id] = ClaimedHold(hold_id, engine_id, request_id, claimed_until)

    def record_confirmed(self, hold_id: HoldId, sent_at: ClockReading) -> None:
        """Records that the engine confirmed a placement or renewal that was sent at ``sent_at``."""
        hold = self._claimed.get(hold_id)
        if hold is not None:
            self._claimed[hold_id] = replace(hold, confirmed_sent_at=sent_at)

    def drop_claim(self, hold_id: HoldId) -> None:
        """Stops claiming a hold; may be called before or after its release is sent."""
        self._claimed.pop(hold_id, None)

    def drop_claims_of_request(self, request_id: RequestId) -> tuple[ClaimedHold, ...]:
        """Stops claiming all holds of a request and returns them; the caller releases them."""
        dropped = tuple(hold for hold in self.claimed if hold.request_id == request_id)
        for hold in dropped:
            self.drop_claim(hold.hold_id)
        return dropped

    def may_use(self, hold_id: HoldId, now: ClockReading) -> bool:
        """Returns whether the engine is guaranteed to still reserve the hold for this process."""
        hold = self._claimed.get(hold_id)
        if hold is None or hold.confirmed_sent_at is None:
            return False
        return not now.is_past(self._usable_until(hold.confirmed_sent_at))

    def renewals_due(self, now: ClockReading) -> tuple[ClaimedHold, ...]:
        """Returns the holds to renew now; call it about twice per ``renew_every_seconds``."""
        return tuple(hold for hold in self.claimed if self._is_renewal_due(hold, now))

    def drop_expired_claims(self, now: ClockReading) -> tuple[ClaimedHold, ...]:
        """Stops claiming the holds that were not renewed in time or whose deadline has passed.

        Returns these holds. Their requests must fail, or be placed again with new holds.
        """
        expired = tuple(hold for hold in self.claimed if self._is_expired(hold, now))
        for hold in expired:
            self.drop_claim(hold.hold_id)
        return expired

    def current_claims(self, asked_at: float) -> OwnerResponded:
        """Returns this process's claims, as the response to a query sent at ``asked_at``."""
        return OwnerResponded(self._incarnation, frozenset(self._claimed), asked_at)

    def _usable_until(self, confirmed_sent_at: ClockReading) -> ClockReading:
        return confirmed_sent_at.plus(self._settings.usable_seconds)

    def _is_renewal_due(self, hold: ClaimedHold, now: ClockReading) -> bool:
        if hold.confirmed_sent_at is None or self._is_expired(hold, now):
            return False
        return now.is_past(hold.confirmed_sent_at.plus(self._settings.renew_every_seconds))

    def _is_expired(self, hold: ClaimedHold, now: ClockReading) -> bool:
        if now.is_past(hold.claimed_until):
            return True
        if hold.confirmed_sent_at is None:
            return False
        return now.is_past(self._usable_until(hold.confirmed_sent_at))
