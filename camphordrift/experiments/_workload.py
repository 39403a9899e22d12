"""Seeded arrivals of requests."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

import numpy as np
import xxhash

from camphordrift.experiments._deployments import BANDS, Deployment, LengthBand
from camphordrift.identifiers import AccountId, RequestId

#: Prompt tokens in each block whose hash a request carries.
BLOCK_TOKENS = 1024

#: Most block hashes that a request carries.
MAX_PREFIX_BLOCKS = 64

_TEXTS_PER_ACCOUNT = 6


class Shape(Enum):
    """How the arrival rate moves over a run."""

    #: The same rate all the time.
    STEADY = "steady"

    #: Calm, then a rush to the full rate in the middle third, then calm again.
    DAWN_RUSH = "dawn_rush"


@dataclass(frozen=True)
class Arrival:
    """One request of a run."""

    #: Its place in the run; the same in a run of the short requests alone.
    index: int

    #: Instant of its arrival, in seconds.
    at: float

    #: The entry VM that the balancer sends it to.
    vm_index: int

    #: The account that pays.
    account_id: AccountId

    #: Its length band.
    band: LengthBand

    #: Prompt length in tokens.
    prompt_tokens: int

    #: Tokens that it generates.
    output_tokens: int

    #: Hashes of its leading blocks.
    prefix_blocks: tuple[int, ...]

    @property
    def request_id(self) -> RequestId:
        """The request's name."""
        return RequestId(f"request-{self.index}")


def mean_prompt_tokens(deployment: Deployment) -> float:
    """Returns the mean prompt length of the deployment's mix."""
    means = [
        (band.max_tokens - band.min_tokens) / np.log(band.max_tokens / band.min_tokens)
        for band in BANDS
    ]
    return float(np.dot(means, deployment.band_shares))


def arrivals(
    deployment: Deployment, load: float, seconds: float, seed: int, shape: Shape = Shape.STEADY
) -> list[Arrival]:
    """Returns the arrivals of a run; ``load`` is a share of the fleet's token capacity."""
    rng = np.random.default_rng(seed)
    rate = load * deployment.token_capacity() / mean_prompt_tokens(deployment)
    instants = list(_instants(rng, rate, seconds, shape))
    return [_arrival(deployment, rng, index, at) for index, at in enumerate(instants)]


def _instants(
    rng: np.random.Generator, rate: float, seconds: float, shape: Shape
) -> Iterator[float]:
    at = 0.0
    while True:
        at += float(rng.exponential(1.0 / rate))
        if at >= seconds:
            return
        if rng.random() < _relative_rate(shape, at / seconds):
            yield at


def _relative_rate(shape: Shape, position: float) -> float:
    match shape:
        case Shape.STEADY:
            return 1.0
        case Shape.DAWN_RUSH:
            return 1.0 if 1 / 3 <= position < 2 / 3 else 0.3


def _arrival(deployment: Deployment, rng: np.random.Generator, index: int, at: float) -> Arrival:
    band = BANDS[int(rng.choice(len(BANDS), p=deployment.band_shares))]
    account = int(rng.choice(len(deployment.accounts), p=deployment.account_shares))
    low, high = np.log(band.min_tokens), np.log(band.max_tokens)
    prompt_tokens = int(np.exp(rng.uniform(low, high)))
    output_tokens = int(rng.integers(band.min_output, band.max_output + 1))
    text = int(rng.integers(_TEXTS_PER_ACCOUNT))
    is_shared = rng.random() < band.shared_fraction
    shared = int(prompt_tokens * band.shared_length) // BLOCK_TOKENS if is_shared else 0
    return Arrival(
        index=index,
        at=at,
        vm_index=int(rng.integers(deployment.vm_count)),
        account_id=deployment.accounts[account],
        band=band,
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        prefix_blocks=_blocks(
            f"{account}/{band.name}/{text}", f"own/{index}", shared, prompt_tokens // BLOCK_TOKENS
        ),
    )


def _blocks(shared_text: str, own_text: str, shared: int, total: int) -> tuple[int, ...]:
    """Returns the hashes of ``total`` blocks, the first ``shared`` of a text known to others."""
    carried = min(total, MAX_PREFIX_BLOCKS)
    texts = [shared_text if place < shared else own_text for place in range(carried)]
    return tuple(
        xxhash.xxh64_intdigest(f"{text}/{place}".encode()) for place, text in enumerate(texts)
    )
