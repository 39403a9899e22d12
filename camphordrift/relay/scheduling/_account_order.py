"""The order between client accounts whose requests wait for the same engines.

Answers a load in which one account sends most requests, or its callers repeat them, while more
requests wait than can be placed: by urgency alone, each account would be served in proportion to
what it sends.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from camphordrift.fair_queue import FairQueue
from camphordrift.relay.scheduling._waiting_requests import RequestKind, WaitingRequest, kind_of

#: An account's weight is at least this share of the ratio of its demand to the mean. An account
#: that sends most is then served at least a third as often as all accounts together, and an
#: account that sends less than the mean is still served more often than that.
DEMAND_WEIGHT = 0.5

#: Ids of waiting requests, accounts, and waiting requests.
_Queue = FairQueue[str, str, WaitingRequest]


@dataclass(frozen=True)
class AccountShare:
    """How a request's account stood in the backlog when the request was decided on."""

    account: str
    #: The account's share of the engine time that its kind of request got since requests wait.
    served_share: float
    #: The share to which its weight entitles it.
    entitled_share: float
    #: Number of accounts with waiting requests of the kind.
    accounts: int


class _Competition:
    """The accounts whose requests of one kind wait, until none waits any more."""

    def __init__(self) -> None:
        self.queue = _Queue(favours_idle=True)
        #: Engine time in seconds of all requests that came, by account.
        self._demand: dict[str, float] = {}
        self._total_demand = 0.0
        #: Engine time in seconds of the requests that were placed, by account.
        self._served: dict[str, float] = {}

    def add(self, waiting: WaitingRequest) -> None:
        request, engine_seconds = waiting.request, waiting.engine_seconds
        self.queue.add(request.id, request.account, waiting, engine_seconds)
        self._demand[request.account] = self._demand.get(request.account, 0.0) + engine_seconds
        self._total_demand += engine_seconds
        if len(self._demand) > 1:
            unit = self._total_demand / len(self._demand) / DEMAND_WEIGHT
            self.queue.set_weights(
                {name: demand / unit for name, demand in self._demand.items() if demand > unit}
            )

    def record_placed(self, waiting: WaitingRequest) -> None:
        account, engine_seconds = waiting.request.account, waiting.engine_seconds
        self.queue.charge(account, engine_seconds)
        self._served[account] = self._served.get(account, 0.0) + engine_seconds

    def served_share(self, account: str) -> float:
        total = sum(self._served.values())
        return self._served.get(account, 0.0) / total if total else 0.0


class AccountOrder:
    """Orders waiting requests by the service that their accounts have had.

    Requests of a kind compete with each other; how kinds follow each other is not changed. Service
    is counted from the moment at which a request of the kind waits until none does, so an account
    that was served while there was room has no disadvantage later.
    """

    def __init__(self) -> None:
        self._competitions: dict[RequestKind, _Competition] = {}
        self._is_contested = False

    @property
    def is_contested(self) -> bool:
        """Whether accounts competed in the last round."""
        return self._is_contested

    def add(self, waiting: WaitingRequest) -> None:
        """Adds a request that waits."""
        kind = kind_of(waiting.request)
        if kind not in self._competitions:
            self._competitions[kind] = _Competition()
        self._competitions[kind].add(waiting)

    def remove(self, waiting: WaitingRequest) -> None:
        """Removes a request that waits no longer."""
        kind = kind_of(waiting.request)
        queue = self._competitions[kind].queue
        queue.remove(waiting.request.id)
        if not queue:
            del self._competitions[kind]

    def record_placed(self, waiting: WaitingRequest) -> None:
        """Charges a request to its account, before it is removed."""
        self._competitions[kind_of(waiting.request)].record_placed(waiting)

    def arrange(
        self, by_urgency: list[WaitingRequest], free_slots: Callable[[], int], now: float
    ) -> list[WaitingRequest]:
        """Returns waiting requests in the order in which they are to be placed.

        Without a backlog, that is the order of urgency. With one, the places of a kind in that
        order go to its accounts by their service. Requests that are late, and may be deferred, get
        the places of such requests only.

        Args:
            by_urgency: All waiting requests, the most urgent first.
            free_slots: Returns the number of requests that the engines can take at once.
            now: The current time.

        """
        contested = {
            kind for kind, item in self._competitions.items() if len(item.queue.accounts) > 1
        }
        self._is_contested = bool(contested) and _is_backlog(by_urgency, free_slots)
        if not self._is_contested:
            return by_urgency
        places: defaultdict[tuple[RequestKind, bool], list[int]] = defaultdict(list)
        for position, waiting in enumerate(by_urgency):
            kind = kind_of(waiting.request)
            if kind in contested:
                is_late = waiting.first_event_due_at <= now < waiting.deferral_ends_at
                places[kind, is_late].append(position)
        in_order = by_urgency.copy()
        for (kind, _), positions in places.items():
            ids = [by_urgency[position].request.id for position in positions]
            chosen = self._competitions[kind].queue.in_fair_order(ids)
            for position, waiting in zip(positions, chosen, strict=True):
                in_order[position] = waiting
        return in_order

    def share_of(self, waiting: WaitingRequest) -> AccountShare:
        """Returns how the account of a waiting request stands."""
        competition, account = self._competitions[kind_of(waiting.request)], waiting.request.account
        return AccountShare(
            account,
            competition.served_share(account),
            self.weight_share(waiting),
            len(competition.queue.accounts),
        )

    def work_before(self, waiting: WaitingRequest) -> float:
        """Returns the engine time in seconds that comes before the newest request of an account."""
        return self._competitions[kind_of(waiting.request)].queue.work_before(waiting.request.id)

    def weight_share(self, waiting: WaitingRequest) -> float:
        """Returns the share of the service to which the account of a request is entitled."""
        queue = self._competitions[kind_of(waiting.request)].queue
        return queue.weight_share(waiting.request.account)


def _is_backlog(by_urgency: list[WaitingRequest], free_slots: Callable[[], int]) -> bool:
    """Returns whether requests wait for others to end, and not only for their decision."""
    for waiting in by_urgency:
        if waiting.was_left:
            return True
    return len(by_urgency) > free_slots()
