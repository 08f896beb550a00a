"""Idempotency and exclusive key records of one range."""

import collections
import collections.abc
import dataclasses
import heapq

from citronrail.coordination import _key_age
from citronrail.coordination import _key_records as records
from citronrail.coordination import _peer_clock
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail import observability
from citronrail.observability.catalogue import coordination as events


class IdempotencyKeeper:
    """Decides which requests of a range may run; no method blocks.

    :param range_id: the range.
    :param limits: size and time limits.
    :param taken_over: moment of the takeover from an owner whose records are
        lost; None if there was no such owner.
    """

    def __init__(
        self,
        range_id: identifiers.RangeId,
        limits: records.KeeperLimits | None = None,
        taken_over: _key_age.Moment | None = None,
    ) -> None:
        self.range_id = range_id
        self._limits = limits or records.KeeperLimits()
        self._records: dict[tuple[str, str], records.Record] = {}
        self._expiry_heap: list[tuple[float, str]] = []
        self._exclusive_heap: list[tuple[float, str]] = []
        self._body_sizes: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._stored_bytes = 0
        self._sealed = False
        self._unknown_before = float('-inf')
        self._exclusive_blocked_until = float('-inf')
        # Bounds that the former owner had itself inherited or assumed.
        self._inherited_unknown_before = float('-inf')
        self._inherited_blocked_until = float('-inf')
        if taken_over is not None:
            self._assume_records_lost(taken_over)

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    @property
    def sealed(self) -> bool:
        """Whether the records were handed over to a successor."""
        return self._sealed

    def reserve(
        self,
        msg: messages.ReserveKey,
        now: _key_age.Moment,
        owned_until: float,
    ) -> records.Reservation:
        """Decide whether a request may run.

        :param msg: the reservation; ``finish_before`` on the local clock.
        :param now: current moment.
        :param owned_until: local time until which the range is owned.
        :returns: the verdict, with the stored answer if any.
        """
        self._expire(now)
        start_before = min(owned_until, msg.finish_before)
        if self._sealed or now.local >= owned_until:
            return records.refused(
                msg, 'not owner', 'the range is owned elsewhere'
            )
        if now.local >= msg.finish_before:
            return records.refused(msg, 'not run', 'the deadline has passed')
        if msg.key:
            reservation = self._check_key(msg, now)
            if reservation is not None:
                return reservation
        if msg.exclusive:
            reservation = self._check_exclusive(msg, now)
            if reservation is not None:
                return reservation
        new_records = bool(msg.key) + bool(msg.exclusive)
        if len(self._records) + new_records > self._limits.max_records:
            observability.emit(events.KEY_TABLE_FULL, range_id=self.range_id)
            return records.refused(msg, 'not run', 'the key table is full')
        self._grant(msg, start_before)
        return records.granted(msg, start_before)

    def complete(
        self,
        msg: messages.CompleteKey,
        body: bytes,
        now: _key_age.Moment,
    ) -> bool:
        """Record the outcome of a granted request.

        :param msg: the outcome.
        :param body: body of the answer, b'' if it is not to be stored.
        :param now: current moment.
        :returns: False if the records were handed over, so that the sender
            must report to the new owner.
        """
        if self._sealed:
            return False
        self._expire(now)
        if msg.key:
            self._complete_key(msg, body)
        if msg.exclusive and msg.ended:
            record = self._records.get((records.EXCLUSIVE, msg.exclusive))
            if record is not None and record.request_id == msg.request_id:
                del self._records[records.EXCLUSIVE, msg.exclusive]
        return True

    def release(
        self, key: str, exclusive: str, request_id: identifiers.RequestId
    ) -> None:
        """Drop the grant of a request that neither ran nor will run.

        :param key: idempotency key or ''.
        :param exclusive: exclusive key or ''.
        :param request_id: the request that held the grant.
        """
        for record_key in (
            (records.IDEMPOTENCY, key),
            (records.EXCLUSIVE, exclusive),
        ):
            record = self._records.get(record_key)
            if (
                record is not None
                and record.request_id == request_id
                and record.verdict != 'done'
            ):
                del self._records[record_key]

    def handover(self, now: _key_age.Moment) -> tuple[messages.KeyRecord, ...]:
        """Stop granting and return all records for the successor.

        :param now: current moment.
        :returns: the records, with times relative to ``now``.
        """
        self._expire(now)
        self._sealed = True
        kept_records = tuple(
            records.to_message(record_key, record, now)
            for record_key, record in self._records.items()
        )
        return (*self._takeover_record(now), *kept_records)

    def resume(self) -> None:
        """Resume granting after the successor refused a handover."""
        self._sealed = False

    def restore(
        self,
        handed: collections.abc.Iterable[messages.KeyRecord],
        now: _key_age.Moment,
        complete: bool,
    ) -> None:
        """Import records from the former owner.

        :param handed: records that were handed over.
        :param now: current moment.
        :param complete: whether all records have arrived, so that a key
            without a record is new.
        """
        for message in handed:
            record_key = (message.kind, message.key)
            if message.kind == records.TAKEOVER:
                self._inherit(message, now)
            elif record_key not in self._records:
                self._put(record_key, records.from_message(message, now))
        if complete:
            self._unknown_before = self._inherited_unknown_before
            self._exclusive_blocked_until = self._inherited_blocked_until

    def _assume_records_lost(self, taken_over: _key_age.Moment) -> None:
        limits = self._limits
        # The former owner accepted keys up to the margin in the future, and
        # its Unix clock may have been ahead of this one.
        self._unknown_before = (
            taken_over.unix + limits.future_margin_s + limits.entry_skew_s
        )
        self._exclusive_blocked_until = (
            taken_over.local + _peer_clock.lengthened(limits.takeover_hold_s)
        )

    def _takeover_record(
        self, now: _key_age.Moment
    ) -> tuple[messages.KeyRecord, ...]:
        """Return the bounds of an earlier takeover, while they matter."""
        lifetime_s = self._limits.lifetime_s + self._limits.entry_skew_s
        if (
            self._unknown_before < now.unix - lifetime_s
            and self._exclusive_blocked_until <= now.local
        ):
            return ()
        return (
            messages.KeyRecord(
                '',
                records.TAKEOVER,
                identifiers.RequestId(''),
                '',
                'unknown',
                max(self._unknown_before - now.unix, -2 * lifetime_s),
                run_ends_in_s=max(
                    0.0, self._exclusive_blocked_until - now.local
                ),
            ),
        )

    def _inherit(
        self, message: messages.KeyRecord, now: _key_age.Moment
    ) -> None:
        self._inherited_unknown_before = max(
            self._inherited_unknown_before,
            now.unix + message.expires_in_s + self._limits.entry_skew_s,
        )
        self._inherited_blocked_until = max(
            self._inherited_blocked_until,
            now.local + _peer_clock.lengthened(message.run_ends_in_s),
        )

    def _check_key(
        self, msg: messages.ReserveKey, now: _key_age.Moment
    ) -> records.Reservation | None:
        record = self._records.get((records.IDEMPOTENCY, msg.key))
        if record is not None:
            return self._answer_known_key(msg, record, now)
        created_at = _key_age.born_at(msg.key)
        if created_at is not None and created_at < self._unknown_before:
            return records.refused(
                msg,
                'unknown',
                'the range was taken over since the key',
            )
        refusal = _key_age.age_refusal(
            msg.key,
            now.unix,
            self._limits.lifetime_s,
            self._limits.future_margin_s,
        )
        if refusal is not None:
            return records.refused(msg, refusal.verdict, refusal.reason)
        return None

    def _answer_known_key(
        self,
        msg: messages.ReserveKey,
        record: records.Record,
        now: _key_age.Moment,
    ) -> records.Reservation:
        """Answer a reservation of a key that has a record."""
        if record.fingerprint != msg.fingerprint:
            return records.refused(
                msg, 'conflict', 'the key was used for another request'
            )
        match record.verdict:
            case 'done':
                return records.repeated(msg, record.answer)
            case 'in progress' if record.request_id == msg.request_id:
                # The reply was lost. Granting again is safe, because the entry
                # runs a request only once.
                return records.granted(msg, record.start_before)
            case 'in progress' if now.local < record.run_ends_at:
                return records.refused(
                    msg, 'in progress', 'the request is running'
                )
            case _:
                return records.refused(
                    msg, 'unknown', 'an earlier run was cut off'
                )

    def _check_exclusive(
        self, msg: messages.ReserveKey, now: _key_age.Moment
    ) -> records.Reservation | None:
        record = self._records.get((records.EXCLUSIVE, msg.exclusive))
        if record is not None and record.request_id != msg.request_id:
            return records.refused(
                msg, 'in progress', 'the exclusive key is held'
            )
        if record is not None:
            return records.granted(msg, record.start_before)
        if now.local < self._exclusive_blocked_until:
            return records.refused(
                msg,
                'not run',
                'a run granted before the takeover may last',
            )
        return None

    def _grant(self, msg: messages.ReserveKey, start_before: float) -> None:
        limits = self._limits
        record = records.Record(
            records.IDEMPOTENCY,
            msg.request_id,
            msg.fingerprint,
            'in progress',
            start_before,
            start_before + _peer_clock.lengthened(msg.hold_s),
        )
        if msg.key:
            # Kept longer than the key is accepted, so that a successor whose
            # Unix clock is behind has a record of every key it accepts.
            forget_unix = (
                (_key_age.born_at(msg.key) or 0.0)
                + limits.lifetime_s
                + limits.entry_skew_s
            )
            self._put(
                (records.IDEMPOTENCY, msg.key),
                dataclasses.replace(record, forget_unix=forget_unix),
            )
        if msg.exclusive:
            self._put(
                (records.EXCLUSIVE, msg.exclusive),
                dataclasses.replace(record, kind=records.EXCLUSIVE),
            )

    def _complete_key(self, msg: messages.CompleteKey, body: bytes) -> None:
        record_key = (records.IDEMPOTENCY, msg.key)
        record = self._records.get(record_key)
        if (
            record is None
            or record.request_id != msg.request_id
            or record.verdict == 'done'
        ):
            return
        match msg.outcome:
            case outcomes.Outcome.NOT_RUN if msg.ended:
                self.release(msg.key, '', msg.request_id)
            case outcomes.Outcome.DONE:
                answer = self._keep_answer(msg, body)
                self._records[record_key] = dataclasses.replace(
                    record, verdict='done', answer=answer
                )
            case _:
                self._records[record_key] = dataclasses.replace(
                    record, verdict='unknown'
                )

    def _keep_answer(
        self, msg: messages.CompleteKey, body: bytes
    ) -> records.Answer:
        if msg.status == 0 or len(body) > self._limits.max_answer_bytes:
            return records.Answer()
        self._reserve_body_space(msg.key, len(body))
        return records.Answer(msg.status, msg.headers, body, kept=True)

    def _reserve_body_space(self, key: str, size: int) -> None:
        """Reserve space for an answer by dropping the oldest answers."""
        self._body_sizes[key] = size
        self._stored_bytes += size
        while self._stored_bytes > self._limits.max_stored_bytes:
            oldest, freed = self._body_sizes.popitem(last=False)
            self._stored_bytes -= freed
            record_key = (records.IDEMPOTENCY, oldest)
            record = self._records.get(record_key)
            if record is not None:
                self._records[record_key] = dataclasses.replace(
                    record, answer=records.Answer()
                )

    def _put(
        self, record_key: tuple[str, str], record: records.Record
    ) -> None:
        self._records[record_key] = record
        if record.kind == records.IDEMPOTENCY:
            heapq.heappush(
                self._expiry_heap, (record.forget_unix, record_key[1])
            )
            if record.answer.kept:
                self._reserve_body_space(
                    record_key[1], len(record.answer.body)
                )
        else:
            heapq.heappush(
                self._exclusive_heap, (record.run_ends_at, record_key[1])
            )

    def _expire(self, now: _key_age.Moment) -> None:
        while self._expiry_heap and self._expiry_heap[0][0] < now.unix:
            due_at, key = heapq.heappop(self._expiry_heap)
            record = self._records.get((records.IDEMPOTENCY, key))
            if record is not None and record.forget_unix <= due_at:
                del self._records[records.IDEMPOTENCY, key]
                self._stored_bytes -= self._body_sizes.pop(key, 0)
        while self._exclusive_heap and self._exclusive_heap[0][0] <= now.local:
            due_at, key = heapq.heappop(self._exclusive_heap)
            record = self._records.get((records.EXCLUSIVE, key))
            if record is not None and record.run_ends_at <= due_at:
                del self._records[records.EXCLUSIVE, key]
