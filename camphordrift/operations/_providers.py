"""Interfaces of the components that the operators' port uses."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Optional, Protocol

from returns.result import Result

from camphordrift.identifiers import VmId
from camphordrift.results import Failure
from camphordrift.telemetry import DecisionRecord, Metrics, StateDump


@dataclass(frozen=True)
class Refusal:
    """Why an operation was refused, with details that help to correct the request."""

    #: The failure with its result code.
    failure: Failure

    #: Additional members of the JSON error object: data classes and plain data.
    details: Mapping[str, object] = field(default_factory=dict)


class ConfigurationProvider(Protocol):
    """Shows and publishes the configuration.

    Results are data classes or plain data, which are returned to the operator as JSON. The entry
    process uses :class:`ConfigurationOperations`.
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
    """A graceful shutdown of the process."""

    def start(self, reason: str) -> None:
        """Starts the graceful shutdown; does nothing if it has started already."""
        ...

    def progress(self) -> object:
        """Returns the progress of the shutdown, as data classes or plain data."""
        ...


@dataclass(frozen=True)
class OperatorServices:
    """The components of the process that operators use."""

    #: The id of this VM.
    vm_id: VmId

    #: Hashes of the operators' keys.
    key_hashes: tuple[str, ...]

    #: Returns why the load balancer should send no requests here; ``None`` if it should.
    readiness: Callable[[], Optional[Failure]]

    #: Metrics of the process.
    metrics: Metrics

    #: State dump of the process.
    dump: StateDump

    #: Recent decisions of the components.
    decisions: DecisionRecord

    #: Operations on the configuration.
    configuration: ConfigurationProvider

    #: The graceful shutdown.
    drain: DrainOperations
