"""The two deployments whose loads are measured."""

from dataclasses import dataclass
from enum import Enum

from camphordrift.identifiers import AccountId, BackendServerId, ModelName
from camphordrift.standins import EngineParameters


@dataclass(frozen=True)
class LengthBand:
    """A range of prompt lengths, within which lengths are log-uniform."""

    #: Its name in tables.
    name: str

    #: Shortest prompt, in tokens.
    min_tokens: int

    #: Longest prompt, in tokens.
    max_tokens: int

    #: Fewest tokens generated.
    min_output: int

    #: Most tokens generated.
    max_output: int

    #: Time that callers give a request, in seconds.
    timeout_seconds: float

    #: Share of the requests that begin with a text that others of the account begin with, too.
    shared_fraction: float

    #: How much of such a prompt is shared text.
    shared_length: float


SHORT = LengthBand("short", 1_000, 4_000, 50, 250, 30.0, 0.6, 0.5)
MEDIUM = LengthBand("medium", 4_001, 100_000, 100, 400, 90.0, 0.3, 0.5)
LONG = LengthBand("long", 100_001, 1_000_000, 200, 600, 300.0, 0.3, 0.5)
BANDS = (SHORT, MEDIUM, LONG)


class Weighing(Enum):
    """What a deployment weighs more."""

    SLOWDOWN = "slowdown"
    FIRST_TOKEN = "first_token"


@dataclass(frozen=True)
class Deployment:
    """A fleet and its callers."""

    #: Its name on the command line.
    name: str

    #: What it weighs more.
    weighing: Weighing

    #: How many engines it has.
    engine_count: int

    #: How many entry VMs it has.
    vm_count: int

    #: Time of a message between two availability zones, one way, in seconds.
    hop_seconds: float

    #: Share of the requests in each of ``BANDS``.
    band_shares: tuple[float, float, float]

    #: Share of the requests of each client account.
    account_shares: tuple[float, ...]

    @property
    def model(self) -> ModelName:
        """The model that callers ask for."""
        return ModelName("assistant")

    @property
    def accounts(self) -> tuple[AccountId, ...]:
        """The client accounts, largest first."""
        return tuple(AccountId(f"account-{index:02}") for index in range(len(self.account_shares)))

    def engine_models(self) -> list[EngineParameters]:
        """Returns the stand-in engines of the fleet."""
        return [
            EngineParameters(
                BackendServerId(f"engine-{index:02}"), (self.model,), flush_interval_seconds=2.0
            )
            for index in range(self.engine_count)
        ]

    def token_capacity(self) -> float:
        """Returns the prompt tokens that the fleet computes a second while it also decodes."""
        return sum(
            model.prefill_chunk_tokens
            / (model.prefill_chunk_tokens / model.prefill_tokens_per_second + model.step_seconds)
            for model in self.engine_models()
        )


_ACCOUNT_SHARES = (0.34, 0.22, 0.14, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02, 0.02)

KOWALCZYK = Deployment(
    "kowalczyk", Weighing.SLOWDOWN, 20, 7, 0.001, (0.70, 0.28, 0.02), _ACCOUNT_SHARES
)
BAZARNIK = Deployment(
    "bazarnik", Weighing.FIRST_TOKEN, 20, 7, 0.0015, (0.78, 0.20, 0.02), _ACCOUNT_SHARES
)
DEPLOYMENTS = {deployment.name: deployment for deployment in (KOWALCZYK, BAZARNIK)}
