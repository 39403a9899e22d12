"""The scheduler's estimate of one engine, from its own grants and delayed load reports."""

import math
from dataclasses import dataclass
from typing import Optional

from camphordrift.backend_servers import EngineRole, LoadReport
from camphordrift.routing._grants import GrantAsk
from camphordrift.routing._prefix_cache import PrefixCacheEstimate
from camphordrift.routing._scheduler import AttemptKey, EngineSpec

#: Seconds for which a failed engine gets no work, unless a load report arrives earlier.
FAILED_SECONDS = 5.0

#: Maximum age in seconds of a recent load report. An engine without a recent report is used only if
#: no other engine is usable.
STALE_REPORT_SECONDS = 5.0


@dataclass(eq=False)
class EngineJob:
    """The work of one unfinished attempt on one engine, or of one part of its prompt."""

    #: The grant request.
    ask: GrantAsk

    #: The priority passed to the engine; a lower number runs first.
    priority: int

    #: Sequence number of the grant; orders jobs of the same priority.
    number: int

    #: Deadline of the request, on the monotonic clock in seconds.
    deadline: float

    #: Estimated seconds of remaining prefill if the engine were otherwise idle.
    remaining_prefill: float

    #: Estimated number of output tokens that remain.
    remaining_output: float

    #: Tokens of KV memory that the job uses on this engine.
    memory_tokens: int

    #: Estimated total seconds of the attempt on an idle engine.
    unloaded_seconds: float

    #: Time at which the engine starts the prefill, after other engines have prefilled the earlier
    #: parts of the prompt; minus infinity if there are none.
    starts_at: float = -math.inf

    #: True for a part of a prompt whose output another engine generates.
    is_part: bool = False

    #: True once the first token has been reported.
    decoding: bool = False

    def is_prefilling(self, now: float) -> bool:
        """Returns whether the prompt, or this part of it, is probably being prefilled."""
        if self.decoding or now < self.starts_at:
            return False
        return not self.is_part or self.remaining_prefill > 0.0


