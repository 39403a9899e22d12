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

    #: Additional members of the JSON error object: data classes or JSON types.
    details: Mapping[str, object] = field(default_factory=dict)


class ConfigurationProvider(Protocol):
    """Shows and publishes the configuration.

    Results are data classes or JSON types, and are returned to the operator as JSON. The process of
    a VM uses :class:`ConfigurationOperations`.
    """

    def show(self, kind_name: Optional[str]) -> Result[object, Refusal]:
        """Returns the entries in force, of all kinds if ``kind_name`` is ``None``."""
        ...

    def history(self, limit: int) -> Result[object, Refusal]:
        """Returns the last ``limit`` accepted records, newest first."""
        ...

    def diff(self, raw: Mapping[str, Any]) -> Result[object, Refusal]:
        """Returns the changes that a record would make, without publishing it."""
        ...

    async def publish(self, raw: Mapping[str, Any], dry_run: bool) -> Result[object, Refusal]:
        """Validates a record, and publishes it unless ``dry_run`` is true."""
        ...


class DrainOperations(Protocol):
    """Starts a graceful shutdown of the process and reports its progress."""

    def start(self, reason: str) -> None:
        """Starts the graceful shutdown; a second call skips its waits."""
        ...

    def progress(self) -> object:
        """Returns the progress of the shutdown, as data classes or JSON types."""
        ...


@dataclass(frozen=True)
class OperatorServices:
    """The components of the process that operators use."""

    #: Id of this VM, shown in the responses of the probes.
    vm_id: VmId

    #: Hashes of the keys that authenticate operators.
    key_hashes: tuple[str, ...]

    #: Returns why the load balancer should send no requests here; ``None`` if it should.
    readiness: Callable[[], Optional[Failure]]

    #: Metrics of the process, for ``/metrics``.
    metrics: Metrics

    #: State dump of the process, for ``/dump``.
    dump: StateDump

    #: Recent decisions of the components, for ``/decisions``.
    decisions: DecisionRecord

    #: Shows and publishes the configuration.
    configuration: ConfigurationProvider

    #: Starts and shows the graceful shutdown.
    drain: DrainOperations
