"""Tuning parameters of the scheduler."""

import math
from dataclasses import dataclass


@dataclass(frozen=True)
class RoutingPolicy:
    """Tuning parameters of a pool's scheduler. Inconsistent values raise :class:`ValueError`.

    The slowdown of a request is its total time divided by its total time on an idle engine. A new
    prompt delays other requests on its engine, which raises their slowdown. The interference of
    the prompt is the sum of these increases, each multiplied by the ``interference_weights`` entry
    for the length band of the delayed request.

    ``slowdown_weight`` trades two objectives off: at 1 the scheduler chooses the engine with the
    least slowdown of the request plus interference, at 0 the engine with the earliest first token.

    Example::

        pool_scheduler(RoutingPolicy(slowdown_weight=0.2))
    """

    #: Weight of the slowdown relative to the time to first token, from 0 to 1.
    slowdown_weight: float = 0.3

    #: Seconds to the first token that cost as much as a slowdown of 1.
    first_token_scale_seconds: float = 0.5

    #: Upper bounds of all length bands but the last, in prompt tokens. Prompts of the first band
    #: are "short", all others "long".
    band_tokens: tuple[int, ...] = (4_000, 16_000, 64_000, 250_000, 440_000)

    #: For each band, the cost of raising the slowdown of one of its requests by 1. Requests of
    #: medium length suffer least from interference, so their weight is lowest.
    interference_weights: tuple[float, ...] = (3.0, 1.0, 1.0, 6.0, 6.0, 6.0)

    #: For each band, the maximum interference that one of its prompts may cause when it starts. The
    #: waiting ratio of the prompt is added to the limit.
    interference_limits: tuple[float, ...] = (math.inf, 1.0, 1.0, 4.0, 8.0, 8.0)

    #: Maximum number of engines, in the order of their ids, between those that short prompts prefer
    #: and those for long prompts. A short prompt is placed there only if that is its cheapest
    #: option although it counts the slowdown to expect on an engine for long prompts; a long prompt
    #: only while long prompts are urgent or if it needs the memory of several engines. See
    #: :class:`EngineSplit`.
    boundary_engines: int = 1

    #: Determines the minimum number of engines for short prompts: as many as are needed so that
    #: prefill of short prompts takes at most this share of these engines' time.
    short_share: float = 0.2

    #: Determines the number of engines for long prompts: as many as are needed so that prefill of
    #: long prompts takes at most this share of these engines' time.
    long_share: float = 0.65

    #: Waiting ratio (waiting time divided by own prefill time) at which a long prompt counts as one
    #: urgent prompt; below it, the prompt counts as a fraction.
    urgent_waiting_ratio: float = 0.5

    #: Maximum number of seconds of pending short prefill at which an engine gets a short prompt.
    max_short_backlog_seconds: float = 0.2

    #: Maximum number of prefix cache blocks that the scheduler tracks for each engine; zero turns
    #: cache affinity off.
    max_cache_blocks: int = 512

    #: Prompt tokens in each prefix cache block.
    cache_block_tokens: int = 1024

    #: Upper bound in tokens of the output length that the scheduler expects of any request.
    max_expected_output_tokens: int = 512

    #: Maximum number of queued requests of a pool; further ones are refused.
    max_queued: int = 10_000

    def __post_init__(self) -> None:
        if not 0.0 <= self.slowdown_weight <= 1.0:
            raise ValueError("slowdown_weight must be in [0, 1]")
        if list(self.band_tokens) != sorted(set(self.band_tokens)) or not self.band_tokens:
            raise ValueError("band_tokens must be strictly increasing and not empty")
        if not (0.0 < self.short_share <= 1.0 and 0.0 < self.long_share <= 1.0):
            raise ValueError("short_share and long_share must be in (0, 1]")

        if len(self.interference_weights) != self.band_count:
            raise ValueError("interference_weights must have one weight for each band")
        if len(self.interference_limits) != self.band_count:
            raise ValueError("interference_limits must have one number for each band")

    @property
    def band_count(self) -> int:
        """Number of length bands."""
        return len(self.band_tokens) + 1

    def band_of(self, prompt_tokens: int) -> int:
        """Returns the index of the length band of a prompt; 0 is the shortest."""
        return sum(1 for bound in self.band_tokens if prompt_tokens > bound)
