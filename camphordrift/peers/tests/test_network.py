"""Tests of requests and notices between VMs, mostly over in-memory streams."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import pytest
import testtools
import trio
from returns.result import Failure, Result, Success

from camphordrift import results
from camphordrift.identifiers import Incarnation, VmId
from camphordrift.peers import (
    KEEPALIVE_TIMEOUT_SECONDS,
    PeerIdentity,
    PeerNetwork,
    open_listeners,
    peer_network,
)
from camphordrift.peers._frames import MAXIMUM_HANDSHAKE_BYTES, add_length
from camphordrift.peers.tests.peer_fixtures import KEY, Answer, MemoryFabric, Question
from camphordrift.results import ResultCode, RunState
from camphordrift.testing import run_in_virtual_time

ALPHA = VmId("alpha")
BETA = VmId("beta")


@dataclass(frozen=True)
class UndeclaredMessage:
    """A message type that the other VM does not declare by default."""

    #: Number that tells notices apart.
    number: int = 0


async def echo(sender: PeerIdentity, question: Question) -> Result[Answer, results.Failure]:
    return Success(Answer(f"{sender.vm_id}: {question.text}"))


async def run_with_pair(
    body: Callable[[MemoryFabric, PeerNetwork, PeerNetwork], Awaitable[None]],
    beta_keys: tuple[bytes, ...] = (KEY,),
) -> None:
    async with trio.open_nursery() as nursery:
        fabric = MemoryFabric(nursery)
        alpha, beta = fabric.add("alpha"), fabric.add("beta", keys=beta_keys)
        alpha.declare(Question)
        alpha.declare(Answer)
        beta.declare(Answer)
        beta.register(Question, echo)
        await fabric.start((alpha, beta))
        await body(fabric, alpha, beta)
        nursery.cancel_scope.cancel()


class RequestTest(testtools.TestCase):
    def test_request_returns_the_response(self) -> None:
        async def body(fabric: MemoryFabric, alpha: PeerNetwork, beta: PeerNetwork) -> None:
            for text in ("one", "two"):
                outcome = await alpha.request(BETA, Question(text), 1.0)
                self.assertEqual(Success(Answer(f"alpha: {text}")), outcome)
            self.assertEqual(1, len(fabric.streams))

        run_in_virtual_time(lambda: run_with_pair(body))

    def test_reordered_responses_reach_their_own_requests(self) -> None:
        async def slow_first(_: PeerIdentity, q: Question) -> Result[Answer, results.Failure]:
            await trio.sleep(1.0 / q.weight)
            return Success(Answer(q.text))

        async def body(_: MemoryFabric, alpha: PeerNetwork, beta: PeerNetwork) -> None:
            beta.register(Question, slow_first)
            seen: dict[int, object] = {}

            async def ask(weight: int) -> None:
                seen[weight] = await alpha.request(BETA, Question(str(weight), weight), 5.0)

            async with trio.open_nursery() as nursery:
                for weight in range(1, 20):
                    nursery.start_soon(ask, weight)
            self.assertEqual({w: Success(Answer(str(w))) for w in range(1, 20)}, seen)

        run_in_virtual_time(lambda: run_with_pair(body))

    def test_failure_is_transferred_with_all_fields(self) -> None:
        refusal = results.Failure(ResultCode.QUEUE_FULL, "full", 2.0, RunState.FAILED)

        async def refuse(_: PeerIdentity, __: Question) -> Result[Answer, results.Failure]:
            return Failure(refusal)

        async def body(_: MemoryFabric, alpha: PeerNetwork, beta: PeerNetwork) -> None:
            beta.register(Question, refuse)
            self.assertEqual(Failure(refusal), await alpha.request(BETA, Question("?"), 1.0))

        run_in_virtual_time(lambda: run_with_pair(body))

    def test_unknown_message_and_handler_exception_return_failures(self) -> None:
        async def fail(_: PeerIdentity, __: Question) -> Result[Answer, results.Failure]:
            raise KeyError("a fault")

        async def body(_: MemoryFabric, alpha: PeerNetwork, beta: PeerNetwork) -> None:
            alpha.declare(UndeclaredMessage)
            beta.register(Question, fail)
            unknown = await alpha.request(BETA, UndeclaredMessage(), 1.0)
            faulty = await alpha.request(BETA, Question("?"), 1.0)
            self.assertEqual(ResultCode.PEER_VERSION_UNSUPPORTED, unknown.failure().code)
            self.assertEqual(ResultCode.INTERNAL_ERROR, faulty.failure().code)
            self.assertEqual(1, beta.counters.value("handler_faults"))

        run_in_virtual_time(lambda: run_with_pair(body))

    def test_cancelled_wait_cancels_the_handler(self) -> None:
        cancelled: list[str] = []

        async def wait(_: PeerIdentity, question: Question) -> Result[Answer, results.Failure]:
            try:
                await trio.sleep(60)
            except trio.Cancelled:
                cancelled.append(question.text)
                raise
            return Success(Answer("late"))

        async def body(_: MemoryFabric, alpha: PeerNetwork, beta: PeerNetwork) -> None:
            beta.register(Question, wait)
            with trio.move_on_after(0.5):
                await alpha.request(BETA, Question("first"), 30.0)
            timed_out = await alpha.request(BETA, Question("second"), 0.5)
            await trio.sleep(0.1)
            self.assertEqual(["first", "second"], cancelled)
            self.assertEqual(RunState.OUTCOME_UNKNOWN, timed_out.failure().run_state)

        run_in_virtual_time(lambda: run_with_pair(body))

    def test_oversized_message_fails_and_keeps_the_connection(self) -> None:
        async def respond_with_size(
            _: PeerIdentity, q: Question
        ) -> Result[Answer, results.Failure]:
            return Success(Answer("x" * q.weight))

        async def body(fabric: MemoryFabric, alpha: PeerNetwork, beta: PeerNetwork) -> None:
            beta.register(Question, respond_with_size)
            oversized_request = await alpha.request(BETA, Question("x" * 2_000_000), 1.0)
            oversized_response = await alpha.request(BETA, Question("much", 2_000_000), 1.0)
            alpha.notify(BETA, Question("x" * 2_000_000))
            small_response = await alpha.request(BETA, Question("little", 10), 1.0)
            self.assertEqual(RunState.NOT_RUN, oversized_request.failure().run_state)
            self.assertEqual(RunState.OUTCOME_UNKNOWN, oversized_response.failure().run_state)
            self.assertEqual(ResultCode.PEER_FRAME_REFUSED, oversized_response.failure().code)
            self.assertEqual(Success(Answer("x" * 10)), small_response)
            self.assertEqual(1, len(fabric.streams))

        run_in_virtual_time(lambda: run_with_pair(body))

    def test_request_to_itself_uses_no_stream(self) -> None:
        async def body(fabric: MemoryFabric, _: PeerNetwork, beta: PeerNetwork) -> None:
            outcome = await beta.request(BETA, Question("self"), 1.0)
            self.assertEqual(Success(Answer("beta: self")), outcome)
            self.assertEqual([], fabric.streams)

        run_in_virtual_time(lambda: run_with_pair(body))


class FaultTest(testtools.TestCase):
    def test_connection_without_responses_times_out_and_is_replaced(self) -> None:
        async def body(fabric: MemoryFabric, alpha: PeerNetwork, _: PeerNetwork) -> None:
            await alpha.request(BETA, Question("warm"), 1.0)
            fabric.streams[0].blackholed = True
            started = trio.current_time()
            timed_out_request = await alpha.request(BETA, Question("lost"), 30.0)
            waited = trio.current_time() - started
            later_request = await alpha.request(BETA, Question("again"), 1.0)
            self.assertEqual(RunState.OUTCOME_UNKNOWN, timed_out_request.failure().run_state)
            self.assertTrue(waited <= KEEPALIVE_TIMEOUT_SECONDS + 0.01, waited)
            self.assertEqual(Success(Answer("alpha: again")), later_request)
            self.assertEqual(2, len(fabric.streams))
            self.assertEqual(1, alpha.counters.value("silent_connections"))

        run_in_virtual_time(lambda: run_with_pair(body))

    def test_replayed_request_runs_at_most_once_and_closes_the_connection(self) -> None:
        handled_texts: list[str] = []

        async def record_call(
            _: PeerIdentity, question: Question
        ) -> Result[Answer, results.Failure]:
            handled_texts.append(question.text)
            return Success(Answer(question.text))

        async def body(fabric: MemoryFabric, alpha: PeerNetwork, beta: PeerNetwork) -> None:
            beta.register(Question, record_call)
            await alpha.request(BETA, Question("first"), 1.0)
            fabric.streams[0].duplicates_sends = True
            await alpha.request(BETA, Question("second"), 1.0)
            await trio.sleep(0.1)
            outcome = await alpha.request(BETA, Question("third"), 1.0)
            self.assertEqual(Success(Answer("third")), outcome)
            self.assertEqual(
                ["first", "third"], [text for text in handled_texts if text != "second"]
            )
            self.assertTrue(handled_texts.count("second") <= 1, handled_texts)
            self.assertEqual(1, beta.counters.value("refused_replayed_frame"))
            self.assertEqual(2, len(fabric.streams))

        run_in_virtual_time(lambda: run_with_pair(body))

    def test_connection_to_a_slow_but_responsive_peer_stays_open(self) -> None:
        async def slow(_: PeerIdentity, __: Question) -> Result[Answer, results.Failure]:
            await trio.sleep(60)
            return Success(Answer("at last"))

        async def body(fabric: MemoryFabric, alpha: PeerNetwork, beta: PeerNetwork) -> None:
            beta.register(Question, slow)
            outcome = await alpha.request(BETA, Question("?"), 90.0)
            self.assertEqual(Success(Answer("at last")), outcome)
            self.assertEqual(1, len(fabric.streams))

        run_in_virtual_time(lambda: run_with_pair(body))

    def test_expired_timeout_returns_a_failure_without_exception(self) -> None:
        async def body(_: MemoryFabric, alpha: PeerNetwork, __: PeerNetwork) -> None:
            await alpha.request(BETA, Question("one"), 1.0)
            for timeout_seconds in (0.0, -0.001):
                outcome = await alpha.request(BETA, Question("two"), timeout_seconds)
                self.assertIsInstance(outcome, Failure)

        run_in_virtual_time(lambda: run_with_pair(body))

    def test_request_to_an_unreachable_peer_fails_at_once_as_not_run(self) -> None:
        async def body(fabric: MemoryFabric, alpha: PeerNetwork, _: PeerNetwork) -> None:
            fabric.unreachable.add(1)
            for _attempt in range(3):
                outcome = await alpha.request(BETA, Question("?"), 5.0)
                self.assertEqual(RunState.NOT_RUN, outcome.failure().run_state)
            self.assertEqual(1, alpha.counters.value("failed_dials"))
            self.assertTrue(trio.current_time() < 1.0)

        run_in_virtual_time(lambda: run_with_pair(body))

    def test_peer_without_a_common_key_is_refused_and_counted(self) -> None:
        async def body(_: MemoryFabric, alpha: PeerNetwork, beta: PeerNetwork) -> None:
            outcome = await alpha.request(BETA, Question("?"), 5.0)
            self.assertEqual(ResultCode.PEER_UNREACHABLE, outcome.failure().code)
            self.assertEqual(1, beta.counters.value("refused_unknown_key"))

        run_in_virtual_time(lambda: run_with_pair(body, beta_keys=(b"quite another fleet key",)))

    def test_notices_are_queued_for_a_connection_up_to_a_limit(self) -> None:
        received: list[int] = []

        async def body(fabric: MemoryFabric, alpha: PeerNetwork, beta: PeerNetwork) -> None:
            alpha.declare(UndeclaredMessage)
            beta.register_notice(
                UndeclaredMessage, lambda _, notice: received.append(notice.number)
            )
            for number in range(100):
                alpha.notify(BETA, UndeclaredMessage(number))
            await trio.sleep(0.1)
            self.assertEqual(list(range(36, 100)), received)
            self.assertEqual(36, alpha.counters.value("dropped_notices"))

        run_in_virtual_time(lambda: run_with_pair(body))


@pytest.mark.sockets
class SocketTest(testtools.TestCase):
    def test_tcp_request_succeeds_and_random_bytes_are_refused(self) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                listeners = await open_listeners("127.0.0.1", 0)
                address = listeners[0].socket.getsockname()  # type: ignore[attr-defined]
                beta = peer_network(BETA, Incarnation(1), [KEY])
                beta.declare(Answer)
                beta.register(Question, echo)
                alpha = peer_network(ALPHA, Incarnation(1), [KEY])
                alpha.declare(Question)
                alpha.declare(Answer)
                alpha.set_peers({BETA: address})
                await nursery.start(alpha.serve)
                await nursery.start(beta.serve, listeners)
                outcome = await alpha.request(BETA, Question("tcp"), 5.0)
                self.assertEqual(Success(Answer("alpha: tcp")), outcome)
                await self._send_invalid_frames(address, beta)
                nursery.cancel_scope.cancel()

        trio.run(main)

    async def _send_invalid_frames(self, address: tuple[str, int], beta: PeerNetwork) -> None:
        for invalid_frame in (
            add_length(b"\xc1\xff"),
            add_length(b"x" * (MAXIMUM_HANDSHAKE_BYTES + 1)),
        ):
            stream = await trio.open_tcp_stream(*address)
            await stream.send_all(invalid_frame)
            self.assertEqual(b"", await self._read_to_end(stream))
        self.assertEqual(1, beta.counters.value("refused_malformed_frame"))
        self.assertEqual(1, beta.counters.value("refused_oversized_frame"))

    async def _read_to_end(self, stream: trio.abc.Stream) -> bytes:
        try:
            return bytes(await stream.receive_some(10))
        except trio.BrokenResourceError:
            return b""
