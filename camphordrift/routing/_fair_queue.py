"""The request queue of a pool, with fair queueing between client accounts in each length band."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Optional

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


class FairQueue:
    """Orders the queued requests of a pool.

    Within a band, the client account with the least service relative to its weight comes first
    (start-time fair queueing); the requests of an account are served in the order of arrival. Bands
    are ordered by their highest waiting ratio, so that long prompts age and are not starved.
    """

    def __init__(self, band_count: int) -> None:
        self._queues: list[dict[AccountId, deque[QueuedAsk]]] = [{} for _ in range(band_count)]
        self._finish_tags: list[dict[AccountId, float]] = [{} for _ in range(band_count)]
        self._virtual_times = [0.0] * band_count
        self._work: list[dict[AccountId, float]] = [{} for _ in range(band_count)]
        self._queued: dict[AttemptKey, QueuedAsk] = {}
        self._weights: dict[AccountId, float] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def __iter__(self) -> Iterator[QueuedAsk]:
        return iter(list(self._queued.values()))

    def set_weights(self, weights: dict[AccountId, float]) -> None:
        """Sets the weights of client accounts; an account without one has weight 1."""
        self._weights = {account: max(weight, 0.01) for account, weight in weights.items()}

    def weight(self, account_id: AccountId) -> float:
        """Returns the weight of a client account."""
        return self._weights.get(account_id, 1.0)

    def add(self, queued: QueuedAsk) -> None:
        """Appends a request to the queue of its account and band."""
        account = queued.ask.account_id
        queues = self._queues[queued.band]
        if account not in queues:
            queues[account] = deque()
            finish_tags = self._finish_tags[queued.band]
            finish_tags[account] = max(
                finish_tags.get(account, 0.0), self._virtual_times[queued.band]
            )
        queues[account].append(queued)
        work = self._work[queued.band]
        work[account] = work.get(account, 0.0) + queued.prefill_seconds
        self._queued[queued.key] = queued

    def remove(self, key: AttemptKey) -> Optional[QueuedAsk]:
        """Removes and returns a request; returns ``None`` if it is not queued."""
        queued = self._queued.pop(key, None)
        if queued is not None:
            account = queued.ask.account_id
            queue = self._queues[queued.band][account]
            queue.remove(queued)
            self._work[queued.band][account] -= queued.prefill_seconds
            if not queue:
                del self._queues[queued.band][account]
                del self._work[queued.band][account]
        return queued

    def charge(self, queued: QueuedAsk) -> None:
        """Charges the prefill of a granted request to its account."""
        account = queued.ask.account_id
        finish_tags = self._finish_tags[queued.band]
        start_tag = max(finish_tags.get(account, 0.0), self._virtual_times[queued.band])
        self._virtual_times[queued.band] = start_tag
        finish_tags[account] = start_tag + queued.prefill_seconds / self.weight(account)
        self._drop_idle(queued.band)

    def candidates(self, now: float) -> list[QueuedAsk]:
        """Returns the first request of each account and band, the one to serve first in front."""
        ranked = [
            (-max(queue[0].waiting_ratio(now) for queue in queues.values()), band)
            for band, queues in enumerate(self._queues)
            if queues
        ]
        return [
            queued for _, band in sorted(ranked) for queued in self._first_of_each_account(band)
        ]

    def work_of(self, account_id: AccountId, band: int) -> float:
        """Returns the seconds of queued prefill of an account in one band."""
        return self._work[band].get(account_id, 0.0)

    def work_above(self, band: int) -> float:
        """Returns the seconds of queued prefill of all longer bands."""
        return sum(sum(work.values()) for work in self._work[band + 1 :])

    def work_in(self, band: int) -> dict[AccountId, float]:
        """Returns the seconds of queued prefill of each account in one band."""
        return dict(self._work[band])

    def _first_of_each_account(self, band: int) -> list[QueuedAsk]:
        finish_tags = self._finish_tags[band]
        accounts = sorted(self._queues[band], key=lambda account: (finish_tags[account], account))
        return [self._queues[band][account][0] for account in accounts]

    def _drop_idle(self, band: int) -> None:
        """Removes idle accounts whose next request would start at the virtual time anyway."""
        finish_tags, virtual_time = self._finish_tags[band], self._virtual_times[band]
        for account in [name for name, amount in finish_tags.items() if amount <= virtual_time]:
            if account not in self._queues[band]:
                del finish_tags[account]
