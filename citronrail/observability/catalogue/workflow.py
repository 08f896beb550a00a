"""Events of workflows (1700 to 1799)."""

from citronrail.observability import _events

COMMIT_RETRIED = _events.EventKind(
    1700, 'WARNING', 'commit failed, retrying: {reason}'
)
WATCH_LOST = _events.EventKind(
    1701, 'WARNING', 'watch of {prefix} lost: {reason}'
)
WATCH_REGAINED = _events.EventKind(1702, 'INFO', 'watch of {prefix} restored')
WATCH_COMPACTED = _events.EventKind(
    1703, 'INFO', 'watch history of {prefix} was compacted; listing again'
)
CONFIG_IN_FORCE = _events.EventKind(
    1704, 'INFO', 'configuration {version} in effect with {queues} queues'
)
CONFIG_UNREADABLE = _events.EventKind(
    1705, 'ERROR', 'configuration is invalid: {reason}'
)
EVACUATION_CHANGED = _events.EventKind(
    1706, 'INFO', 'evacuated data centres: {data_centres}'
)
LEADER_ELECTED = _events.EventKind(
    1710, 'INFO', 'this entry became the leader with token {token}'
)
LEADER_LOADED = _events.EventKind(
    1711,
    'INFO',
    'leader with token {token} loaded {jobs} jobs, {open} unfinished, '
    '{attempts} runs that may exist, in {seconds} s',
)
LEADER_ENDED = _events.EventKind(
    1712,
    'WARNING',
    'this entry ended its leadership with token {token}: {reason}',
)
LEADER_KNOWN = _events.EventKind(1713, 'INFO', 'leader is {node} at {address}')
ELECTION_FAILED = _events.EventKind(
    1714, 'WARNING', 'election or loading of jobs failed: {reason}'
)
STORE_LOST = _events.EventKind(
    1715,
    'WARNING',
    'the store is unreachable after {failures} failed calls',
)
STORE_REGAINED = _events.EventKind(1716, 'INFO', 'the store is reachable')
LEADERSHIP_RESUMED = _events.EventKind(
    1717,
    'INFO',
    'leader with token {token} resumed; its lease had lapsed for {seconds} s',
)
DEAD_CLAIM_ENDED = _events.EventKind(
    1718,
    'INFO',
    'ended lease {lease} of a dead process at the address of this entry',
)
JOB_FOUND_LATE = _events.EventKind(
    1719,
    'WARNING',
    'job {job} was found by a listing {seconds} s after its acceptance; '
    'neither the watch nor an entry had reported it',
)
JOB_ACCEPTED = _events.EventKind(
    1720, 'INFO', 'job {job} accepted on {queue} with {tasks} tasks'
)
JOB_REJECTED = _events.EventKind(
    1721, 'INFO', 'job {job} rejected on {queue}: {reason}'
)
JOB_OUTCOME_UNKNOWN = _events.EventKind(
    1722, 'WARNING', 'job {job} may or may not have been accepted: {reason}'
)
JOB_CANCEL = _events.EventKind(
    1723, 'INFO', 'cancellation of job {job}: {result}'
)
JOB_ENDED = _events.EventKind(
    1724, 'INFO', 'job {job} is {status} after {seconds} s'
)
REQUEST_RELAYED = _events.EventKind(
    1725, 'INFO', '{request} of job {job} relayed to {peer}: {verdict}'
)
RELAY_REFUSED = _events.EventKind(
    1726, 'WARNING', 'relay of {peer} refused: {reason}'
)
JOB_ABSENT = _events.EventKind(
    1727, 'INFO', 'no such job {job}: {source} has no record of it'
)
STATE_NOT_SHOWN = _events.EventKind(
    1728,
    'WARNING',
    'state of job {job} not shown after {seconds} s: {result}; '
    'leader {leader}',
)
REQUEST_LATE = _events.EventKind(
    1729,
    'WARNING',
    '{request} of job {job} answered {seconds} s after the deadline',
)
RUN_ASSIGNED = _events.EventKind(
    1730, 'INFO', 'run {task}#{run} assigned to {worker}: {reason}'
)
RUN_ENDED = _events.EventKind(
    1731, 'INFO', 'run {task}#{run} on {worker} ended: {how}'
)
RUN_REFUSED = _events.EventKind(
    1732, 'INFO', 'start of {task}#{run} refused by {worker}: {reason}'
)
RUN_DISCARDED = _events.EventKind(
    1733, 'WARNING', 'run {task}#{run} on {worker} discarded: {reason}'
)
RUN_STOPPED = _events.EventKind(
    1734, 'INFO', 'stopping {task}#{run} on {worker}: {reason}'
)
MISSING_RUN_STOPPED = _events.EventKind(
    1735,
    'INFO',
    'stopping {task}#{run} on {worker}: not listed {seconds} s after its '
    'order {number}; reports reflect order {settled}',
)
UNKNOWN_RUN_STOPPED = _events.EventKind(
    1736,
    'INFO',
    'stopping {task}#{run} on {worker}: this scheduler does not know the run',
)
REPORTS_LATE = _events.EventKind(
    1737,
    'WARNING',
    'reports of {workers} workers are up to {seconds} s old when they are '
    'applied',
)
COMMIT_REFUSED = _events.EventKind(
    1707,
    'ERROR',
    'the store refuses a commit of {writes} documents for good; they are '
    'committed in parts: {reason}',
)
DOCUMENT_REFUSED = _events.EventKind(
    1708,
    'ERROR',
    'the store refuses {key} with {size} bytes for good, it is not stored',
)
CHECKPOINTS_NOT_STORED = _events.EventKind(
    1739,
    'WARNING',
    'checkpoints of job {job} are not stored: its progress of {size} bytes '
    'would exceed the longest value',
)
WORKER_LIFE = _events.EventKind(
    1740, 'INFO', 'worker {worker} born {born} on {node} is {state}'
)
WORKER_UNREACHABLE = _events.EventKind(
    1741, 'WARNING', 'request to worker {worker} failed: {reason}'
)
WORKER_LEASES_EXPIRED = _events.EventKind(
    1742, 'WARNING', 'all leases of worker {worker} have expired'
)
WORKER_AVOIDED = _events.EventKind(
    1743, 'WARNING', 'worker {worker} is avoided for {seconds} s: {reason}'
)
START_UNANSWERED = _events.EventKind(
    1744, 'WARNING', 'start of {task}#{run} has an unknown outcome: {reason}'
)
ANNOUNCEMENT_REFUSED = _events.EventKind(
    1745, 'WARNING', 'announcement refused: {reason}'
)
INCARNATION_REFUSED = _events.EventKind(
    1738,
    'WARNING',
    'worker {worker} born {born} was announced, but is not the worker of this '
    'host: {reason}',
)
ORDERS_REFUSED = _events.EventKind(
    1746,
    'WARNING',
    'orders from {peer} with stale token {token} refused: {reason}',
)
DOCUMENT_UNREADABLE = _events.EventKind(
    1747, 'ERROR', 'stored item {key} is invalid: {reason}'
)
WORKER_LOST = _events.EventKind(
    1748,
    'WARNING',
    'worker {worker} born {born} on {node} was lost with {runs} runs, '
    'the newest first: {newest}',
)
TASK_SUSPECTED = _events.EventKind(
    1749,
    'WARNING',
    'run {task}#{run} was new on worker {worker} when it was lost, {alone}; '
    '{crashes} crashes in all',
)
TASK_GIVEN_UP = _events.EventKind(
    1750, 'ERROR', 'task {task} is given up, it crashed workers {workers}'
)
TASK_CLEARED = _events.EventKind(
    1751,
    'INFO',
    'task {task} is not suspected any more after {crashes} crashes, its run '
    '{run} lasted on worker {worker}',
)
SUSPECT_PLACED = _events.EventKind(
    1752,
    'INFO',
    'suspected task {task} starts on {node} after {seconds} s, {alone}; the '
    'host was lost {losses} times lately',
)
CRASH_UNCLEAR = _events.EventKind(
    1753,
    'INFO',
    'loss of worker {worker} on {node} points to none of its {runs} new runs: '
    '{reason}',
)
JOB_FAILED = _events.EventKind(
    1754,
    'WARNING',
    'job {job} is shown as failed for its {evidence}: {detail}',
)
LISTENER_FAILED = _events.EventKind(
    1755, 'ERROR', 'listener of {prefix} failed at {key}: {reason}'
)
PEER_ADDRESS_REFUSED = _events.EventKind(
    1756, 'ERROR', 'no connection to {address}, which is no peer address'
)
WAITS_WITH_ROOM = _events.EventKind(
    1770,
    'WARNING',
    'job {job} has had nothing running for {seconds} s, {used}% of its '
    'service are in use, and task {task} has room twice over: {reason}',
)
OVERDUE_START = _events.EventKind(
    1771,
    'INFO',
    'run {task}#{run} starts on {worker} at pace {pace} since nothing ran for '
    '{seconds} s; what kept it waiting: {reason}',
)
QUEUE_SUMMARY = _events.EventKind(
    1772,
    'INFO',
    'queue {queue}: {jobs} unfinished jobs; {waiting} tasks wait ({reasons}), '
    'the longest in step {longest} for {seconds} s ({reason}); {unlisted} '
    'runs are not listed yet; {running} run at {pace}% on average, {held} at '
    '0; stopped in the last second: {stopped}',
)
BEST_EFFORT_LIMITED = _events.EventKind(
    1790,
    'INFO',
    'best-effort run {task}#{run} on {worker} at pace {pace} is one of {runs} '
    'and too many beside the serving tasks; its stop loses {loss} s',
)
SHRUNK_WORKER_STOP = _events.EventKind(
    1791,
    'INFO',
    'run {task}#{run} is stopped as worker {worker} lacks {cpu} CPU and '
    '{memory} MB; its stop loses {loss} s',
)
RUN_PREEMPTED = _events.EventKind(
    1792,
    'INFO',
    'run {task}#{run} on {worker} is preempted for {waiting}; '
    'its stop loses {loss} s',
)
JOB_NOT_LOADED = _events.EventKind(
    1762,
    'WARNING',
    'job {job} stays in the store, one of {jobs}: it takes {size} bytes of '
    'memory beside {used} in use, of {limit}',
)
JOB_DEFERRED = _events.EventKind(
    1760,
    'INFO',
    'job {job} on {queue} with {work} core-seconds is deferred, one of '
    '{jobs}, so that others end in time',
)
JOB_REJECTED_FOR_OVERLOAD = _events.EventKind(
    1761,
    'INFO',
    'job {job} rejected on {queue}: {backlog} core-seconds are ahead at '
    '{rate} a second; retry after {seconds} s',
)
