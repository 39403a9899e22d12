"""The queue of a pool: by length band, and fair between client accounts within each."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Optional

from camphordrift.identifiers import AccountId
from camphordrift.routing._grants import GrantAsk
from camphordrift.routing._scheduler import AttemptKey


@dataclass(frozen=True)
class QueuedAsk:
    """An ask in the queue."""

    #: The attempt.
    key: AttemptKey

    #: What is asked.
    ask: GrantAsk

    #: Index of the length band.
    band: int

    #: Estimated time on an idle engine, in seconds of prefill.
    prefill_seconds: float

    #: Instant of its arrival.
    queued_at: float

    #: Instant at which its time is up.
    deadline: float

    #: Latest instant at which it can start and still end in time, on an idle engine.
    latest_start: float

    def waiting_ratio(self, now: float) -> float:
        """Returns the response ratio: waiting makes it grow, faster for a short prompt."""
        return (now - self.queued_at) / max(self.prefill_seconds, 0.01)


class FairQueue:
    """Orders waiting asks.

    Within a band the account that has received the least service for its weight comes first
    (start-time fair queueing), and within an account the order of arrival holds. Between bands the
    highest response ratio comes first, so that long prompts age and are not starved.
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
        """Sets the accounts' weights; an account without one has weight 1."""
        self._weights = {account: max(weight, 0.01) for account, weight in weights.items()}

    def weight(self, account_id: AccountId) -> float:
        """Returns the account's weight."""
        return self._weights.get(account_id, 1.0)

    def add(self, queued: QueuedAsk) -> None:
        """Adds an ask behind the others of its account and band."""
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
        """Takes an ask out."""
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
        """Notes that the account has received the service that the ask costs."""
        account = queued.ask.account_id
        finish_tags = self._finish_tags[queued.band]
        start_tag = max(finish_tags.get(account, 0.0), self._virtual_times[queued.band])
        self._virtual_times[queued.band] = start_tag
        finish_tags[account] = start_tag + queued.prefill_seconds / self.weight(account)
        self._drop_idle(queued.band)

    def candidates(self, now: float) -> list[QueuedAsk]:
        """Returns the first ask of each account and band, the most pressing first."""
        ranked = [
            (-max(queue[0].waiting_ratio(now) for queue in queues.values()), band)
            for band, queues in enumerate(self._queues)
            if queues
        ]
        return [
            queued for _, band in sorted(ranked) for queued in self._first_of_each_account(band)
        ]

    def work_of(self, account_id: AccountId, band: int) -> float:
        """Returns the prefill that the account has waiting in one band, in seconds."""
        return self._work[band].get(account_id, 0.0)

    def work_above(self, band: int) -> float:
        """Returns the prefill that waits in the longer bands, in seconds."""
        return sum(sum(work.values()) for work in self._work[band + 1 :])

    def work_in(self, band: int) -> dict[AccountId, float]:
        """Returns the waiting prefill of each account in one band, in seconds."""
        return dict(self._work[band])

    def _first_of_each_account(self, band: int) -> list[QueuedAsk]:
        finish_tags = self._finish_tags[band]
        accounts = sorted(self._queues[band], key=lambda account: (finish_tags[account], account))
        return [self._queues[band][account][0] for account in accounts]

    def _drop_idle(self, band: int) -> None:
        """Drops accounts that would start at the floor anyway."""
        finish_tags, virtual_time = self._finish_tags[band], self._virtual_times[band]
        for account in [name for name, amount in finish_tags.items() if amount <= virtual_time]:
            if account not in self._queues[band]:
                del finish_tags[account]
