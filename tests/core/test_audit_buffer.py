"""Tests that the audit buffer is bounded and counts dropped records."""

from camphorlink.internal.core.process.audit_buffer import (
    MAX_BATCH_RECORDS,
    MAX_BUFFERED_RECORDS,
    MAX_RECENT_PER_SUBMISSION,
    MAX_RECENT_SUBMISSIONS,
    AuditBuffer,
)


def drain(audit):
    records = []
    while batch := audit.take_batch(0):
        assert len(batch) <= MAX_BATCH_RECORDS
        records.extend(batch)
    return records


def test_records_come_out_in_order_and_only_once():
    audit = AuditBuffer('home')
    for number in range(3 * MAX_BATCH_RECORDS):
        audit.record('outcome', number, {'submission_id': f's{number}'})
    sequences = [entry['sequence'] for entry in drain(audit)]
    assert sequences == list(range(1, 3 * MAX_BATCH_RECORDS + 1))


def test_a_batch_that_failed_to_append_is_retried_first():
    audit = AuditBuffer('home')
    for number in range(MAX_BATCH_RECORDS + 5):
        audit.record('outcome', number, {})
    audit.put_back(audit.take_batch(0))
    assert [entry['sequence'] for entry in drain(audit)] == list(
        range(1, MAX_BATCH_RECORDS + 6),
    )


def test_dropped_records_are_counted_in_the_stream():
    audit = AuditBuffer('home')
    for number in range(MAX_BUFFERED_RECORDS + 30):
        audit.record('outcome', number, {})
    batch = audit.take_batch(0)
    for number in range(MAX_BATCH_RECORDS):
        audit.record('outcome', number, {})
    audit.put_back(batch)
    records = drain(audit)
    reported = sum(entry.get('count', 0) for entry in records)
    kept = sum(entry['kind'] == 'outcome' for entry in records)
    assert kept + reported == MAX_BUFFERED_RECORDS + 30 + MAX_BATCH_RECORDS
    assert audit.dropped == reported


def test_recent_records_of_a_submission_can_be_found():
    audit = AuditBuffer('home')
    audit.record('outcome', 1, {'submission_id': 'a', 'reason': 'x'})
    audit.record('outcome', 2, {'submission_id': 'b'})
    drain(audit)
    assert [entry['reason'] for entry in audit.find('a')] == ['x']


def test_routine_records_are_queued_only_for_a_failed_submission():
    audit = AuditBuffer('home')
    audit.record_routine('queued', 1, {'submission_id': 'good'})
    audit.record_routine('queued', 2, {'submission_id': 'bad'})
    audit.record_routine('retried', 3, {'submission_id': 'bad'})
    assert drain(audit) == []
    audit.queue_routine('bad')
    audit.queue_routine('bad')
    assert [entry['kind'] for entry in drain(audit)] == ['queued', 'retried']
    assert [entry['kind'] for entry in audit.find('good')] == ['queued']


def test_recent_records_are_bounded():
    audit = AuditBuffer('home')
    for number in range(MAX_RECENT_SUBMISSIONS + 10):
        for _again in range(MAX_RECENT_PER_SUBMISSION + 5):
            audit.record_routine('queued', 0, {'submission_id': f's{number}'})
    assert audit.find('s0') == []
    assert (
        len(audit.find(f's{MAX_RECENT_SUBMISSIONS}'))
        == MAX_RECENT_PER_SUBMISSION
    )
