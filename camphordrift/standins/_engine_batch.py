"""Continuous batching of a stand-in engine, simulated in intervals of constant speed.

Between two changes of the batch every decoding request generates the same number of tokens. One
counter therefore serves all of them, and the cost of simulating a second does not depend on the
number of tokens generated in it. Times are in seconds.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Optional

from camphordrift.standins._engine_parameters import EngineParameters

# Tolerance for rounding errors, in seconds or tokens. Comparisons of the number of remaining tokens
# with zero use 1000 times as much.
_EPSILON = 1e-9


@dataclass(eq=False)
class Job:
    """A prompt to prefill and decode, or a part of a prompt that is only prefilled."""

    #: Jobs with a lower number run first.
    priority: int

    #: Sequence number of the arrival; orders jobs of equal priority.
    arrival_number: int

    #: Number of tokens of KV memory that the job reserves; zero if it uses the memory of a hold.
    memory_tokens: int

    #: Number of prompt tokens that remain to be prefilled.
    prefill_tokens_left: float

    #: Number of tokens to generate; zero for a part of a prompt.
    output_tokens: int

    #: Called as ``emit(tokens, ended)`` with the number of tokens generated since the last call and
    #: whether the job has ended.
    emit: Callable[[int, bool], None]

    #: Called once when the job has got its memory, before its prefill starts.
    on_start: Callable[["Job"], None]

    #: Called once when the prefill is complete.
    on_prefilled: Callable[["Job"], None]

    #: Value of the batch's counter of decoded tokens just before the job's first token; ``None``
    #: during prefill.
    decode_start_count: Optional[float] = field(default=None)

    #: Number of tokens passed to ``emit`` so far.
    emitted_tokens: int = 0


class Batch:
    """The waiting, prefilling and decoding jobs of one engine.

    ``reserve`` and ``free`` reserve and free the given number of tokens of KV memory; ``reserve``
    returns whether enough was free.
    """

    def __init__(
        self,
        parameters: EngineParameters,
        reserve: Callable[[int], bool],
        free: Callable[[int], None],
    ) -> None:
        self._parameters = parameters
        self._reserve = reserve
        self._free = free
        self._waiting: list[Job] = []
        self._prefilling: list[Job] = []
        self._decoding: list[Job] = []
        self._decoded_tokens = 0.0
        self._clock = 0.0
        self._last_flush = 0.0
        self._admit_at = math.inf
        self._speed = 1.0

    @property
    def running_count(self) -> int:
        """Number of jobs in prefill or decode."""
        return len(self._prefilling) + len(self._decoding)

    @property
    def waiting_count(self) -> int:
        """Number of jobs that wait until they get memory."""
        return len(self._waiting)

    @property
    def pending_prefill_tokens(self) -> int:
        """Number of prompt tokens that remain to be prefilled, over all jobs."""
        return math.ceil(sum(job.prefill_tokens_left for job in self._waiting + self._prefilling))

    def set_speed(self, speed: float) -> None:
        """Sets the speed as a fraction of the normal speed; zero freezes the engine."""
        self._speed = speed

    def submit(self, job: Job, now: float) -> None:
        """Adds a job, which may get memory and start when the current step ends."""
        self._waiting.append(job)
        self._waiting.sort(key=_queue_order)
        step = self._step_seconds() if self.running_count else 0.0
        self._admit_at = min(self._admit_at, now + step * self._step_phase(job.arrival_number))

    def remove(self, job: Job) -> None:
        """Removes a job and frees its memory."""
        if job in self._waiting:
            self._waiting.remove(job)
            return
        for jobs in (self._prefilling, self._decoding):
            if job in jobs:
                jobs.remove(job)
                self._free(job.memory_tokens)
                self._admit_at = min(self._admit_at, self._clock)

    def next_event_time(self) -> float:
        """Returns when the batch changes or emits tokens next; infinity if it does not."""
        if self._speed <= 0.0:
            return math.inf
        event_times = [self._admit_at if self._waiting else math.inf]
        head = self._first_prefilling()
        if head is not None:
            event_times.append(self._clock + head.prefill_tokens_left / self._prefill_rate())
        if self._decoding:
            event_times.append(self._clock + self._min_remaining_output() / self._decode_rate())
            event_times.append(self._last_flush + self._parameters.flush_interval_seconds)
        return max(self._clock, min(event_times))

    def advance(self, now: float) -> None:
        """Simulates the batch up to ``now``."""
        while True:
            event_time = self.next_event_time()
            if event_time > now:
                break
            self._run_until(event_time)
            self._process_events()
        self._run_until(now)

    def _run_until(self, time: float) -> None:
        elapsed = max(0.0, time - self._clock) if self._speed > 0.0 else 0.0
        head = self._first_prefilling()
        decoded = elapsed * self._decode_rate() if self._decoding else 0.0
        if head is not None:
            head.prefill_tokens_left = max(
                0.0, head.prefill_tokens_left - elapsed * self._prefill_rate()
            )
        self._decoded_tokens += decoded
        self._clock = max(self._clock, time)

    def _process_events(self) -> None:
        if self._waiting and self._admit_at <= self._clock + _EPSILON:
            self._admit_waiting()
        for job in [job for job in self._prefilling if job.prefill_tokens_left <= _EPSILON * 1000]:
            self._finish_prefill(job)
        finished = [job for job in self._decoding if self._remaining_output(job) <= _EPSILON * 1000]
        for job in finished:
            self._finish_decode(job)
        if self._clock + _EPSILON >= self._last_flush + self._parameters.flush_interval_seconds:
            self._emit_decoded_tokens()

    def _admit_waiting(self) -> None:
        self._admit_at = math.inf
        while self._waiting and self.running_count < self._parameters.max_running_requests:
            if not self._reserve(self._waiting[0].memory_tokens):
                break
            job = self._waiting.pop(0)
            job.on_start(job)
            self._prefilling.append(job)
            self._prefilling.sort(key=_queue_order)

    def retry_admission(self, now: float) -> None:
        """Tries again to start waiting jobs, after memory was freed outside the batch."""
        if self._waiting:
            self._admit_at = min(self._admit_at, now)

    def _finish_prefill(self, job: Job) -> None:
        self._prefilling.remove(job)
        job.on_prefilled(job)
        if job.output_tokens <= 1:
            self._free(job.memory_tokens)
            self._admit_at = self._clock
            job.emit(job.output_tokens, True)
            return
        job.emitted_tokens = 1
        job.decode_start_count = self._decoded_tokens - 1.0
        self._decoding.append(job)
        job.emit(1, False)

    def _finish_decode(self, job: Job) -> None:
        self._decoding.remove(job)
        self._free(job.memory_tokens)
        self._admit_at = self._clock
        tokens = job.output_tokens - job.emitted_tokens
        job.emitted_tokens = job.output_tokens
        job.emit(tokens, True)

    def _emit_decoded_tokens(self) -> None:
        self._last_flush = self._clock
        for job in self._decoding:
            generated = min(int(self._decoded_tokens_of(job) + _EPSILON), job.output_tokens - 1)
            if generated > job.emitted_tokens:
                tokens = generated - job.emitted_tokens
                job.emitted_tokens = generated
                job.emit(tokens, False)

    def _first_prefilling(self) -> Optional[Job]:
        return self._prefilling[0] if self._prefilling else None

    def _decode_step_seconds(self) -> float:
        return (
            self._parameters.step_seconds
            + self._parameters.step_seconds_per_request * self.running_count
        )

    def _step_seconds(self) -> float:
        """Returns the seconds that the current step takes, including its prefill chunk if any."""
        chunk = self._parameters.prefill_chunk_tokens / self._parameters.prefill_tokens_per_second
        prefill = chunk if self._prefilling else 0.0
        decode = self._decode_step_seconds() if self._decoding else 0.0
        return max(prefill + decode, _EPSILON) / max(self._speed, _EPSILON)

    def _prefill_rate(self) -> float:
        return self._parameters.prefill_chunk_tokens / self._step_seconds()

    def _decode_rate(self) -> float:
        return 1.0 / self._step_seconds()

    def _step_phase(self, arrival_number: int) -> float:
        """Returns the fraction of a step that a newly arrived job waits, from 0 to 1.

        It is deterministic: multiples of the golden ratio spread the fractions evenly.
        """
        return (arrival_number * 0.6180339887498949) % 1.0

    def _decoded_tokens_of(self, job: Job) -> float:
        assert job.decode_start_count is not None
        return self._decoded_tokens - job.decode_start_count

    def _remaining_output(self, job: Job) -> float:
        return job.output_tokens - self._decoded_tokens_of(job)

    def _min_remaining_output(self) -> float:
        return max(0.0, min(self._remaining_output(job) for job in self._decoding))


def _queue_order(job: Job) -> tuple[int, int]:
    return (job.priority, job.arrival_number)
