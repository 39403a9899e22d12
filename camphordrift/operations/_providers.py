"""What the operators' port needs of the rest of the process."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Optional, Protocol

from returns.result import Result

from camphordrift.identifiers import VmId
from camphordrift.results import Failure
from camphordrift.telemetry import DecisionRecord, Metrics, StateDump


class ConfigurationOperations(Protocol):
    """Publishing the configuration and looking at it.

    Results are data classes or plain data; they are shown to the operator as JSON.
    """

    async def show(self, version: Optional[int]) -> Result[object, Failure]:
        """Returns the configuration at ``version``, or the one in force."""
        ...

    async def history(self, limit: int) -> Result[object, Failure]:
        """Returns the last ``limit`` records and their verdicts, newest first."""
        ...

    async def diff(self, old_version: int, new_version: Optional[int]) -> Result[object, Failure]:
        """Returns what changed from one version to another, or to the one in force."""
        ...

    async def publish(self, record: Mapping[str, Any], dry_run: bool) -> Result[object, Failure]:
        """Validates a record, and publishes it unless ``dry_run``."""
        ...


class DrainOperations(Protocol):
    """A planned stop of the process."""

    def start(self, reason: str) -> None:
        """Starts the graceful shutdown; does nothing if it has started already."""
        ...

    def progress(self) -> object:
        """Returns how far the shutdown is, as data classes or plain data."""
        ...


@dataclass(frozen=True)
class OperatorServices:
    """The parts of the process that operators use."""

    #: This VM.
    vm_id: VmId

    #: Hashes of the operators' keys.
    key_hashes: tuple[str, ...]

    #: Returns ``None`` while the VM takes requests, and otherwise why it does not.
    readiness: Callable[[], Optional[Failure]]

    #: The metrics.
    metrics: Metrics

    #: The state.
    dump: StateDump

    #: Recent decisions.
    decisions: DecisionRecord

    #: The configuration.
    configuration: ConfigurationOperations

    #: The planned stop.
    drain: DrainOperations
