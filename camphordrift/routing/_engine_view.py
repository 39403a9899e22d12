"""What a scheduler believes of one engine, from its own grants and the engine's late reports."""

import math
from dataclasses import dataclass
from typing import Optional

from camphordrift.backend_servers import EngineRole, LoadReport
from camphordrift.routing._grants import GrantAsk
from camphordrift.routing._prefix_cache import PrefixCacheEstimate
from camphordrift.routing._scheduler import AttemptKey, EngineSpec

#: A failed engine gets no work for this time, unless it reports before.
FAILED_SECONDS = 5.0

#: An engine whose last report is older than this is used only if no other can be.
STALE_REPORT_SECONDS = 5.0


@dataclass(eq=False)
class EngineJob:
    """A granted attempt that has not ended."""

    #: The ask that was granted.
    ask: GrantAsk

    #: The priority given to the engine; lower runs first.
    priority: int

    #: Order of the grant.
    number: int

    #: Instant at which its time is up.
    deadline: float

    #: Estimate of the prompt's computation that is left, in seconds of the engine alone.
    prefill_left: float

    #: Estimate of the tokens that are left to generate.
    output_left: float

    #: What it takes of this engine's memory, in tokens.
    memory_tokens: int

    #: Estimated time of the whole attempt on an idle engine, in seconds.
    unloaded_seconds: float

    #: Instant before which nothing is computed here, because earlier parts run elsewhere.
    starts_at: float = -math.inf

    #: True for a part of a prompt that another engine answers.
    is_part: bool = False

    #: True once the first token has been reported.
    decoding: bool = False

    def is_prefilling(self, now: float) -> bool:
        """Tells whether the prompt, or this part of it, is probably being computed."""
        if self.decoding or now < self.starts_at:
            return False
        return not self.is_part or self.prefill_left > 0.0


