"""The two simulated deployments and their request mix."""

from dataclasses import dataclass
from enum import Enum

from camphordrift.identifiers import AccountId, BackendServerId, ModelName
from camphordrift.standins import EngineParameters


@dataclass(frozen=True)
class LengthBand:
    """A range of prompt lengths; lengths within it are distributed log-uniformly."""

    #: Name in tables and figures.
    name: str

    #: Shortest prompt, in tokens.
    min_tokens: int

    #: Longest prompt, in tokens.
    max_tokens: int

    #: Fewest output tokens.
    min_output: int

    #: Most output tokens.
    max_output: int

    #: Timeout that callers set for a request, in seconds.
    timeout_seconds: float

    #: Share of the requests whose prompt starts with a prefix shared within the account.
    shared_fraction: float

    #: Length of the shared prefix, as a share of the prompt length.
    shared_length: float


SHORT = LengthBand("short", 1_000, 4_000, 50, 250, 30.0, 0.6, 0.5)
MEDIUM = LengthBand("medium", 4_001, 100_000, 100, 400, 90.0, 0.3, 0.5)
LONG = LengthBand("long", 100_001, 1_000_000, 200, 600, 300.0, 0.3, 0.5)
BANDS = (SHORT, MEDIUM, LONG)


class LatencyMetric(Enum):
    """The latency metric that matters most to a deployment."""

    SLOWDOWN = "slowdown"
    FIRST_TOKEN = "first_token"


@dataclass(frozen=True)
class Deployment:
    """Size, network delay and request mix of a simulated fleet."""

    #: Name on the command line.
    name: str

    #: The latency metric that matters most here.
    weighing: LatencyMetric

    #: Number of engines.
    engine_count: int

    #: Number of entry VMs.
    vm_count: int

    #: One-way latency between two availability zones, in seconds.
    hop_seconds: float

    #: Share of the requests in each length band, in the order of ``BANDS``.
    band_shares: tuple[float, float, float]

    #: Share of the requests that each client account sends, largest first.
    account_shares: tuple[float, ...]

    @property
    def model(self) -> ModelName:
        """The only model that callers request."""
        return ModelName("assistant")

    @property
    def accounts(self) -> tuple[AccountId, ...]:
        """The client accounts, largest first."""
        return tuple(AccountId(f"account-{index:02}") for index in range(len(self.account_shares)))

    def engine_models(self) -> list[EngineParameters]:
        """Returns the settings of the simulated engines of the fleet."""
        return [
            EngineParameters(
                BackendServerId(f"engine-{index:02}"), (self.model,), flush_interval_seconds=2.0
            )
            for index in range(self.engine_count)
        ]

    def token_capacity(self) -> float:
        """Returns the prefill throughput of the fleet while it decodes, in tokens per second."""
        return sum(
            model.prefill_chunk_tokens
            / (model.prefill_chunk_tokens / model.prefill_tokens_per_second + model.step_seconds)
            for model in self.engine_models()
        )


_ACCOUNT_SHARES = (0.34, 0.22, 0.14, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02, 0.02)

KOWALCZYK = Deployment(
    "kowalczyk", LatencyMetric.SLOWDOWN, 20, 7, 0.001, (0.70, 0.28, 0.02), _ACCOUNT_SHARES
)
BAZARNIK = Deployment(
    "bazarnik", LatencyMetric.FIRST_TOKEN, 20, 7, 0.0015, (0.78, 0.20, 0.02), _ACCOUNT_SHARES
)
DEPLOYMENTS = {deployment.name: deployment for deployment in (KOWALCZYK, BAZARNIK)}
