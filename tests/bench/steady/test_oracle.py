"""The oracle counts each planted violation, and computes the ceiling."""

from beryltrack_bench.steady.oracle import STALENESS, Oracle
from beryltrack_bench.steady.records import ReadRecord, RunRecord, Trace, WriteRecord

READ = ReadRecord("s", 9.9, 10.0, 10.1, 1.0, 5, True)
WRITES = [WriteRecord("s", 4, 5.0, 5.1), WriteRecord("t", 6, 9.5, 9.6)]


def _replica(*reached):
    trace = Trace()
    for at, offset in reached:
        trace.add(at, offset)
    return trace


def _oracle(*reads, replicas=()):
    named = {str(number): trace for number, trace in enumerate(replicas)}
    return Oracle(RunRecord(list(reads), WRITES, [], named, []))


def test_correct_reads_are_no_violation():
    assert not any(_oracle(READ).count_violations().values())


def test_read_that_misses_an_own_write_is_counted():
    read = READ._replace(offset=3, max_age=9.0)
    counts = _oracle(read).count_violations()
    assert (counts["read_your_writes"], counts[STALENESS]) == (1, 0)


def test_read_that_is_too_stale_is_counted():
    read = READ._replace(session="u", max_age=0.1)
    counts = _oracle(read).count_violations()
    assert (counts["read_your_writes"], counts[STALENESS]) == (0, 1)


def test_ceiling_counts_reads_that_a_replica_could_serve_in_time():
    late = _replica((1.0, 3), (10.2, 4))
    assert _oracle(READ, replicas=[late]).compute_ceiling(0.1) == 0.0
    assert _oracle(READ, replicas=[late]).compute_ceiling(0.3) == 1.0
    assert _oracle(READ, replicas=[late, _replica((9.0, 4))]).compute_ceiling(0) == 1.0


def test_trace_returns_the_offset_at_a_time_and_the_time_of_an_offset():
    trace = _replica((1.0, 3), (2.0, 3), (4.0, 7))
    assert [trace.get_offset(at) for at in (0.5, 1.0, 3.9, 4.0)] == [0, 3, 3, 7]
    assert [trace.get_time(offset) for offset in (1, 3, 4, 8)] == [
        1,
        1,
        4,
        float("inf"),
    ]