class EngineView:
    """Estimates of an engine's work, advanced with time and corrected by reports."""

    def __init__(self, facts: EngineSpec, cache: PrefixCacheEstimate, now: float) -> None:
        self._facts = facts
        self._cache = cache
        self._jobs: dict[AttemptKey, EngineJob] = {}
        self._advanced_to = now
        self._report: Optional[LoadReport] = None
        self._reported_at = now
        self._failed_until = now
        self._leaving = False
        self._external_prefill = 0.0
        self._external_memory = 0

    @property
    def facts(self) -> EngineSpec:
        """What the engine is."""
        return self._facts

    @property
    def cache(self) -> PrefixCacheEstimate:
        """What is believed of its prefix cache."""
        return self._cache

    @property
    def jobs(self) -> dict[AttemptKey, EngineJob]:
        """The attempts granted on it that have not ended."""
        return self._jobs

    @property
    def chunk_seconds(self) -> float:
        """Time of the prefill between two decoding steps, in seconds."""
        return self.prefill_seconds(self._facts.prefill_chunk_tokens)

    @property
    def free_memory_tokens(self) -> int:
        """Memory that neither grants nor others' work take, in tokens."""
        own = sum(job.memory_tokens for job in self._jobs.values())
        return self._facts.memory_tokens - own - self._external_memory

    def set_facts(self, facts: EngineSpec) -> None:
        """Replaces what the engine is."""
        self._facts = facts
        self._leaving = False

    def mark_leaving(self) -> None:
        """Gives it no new work."""
        self._leaving = True

    def mark_failed(self, now: float) -> None:
        """Gives it no new work for some seconds, unless it reports before."""
        self._failed_until = now + FAILED_SECONDS
        self._external_prefill = 0.0

    def is_usable(self, now: float) -> bool:
        """Tells whether the engine may get new work."""
        if self._report is not None and self._report.leaving:
            return False
        if self._report is not None and self._report.role is EngineRole.DECODE:
            return False
        return not self._leaving and now >= self._failed_until

    def is_fresh(self, now: float) -> bool:
        """Tells whether the engine has reported lately, or not begun to report."""
        return self._report is None or now - self._reported_at <= STALE_REPORT_SECONDS

    def advance(self, now: float) -> None:
        """Lets the estimated work progress up to ``now``."""
        elapsed = max(0.0, now - self._advanced_to)
        self._advanced_to = max(now, self._advanced_to)
        if elapsed == 0.0:
            return
        self._external_prefill = max(0.0, self._external_prefill - elapsed)
        prefilling = self.prefilling()
        self._advance_decoding(elapsed, bool(prefilling))
        self._advance_prefill(elapsed * self._prefill_share(), prefilling)

    def add(self, key: AttemptKey, job: EngineJob) -> None:
        """Notes a grant."""
        self._jobs[key] = job

    def record_first_token(self, key: AttemptKey) -> None:
        """Notes that the prompt has been prefilled."""
        job = self._jobs.get(key)
        if job is not None:
            job.decoding = True
            job.prefill_left = 0.0
            self._cache.record_stored(job.ask.prefix_blocks)

    def remove(self, key: AttemptKey) -> Optional[EngineJob]:
        """Drops an attempt that has ended."""
        return self._jobs.pop(key, None)

    def drop_overdue(self, now: float) -> None:
        """Drops attempts whose time is up: whoever ran them must have stopped."""
        for key, job in list(self._jobs.items()):
            if job.deadline <= now:
                del self._jobs[key]

    def observe(self, report: LoadReport, now: float) -> None:
        """Takes a report, unless a newer one of the same incarnation is known."""
        previous = self._report
        same_incarnation = previous is not None and previous.incarnation == report.incarnation
        if previous is not None and same_incarnation and report.sequence <= previous.sequence:
            return
        if previous is None or same_incarnation or report.incarnation > previous.incarnation:
            self._take_report(report, now)

    def prefill_seconds(self, tokens: float) -> float:
        """Returns the time to compute ``tokens`` of a prompt on the engine alone."""
        return tokens / self._facts.prefill_tokens_per_second

    def uncached_seconds(self, ask: GrantAsk) -> float:
        """Returns the prefill that an ask costs here, given what is probably cached."""
        cached = self._cache.cached_tokens(ask.prefix_blocks)
        return self.prefill_seconds(max(1, ask.prompt_tokens - cached))

    def prefilling(self) -> list[EngineJob]:
        """Returns the attempts whose prompt is not prefilled yet."""
        now = self._advanced_to
        return [job for job in self._jobs.values() if job.is_prefilling(now)]

    def decoding(self) -> list[EngineJob]:
        """Returns the attempts that generate tokens."""
        return [job for job in self._jobs.values() if job.decoding]

    def long_prefills(self) -> list[EngineJob]:
        """Returns the attempts of longer prompts that are being prefilled."""
        return [job for job in self.prefilling() if job.priority > 0]

    def backlog_seconds(self, priority: int) -> float:
        """Returns the prefill that runs before a new attempt of ``priority``."""
        own = sum(job.prefill_left for job in self.prefilling() if job.priority <= priority)
        return own + self._external_prefill

    def lower_priority_prefill(self, priority: int) -> float:
        """Returns the prefill that a new attempt of ``priority`` goes before."""
        return sum(job.prefill_left for job in self.prefilling() if job.priority > priority)

    def _take_report(self, report: LoadReport, now: float) -> None:
        own = sum(job.prefill_left for job in self.prefilling())
        reported = self.prefill_seconds(report.pending_prefill_tokens)
        self._external_prefill = max(0.0, reported - own)
        own_memory = sum(job.memory_tokens for job in self._jobs.values())
        self._external_memory = max(0, report.used_memory_tokens - own_memory)
        self._report = report
        self._reported_at = now
        self._failed_until = now

    def _prefill_share(self) -> float:
        """Returns the share of the time that goes to prefill while some requests decode."""
        if not any(job.decoding for job in self._jobs.values()):
            return 1.0
        return self.chunk_seconds / (self.chunk_seconds + self._facts.step_seconds)

    def _advance_decoding(self, elapsed: float, prefilling: bool) -> None:
        step = self._facts.step_seconds + (self.chunk_seconds if prefilling else 0.0)
        for job in self.decoding():
            job.output_left = max(1.0, job.output_left - elapsed / step)

    def _advance_prefill(self, seconds: float, prefilling: list[EngineJob]) -> None:
        for job in sorted(prefilling, key=lambda job: (job.priority, job.number)):
            used = min(seconds, job.prefill_left)
            job.prefill_left -= used
            seconds -= used