class EngineView:
    """Estimates the work on an engine.

    :meth:`advance` subtracts the work that the engine has probably done since the last call; load
    reports correct the estimate.
    """

    def __init__(self, spec: EngineSpec, cache: PrefixCacheEstimate, now: float) -> None:
        self._spec = spec
        self._cache = cache
        self._jobs: dict[AttemptKey, EngineJob] = {}
        self._advanced_to = now
        self._report: Optional[LoadReport] = None
        self._reported_at = now
        self._failed_until = now
        self._draining = False
        self._external_prefill = 0.0
        self._external_memory = 0

    @property
    def spec(self) -> EngineSpec:
        """The static properties of the engine."""
        return self._spec

    @property
    def cache(self) -> PrefixCacheEstimate:
        """The estimate of its prefix cache."""
        return self._cache

    @property
    def jobs(self) -> dict[AttemptKey, EngineJob]:
        """The unfinished jobs of granted attempts on the engine."""
        return self._jobs

    @property
    def chunk_seconds(self) -> float:
        """Seconds of prefill that the engine runs between two decode steps."""
        return self.prefill_seconds(self._spec.prefill_chunk_tokens)

    @property
    def free_memory_tokens(self) -> int:
        """Tokens of KV memory that neither grants of this scheduler nor other work uses."""
        own = sum(job.memory_tokens for job in self._jobs.values())
        return self._spec.memory_tokens - own - self._external_memory

    def set_spec(self, spec: EngineSpec) -> None:
        """Replaces the static properties and reverts :meth:`mark_leaving`."""
        self._spec = spec
        self._draining = False

    def mark_leaving(self) -> None:
        """Marks the engine as draining: it gets no new work."""
        self._draining = True

    def mark_failed(self, now: float) -> None:
        """Gives the engine no new work for ``FAILED_SECONDS`` or until the next load report."""
        self._failed_until = now + FAILED_SECONDS
        self._external_prefill = 0.0

    def is_usable(self, now: float) -> bool:
        """Returns whether the engine may get new work."""
        if self._report is not None and self._report.leaving:
            return False
        if self._report is not None and self._report.role is EngineRole.DECODE:
            return False
        return not self._draining and now >= self._failed_until

    def has_recent_report(self, now: float) -> bool:
        """Returns whether the last load report is recent, or there has been none yet."""
        return self._report is None or now - self._reported_at <= STALE_REPORT_SECONDS

    def advance(self, now: float) -> None:
        """Advances the estimated work to the time ``now``."""
        elapsed = max(0.0, now - self._advanced_to)
        self._advanced_to = max(now, self._advanced_to)
        if elapsed == 0.0:
            return
        self._external_prefill = max(0.0, self._external_prefill - elapsed)
        prefilling = self.prefilling_jobs()
        self._advance_decoding(elapsed, bool(prefilling))
        self._advance_prefill(elapsed * self._prefill_share(), prefilling)

    def add(self, key: AttemptKey, job: EngineJob) -> None:
        """Adds the job of a granted attempt."""
        self._jobs[key] = job

    def record_first_token(self, key: AttemptKey) -> None:
        """Records that the prefill of the job is complete."""
        job = self._jobs.get(key)
        if job is not None:
            job.decoding = True
            job.remaining_prefill = 0.0
            self._cache.record_stored(job.ask.prefix_blocks)

    def remove(self, key: AttemptKey) -> Optional[EngineJob]:
        """Removes and returns a job; returns ``None`` if there is none."""
        return self._jobs.pop(key, None)

    def remove_expired(self, now: float) -> None:
        """Removes jobs past their deadline, at which the entry VM stops the attempt."""
        for key, job in list(self._jobs.items()):
            if job.deadline <= now:
                del self._jobs[key]

    def observe(self, report: LoadReport, now: float) -> None:
        """Applies a load report, unless a newer one or one of a later incarnation is known."""
        previous = self._report
        same_incarnation = previous is not None and previous.incarnation == report.incarnation
        if previous is not None and same_incarnation and report.sequence <= previous.sequence:
            return
        if previous is None or same_incarnation or report.incarnation > previous.incarnation:
            self._apply_report(report, now)

    def prefill_seconds(self, tokens: float) -> float:
        """Returns the seconds that the engine needs to prefill ``tokens`` while otherwise idle."""
        return tokens / self._spec.prefill_tokens_per_second

    def uncached_seconds(self, ask: GrantAsk) -> float:
        """Returns the estimated seconds of prefill of the prompt tokens that are not cached."""
        cached = self._cache.cached_tokens(ask.prefix_blocks)
        return self.prefill_seconds(max(1, ask.prompt_tokens - cached))

    def prefilling_jobs(self) -> list[EngineJob]:
        """Returns the jobs whose prefill is probably running or pending."""
        now = self._advanced_to
        return [job for job in self._jobs.values() if job.is_prefilling(now)]

    def decoding_jobs(self) -> list[EngineJob]:
        """Returns the jobs that are decoding."""
        return [job for job in self._jobs.values() if job.decoding]

    def long_prefills(self) -> list[EngineJob]:
        """Returns the jobs of long prompts whose prefill is running or pending."""
        return [job for job in self.prefilling_jobs() if job.priority > 0]

    def backlog_seconds(self, priority: int) -> float:
        """Returns the seconds of prefill that run before a new job of ``priority``."""
        own = sum(
            job.remaining_prefill for job in self.prefilling_jobs() if job.priority <= priority
        )
        return own + self._external_prefill

    def lower_priority_prefill(self, priority: int) -> float:
        """Returns the seconds of prefill that run after a new job of ``priority``."""
        return sum(
            job.remaining_prefill for job in self.prefilling_jobs() if job.priority > priority
        )

    def _apply_report(self, report: LoadReport, now: float) -> None:
        own = sum(job.remaining_prefill for job in self.prefilling_jobs())
        reported = self.prefill_seconds(report.pending_prefill_tokens)
        self._external_prefill = max(0.0, reported - own)
        own_memory = sum(job.memory_tokens for job in self._jobs.values())
        self._external_memory = max(0, report.used_memory_tokens - own_memory)
        self._report = report
        self._reported_at = now
        self._failed_until = now

    def _prefill_share(self) -> float:
        """Returns the share of time that the engine spends on prefill; 1 if no job is decoding."""
        if not any(job.decoding for job in self._jobs.values()):
            return 1.0
        return self.chunk_seconds / (self.chunk_seconds + self._spec.step_seconds)

    def _advance_decoding(self, elapsed: float, prefilling: bool) -> None:
        step = self._spec.step_seconds + (self.chunk_seconds if prefilling else 0.0)
        for job in self.decoding_jobs():
            job.remaining_output = max(1.0, job.remaining_output - elapsed / step)

    def _advance_prefill(self, seconds: float, prefilling: list[EngineJob]) -> None:
        for job in sorted(prefilling, key=lambda job: (job.priority, job.number)):
            used = min(seconds, job.remaining_prefill)
            job.remaining_prefill -= used
            seconds -= used
