"""The request queue of a pool, with fair queueing between client accounts in each length band."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Optional

from camphordrift.fair_queue import FairQueue
from camphordrift.identifiers import AccountId
from camphordrift.routing._grants import GrantAsk
from camphordrift.routing._scheduler import AttemptKey


@dataclass(frozen=True)
class QueuedAsk:
    """A grant request in the queue, with estimates that order it."""

    #: Request id and attempt number.
    key: AttemptKey

    #: The grant request.
    ask: GrantAsk

    #: Index of the length band of the prompt.
    band: int

    #: Estimated prefill time in seconds on an idle engine.
    prefill_seconds: float

    #: Arrival time, on the monotonic clock in seconds.
    queued_at: float

    #: Deadline of the request, on the monotonic clock in seconds.
    deadline: float

    #: Latest start time at which an idle engine would meet the deadline, on the monotonic clock in
    #: seconds.
    latest_start: float

    def waiting_ratio(self, now: float) -> float:
        """Returns the waiting time divided by the prefill time.

        As in highest-response-ratio-next scheduling, it grows faster for a short prompt.
        """
        return (now - self.queued_at) / max(self.prefill_seconds, 0.01)


class RequestQueue:
    """Orders the queued requests of a pool.

    Within a band, the client account with the least service relative to its weight comes first
    (start-time fair queueing); the requests of an account are served in the order of arrival. Bands
    are ordered by their highest waiting ratio, so that long prompts age and are not starved.
    """

    def __init__(self, band_count: int) -> None:
        self._bands = [FairQueue[AttemptKey, AccountId, QueuedAsk]() for _ in range(band_count)]
        self._queued: dict[AttemptKey, QueuedAsk] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def __iter__(self) -> Iterator[QueuedAsk]:
        return iter(list(self._queued.values()))

    def set_weights(self, weights: dict[AccountId, float]) -> None:
        """Sets the weights of client accounts; an account without one has weight 1."""
        for band in self._bands:
            band.set_weights(weights)

    def weight(self, account_id: AccountId) -> float:
        """Returns the weight of a client account."""
        return self._bands[0].weight(account_id)

    def add(self, queued: QueuedAsk) -> None:
        """Appends a request to the queue of its account and band."""
        account = queued.ask.account_id
        self._bands[queued.band].add(queued.key, account, queued, queued.prefill_seconds)
        self._queued[queued.key] = queued

    def remove(self, key: AttemptKey) -> Optional[QueuedAsk]:
        """Removes and returns a request; returns ``None`` if it is not queued."""
        queued = self._queued.pop(key, None)
        if queued is not None:
            self._bands[queued.band].remove(key)
        return queued

    def charge(self, queued: QueuedAsk) -> None:
        """Charges the prefill of a granted request to its account."""
        self._bands[queued.band].charge(queued.ask.account_id, queued.prefill_seconds)

    def candidates(self, now: float) -> list[QueuedAsk]:
        """Returns the first request of each account and band, the one to serve first in front."""
        first_by_band = [band.first_of_each_account() for band in self._bands]
        ranked = [
            (-max(queued.waiting_ratio(now) for queued in first), band)
            for band, first in enumerate(first_by_band)
            if first
        ]
        return [queued for _, band in sorted(ranked) for queued in first_by_band[band]]

    def work_of(self, account_id: AccountId, band: int) -> float:
        """Returns the seconds of queued prefill of an account in one band."""
        return self._bands[band].work_of(account_id)

    def work_above(self, band: int) -> float:
        """Returns the seconds of queued prefill of all longer bands."""
        return sum(sum(queue.work_by_account().values()) for queue in self._bands[band + 1 :])

    def work_in(self, band: int) -> dict[AccountId, float]:
        """Returns the seconds of queued prefill of each account in one band."""
        return self._bands[band].work_by_account()
