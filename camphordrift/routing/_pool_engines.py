"""The engines of a pool and the attempts granted on them."""

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
    """Views of all engines of a pool, by engine id."""

    def __init__(self, policy: RoutingPolicy) -> None:
        self._policy = policy
        self._views: dict[BackendServerId, EngineView] = {}
        self._engines_by_attempt: dict[AttemptKey, list[BackendServerId]] = {}

    def __iter__(self) -> Iterator[EngineView]:
        return iter(self._views.values())

    def view(self, engine_id: BackendServerId) -> Optional[EngineView]:
        """Returns the view of one engine."""
        return self._views.get(engine_id)

    def set_facts(self, engines: Iterable[EngineSpec], now: float) -> None:
        """Replaces the set of engines; what is known of those that stay is kept."""
        known = self._views
        self._views = {}
        for facts in sorted(engines, key=lambda facts: facts.engine_id):
            view = known.get(facts.engine_id) or self._new_view(facts, now)
            view.set_facts(facts)
            self._views[facts.engine_id] = view

    def advance(self, now: float) -> None:
        """Lets the estimated work of all engines progress."""
        for view in self._views.values():
            view.advance(now)
            view.drop_overdue(now)

    def add_job(self, view: EngineView, key: AttemptKey, job: EngineJob) -> None:
        """Notes a grant."""
        view.add(key, job)
        self._engines_by_attempt.setdefault(key, []).append(view.facts.engine_id)

    def record_first_token(self, key: AttemptKey, now: float) -> None:
        """Notes that a granted attempt's prompt has been prefilled."""
        for view in self._views_of(key):
            view.advance(now)
            view.record_first_token(key)

    def remove_job(self, key: AttemptKey, now: float) -> None:
        """Notes the end of a granted attempt; does nothing if it is not known."""
        for view in self._views_of(key):
            view.advance(now)
            view.remove(key)
        self._engines_by_attempt.pop(key, None)

    def remove_jobs_of(self, vm_id: VmId, now: float) -> None:
        """Drops the granted attempts of a VM that died."""
        for view in self._views.values():
            view.advance(now)
            for key, job in list(view.jobs.items()):
                if job.ask.vm_id == vm_id:
                    view.remove(key)
                    self._engines_by_attempt.pop(key, None)

    def observe_load(self, report: LoadReport, now: float) -> None:
        """Takes a load report."""
        view = self._views.get(report.engine_id)
        if view is not None:
            view.advance(now)
            view.observe(report, now)

    def observe_cache_events(self, engine_id: BackendServerId, batch: CacheEventBatch) -> None:
        """Takes cache events."""
        view = self._views.get(engine_id)
        if view is not None:
            view.cache.observe(batch)

    def serving(self, ask: GrantAsk) -> list[EngineView]:
        """Returns the engines that serve the model and that the account may use."""
        return [
            view
            for view in self._views.values()
            if ask.model in view.facts.models
            and (not ask.permitted_engines or view.facts.engine_id in ask.permitted_engines)
        ]

    def usable(self, ask: GrantAsk, now: float) -> list[EngineView]:
        """Returns the serving engines that may get new work, those with fresh reports if any."""
        open_views = [view for view in self.serving(ask) if view.is_usable(now)]
        untried = [view for view in open_views if view.facts.engine_id not in ask.avoided_engines]
        candidates = untried or open_views
        return [view for view in candidates if view.is_fresh(now)] or candidates

    def _new_view(self, facts: EngineSpec, now: float) -> EngineView:
        policy = self._policy
        cache = PrefixCacheEstimate(policy.max_cache_blocks, policy.cache_block_tokens)
        return EngineView(facts, cache, now)

    def _views_of(self, key: AttemptKey) -> list[EngineView]:
        engine_ids = self._engines_by_attempt.get(key, [])
        return [self._views[each] for each in engine_ids if each in self._views]
