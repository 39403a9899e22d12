"""Amounts of what an account may use: two rates and two stocks."""

import operator
from collections.abc import Callable, Mapping
from dataclasses import dataclass, fields
from typing import TypeVar

_K = TypeVar("_K")


@dataclass(frozen=True)
class Shares:
    """One amount of each limited resource."""

    #: Requests per second.
    requests_per_second: float = 0.0

    #: Prompt and answer tokens per second.
    tokens_per_second: float = 0.0

    #: Requests that run at once.
    concurrency: float = 0.0

    #: Tokens of long prompts that run at once.
    long_tokens: float = 0.0

    def __add__(self, other: "Shares") -> "Shares":
        return combine(operator.add, self, other)

    def __sub__(self, other: "Shares") -> "Shares":
        return combine(operator.sub, self, other)

    def scaled(self, factor: float) -> "Shares":
        """Returns each amount times ``factor``."""
        return Shares(
            self.requests_per_second * factor,
            self.tokens_per_second * factor,
            self.concurrency * factor,
            self.long_tokens * factor,
        )

    def at_least(self, other: "Shares") -> "Shares":
        """Returns the larger of each amount."""
        return combine(max, self, other)

    def at_most(self, other: "Shares") -> "Shares":
        """Returns the smaller of each amount."""
        return combine(min, self, other)

    def outgrows(self, other: "Shares", factor: float, slack: "Shares") -> bool:
        """Tells whether any amount exceeds ``factor`` times that of ``other``, plus ``slack``."""
        bound = other.scaled(factor) + slack
        return any(getattr(self, name) > getattr(bound, name) for name in RESOURCES)

    def fits(self, other: "Shares", tolerance: float = 1e-6) -> bool:
        """Tells whether no amount exceeds that of ``other``, but for rounding."""
        pairs = ((getattr(self, name), getattr(other, name)) for name in RESOURCES)
        return all(mine <= theirs * (1 + tolerance) + tolerance for mine, theirs in pairs)


#: Names of the resources, in the order of the fields of :class:`Shares`.
RESOURCES = tuple(field.name for field in fields(Shares))

NO_SHARES = Shares()


def combine(operation: Callable[[float, float], float], first: Shares, second: Shares) -> Shares:
    """Returns the operation's result for each resource."""
    return Shares(
        operation(first.requests_per_second, second.requests_per_second),
        operation(first.tokens_per_second, second.tokens_per_second),
        operation(first.concurrency, second.concurrency),
        operation(first.long_tokens, second.long_tokens),
    )


def divide_among(capacity: Shares, demands: Mapping[_K, Shares]) -> dict[_K, Shares]:
    """Returns the division of each resource among the VMs that demand it.

    If there is enough, each gets its demand and an equal part of the rest; otherwise all get the
    same part of their demand, so that a request is as likely to be refused on any VM.
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
