"""A queue in which the account with the least service relative to its weight comes first."""

import math
from collections.abc import Collection, Hashable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, Generic, Optional, Protocol, TypeVar

#: Lower bound of weights, so that no account waits forever.
MIN_WEIGHT = 0.01

#: By how much the start tag of a favoured item is below all others.
IDLE_ADVANTAGE = 1e-6


class _Account(Hashable, Protocol):
    """An account's identifier; the order of identifiers decides between equal tags."""

    def __lt__(self, other: Any, /) -> bool: ...


KeyT = TypeVar("KeyT", bound=Hashable)
AccountT = TypeVar("AccountT", bound=_Account)
ItemT = TypeVar("ItemT")


@dataclass(frozen=True)
class _Entry(Generic[AccountT, ItemT]):
    """A queued item."""

    account: AccountT
    item: ItemT
    #: What serving the item costs, in the caller's unit.
    work: float


class FairQueue(Generic[KeyT, AccountT, ItemT]):
    """Orders items of several accounts by start-time fair queueing.

    An account's finish tag is the service that it has had, divided by its weight. The virtual time
    is the start tag of the item that was served last; an account that was idle starts there, so
    that it cannot save up service. An idle account takes up no memory once the virtual time has
    reached its finish tag.

    Args:
        favours_idle: Whether the next item of an account that was idle, and is not ahead of the
            virtual time, comes before those of all accounts that have items. Otherwise it waits
            until each of those has been served.

    """

    def __init__(self, favours_idle: bool = False) -> None:
        self._favours_idle = favours_idle
        self._entries: dict[KeyT, _Entry[AccountT, ItemT]] = {}
        #: Items in the order of arrival, by account; without accounts that have none.
        self._queues: dict[AccountT, dict[KeyT, ItemT]] = {}
        #: Sum of the work of an account's items.
        self._work: dict[AccountT, float] = {}
        self._finish_tags: dict[AccountT, float] = {}
        self._weights: dict[AccountT, float] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[ItemT]:
        return iter([entry.item for entry in self._entries.values()])

    @property
    def accounts(self) -> Collection[AccountT]:
        """The accounts that have items."""
        return self._queues.keys()

    @property
    def tracked_accounts(self) -> int:
        """Number of accounts that take up memory, besides the weights that were set."""
        return len(self._queues.keys() | self._finish_tags.keys())

    def set_weights(self, weights: Mapping[AccountT, float]) -> None:
        """Replaces the weights of all accounts; an account without one has weight 1."""
        self._weights = {account: max(weight, MIN_WEIGHT) for account, weight in weights.items()}

    def weight(self, account: AccountT) -> float:
        """Returns the weight of an account."""
        return self._weights.get(account, 1.0)

    def weight_share(self, account: AccountT) -> float:
        """Returns an account's part of the weights of all accounts that have items."""
        extra = [weight - 1.0 for name, weight in self._weights.items() if name in self._queues]
        return self.weight(account) / (len(self._queues) + sum(extra))

    def add(self, key: KeyT, account: AccountT, item: ItemT, work: float) -> None:
        """Appends an item to those of its account.

        Args:
            key: Identifies the item; no other queued item has it.
            account: The account to which the item belongs.
            item: The item.
            work: What serving it costs.

        """
        if account not in self._queues:
            self._finish_tags[account] = self._first_start_tag(account)
            self._queues[account] = {}
        self._queues[account][key] = item
        self._work[account] = self._work.get(account, 0.0) + work
        self._entries[key] = _Entry(account, item, work)

    def remove(self, key: KeyT) -> Optional[ItemT]:
        """Removes and returns an item; returns ``None`` if it is not queued."""
        entry = self._entries.pop(key, None)
        if entry is None:
            return None
        queue = self._queues[entry.account]
        del queue[key]
        self._work[entry.account] -= entry.work
        if not queue:
            del self._queues[entry.account]
            del self._work[entry.account]
        return entry.item

    def charge(self, account: AccountT, work: float) -> None:
        """Charges an item that is served to its account."""
        self._virtual_time = start_tag = self._start_tag(account)
        self._finish_tags[account] = start_tag + work / self.weight(account)
        self._drop_idle()

    def first_of_each_account(self) -> list[ItemT]:
        """Returns the oldest item of each account, the one to serve first in front."""
        accounts = sorted(self._queues, key=lambda account: (self._finish_tags[account], account))
        return [next(iter(self._queues[account].values())) for account in accounts]

    def in_fair_order(self, keys: Iterable[KeyT]) -> list[ItemT]:
        """Returns items in the order in which they would be served from now on.

        Args:
            keys: Keys of the items, in the order that holds between those of one account, and
                between those of accounts with equal service.

        """
        # Hundreds of items are ordered again at each decision, so the loop calls no functions.
        entries = [self._entries[key] for key in keys]
        next_tags, weights = self._finish_tags.copy(), self._weights
        start_tags = [0.0] * len(entries)
        for position, entry in enumerate(entries):
            account = entry.account
            start_tags[position] = start_tag = next_tags[account]
            weight = weights[account] if account in weights else 1.0  # noqa: SIM401
            next_tags[account] = start_tag + entry.work / weight
        order = sorted(range(len(entries)), key=start_tags.__getitem__)
        return [entries[position].item for position in order]

    def work_of(self, account: AccountT) -> float:
        """Returns the sum of the work of an account's items."""
        return self._work.get(account, 0.0)

    def work_by_account(self) -> dict[AccountT, float]:
        """Returns the sum of the work of the items of each account that has some."""
        return dict(self._work)

    def work_before(self, key: KeyT) -> float:
        """Returns the work that is served before the newest item of an account.

        Args:
            key: Key of the item.

        """
        entry = self._entries[key]
        own_work = self._work[entry.account] - entry.work
        finish_tags = self._finish_tags
        start_tag = finish_tags[entry.account] + own_work / self.weight(entry.account)
        total = own_work
        for account, work in self._work.items():
            if account != entry.account and finish_tags[account] < start_tag:
                before = (start_tag - finish_tags[account]) * self.weight(account)
                total += work if work < before else before
        return total

    def _start_tag(self, account: AccountT) -> float:
        return max(self._finish_tags.get(account, 0.0), self._virtual_time)

    def _first_start_tag(self, account: AccountT) -> float:
        """Returns the start tag of the next item of an account that is idle."""
        if not self._favours_idle or account in self._finish_tags:
            return self._start_tag(account)
        lowest = min((self._finish_tags[name] for name in self._queues), default=math.inf)
        return min(lowest, self._virtual_time) - IDLE_ADVANTAGE

    def _drop_idle(self) -> None:
        """Removes idle accounts whose next item would start at the virtual time anyway."""
        for account in [
            account
            for account, finish_tag in self._finish_tags.items()
            if finish_tag <= self._virtual_time and account not in self._queues
        ]:
            del self._finish_tags[account]
