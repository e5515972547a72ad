"""Rewriting of extended-protocol batches for pooled target connections."""

from pygwire import messages as m

from beryltrack.callers.extended import apply_effects, build_extended, plan_extended
from beryltrack.callers.reader import RequestReader
from beryltrack.callers.statements import (
    MAX_STATEMENTS,
    StatementTable,
    make_statement,
    run_deallocate,
)
from beryltrack.connections.prepared import PreparedStatements
from beryltrack.wire.messages import Edit

TEXT = "SELECT $1"
STATEMENT = make_statement(TEXT, (25,))
NAME = STATEMENT.target_name
PARSE = m.Parse("s", TEXT, [25])
BIND = m.Bind("", "s", [0], [b"x"], [1])
RENAMED = m.Bind("", NAME, [0], [b"x"], [1])
EXECUTE = m.Execute("", 0)


def make_table(**statements):
    table = StatementTable()
    for name, statement in statements.items():
        table.set(name, statement)
    return table


def run(messages, table, names, completed=None):
    """Build a batch and apply its completion; return the plan and built batch."""
    reader = RequestReader()
    reader.feed(b"".join(x.to_wire() for x in [*messages, m.Sync()]))
    plan = plan_extended(reader.read_unit(), table)
    built = build_extended(plan, names)
    count = len(built.effects) if completed is None else completed
    apply_effects(built.effects, count, names, table)
    return plan, built


def join(*messages):
    return b"".join(x.to_wire() for x in [*messages, m.Sync()])


def test_a_new_statement_is_prepared_under_the_shared_name():
    table, names = StatementTable(), PreparedStatements()
    plan, built = run([PARSE, BIND, EXECUTE], table, names)
    assert built.wire == join(m.Parse(NAME, TEXT, [25]), RENAMED, EXECUTE)
    assert built.edits == (Edit.PASS,)
    assert plan.executed == (TEXT,)
    assert NAME in names
    assert table.get("s") == STATEMENT


def test_a_statement_of_an_earlier_unit_is_prepared_where_missing():
    names = PreparedStatements()
    _, built = run([BIND, EXECUTE], make_table(s=STATEMENT), names)
    assert built.wire == join(m.Parse(NAME, TEXT, [25]), RENAMED, EXECUTE)
    assert built.edits == (Edit.DROP,)
    _, built = run([BIND, EXECUTE], make_table(s=STATEMENT), names)
    assert built.wire == join(RENAMED, EXECUTE)


def test_a_statement_that_the_target_has_is_not_parsed_again():
    names, table = PreparedStatements(), StatementTable()
    names.touch(NAME)
    plan, built = run([PARSE], table, names)
    assert built.wire == join(m.Close("S", "beryltrack_none"))
    assert built.edits == (Edit.AS_PARSE_COMPLETE,)
    assert table.get("s") == STATEMENT
    assert (plan.executed, plan.parsed) == ((), (TEXT,))


def test_a_parse_that_fails_leaves_no_statement():
    table, names = StatementTable(), PreparedStatements()
    run([PARSE], table, names, completed=0)
    assert table.get("s") is None
    assert NAME not in names


def test_the_unnamed_statement_of_an_earlier_unit_is_sent_again():
    table, names = StatementTable(), PreparedStatements()
    bind = m.Bind("", "", [], [b"x"], [])
    run([m.Parse("", TEXT, [25])], table, names)
    _, built = run([bind, EXECUTE], table, names)
    assert built.wire == join(m.Parse("", TEXT, [25]), bind, EXECUTE)
    assert built.edits == (Edit.DROP,)


def test_an_unknown_statement_is_forwarded_unchanged():
    plan, built = run([BIND, EXECUTE], StatementTable(), PreparedStatements())
    assert built.wire == join(BIND, EXECUTE)
    assert plan.executed == ()


def test_a_close_keeps_the_shared_statement():
    names, table = PreparedStatements(), make_table(s=STATEMENT)
    names.touch(NAME)
    _, built = run([m.Close("S", "s")], table, names)
    assert built.edits == (Edit.PASS,)
    assert table.get("s") is None
    assert NAME in names


def test_a_portal_of_an_earlier_unit_is_run_until_the_transaction_ends():
    table, names = make_table(s=STATEMENT), PreparedStatements()
    run([m.Bind("p", "s", [], [b"x"], [])], table, names)
    again = m.Execute("p", 10)
    assert run([again], table, names)[0].executed == (TEXT,)
    table.end_transaction()
    assert run([again], table, names)[0].executed == ()


def test_the_oldest_statements_are_closed_beyond_the_limit():
    names, table = PreparedStatements(limit=2), StatementTable()
    others = [make_statement(f"SELECT {number}", ()) for number in range(2)]
    for other in others:
        names.touch(other.target_name)
    _, built = run([PARSE], table, names)
    oldest = others[0].target_name
    assert built.wire == join(m.Close("S", oldest), m.Parse(NAME, TEXT, [25]))
    assert built.edits == (Edit.DROP, Edit.PASS)
    assert len(names) == 2
    assert oldest not in names


def test_stale_statements_are_closed_and_prepared_anew():
    names, table = PreparedStatements(), make_table(s=STATEMENT)
    names.touch(NAME)
    names.expire()
    _, built = run([BIND, EXECUTE], table, names)
    parse = m.Parse(NAME, TEXT, [25])
    assert built.wire == join(m.Close("S", NAME), parse, RENAMED, EXECUTE)
    assert built.edits == (Edit.DROP, Edit.DROP)
    assert NAME in names


def test_too_many_statements_are_refused():
    table = StatementTable()
    for number in range(MAX_STATEMENTS):
        table.set(str(number), STATEMENT)
    assert run([PARSE], table, PreparedStatements())[0].error.sqlstate == "54000"
    assert run([BIND], table, PreparedStatements())[0].error is None


def test_deallocate():
    table = make_table(s=STATEMENT, T=STATEMENT)
    assert run_deallocate("DEALLOCATE s", table).tag == "DEALLOCATE"
    assert run_deallocate("deallocate prepare S", table).sqlstate == "26000"
    assert run_deallocate('DEALLOCATE "T";', table).tag == "DEALLOCATE"
    assert table.get("T") is None
    table.set("s", STATEMENT)
    assert run_deallocate("DISCARD ALL", table).tag == "DISCARD ALL"
    assert table.get("s") is None
    assert run_deallocate("SELECT 'DEALLOCATE ALL'", table) is None
