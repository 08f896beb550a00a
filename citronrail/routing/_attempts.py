"""Attempts of one request, until one of them begins to be answered."""

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
from citronrail.routing import _balancing
from citronrail.routing import _dispatch
from citronrail.routing import _exchanges
from citronrail.routing import _hedging
from citronrail.routing import _load_book
from citronrail.routing import _metrics
from citronrail.routing import _requests
from citronrail.routing import _retry_budget
from citronrail.routing import _verdicts

MAX_FREE_RETRIES = 3  # refusals by leaving agents that cost no budget
MAX_ROOM_WAIT_S = 2.0  # without any serving agent, a caller waits no longer
HANGING_S = 1.0  # a timeout after this time speaks against the agent
_ROOM_POLL_S = 0.01
_REPEAT_PAUSE_S = 0.02

Agents = collections.abc.Callable[[], tuple[views.AgentView, ...]]
CurrentSettings = collections.abc.Callable[[], settings.Settings]


@dataclasses.dataclass
class Progress:
    """One request and what is known of its attempts."""

    req: _requests.CallerRequest
    opts: _requests.RequestOptions
    deadline: float  # local time in seconds
    start_before: float
    finish_before: float
    exchanges: list[_exchanges.Exchange] = dataclasses.field(
        default_factory=list
    )
    unsent: list[_verdicts.Verdict] = dataclasses.field(default_factory=list)
    numbers: int = 0
    free_retries: int = 0
    stopped_because: str = ''
    completed: bool = False  # the owners of its keys know its whole answer

    @property
    def verdicts(self) -> list[_verdicts.Verdict]:
        """What is known of every attempt."""
        return self.unsent + [one.verdict for one in self.exchanges]


