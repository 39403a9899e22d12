"""What the operators' port needs of the rest of the process."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Optional, Protocol

from returns.result import Result

from camphordrift.identifiers import VmId
from camphordrift.results import Failure
from camphordrift.telemetry import DecisionRecord, Metrics, StateDump


@dataclass(frozen=True)
class Refusal:
    """Why an operation was refused, with what an operator needs to do better."""

    #: The numbered failure.
    failure: Failure

    #: More members of the JSON error: data classes and plain data.
    details: Mapping[str, object] = field(default_factory=dict)


class ConfigurationProvider(Protocol):
    """Publishing the configuration and looking at it.

    Results are data classes or plain data; they are shown to the operator as JSON. In the process
    it is :class:`ConfigurationOperations` around the keeper of the configuration.
    """

    def show(self, kind_name: Optional[str]) -> Result[object, Refusal]:
        """Returns the entries of one kind, or all."""
        ...

    def history(self, limit: int) -> Result[object, Refusal]:
        """Returns the last ``limit`` accepted records, newest first."""
        ...

    def diff(self, raw: Mapping[str, Any]) -> Result[object, Refusal]:
        """Returns what a record would change."""
        ...

    async def publish(self, raw: Mapping[str, Any], dry_run: bool) -> Result[object, Refusal]:
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
    configuration: ConfigurationProvider

    #: The planned stop.
    drain: DrainOperations
