"""The queue of a pool: by length band, and fair between client accounts within each."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Optional

from camphordrift.identifiers import AccountId
from camphordrift.routing._grants import GrantAsk
from camphordrift.routing._scheduler import AttemptKey


@dataclass(frozen=True)
class Waiting:
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
    since: float

    #: Instant at which its time is up.
    deadline: float

    #: Latest instant at which it can start and still end in time, on an idle engine.
    latest_start: float

    def urgency(self, now: float) -> float:
        """Returns the response ratio: waiting makes it grow, faster for a short prompt."""
        return (now - self.since) / max(self.prefill_seconds, 0.01)


class FairQueue:
    """Orders waiting asks.

    Within a band the account that has received the least service for its weight comes first
    (start-time fair queueing), and within an account the order of arrival holds. Between bands the
    highest response ratio comes first, so that long prompts age and are not starved.
    """

    def __init__(self, band_count: int) -> None:
        self._lines: list[dict[AccountId, deque[Waiting]]] = [{} for _ in range(band_count)]
        self._served: list[dict[AccountId, float]] = [{} for _ in range(band_count)]
        self._floor = [0.0] * band_count
        self._work: list[dict[AccountId, float]] = [{} for _ in range(band_count)]
        self._waiting: dict[AttemptKey, Waiting] = {}
        self._weights: dict[AccountId, float] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[Waiting]:
        return iter(list(self._waiting.values()))

    def set_weights(self, weights: dict[AccountId, float]) -> None:
        """Sets the accounts' weights; an account without one has weight 1."""
        self._weights = {account: max(weight, 0.01) for account, weight in weights.items()}

    def weight(self, account_id: AccountId) -> float:
        """Returns the account's weight."""
        return self._weights.get(account_id, 1.0)

    def add(self, waiting: Waiting) -> None:
        """Adds an ask behind the others of its account and band."""
        account = waiting.ask.account_id
        lines = self._lines[waiting.band]
        if account not in lines:
            lines[account] = deque()
            served = self._served[waiting.band]
            served[account] = max(served.get(account, 0.0), self._floor[waiting.band])
        lines[account].append(waiting)
        work = self._work[waiting.band]
        work[account] = work.get(account, 0.0) + waiting.prefill_seconds
        self._waiting[waiting.key] = waiting

    def remove(self, key: AttemptKey) -> Optional[Waiting]:
        """Takes an ask out."""
        waiting = self._waiting.pop(key, None)
        if waiting is not None:
            account = waiting.ask.account_id
            line = self._lines[waiting.band][account]
            line.remove(waiting)
            self._work[waiting.band][account] -= waiting.prefill_seconds
            if not line:
                del self._lines[waiting.band][account]
                del self._work[waiting.band][account]
        return waiting

    def charge(self, waiting: Waiting) -> None:
        """Notes that the account has received the service that the ask costs."""
        account = waiting.ask.account_id
        served = self._served[waiting.band]
        start = max(served.get(account, 0.0), self._floor[waiting.band])
        self._floor[waiting.band] = start
        served[account] = start + waiting.prefill_seconds / self.weight(account)
        self._forget_idle(waiting.band)

    def candidates(self, now: float) -> list[Waiting]:
        """Returns the first ask of each account and band, the most pressing first."""
        pressing = [
            (-max(line[0].urgency(now) for line in lines.values()), band)
            for band, lines in enumerate(self._lines)
            if lines
        ]
        return [waiting for _, band in sorted(pressing) for waiting in self._heads(band)]

    def work_of(self, account_id: AccountId, band: int) -> float:
        """Returns the prefill that the account has waiting in one band, in seconds."""
        return self._work[band].get(account_id, 0.0)

    def work_above(self, band: int) -> float:
        """Returns the prefill that waits in the longer bands, in seconds."""
        return sum(sum(work.values()) for work in self._work[band + 1 :])

    def work_in(self, band: int) -> dict[AccountId, float]:
        """Returns the waiting prefill of each account in one band, in seconds."""
        return dict(self._work[band])

    def _heads(self, band: int) -> list[Waiting]:
        served = self._served[band]
        accounts = sorted(self._lines[band], key=lambda account: (served[account], account))
        return [self._lines[band][account][0] for account in accounts]

    def _forget_idle(self, band: int) -> None:
        """Drops accounts that would start at the floor anyway."""
        served, floor = self._served[band], self._floor[band]
        for account in [name for name, amount in served.items() if amount <= floor]:
            if account not in self._lines[band]:
                del served[account]