class Attempts:
    """Chooses agents and sends attempts of requests to them.

    :param dispatch: sends attempts.
    :param agents: returns what is known of all agents.
    :param cfg: returns the operators' configuration.
    :param book: load and health of the agents.
    :param rng: source of chance.
    """

    def __init__(
        self,
        dispatch: _dispatch.Dispatch,
        agents: Agents,
        cfg: CurrentSettings,
        book: _load_book.LoadBook,
        rng: random.Random,
    ) -> None:
        self._dispatch = dispatch
        self._agents = agents
        self._cfg = cfg
        self._book = book
        self._rng = rng
        self._turn = 0
        self._budget = _retry_budget.RetryBudget()
        self._latencies: dict[str, _hedging.LatencyWindow] = {}

    async def until_started(
        self, progress: Progress
    ) -> _exchanges.Exchange | None:
        """Make attempts until one begins to be answered.

        :param progress: the request; its attempts are noted there.
        :returns: the attempt, None if no attempt is left to be made.
        """
        while True:
            agent = await self._wait_for_agent(progress)
            if agent is None:
                return None
            exchange = await self._attempt(progress, agent)
            if exchange is not None:
                return exchange
            if not self._may_go_on(progress):
                return None
            if isinstance(progress.verdicts[-1], _verdicts.Refused):
                await trio.sleep(_REPEAT_PAUSE_S * self._rng.random())

    def note_end(self, exchange: _exchanges.Exchange) -> None:
        """Learn from how an attempt ended.

        :param exchange: an attempt that is watched no longer; one whose end
            was noted before is ignored.
        """
        if exchange.closed:
            return
        exchange.closed = True
        agent = exchange.peer.node_id
        now = trio.current_time()
        self._dispatch.release(exchange)
        self._book.ended(agent, feed=exchange.is_feed)
        match exchange.verdict:
            case _verdicts.Complete(status) if status < 500:
                self._book.succeeded(agent)
                self._budget = _retry_budget.with_success(self._budget)
            case _verdicts.Complete():
                self._book.failed(agent, now)
            case (
                _verdicts.Failed(timed_out=timed_out)
                | _verdicts.Lost(timed_out=timed_out)
            ):
                if not timed_out or now - exchange.sent_at > HANGING_S:
                    self._book.failed(agent, now)
            case _verdicts.Refused(leaving=leaving, full=full):
                self._book.refused(agent, now, leaving=leaving)
                if not leaving and not full:
                    self._book.failed(agent, now)

    def note_feed(self, exchange: _exchanges.Exchange) -> None:
        """Note that an answer is a feed, which holds no slot.

        :param exchange: an attempt that began to be answered.
        """
        exchange.is_feed = True
        self._book.feed_began(exchange.peer.node_id)

    async def _wait_for_agent(
        self, progress: Progress
    ) -> identifiers.NodeId | None:
        """Choose an agent, waiting for room if all are full."""
        give_up = trio.current_time() + MAX_ROOM_WAIT_S
        while True:
            now = trio.current_time()
            cfg = self._cfg()
            candidates = self._book.candidates(
                self._agents(), progress.req.service, cfg, now
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
                    progress.stopped_because = reason
                    return None
                case _admission.Wait(reason):
                    pass
            if now >= give_up and not candidates:
                progress.stopped_because = reason
                return None
            await trio.sleep(_ROOM_POLL_S)

    def _choose(
        self,
        progress: Progress,
        candidates: collections.abc.Sequence[_balancing.Candidate],
        cfg: settings.Settings,
    ) -> identifiers.NodeId | None:
        """Choose an agent, one that has not been tried if there is any."""
        tried = {one.peer.node_id for one in progress.exchanges}
        untried = [one for one in candidates if one.agent.node_id not in tried]
        self._turn += 1
        chosen = _balancing.choose(
            _balancing.policy_of(cfg.balancing),
            untried or candidates,
            rng=self._rng,
            turn=self._turn,
        )
        return chosen.agent.node_id if chosen else None

    async def _attempt(
        self, progress: Progress, agent: identifiers.NodeId
    ) -> _exchanges.Exchange | None:
        """Make one attempt, with a second copy if it is slow and allowed."""
        first = await self._send(progress, agent)
        if first is None:
            return None
        window = self._window(progress)
        window.count_request()
        hedge_after_s = None
        if self._may_hedge(progress):
            hedge_after_s = window.hedge_after_s()
        exchange = await self._dispatch.race(
            first,
            progress.deadline,
            hedge_after_s,
            lambda: self._hedge(progress),
        )
        await self._give_up_others(progress, exchange)
        if exchange.started is not None:
            window.add(trio.current_time() - exchange.sent_at)
            return exchange
        self._emit_failure(progress, exchange)
        if exchange.ended:
            self.note_end(exchange)
        return None

    async def _send(
        self, progress: Progress, agent: identifiers.NodeId
    ) -> _exchanges.Exchange | None:
        progress.numbers += 1
        if not progress.exchanges:
            self._budget = _retry_budget.with_request(self._budget)
        sent = await self._dispatch.send(
            progress.req,
            progress.numbers,
            agent,
            progress.start_before,
            progress.finish_before,
        )
        if isinstance(sent, _verdicts.NotSent):
            progress.unsent.append(sent)
            self._book.refused(agent, trio.current_time(), leaving=False)
            return None
        progress.exchanges.append(sent)
        self._book.sent(agent)
        return sent

    async def _hedge(self, progress: Progress) -> _exchanges.Exchange | None:
        """Send a second copy to another agent, if the budget allows."""
        if not _retry_budget.allows(self._budget):
            return None
        now = trio.current_time()
        cfg = self._cfg()
        tried = {one.peer.node_id for one in progress.exchanges}
        candidates = [
            one
            for one in self._book.candidates(
                self._agents(), progress.req.service, cfg, now
            )
            if one.agent.node_id not in tried
        ]
        agent = self._choose(progress, candidates, cfg)
        if agent is None:
            return None
        self._budget = _retry_budget.with_extra(self._budget)
        self._window(progress).count_hedge()
        _metrics.SENDS.labels('hedge').inc()
        return await self._send(progress, agent)

    async def _give_up_others(
        self, progress: Progress, winner: _exchanges.Exchange
    ) -> None:
        for other in progress.exchanges:
            if other is not winner and not other.closed:
                await self._dispatch.cancel(other)
                self.note_end(other)

    def _emit_failure(
        self, progress: Progress, exchange: _exchanges.Exchange
    ) -> None:
        request = f'{exchange.request_id}#{exchange.attempt}'
        match exchange.verdict:
            case _verdicts.Refused(reason=reason):
                kind = events.REQUEST_REFUSED
            case (
                _verdicts.Lost(reason=reason) | _verdicts.Failed(reason=reason)
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

    def _may_go_on(self, progress: Progress) -> bool:
        """Decide on one more attempt, and pay for it."""
        allowed = _verdicts.may_retry(
            progress.verdicts,
            idempotent=progress.opts.idempotent,
            exclusive=bool(progress.opts.exclusive),
        )
        if not allowed or trio.current_time() >= progress.start_before:
            return False
        if not progress.exchanges:
            return True  # nothing was sent yet
        last = progress.exchanges[-1].verdict
        if (
            isinstance(last, _verdicts.Refused)
            and last.leaving
            and progress.free_retries < MAX_FREE_RETRIES
        ):
            progress.free_retries += 1
            return True
        if not _retry_budget.allows(self._budget):
            progress.stopped_because = 'the retry budget is spent'
            observability.emit(
                events.RETRY_BUDGET_SPENT,
                cause=progress.req.request_id,
                request=progress.req.request_id,
            )
            return False
        self._budget = _retry_budget.with_extra(self._budget)
        return True

    def _may_hedge(self, progress: Progress) -> bool:
        opts = progress.opts
        return (
            opts.idempotent
            and opts.concurrent
            and not opts.exclusive
            and not opts.key
        )

    def _window(self, progress: Progress) -> _hedging.LatencyWindow:
        service = progress.req.service
        window = self._latencies.get(service)
        if window is None:
            window = self._latencies[service] = _hedging.LatencyWindow()
        return window
