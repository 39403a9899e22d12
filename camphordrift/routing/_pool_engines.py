"""The scheduler's estimates of all engines of a pool."""

from collections.abc import Iterable, Iterator
from typing import Optional

from camphordrift.backend_servers import CacheEventBatch, LoadReport
from camphordrift.identifiers import BackendServerId, VmId
from camphordrift.routing._engine_view import EngineJob, EngineView
from camphordrift.routing._grants import GrantAsk
from camphordrift.routing._policy import RoutingPolicy
from camphordrift.routing._prefix_cache import PrefixCacheEstimate
from camphordrift.routing._scheduler import AttemptKey, EngineSpec


class PoolEngines:
    """The views of all engines of a pool, ordered by engine id."""

    def __init__(self, policy: RoutingPolicy) -> None:
        self._policy = policy
        self._views: dict[BackendServerId, EngineView] = {}
        self._engines_by_attempt: dict[AttemptKey, list[BackendServerId]] = {}

    def __iter__(self) -> Iterator[EngineView]:
        return iter(self._views.values())

    def view(self, engine_id: BackendServerId) -> Optional[EngineView]:
        """Returns the view of an engine, or ``None`` if it is unknown."""
        return self._views.get(engine_id)

    def set_specs(self, engines: Iterable[EngineSpec], now: float) -> None:
        """Replaces the set of engines; engines that remain keep their state."""
        known = self._views
        self._views = {}
        for spec in sorted(engines, key=lambda spec: spec.engine_id):
            view = known.get(spec.engine_id) or self._new_view(spec, now)
            view.set_spec(spec)
            self._views[spec.engine_id] = view

    def advance(self, now: float) -> None:
        """Advances all views to ``now`` and removes jobs past their deadline."""
        for view in self._views.values():
            view.advance(now)
            view.remove_expired(now)

    def add_job(self, view: EngineView, key: AttemptKey, job: EngineJob) -> None:
        """Adds the job of a granted attempt to an engine."""
        view.add(key, job)
        self._engines_by_attempt.setdefault(key, []).append(view.spec.engine_id)

    def record_first_token(self, key: AttemptKey, now: float) -> None:
        """Records that the prefill of a granted attempt is complete."""
        for view in self._views_of(key):
            view.advance(now)
            view.record_first_token(key)

    def remove_job(self, key: AttemptKey, now: float) -> None:
        """Removes all jobs of an ended attempt; does nothing if the attempt is unknown."""
        for view in self._views_of(key):
            view.advance(now)
            view.remove(key)
        self._engines_by_attempt.pop(key, None)

    def remove_jobs_of(self, vm_id: VmId, now: float) -> None:
        """Removes the jobs of a dead VM."""
        for view in self._views.values():
            view.advance(now)
            for key, job in list(view.jobs.items()):
                if job.ask.vm_id == vm_id:
                    view.remove(key)
                    self._engines_by_attempt.pop(key, None)

    def observe_load(self, report: LoadReport, now: float) -> None:
        """Applies a load report."""
        view = self._views.get(report.engine_id)
        if view is not None:
            view.advance(now)
            view.observe(report, now)

    def observe_cache_events(self, engine_id: BackendServerId, batch: CacheEventBatch) -> None:
        """Applies prefix cache events of an engine."""
        view = self._views.get(engine_id)
        if view is not None:
            view.cache.observe(batch)

    def serving_engines(self, ask: GrantAsk) -> list[EngineView]:
        """Returns the engines that serve the model and that the client account may use."""
        return [
            view
            for view in self._views.values()
            if ask.model in view.spec.models
            and (not ask.permitted_engines or view.spec.engine_id in ask.permitted_engines)
        ]

    def usable_engines(self, ask: GrantAsk, now: float) -> list[EngineView]:
        """Returns the serving engines that may get new work.

        Engines to avoid, and engines without a recent load report, are left out unless no other
        engine remains.
        """
        open_views = [view for view in self.serving_engines(ask) if view.is_usable(now)]
        untried = [view for view in open_views if view.spec.engine_id not in ask.avoided_engines]
        candidates = untried or open_views
        return [view for view in candidates if view.has_recent_report(now)] or candidates

    def _new_view(self, spec: EngineSpec, now: float) -> EngineView:
        policy = self._policy
        cache = PrefixCacheEstimate(policy.max_cache_blocks, policy.cache_block_tokens)
        return EngineView(spec, cache, now)

    def _views_of(self, key: AttemptKey) -> list[EngineView]:
        engine_ids = self._engines_by_attempt.get(key, [])
        return [self._views[each] for each in engine_ids if each in self._views]
