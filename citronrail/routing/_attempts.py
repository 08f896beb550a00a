"""Sends attempts of a request until a response starts."""

import collections.abc
import dataclasses
import random

import trio

from citronrail.model import identifiers
from citronrail.model import settings
from citronrail.model import views
from citronrail import observability
from citronrail.observability.catalogue import routing as events
from citronrail.routing import _admission
from citronrail.routing import _attempt_states
from citronrail.routing import _balancing
from citronrail.routing import _dispatch
from citronrail.routing import _exchanges
from citronrail.routing import _hedging
from citronrail.routing import _load_tracker
from citronrail.routing import _metrics
from citronrail.routing import _requests
from citronrail.routing import _retry_budget

MAX_FREE_RETRIES = 3  # retries after a leaving agent's refusal, off budget
MAX_AGENT_WAIT_S = 2.0  # longest wait while no agent serves the service
HANG_THRESHOLD_S = 1.0  # a timeout after this time counts as a failed attempt
_AGENT_POLL_S = 0.01
_MAX_RETRY_PAUSE_S = 0.02

AgentViews = collections.abc.Callable[[], tuple[views.AgentView, ...]]
CurrentSettings = collections.abc.Callable[[], settings.Settings]


@dataclasses.dataclass
class RequestProgress:
    """A request with its deadlines and the states of its attempts."""

    req: _requests.CallerRequest
    opts: _requests.RequestOptions
    deadline: float  # local time in seconds
    start_before: float
    finish_before: float
    exchanges: list[_exchanges.Exchange] = dataclasses.field(
        default_factory=list
    )
    unsent_attempts: list[_attempt_states.AttemptState] = dataclasses.field(
        default_factory=list
    )
    attempt_count: int = 0
    free_retries: int = 0
    no_retry_reason: str = ''
    completed: bool = False  # the complete response was recorded

    @property
    def attempt_states(self) -> list[_attempt_states.AttemptState]:
        """State of each attempt."""
        return self.unsent_attempts + [
            exchange.state for exchange in self.exchanges
        ]


