"""One authenticated connection between two VMs."""

from collections.abc import AsyncIterator
from typing import Any, Optional, Union

import trio
from returns.result import Failure, Result, Success

from camphordrift import results
from camphordrift.peers._dispatch import Dispatcher, peer_unreachable
from camphordrift.peers._envelopes import (
    Cancel,
    Envelope,
    Notice,
    Ping,
    Pong,
    Refused,
    Reply,
    Request,
    decode_envelope,
)
from camphordrift.peers._frames import FrameOpener, FrameSealer, FrameSplitter
from camphordrift.peers._handshake import Session
from camphordrift.peers._identity import PeerIdentity
from camphordrift.peers._refusals import PeerCounters
from camphordrift.peers._registry import WireMessage
from camphordrift.peers._sending import (
    NOTICE_BACKLOG_BYTES,
    REQUEST_BACKLOG_BYTES,
    SendQueue,
)
from camphordrift.peers._silence import (
    ACCEPTED_SILENT_AFTER_SECONDS,
    CheckAgain,
    ConnectionSilent,
    SendPing,
    SilenceDetector,
)
from camphordrift.telemetry import log_event

#: Requests of one peer that are being answered at once; more are refused.
MAXIMUM_RUNNING_REQUESTS = 1024

#: When a peer whose request was refused for that may ask again, in seconds.
BUSY_RETRY_SECONDS = 0.25

_RECEIVE_BYTES = 65536


class _PendingRequest:
    """A request that waits for its answer."""

    def __init__(self) -> None:
        self.answered = trio.Event()
        self.answer: Optional[Union[Reply, Refused]] = None


