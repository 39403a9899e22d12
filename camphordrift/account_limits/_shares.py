"""Amounts of the limited resources: two rates and two amounts in use at the same time."""

import operator
from collections.abc import Callable, Mapping
from dataclasses import dataclass, fields
from typing import TypeVar

_K = TypeVar("_K")


@dataclass(frozen=True)
class Shares:
    """An amount of each limited resource, such as a limit, a share of one, or a demand."""

    #: Requests per second.
    requests_per_second: float = 0.0

    #: Tokens per second, of prompts and outputs together.
    tokens_per_second: float = 0.0

    #: Number of concurrent requests.
    concurrency: float = 0.0

    #: Number of tokens of the concurrent requests that have a long prompt.
    long_tokens: float = 0.0

    def __add__(self, other: "Shares") -> "Shares":
        return combine(operator.add, self, other)

    def __sub__(self, other: "Shares") -> "Shares":
        return combine(operator.sub, self, other)

    def scaled(self, factor: float) -> "Shares":
        """Returns every amount multiplied by ``factor``."""
        return Shares(
            self.requests_per_second * factor,
            self.tokens_per_second * factor,
            self.concurrency * factor,
            self.long_tokens * factor,
        )

    def at_least(self, other: "Shares") -> "Shares":
        """Returns the larger amount of each resource."""
        return combine(max, self, other)

    def at_most(self, other: "Shares") -> "Shares":
        """Returns the smaller amount of each resource."""
        return combine(min, self, other)

    def exceeds(self, other: "Shares", factor: float, slack: "Shares") -> bool:
        """Returns whether any amount exceeds ``factor`` times that of ``other``, plus ``slack``."""
        bound = other.scaled(factor) + slack
        return any(getattr(self, name) > getattr(bound, name) for name in RESOURCES)

    def fits_within(self, other: "Shares", tolerance: float = 1e-6) -> bool:
        """Returns whether no amount exceeds that of ``other`` by more than rounding errors."""
        pairs = ((getattr(self, name), getattr(other, name)) for name in RESOURCES)
        return all(amount <= bound * (1 + tolerance) + tolerance for amount, bound in pairs)


#: Names of the resources, in the order of the fields of :class:`Shares`.
RESOURCES = tuple(field.name for field in fields(Shares))

NO_SHARES = Shares()


def combine(operation: Callable[[float, float], float], first: Shares, second: Shares) -> Shares:
    """Applies ``operation`` to the two amounts of each resource."""
    return Shares(
        operation(first.requests_per_second, second.requests_per_second),
        operation(first.tokens_per_second, second.tokens_per_second),
        operation(first.concurrency, second.concurrency),
        operation(first.long_tokens, second.long_tokens),
    )


def divide_among(capacity: Shares, demands: Mapping[_K, Shares]) -> dict[_K, Shares]:
    """Divides each resource of ``capacity`` among the VMs by their demands.

    If the demands fit, each VM gets its demand and an equal part of the remainder. Otherwise every
    VM gets the same fraction of its demand, so that a request is equally likely to be refused on
    any VM.
    """
    columns = {name: _divide(getattr(capacity, name), _column(name, demands)) for name in RESOURCES}
    return {key: Shares(*(columns[name][key] for name in RESOURCES)) for key in demands}


def _column(name: str, demands: Mapping[_K, Shares]) -> dict[_K, float]:
    return {key: getattr(demand, name) for key, demand in demands.items()}


def _divide(capacity: float, demands: Mapping[_K, float]) -> dict[_K, float]:
    total = sum(demands.values())
    if total > capacity:
        return {key: demand * capacity / total for key, demand in demands.items()}
    rest = (capacity - total) / max(1, len(demands))
    return {key: demand + rest for key, demand in demands.items()}
