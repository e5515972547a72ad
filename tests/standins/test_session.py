"""Transactions, locks and slots of the stand-in databases, with a test clock."""

from twisted.internet.defer import CancelledError

from tests.standins.clock import ClockGroup, execute, get_error, get_state


def make_group(**options):
    group = ClockGroup(**options)
    execute(group.make_session(), "CREATE TABLE t (id INTEGER PRIMARY KEY)")
    return group


def test_a_second_writer_waits_until_the_lock_timeout():
    group = make_group()
    first, second = group.make_session(), group.make_session()
    execute(first, "BEGIN")
    execute(first, "INSERT INTO t VALUES (1)")
    waiting = execute(second, "INSERT INTO t VALUES (2)")
    group.advance(4.9)
    assert not waiting.called
    group.advance(0.2)
    assert get_state(waiting) == "55P03"


def test_a_read_only_transaction_blocks_no_writer():
    group = make_group()
    reader = group.make_session()
    execute(reader, "BEGIN")
    execute(reader, "SELECT * FROM t")
    assert execute(group.make_session(), "INSERT INTO t VALUES (1)").called


def test_a_statement_waits_for_a_slot():
    group = make_group(slots=1)
    first = execute(group.make_session(), "SELECT pg_sleep(1)")
    second = execute(group.make_session(), "SELECT pg_sleep($1)", (1.0,))
    group.advance(1.05)
    assert first.called and not second.called
    group.advance(1.0)
    assert second.called


def test_a_closed_session_releases_the_write_lock():
    group = make_group()
    lost = group.make_session()
    execute(lost, "BEGIN")
    execute(lost, "INSERT INTO t VALUES (1)")
    lost.close()
    assert execute(group.make_session(), "INSERT INTO t VALUES (1)").called
    assert group.count_rows(0) == 1


def test_a_rollback_to_a_savepoint_is_replicated():
    group = make_group()
    session = group.make_session()
    for text in (
        "BEGIN",
        "INSERT INTO t VALUES (1)",
        "SAVEPOINT s",
        "INSERT INTO t VALUES (2)",
        "ROLLBACK TO SAVEPOINT s",
        "INSERT INTO t VALUES (3)",
        "COMMIT",
    ):
        execute(session, text)
    group.advance()
    assert [group.count_rows(number) for number in range(3)] == [2, 2, 2]


def test_a_commit_on_a_replaced_primary_is_refused_and_rolled_back():
    group = make_group()
    session = group.make_session()
    execute(session, "BEGIN")
    execute(session, "INSERT INTO t VALUES (1)")
    group.advance()
    group.fail_over()
    group.advance()
    assert get_state(execute(session, "COMMIT")) == "25006"
    assert [group.count_rows(number) for number in range(3)] == [0, 0, 0]


def test_stopped_writes_resume_without_a_new_primary():
    group = make_group()
    execute(group.make_session(), "SELECT * FROM beryltrack_stop_writes(1)")
    refused = execute(group.make_session(), "INSERT INTO t VALUES (1)")
    assert get_state(refused) == "25006"
    group.advance(2.1)
    assert execute(group.make_session(), "INSERT INTO t VALUES (1)").called


def test_the_time_and_random_numbers_are_the_same_on_replicas():
    group = make_group()
    execute(group.make_session(), "CREATE TABLE r (x, at DEFAULT now())")
    execute(group.make_session(), "INSERT INTO r (x) VALUES (random())")
    group.advance()
    rows = [
        list(execute(group.make_session(number), "SELECT * FROM r").result.rows)
        for number in range(3)
    ]
    assert rows[0] == rows[1] == rows[2]


def test_a_client_that_disconnects_from_a_frozen_database_leaves_no_lock():
    group = make_group()
    first, second = group.make_session(), group.make_session()
    execute(first, "BEGIN")
    execute(first, "INSERT INTO t VALUES (1)")
    waiting = execute(second, "INSERT INTO t VALUES (2)")
    group.databases[0].frozen = True
    first.close()
    second.close()
    group.advance()
    group.databases[0].frozen = False
    group.advance()
    assert isinstance(get_error(waiting), CancelledError)
    assert execute(group.make_session(), "INSERT INTO t VALUES (3)").called
    assert group.count_rows(0) == 1


def test_the_log_contains_transactions_in_commit_order():
    group = make_group()
    execute(group.make_session(), "INSERT INTO t VALUES (1)")
    first, second = group.make_session(), group.make_session()
    execute(first, "BEGIN")
    execute(first, "UPDATE t SET id = id + 1")
    waiting = execute(second, "UPDATE t SET id = id * 10")
    execute(first, "COMMIT")
    assert waiting.called
    group.advance()
    for number in range(3):
        rows = execute(group.make_session(number), "SELECT id FROM t").result.rows
        assert list(rows) == [(20,)]
