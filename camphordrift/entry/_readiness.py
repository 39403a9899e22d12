"""Whether the VM takes requests, and what the balancer is told."""

from collections.abc import Callable
from typing import Optional

from camphordrift.configuration import Readiness
from camphordrift.draining import DrainController
from camphordrift.results import Failure, ResultCode

#: After this long a caller may ask again at a VM that does not know the configuration, in seconds.
NOT_READY_RETRY_AFTER_SECONDS = 2.0

#: After this long a caller may ask again; the balancer will have chosen another VM, in seconds.
DRAINING_RETRY_AFTER_SECONDS = 1.0


class ReadinessCheck:
    """Joins the state of the configuration with that of a planned stop.

    A stopping VM tells the balancer first and goes on taking requests until the balancer must have
    noticed, so the two answers differ for a while.
    """

    def __init__(
        self, configuration: Callable[[], Readiness], stop: Callable[[], DrainController]
    ) -> None:
        self._configuration = configuration
        self._stop = stop

    def for_balancer(self) -> Optional[Failure]:
        """Returns why the balancer should send no requests here; ``None`` if it should."""
        if not self._stop().is_ready:
            return _draining()
        return self._configuration_refusal()

    def for_request(self) -> Optional[Failure]:
        """Returns why a new request is refused; ``None`` if it is not."""
        if not self._stop().admits_requests:
            return _draining()
        return self._configuration_refusal()

    def _configuration_refusal(self) -> Optional[Failure]:
        readiness = self._configuration()
        if readiness is Readiness.READY:
            return None
        detail = f"the configuration is not known: {readiness.value}"
        return Failure(ResultCode.VM_NOT_READY, detail, NOT_READY_RETRY_AFTER_SECONDS)


def _draining() -> Failure:
    detail = "this VM is stopping; another one will answer"
    return Failure(ResultCode.VM_DRAINING, detail, DRAINING_RETRY_AFTER_SECONDS)
