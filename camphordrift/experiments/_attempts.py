"""Runs one request of an experiment with the generation runner of the entry VMs."""

import trio
from returns import result

from camphordrift.backend_servers import EngineClient, GenerationRequest, TokenChunk
from camphordrift.experiments._records import Record
from camphordrift.experiments._workload import Arrival
from camphordrift.gateway import AttemptPolicy, GenerationRunner
from camphordrift.identifiers import ModelName, VmId
from camphordrift.results import Failure, ResultCode
from camphordrift.routing import GrantAsk, GrantSource


def first_grant_request(arrival: Arrival, model: ModelName, vm_id: VmId) -> GrantAsk:
    """Returns the grant request of the first attempt."""
    return GrantAsk(
        request_id=arrival.request_id,
        attempt=1,
        vm_id=vm_id,
        account_id=arrival.account_id,
        model=model,
        prompt_tokens=arrival.prompt_tokens,
        expected_output_tokens=arrival.output_tokens,
        max_output_tokens=arrival.output_tokens,
        remaining_seconds=arrival.band.timeout_seconds,
        prefix_blocks=arrival.prefix_blocks,
    )


class RequestRun:
    """Runs one request from its arrival to its end and fills in its record."""

    def __init__(
        self,
        record: Record,
        ask: GrantAsk,
        source: GrantSource,
        engines: EngineClient,
        retries: AttemptPolicy,
    ) -> None:
        self._record = record
        self._ask = ask
        self._source = source
        self._engines = engines
        self._retries = retries

    async def run(self) -> None:
        """Runs the request to its end; raises ``AssertionError`` for lost or duplicated output."""
        runner = GenerationRunner(
            self._source,
            self._engines,
            self._retries,
            self._ask,
            _generation_request(self._ask),
            self._on_chunk,
        )
        match await runner.run():
            case result.Success(_):
                self._record_success()
            case result.Failure(failure):
                self._record_failure(failure)
        self._record.ended_at = trio.current_time()

    async def _on_chunk(self, chunk: TokenChunk) -> None:
        record = self._record
        assert chunk.request_id == self._ask.request_id, "chunk belongs to another request"
        assert chunk.first_token == record.tokens, "token lost or duplicated"
        assert chunk.text.startswith(
            f"t{chunk.first_token}."
        ), "chunk has the text of another position"
        if record.first_token_at is None:
            record.first_token_at = trio.current_time()
        record.tokens += chunk.token_count

    def _record_success(self) -> None:
        assert self._record.tokens == self._ask.max_output_tokens, "output is incomplete"
        self._record.code = ResultCode.OK

    def _record_failure(self, failure: Failure) -> None:
        self._record.code = failure.code
        self._record.run_state = failure.run_state


def _generation_request(ask: GrantAsk) -> GenerationRequest:
    return GenerationRequest(
        request_id=ask.request_id,
        attempt=1,
        model=ask.model,
        prompt_tokens=ask.prompt_tokens,
        max_output_tokens=ask.max_output_tokens,
        prompt=b"",
        prefix_blocks=ask.prefix_blocks,
        remaining_seconds=ask.remaining_seconds,
    )
