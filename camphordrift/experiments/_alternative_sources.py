"""Alternative grant sources to compare with: engines partitioned by VM, a home VM per engine."""

import random
from collections.abc import Sequence

import trio
from returns import result

from camphordrift.backend_servers import LoadReport
from camphordrift.experiments._control_cost import ControlCost
from camphordrift.identifiers import BackendServerId
from camphordrift.results import Failure, ResultCode
from camphordrift.routing import EngineSpec, Grant, GrantAsk, GrantOutcome, LocalGrantSource


def partition_engines(specs: Sequence[EngineSpec], vm_count: int) -> list[list[EngineSpec]]:
    """Returns, for each VM, the engines that it alone schedules."""
    return [list(specs[index::vm_count]) for index in range(vm_count)]


class EngineHomesSource:
    """Picks the less loaded of two random engines and requests a grant from its home VM.

    The home VM of an engine schedules it for all VMs. Messages to it take ``hop_seconds``.
    """

    def __init__(
        self,
        homes: dict[BackendServerId, LocalGrantSource],
        hop_seconds: float,
        memory_tokens: int,
        cost: ControlCost,
        rng: random.Random,
    ) -> None:
        self._homes = homes
        self._hop_seconds = hop_seconds
        self._memory_tokens = memory_tokens
        self._cost = cost
        self._rng = rng
        self._loads = dict.fromkeys(homes, 0)

    def observe(self, report: LoadReport) -> None:
        """Stores the load of one engine; replaces its previous report."""
        self._loads[report.engine_id] = report.pending_prefill_tokens

    async def acquire(self, ask: GrantAsk) -> result.Result[Grant, Failure]:
        """Returns the decision of the engine's home VM."""
        if ask.prompt_tokens + ask.max_output_tokens > self._memory_tokens:
            return result.Failure(Failure(ResultCode.PROMPT_NEVER_FITS, "exceeds one engine"))
        candidates = self._rng.sample(sorted(self._homes), 2)
        engine_id = min(candidates, key=lambda candidate: self._loads[candidate])
        self._cost.add_grant_request(ask)
        await trio.sleep(self._hop_seconds)
        response = await self._homes[engine_id].acquire(ask)
        self._cost.add_small()
        await trio.sleep(self._hop_seconds)
        return response

    def report_first_token(self, grant: Grant) -> None:
        """Reports the first token to the engine's home VM."""
        self._cost.add_small()
        self._homes[grant.engine_id].report_first_token(grant)

    def finish(self, grant: Grant, outcome: GrantOutcome) -> None:
        """Reports the outcome of the attempt to the engine's home VM."""
        self._cost.add_small()
        self._homes[grant.engine_id].finish(grant, outcome)
