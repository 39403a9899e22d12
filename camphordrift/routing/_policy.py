"""The numbers that shape routing decisions."""

import math
from dataclasses import dataclass


@dataclass(frozen=True)
class RoutingPolicy:
    """What the operators of a deployment may weigh.

    ``slowdown_weight`` is the knob between the two aims: at 1 an engine is chosen for the least
    slowdown of the request and of those that it disturbs, at 0 for the earliest first token.

    Example::

        pool_scheduler(RoutingPolicy(slowdown_weight=0.2))
    """

    #: Weight of the slowdown against the time to first token, from 0 to 1.
    slowdown_weight: float = 0.3

    #: A time to first token that costs as much as a slowdown by 1, in seconds.
    first_token_scale_seconds: float = 0.5

    #: Upper bounds of the length bands but the last, in prompt tokens; the first is "short".
    band_tokens: tuple[int, ...] = (4_000, 16_000, 64_000, 250_000, 440_000)

    #: For each band, what it costs that one of its requests is slowed down by 1. Requests between
    #: the shortest and the longest have the least to lose.
    interference_weights: tuple[float, ...] = (3.0, 1.0, 1.0, 6.0, 6.0, 6.0)

    #: For each band, the weighted slowdown of others that one of its prompts may cause at once;
    #: the longer it has waited, the more.
    interference_limits: tuple[float, ...] = (math.inf, 1.0, 1.0, 4.0, 8.0, 8.0)

    #: Engines at the border of the split that neither side takes while it has others.
    boundary_engines: int = 1

    #: Share of an engine's time that prefill of short prompts may take, at the least split.
    short_share: float = 0.2

    #: Share of the remaining engines' time that longer prompts may take before they get more.
    long_share: float = 0.65

    #: A longer prompt counts as having waited long once it has waited for this share of its own
    #: prefill.
    urgent_waiting_ratio: float = 0.5

    #: Short prompts wait in the queue while an engine has more short prefill than this, in seconds.
    max_short_backlog_seconds: float = 0.2

    #: Blocks of each engine's prefix cache that are remembered; zero turns affinity off.
    max_cache_blocks: int = 512

    #: Prompt tokens in each of these blocks.
    cache_block_tokens: int = 1024

    #: Tokens that an answer is expected to have at most, whatever bound the caller gives.
    max_expected_output_tokens: int = 512

    #: Asks that may wait in the whole pool.
    max_queued: int = 10_000

    def __post_init__(self) -> None:
        if not 0.0 <= self.slowdown_weight <= 1.0:
            raise ValueError("slowdown_weight must lie in [0, 1]")
        if list(self.band_tokens) != sorted(set(self.band_tokens)) or not self.band_tokens:
            raise ValueError("band_tokens must grow and not be empty")
        if not (0.0 < self.short_share <= 1.0 and 0.0 < self.long_share <= 1.0):
            raise ValueError("short_share and bulk_share must lie in (0, 1]")

        if len(self.interference_weights) != self.band_count:
            raise ValueError("disturbance_weights must have one weight for each band")
        if len(self.interference_limits) != self.band_count:
            raise ValueError("harm_tolerances must have one number for each band")

    @property
    def band_count(self) -> int:
        """How many length bands there are."""
        return len(self.band_tokens) + 1

    def band_of(self, prompt_tokens: int) -> int:
        """Returns the index of the length band; 0 is the shortest."""
        return sum(1 for bound in self.band_tokens if prompt_tokens > bound)