class PeerConnection:
    """A connection after its handshake.

    The side that opened it sends requests and notices; the other side answers. Request numbers are
    never reused on a connection, and each connection has keys of its own, so an answer that comes
    late or crossed matches no other request.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        splitter: FrameSplitter,
        session: Session,
        dispatcher: Dispatcher,
        counters: PeerCounters,
        opened_here: bool,
    ) -> None:
        self._stream = stream
        self._splitter = splitter
        self._session = session
        self._dispatcher = dispatcher
        self._counters = counters
        self._opened_here = opened_here
        self._opener = FrameOpener(session.receive_key)
        self._queue = SendQueue(stream, FrameSealer(session.send_key))
        self._silence = SilenceDetector(trio.current_time())
        self._last_received = trio.current_time()
        self._next_request_id = 1
        self._pending: dict[int, _PendingRequest] = {}
        self._running: dict[int, trio.CancelScope] = {}
        self._open = True
        self._wake_watch = trio.Event()

    @property
    def peer(self) -> PeerIdentity:
        """The VM at the other end."""
        return self._session.peer

    @property
    def is_open(self) -> bool:
        """False once the connection has failed or was closed."""
        return self._open

    async def run(self) -> None:
        """Serves the connection until it fails; then fails all requests that wait on it."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write)
                nursery.start_soon(self._watch)
                await self._read(nursery)
                nursery.cancel_scope.cancel()
        finally:
            self._close()
            await trio.aclose_forcefully(self._stream)

    async def request(
        self, message: WireMessage, timeout_seconds: float
    ) -> Result[Any, results.Failure]:
        """Sends a request and waits for its answer; a cancelled wait cancels the work."""
        request_id = self._next_request_id
        self._next_request_id += 1
        envelope = Request(request_id, max(0, int(timeout_seconds * 1000)), message)
        if not (self._open and self._send(envelope, REQUEST_BACKLOG_BYTES)):
            return Failure(peer_unreachable(f"{self.peer.vm_id} takes no more", False, 1.0))
        pending = _PendingRequest()
        self._pending[request_id] = pending
        try:
            with trio.move_on_after(timeout_seconds):
                await pending.answered.wait()
        finally:
            self._pending.pop(request_id, None)
            if not pending.answered.is_set() and self._open:
                self._send(Cancel(request_id), REQUEST_BACKLOG_BYTES)
        if pending.answer is None:
            detail = "did not answer in time" if self._open else "became unreachable"
            return Failure(peer_unreachable(f"{self.peer.vm_id} {detail}", True, 1.0))
        return self._dispatcher.read_outcome(pending.answer)

    def notify(self, message: WireMessage) -> bool:
        """Queues a notice; returns false if it was dropped."""
        return self._open and self._send(Notice(message), NOTICE_BACKLOG_BYTES)

    def dump_state(self) -> dict[str, Any]:
        """Returns what an operator wants to see."""
        return {
            "vm_id": self.peer.vm_id,
            "incarnation": self.peer.incarnation,
            "protocol_version": self._session.version,
            "opened_here": self._opened_here,
            "waiting_requests": len(self._pending),
            "running_requests": len(self._running),
            "backlog_bytes": self._queue.backlog_bytes,
            "last_received_seconds_ago": round(trio.current_time() - self._last_received, 3),
        }

    def close(self) -> None:
        """Stops the connection; requests that wait on it fail."""
        self._close()

    def _close(self) -> None:
        self._open = False
        self._wake_watch.set()
        for pending in self._pending.values():
            pending.answered.set()

    def _send(self, envelope: Envelope, limit_bytes: int) -> bool:
        queued = self._queue.put(envelope, limit_bytes)
        if queued:
            self._counters.add("frames_sent")
            self._silence.on_sent(trio.current_time())
            self._wake_watch.set()
        return queued

    async def _write(self) -> None:
        try:
            await self._queue.run()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._close()

    async def _watch(self) -> None:
        """Pings where nothing is heard, and closes the connection when it is found silent."""
        while self._open:
            self._wake_watch = trio.Event()
            again_at = self._watch_once() if self._opened_here else self._watch_accepted()
            with trio.move_on_at(again_at):
                await self._wake_watch.wait()
        await trio.aclose_forcefully(self._stream)

    def _watch_once(self) -> float:
        now = trio.current_time()
        match self._silence.check(now):
            case SendPing():
                self._send(Ping(), REQUEST_BACKLOG_BYTES)
                return now
            case ConnectionSilent():
                self._close_silent()
                return now
            case CheckAgain(at):
                return at

    def _watch_accepted(self) -> float:
        silent_at = self._last_received + ACCEPTED_SILENT_AFTER_SECONDS
        if trio.current_time() >= silent_at:
            self._close_silent()
        return silent_at

    def _close_silent(self) -> None:
        self._counters.add("silent_connections")
        log_event("peer_connection_silent", peer=self.peer.vm_id, opened_here=self._opened_here)
        self._close()

    async def _read(self, nursery: trio.Nursery) -> None:
        async for payload in self._payloads():
            match self._opener.open(payload).bind(decode_envelope):
                case Success(envelope):
                    self._on_envelope(envelope, nursery)
                case Failure(refusal):
                    self._counters.add_refusal(refusal)
                    return

    async def _payloads(self) -> AsyncIterator[bytes]:
        while self._open:
            match self._splitter.take():
                case Failure(refusal):
                    self._counters.add_refusal(refusal)
                    return
                case Success(None):
                    if not await self._receive():
                        return
                case Success(payload):
                    yield payload

    async def _receive(self) -> bool:
        try:
            data = await self._stream.receive_some(_RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        self._splitter.feed(data)
        return bool(data)

    def _on_envelope(self, envelope: Envelope, nursery: trio.Nursery) -> None:
        self._counters.add("frames_received")
        self._last_received = trio.current_time()
        match envelope:
            case Reply(request_id, _) | Refused(request_id, _):
                self._on_answer(request_id, envelope)
            case Request():
                self._on_request(envelope, nursery)
            case Cancel(request_id):
                self._on_cancel(request_id)
            case Notice():
                self._dispatcher.take_notice(self.peer, envelope)
            case Ping():
                self._send(Pong(), REQUEST_BACKLOG_BYTES)
            case Pong():
                pass
        self._silence.on_received(self._last_received, expecting=bool(self._pending))
        self._wake_watch.set()

    def _on_answer(self, request_id: int, answer: Union[Reply, Refused]) -> None:
        pending = self._pending.pop(request_id, None)
        if pending is None:
            self._counters.add("late_answers")
            return
        pending.answer = answer
        pending.answered.set()

    def _on_request(self, request: Request, nursery: trio.Nursery) -> None:
        if request.request_id in self._running or len(self._running) >= MAXIMUM_RUNNING_REQUESTS:
            self._counters.add("refused_busy")
            code = results.ResultCode.QUEUE_FULL
            busy = results.Failure(code, "too many requests of this peer", BUSY_RETRY_SECONDS)
            self._send(Refused(request.request_id, busy), REQUEST_BACKLOG_BYTES)
            return
        scope = trio.CancelScope()
        self._running[request.request_id] = scope
        nursery.start_soon(self._answer, request, scope)

    def _on_cancel(self, request_id: int) -> None:
        scope = self._running.get(request_id)
        if scope is not None:
            scope.cancel()

    async def _answer(self, request: Request, scope: trio.CancelScope) -> None:
        """Runs the handler, for no longer than the sender waits."""
        scope.deadline = trio.current_time() + request.remaining_milliseconds / 1000
        try:
            with scope:
                answer = await self._dispatcher.answer(self.peer, request)
                if not self._send(answer, REQUEST_BACKLOG_BYTES):
                    self._send_unsendable(request.request_id)
        finally:
            self._running.pop(request.request_id, None)

    def _send_unsendable(self, request_id: int) -> None:
        """Tells that there is an answer that cannot be sent, so that the peer does not wait."""
        self._counters.add("unsendable_answers")
        detail = "the answer exceeds a frame or the backlog"
        failure = results.Failure(
            results.ResultCode.PEER_FRAME_REFUSED,
            detail,
            run_state_override=results.RunState.OUTCOME_UNKNOWN,
        )
        self._send(Refused(request_id, failure), 2 * REQUEST_BACKLOG_BYTES)
