"""Decides whether the VM accepts requests and is reported as ready to the load balancer."""

from collections.abc import Callable
from typing import Optional

from camphordrift.configuration import Readiness
from camphordrift.draining import DrainController
from camphordrift.results import Failure, ResultCode

#: Seconds after which a caller may retry at a VM that has no usable configuration yet.
NOT_READY_RETRY_AFTER_SECONDS = 2.0

#: Seconds after which a caller may retry when a draining VM has refused its request. By then the
#: load balancer chooses another VM.
DRAINING_RETRY_AFTER_SECONDS = 1.0


class ReadinessCheck:
    """Combines the readiness of the configuration with the state of a graceful shutdown.

    A draining VM reports at once that it is not ready, but still accepts requests until the load
    balancer has had time to react. In this phase, :meth:`refusal_for_balancer` returns a failure
    and :meth:`refusal_for_request` does not.
    """

    def __init__(
        self,
        configuration: Callable[[], Readiness],
        drain_controller: Callable[[], DrainController],
    ) -> None:
        self._configuration = configuration
        self._drain_controller = drain_controller

    def refusal_for_balancer(self) -> Optional[Failure]:
        """Returns why the load balancer should not send requests here; ``None`` if it should."""
        if not self._drain_controller().is_ready:
            return _draining_failure()
        return self._configuration_refusal()

    def refusal_for_request(self) -> Optional[Failure]:
        """Returns why a new request is refused; ``None`` if it is accepted."""
        if not self._drain_controller().admits_requests:
            return _draining_failure()
        return self._configuration_refusal()

    def _configuration_refusal(self) -> Optional[Failure]:
        readiness = self._configuration()
        if readiness is Readiness.READY:
            return None
        detail = f"this VM has no usable configuration: {readiness.value}"
        return Failure(ResultCode.VM_NOT_READY, detail, NOT_READY_RETRY_AFTER_SECONDS)


def _draining_failure() -> Failure:
    detail = "this VM is draining; retry to reach another VM"
    return Failure(ResultCode.VM_DRAINING, detail, DRAINING_RETRY_AFTER_SECONDS)
