"""Continuous batching of a stand-in engine, computed in stretches of constant speed.

Between two changes of the batch every decoding request advances by the same number of tokens, so
one counter serves them all and the cost of a simulated second does not depend on its tokens.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Optional

from camphordrift.standins._engine_parameters import EngineParameters

_EPSILON = 1e-9


@dataclass(eq=False)
class Job:
    """A prompt that the engine prefills and, unless it is a part, answers."""

    #: Lower runs first.
    priority: int

    #: Order of arrival.
    number: int

    #: Memory that the job reserves, in tokens; zero if it runs under a hold.
    memory_tokens: int

    #: Prompt tokens that are not prefilled yet.
    prefill_left: float

    #: Tokens to generate; zero for a part of a prompt.
    output_tokens: int

    #: Called as ``emit(tokens, ended)`` with the tokens generated since the last call.
    emit: Callable[[int, bool], None]

    #: Called once when the job gets its memory, before it is prefilled.
    on_start: Callable[["Job"], None]

    #: Called once when its prompt has been prefilled.
    on_prefilled: Callable[["Job"], None]

    #: The batch's token counter when it began to decode; ``None`` before.
    decode_origin: Optional[float] = field(default=None)

    #: Tokens handed out.
    emitted: int = 0


class Batch:
    """What an engine computes, advanced from one instant to the next."""

    def __init__(
        self,
        model: EngineParameters,
        reserve: Callable[[int], bool],
        give_back: Callable[[int], None],
    ) -> None:
        self._model = model
        self._reserve = reserve
        self._give_back = give_back
        self._waiting: list[Job] = []
        self._prefilling: list[Job] = []
        self._decoding: list[Job] = []
        self._decoded = 0.0
        self._clock = 0.0
        self._last_flush = 0.0
        self._admit_at = math.inf
        self._speed = 1.0

    @property
    def running_count(self) -> int:
        """Requests being prefilled or decoded."""
        return len(self._prefilling) + len(self._decoding)

    @property
    def waiting_count(self) -> int:
        """Requests without memory yet."""
        return len(self._waiting)

    @property
    def pending_prefill_tokens(self) -> int:
        """Prompt tokens left to prefill."""
        return math.ceil(sum(job.prefill_left for job in self._waiting + self._prefilling))

    def set_speed(self, speed: float) -> None:
        """Sets the speed as a share of the normal one; zero freezes the engine."""
        self._speed = speed

    def submit(self, job: Job, now: float) -> None:
        """Adds a job; it counts from the end of the step that is being computed."""
        self._waiting.append(job)
        self._waiting.sort(key=_order)
        step = self._step_seconds() if self.running_count else 0.0
        self._admit_at = min(self._admit_at, now + step * self._step_phase(job.number))

    def remove(self, job: Job) -> None:
        """Takes a job out and gives its memory back."""
        if job in self._waiting:
            self._waiting.remove(job)
            return
        for jobs in (self._prefilling, self._decoding):
            if job in jobs:
                jobs.remove(job)
                self._give_back(job.memory_tokens)
                self._admit_at = min(self._admit_at, self._clock)

    def next_change(self) -> float:
        """Returns the next instant at which something has to be done; infinity if none."""
        if self._speed <= 0.0:
            return math.inf
        instants = [self._admit_at if self._waiting else math.inf]
        head = self._prefill_head()
        if head is not None:
            instants.append(self._clock + head.prefill_left / self._prefill_rate())
        if self._decoding:
            instants.append(self._clock + self._least_output_left() / self._decode_rate())
            instants.append(self._last_flush + self._model.flush_interval_seconds)
        return max(self._clock, min(instants))

    def advance(self, now: float) -> None:
        """Computes up to ``now``."""
        while True:
            change = self.next_change()
            if change > now:
                break
            self._run_until(change)
            self._apply_changes()
        self._run_until(now)

    def _run_until(self, instant: float) -> None:
        elapsed = max(0.0, instant - self._clock) if self._speed > 0.0 else 0.0
        head = self._prefill_head()
        decoded = elapsed * self._decode_rate() if self._decoding else 0.0
        if head is not None:
            head.prefill_left = max(0.0, head.prefill_left - elapsed * self._prefill_rate())
        self._decoded += decoded
        self._clock = max(self._clock, instant)

    def _apply_changes(self) -> None:
        if self._waiting and self._admit_at <= self._clock + _EPSILON:
            self._admit_waiting()
        for job in [job for job in self._prefilling if job.prefill_left <= _EPSILON * 1000]:
            self._finish_prefill(job)
        ended = [job for job in self._decoding if self._output_left(job) <= _EPSILON * 1000]
        for job in ended:
            self._finish_decode(job)
        if self._clock + _EPSILON >= self._last_flush + self._model.flush_interval_seconds:
            self._flush()

    def _admit_waiting(self) -> None:
        self._admit_at = math.inf
        while self._waiting and self.running_count < self._model.max_running_requests:
            if not self._reserve(self._waiting[0].memory_tokens):
                break
            job = self._waiting.pop(0)
            job.on_start(job)
            self._prefilling.append(job)
            self._prefilling.sort(key=_order)

    def retry_admission(self, now: float) -> None:
        """Looks at the waiting jobs again, since memory has become free."""
        if self._waiting:
            self._admit_at = min(self._admit_at, now)

    def _finish_prefill(self, job: Job) -> None:
        self._prefilling.remove(job)
        job.on_prefilled(job)
        if job.output_tokens <= 1:
            self._give_back(job.memory_tokens)
            self._admit_at = self._clock
            job.emit(job.output_tokens, True)
            return
        job.emitted = 1
        job.decode_origin = self._decoded - 1.0
        self._decoding.append(job)
        job.emit(1, False)

    def _finish_decode(self, job: Job) -> None:
        self._decoding.remove(job)
        self._give_back(job.memory_tokens)
        self._admit_at = self._clock
        tokens = job.output_tokens - job.emitted
        job.emitted = job.output_tokens
        job.emit(tokens, True)

    def _flush(self) -> None:
        self._last_flush = self._clock
        for job in self._decoding:
            ready = min(int(self._decoded_of(job) + _EPSILON), job.output_tokens - 1)
            if ready > job.emitted:
                tokens = ready - job.emitted
                job.emitted = ready
                job.emit(tokens, False)

    def _prefill_head(self) -> Optional[Job]:
        return self._prefilling[0] if self._prefilling else None

    def _decode_step(self) -> float:
        return self._model.step_seconds + self._model.step_seconds_per_request * self.running_count

    def _step_seconds(self) -> float:
        """Time of the present step, with its chunk of prefill if there is one."""
        chunk = self._model.prefill_chunk_tokens / self._model.prefill_tokens_per_second
        prefill = chunk if self._prefilling else 0.0
        decode = self._decode_step() if self._decoding else 0.0
        return max(prefill + decode, _EPSILON) / max(self._speed, _EPSILON)

    def _prefill_rate(self) -> float:
        return self._model.prefill_chunk_tokens / self._step_seconds()

    def _decode_rate(self) -> float:
        return 1.0 / self._step_seconds()

    def _step_phase(self, number: int) -> float:
        """Spreads arrivals over the step that they fall into, the same way every time."""
        return (number * 0.6180339887498949) % 1.0

    def _decoded_of(self, job: Job) -> float:
        assert job.decode_origin is not None
        return self._decoded - job.decode_origin

    def _output_left(self, job: Job) -> float:
        return job.output_tokens - self._decoded_of(job)

    def _least_output_left(self) -> float:
        return max(0.0, min(self._output_left(job) for job in self._decoding))


def _order(job: Job) -> tuple[int, int]:
    return (job.priority, job.number)