class AttemptSender:
    """Chooses agents and sends attempts of requests to them.

    :param dispatch: sends attempts.
    :param agents: returns the views of all agents.
    :param cfg: returns the current settings.
    :param tracker: load and health of the agents.
    :param rng: random number generator.
    """

    def __init__(
        self,
        dispatch: _dispatch.Dispatcher,
        agents: AgentViews,
        cfg: CurrentSettings,
        tracker: _load_tracker.LoadTracker,
        rng: random.Random,
    ) -> None:
        self._dispatch = dispatch
        self._agents = agents
        self._cfg = cfg
        self._tracker = tracker
        self._rng = rng
        self._turn = 0
        self._budget = _retry_budget.RetryBudget()
        self._latencies: dict[str, _hedging.LatencyWindow] = {}

    async def send_until_started(
        self, progress: RequestProgress
    ) -> _exchanges.Exchange | None:
        """Send attempts until the response of one starts.

        :param progress: the request; its attempts are recorded there.
        :returns: the attempt, None if no further attempt may be made.
        """
        while True:
            agent = await self._wait_for_agent(progress)
            if agent is None:
                return None
            exchange = await self._attempt(progress, agent)
            if exchange is not None:
                return exchange
            if not self._may_retry(progress):
                return None
            if isinstance(
                progress.attempt_states[-1], _attempt_states.Refused
            ):
                await trio.sleep(_MAX_RETRY_PAUSE_S * self._rng.random())

    def record_end(self, exchange: _exchanges.Exchange) -> None:
        """Update load, health and retry budget after the end of an attempt.

        :param exchange: an attempt that is no longer tracked; it is ignored
            if its end is already recorded.
        """
        if exchange.end_recorded:
            return
        exchange.end_recorded = True
        agent = exchange.peer.node_id
        now = trio.current_time()
        self._dispatch.release(exchange)
        self._tracker.record_end(agent, event_stream=exchange.is_event_stream)
        match exchange.state:
            case _attempt_states.Complete(status) if status < 500:
                self._tracker.record_success(agent)
                self._budget = _retry_budget.with_success(self._budget)
            case _attempt_states.Complete():
                self._tracker.record_failure(agent, now)
            case (
                _attempt_states.Failed(timed_out=timed_out)
                | _attempt_states.Lost(timed_out=timed_out)
            ):
                if not timed_out or now - exchange.sent_at > HANG_THRESHOLD_S:
                    self._tracker.record_failure(agent, now)
            case _attempt_states.Refused(leaving=leaving, full=full):
                self._tracker.record_refusal(agent, now, leaving=leaving)
                if not leaving and not full:
                    self._tracker.record_failure(agent, now)

    def record_event_stream(self, exchange: _exchanges.Exchange) -> None:
        """Record that a response is an event stream, which holds no slot.

        :param exchange: an attempt whose response has started.
        """
        exchange.is_event_stream = True
        self._tracker.record_event_stream(exchange.peer.node_id)

    async def _wait_for_agent(
        self, progress: RequestProgress
    ) -> identifiers.NodeId | None:
        """Choose an agent, waiting for capacity if there is none."""
        give_up_at = trio.current_time() + MAX_AGENT_WAIT_S
        while True:
            now = trio.current_time()
            cfg = self._cfg()
            candidates = self._tracker.candidates(
                self._agents, progress.req.service, cfg, now
            )
            admission = _admission.admit(
                candidates, now=now, start_before=progress.start_before
            )
            match admission:
                case _admission.Admitted():
                    agent = self._choose(progress, candidates, cfg)
                    if agent is not None:
                        return agent
                    reason = 'all agents are full'
                case _admission.TooLate(reason):
                    progress.no_retry_reason = reason
                    return None
                case _admission.Wait(reason):
                    pass
            if now >= give_up_at and not candidates:
                progress.no_retry_reason = reason
                return None
            await trio.sleep(_AGENT_POLL_S)

    def _choose(
        self,
        progress: RequestProgress,
        candidates: collections.abc.Sequence[_balancing.Candidate],
        cfg: settings.Settings,
    ) -> identifiers.NodeId | None:
        """Choose an agent, preferring those that have not been tried."""
        tried = {exchange.peer.node_id for exchange in progress.exchanges}
        untried = [
            candidate
            for candidate in candidates
            if candidate.agent.node_id not in tried
        ]
        self._turn += 1
        chosen = _balancing.choose(
            _balancing.parse_balancing_policy(cfg.balancing),
            untried or candidates,
            rng=self._rng,
            turn=self._turn,
        )
        return chosen.agent.node_id if chosen else None

    async def _attempt(
        self, progress: RequestProgress, agent: identifiers.NodeId
    ) -> _exchanges.Exchange | None:
        """Make one attempt, hedged if it is slow and hedging is allowed."""
        first = await self._send(progress, agent)
        if first is None:
            return None
        window = self._latency_window(progress)
        window.count_request()
        hedge_after_s = None
        if self._may_hedge(progress):
            hedge_after_s = window.hedge_after_s()
        exchange = await self._dispatch.await_first_response(
            first,
            progress.deadline,
            hedge_after_s,
            lambda: self._hedge(progress),
        )
        await self._cancel_others(progress, exchange)
        if exchange.started is not None:
            window.record_latency(trio.current_time() - exchange.sent_at)
            return exchange
        self._emit_failure(progress, exchange)
        if exchange.ended:
            self.record_end(exchange)
        return None

    async def _send(
        self, progress: RequestProgress, agent: identifiers.NodeId
    ) -> _exchanges.Exchange | None:
        progress.attempt_count += 1
        if not progress.exchanges:
            self._budget = _retry_budget.with_request(self._budget)
        sent = await self._dispatch.send(
            progress.req,
            progress.attempt_count,
            agent,
            progress.start_before,
            progress.finish_before,
        )
        if isinstance(sent, _attempt_states.NotSent):
            progress.unsent_attempts.append(sent)
            self._tracker.record_refusal(
                agent, trio.current_time(), leaving=False
            )
            return None
        progress.exchanges.append(sent)
        self._tracker.record_sent(agent)
        return sent

    async def _hedge(
        self, progress: RequestProgress
    ) -> _exchanges.Exchange | None:
        """Send a hedged attempt to another agent if the budget allows."""
        if not _retry_budget.allows(self._budget):
            return None
        now = trio.current_time()
        cfg = self._cfg()
        tried = {exchange.peer.node_id for exchange in progress.exchanges}
        candidates = [
            candidate
            for candidate in self._tracker.candidates(
                self._agents, progress.req.service, cfg, now
            )
            if candidate.agent.node_id not in tried
        ]
        agent = self._choose(progress, candidates, cfg)
        if agent is None:
            return None
        self._budget = _retry_budget.with_extra_attempt(self._budget)
        self._latency_window(progress).count_hedge()
        _metrics.SENDS.labels('hedge').inc()
        return await self._send(progress, agent)

    async def _cancel_others(
        self, progress: RequestProgress, winner: _exchanges.Exchange
    ) -> None:
        for other in progress.exchanges:
            if other is not winner and not other.end_recorded:
                await self._dispatch.cancel(other)
                self.record_end(other)

    def _emit_failure(
        self, progress: RequestProgress, exchange: _exchanges.Exchange
    ) -> None:
        request = f'{exchange.request_id}#{exchange.attempt}'
        match exchange.state:
            case _attempt_states.Refused(reason=reason):
                kind = events.REQUEST_REFUSED
            case (
                _attempt_states.Lost(reason=reason)
                | _attempt_states.Failed(reason=reason)
            ):
                kind = events.ATTEMPT_FAILED
            case _:
                return
        observability.emit(
            kind,
            cause=progress.req.request_id,
            request=request,
            peer=exchange.peer.node_id,
            reason=reason,
        )

    def _may_retry(self, progress: RequestProgress) -> bool:
        """Decide on a retry, and charge it to the retry budget."""
        allowed = _attempt_states.may_retry(
            progress.attempt_states,
            idempotent=progress.opts.idempotent,
            exclusive=bool(progress.opts.exclusive),
        )
        if not allowed or trio.current_time() >= progress.start_before:
            return False
        if not progress.exchanges:
            return True  # no attempt was sent
        last = progress.exchanges[-1].state
        if (
            isinstance(last, _attempt_states.Refused)
            and last.leaving
            and progress.free_retries < MAX_FREE_RETRIES
        ):
            progress.free_retries += 1
            return True
        if not _retry_budget.allows(self._budget):
            progress.no_retry_reason = 'the retry budget is spent'
            observability.emit(
                events.RETRY_BUDGET_SPENT,
                cause=progress.req.request_id,
                request=progress.req.request_id,
            )
            return False
        self._budget = _retry_budget.with_extra_attempt(self._budget)
        return True

    def _may_hedge(self, progress: RequestProgress) -> bool:
        opts = progress.opts
        return (
            opts.idempotent
            and opts.concurrent
            and not opts.exclusive
            and not opts.key
        )

    def _latency_window(
        self, progress: RequestProgress
    ) -> _hedging.LatencyWindow:
        service = progress.req.service
        window = self._latencies.get(service)
        if window is None:
            window = self._latencies[service] = _hedging.LatencyWindow()
        return window
