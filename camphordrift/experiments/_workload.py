"""Generates random request arrivals from a seed."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

import numpy as np
import xxhash

from camphordrift.experiments._deployments import BANDS, Deployment, LengthBand
from camphordrift.identifiers import AccountId, RequestId

#: Prompt tokens per prefix block.
BLOCK_TOKENS = 1024

#: Maximum number of prefix block hashes in a request.
MAX_PREFIX_BLOCKS = 64

#: Different shared prefixes per account and length band.
_SHARED_PREFIXES_PER_ACCOUNT = 6


class Shape(Enum):
    """How the arrival rate changes over a run."""

    #: Constant rate.
    STEADY = "steady"

    #: The full rate in the middle third of the run and 30% of it before and after.
    DAWN_RUSH = "dawn_rush"


@dataclass(frozen=True)
class Arrival:
    """One request of a run."""

    #: Position in the run; a reference run with short requests only keeps it.
    index: int

    #: Arrival time, in virtual seconds since the start of the run.
    at: float

    #: Index of the entry VM that the load balancer selects.
    vm_index: int

    #: The client account that sends the request.
    account_id: AccountId

    #: Length band of the prompt.
    band: LengthBand

    #: Prompt length in tokens.
    prompt_tokens: int

    #: Output length in tokens.
    output_tokens: int

    #: Hashes of the first blocks of the prompt.
    prefix_blocks: tuple[int, ...]

    @property
    def request_id(self) -> RequestId:
        """The request id, derived from ``index``."""
        return RequestId(f"request-{self.index}")


def mean_prompt_tokens(deployment: Deployment) -> float:
    """Returns the mean prompt length of the deployment's request mix, in tokens."""
    means = [
        (band.max_tokens - band.min_tokens) / np.log(band.max_tokens / band.min_tokens)
        for band in BANDS
    ]
    return float(np.dot(means, deployment.band_shares))


def arrivals(
    deployment: Deployment, load: float, seconds: float, seed: int, shape: Shape = Shape.STEADY
) -> list[Arrival]:
    """Returns the arrivals of a run of ``seconds``; the same seed gives the same arrivals.

    ``load`` is the arrival rate as a share of the fleet's token capacity.
    """
    rng = np.random.default_rng(seed)
    rate = load * deployment.token_capacity() / mean_prompt_tokens(deployment)
    times = list(_arrival_times(rng, rate, seconds, shape))
    return [_arrival(deployment, rng, index, at) for index, at in enumerate(times)]


def _arrival_times(
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
    prefix_number = int(rng.integers(_SHARED_PREFIXES_PER_ACCOUNT))
    is_shared = rng.random() < band.shared_fraction
    shared_blocks = int(prompt_tokens * band.shared_length) // BLOCK_TOKENS if is_shared else 0
    return Arrival(
        index=index,
        at=at,
        vm_index=int(rng.integers(deployment.vm_count)),
        account_id=deployment.accounts[account],
        band=band,
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        prefix_blocks=_prefix_blocks(
            f"{account}/{band.name}/{prefix_number}",
            f"own/{index}",
            shared_blocks,
            prompt_tokens // BLOCK_TOKENS,
        ),
    )


def _prefix_blocks(
    shared_text: str, own_text: str, shared_blocks: int, total_blocks: int
) -> tuple[int, ...]:
    """Returns the hashes of a prompt's first blocks.

    The first ``shared_blocks`` hashes depend on ``shared_text``, the others on ``own_text``.
    """
    hashed_blocks = min(total_blocks, MAX_PREFIX_BLOCKS)
    texts = [
        shared_text if position < shared_blocks else own_text for position in range(hashed_blocks)
    ]
    return tuple(
        xxhash.xxh64_intdigest(f"{text}/{position}".encode()) for position, text in enumerate(texts)
    )
