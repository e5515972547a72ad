"""Classification of statements."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from beryltrack.routing.messages import StatementKind
from beryltrack.routing.statements import (
    MAX_TEXT_LENGTH,
    classify,
    strip_literals,
)

READS = """
select 1
SELECT "u"."id" FROM "u" WHERE "u"."name" = 'x' LIMIT 21
select count(*) filter (where a > 1) over (partition by b order by (c)) from t
select * from t left join lateral (select 1) x on true where a in (1, 2)
with recursive t(n) as (values (1) union all select n + 1 from t) select max(n) from t
select * from unnest($1::int[]) as u(a, b)
select * from t where a in ($1,$2,$3)
select a::numeric(10,2), cast(b as varchar(3)), pg_catalog.lower(c) from t
values (1), (2)
table t
(select 1) union (select 2)
explain insert_log
explain (verbose, costs off) select * from t
select e'\\'; delete from t; --'
select $$ for update $$
select 1; select 2;
select 'nextval(1) for update into'
""".strip().splitlines()
READS.remove("explain insert_log")

WRITES = """
insert into t values (1)
update t set a = 1
delete from t
merge into a using b on a.x = b.x when matched then delete
truncate t
select * from t for update
select * from t for no key update
select * from t for share nowait
select * from t for key share
select * into x from t
with x as (insert into t values (1) returning 1) select * from x
with x as (select 1) delete from t
with x as materialized (update t set a = 1 returning 1) table x
select nextval('s')
select "nextval"('s')
select pg_catalog.setval('s', 1)
select lower(nextval('s')::text)
select nextval/* x */('s')
select NextVal ('s')
select other.lower('x')
select unknown_function()
select "any"(1)
select case when over(1) then 1 end
select set_config('a', 'b', true)
select pg_advisory_xact_lock(1)
select lo_import('x')
select dblink('x', 'delete from t')
select pg_notify('a', 'b')
explain analyze insert into t values (1)
explain (analyze) delete from t
explain (analyze true) select nextval('s')
call f()
do $$ begin end $$
lock table t
declare c cursor for select 1
fetch 1 from c
create table t (a int)
create temp table t (a int) on commit drop
select 1; delete from t
begin; insert into t values (1); commit
select a$x$; delete from t; --$x$
select ';' /* /* */ ; */ ; delete from t
select 1 from
not sql at all
'
""".strip().splitlines()

OTHERS = {
    StatementKind.EMPTY: ["", ";", " -- nothing\n", "/* nothing */"],
    StatementKind.BEGIN: [
        "begin",
        "START TRANSACTION",
        "begin read write",
        "begin isolation level repeatable read",
        "begin; select 1",
    ],
    StatementKind.BEGIN_READ_ONLY: [
        "begin read only",
        "start transaction isolation level serializable, read only",
    ],
    StatementKind.COMMIT: ["commit", "END", "commit and no chain", "select 1; commit"],
    StatementKind.ROLLBACK: ["rollback", "abort work"],
    StatementKind.SAVEPOINT: ["savepoint a", "release a", "rollback to savepoint a"],
    StatementKind.TRANSACTION_SET: ["set local a = 1", "set transaction read only"],
    StatementKind.SESSION_SET: ["set a = 1", "set session a to 'b'", "reset all"],
    StatementKind.SHOW: ["show beryltrack.session"],
    StatementKind.DEALLOCATE: ["deallocate all"],
    StatementKind.DISCARD: ["discard all"],
    StatementKind.UNSUPPORTED: [
        "copy t from stdin",
        "listen a",
        "unlisten *",
        "notify a, 'b'",
        "prepare a as select 1",
        "execute a(1)",
        "prepare transaction 'a'",
        "commit prepared 'a'",
        "commit and chain",
        "create temp table t (a int)",
        "create local temporary table t (a int)",
        "select * into temp x from t",
        "select pg_advisory_lock(1)",
        "insert into t select pg_try_advisory_lock(1)",
        "select set_config('a', 'b', false)",
        "select set_config('a', 'b', $1)",
        "declare c cursor with hold for select 1",
        "set role a",
        "set session characteristics as transaction read only",
        "set a = 1; select 1",
        "commit; select 1",
        "begin; listen a",
    ],
}


@pytest.mark.parametrize("text", READS)
def test_statements_that_provably_read_are_reads(text):
    assert classify(text) == StatementKind.READ


@pytest.mark.parametrize("text", WRITES)
def test_statements_that_may_write_are_writes(text):
    assert classify(text) == StatementKind.WRITE


@pytest.mark.parametrize(
    ("kind", "text"), [(kind, text) for kind, texts in OTHERS.items() for text in texts]
)
def test_other_statements_have_their_kinds(kind, text):
    assert classify(text) == kind


@pytest.mark.parametrize(
    "text",
    [
        "select " + "array[" * 40 + "1" + "]" * 40,
        "select " + "timestamp(" * 40 + "1" + ")" * 40,
        "select " + "(" * 5000 + "1" + ")" * 5000,
        "select " + "a+" * 2000 + "a",
        "select " + "a + " * 4000 + "a",
        "select '" + "x" * MAX_TEXT_LENGTH + "'",
    ],
    ids=["arrays", "types", "parentheses", "tokens", "form", "text"],
)
def test_statements_that_are_expensive_to_parse_are_writes(text):
    assert classify(text) == StatementKind.WRITE


PIECES = st.sampled_from(
    "select insert into delete from t a , ( ) ; ' \" $$ $1 /* */ -- \n e' \\ for "
    "update nextval('s') set_config lower( begin commit with as x 1.5 'b' :: [ ]".split(
        " "
    )
)
TEXTS = st.lists(PIECES, max_size=14).map(" ".join) | st.text(max_size=30)
REPEATABLE = settings(derandomize=True, database=None, deadline=None, max_examples=150)


@REPEATABLE
@given(TEXTS)
def test_any_text_has_a_kind(text):
    assert isinstance(classify(text), StatementKind)


@REPEATABLE
@given(st.sampled_from(WRITES[:20]), st.sampled_from(READS), st.sampled_from(" \n;"))
def test_a_text_with_a_write_is_never_a_read(write, read, separator):
    assert classify(f"{read};{separator}{write}") != StatementKind.READ
    assert classify(f"{write} ; {read}") != StatementKind.READ


@REPEATABLE
@given(TEXTS)
def test_stripping_is_idempotent(text):
    stripped = strip_literals(text)
    assert strip_literals(stripped) == stripped


def test_literals_are_stripped_and_names_are_not():
    text = """select t1."a 1", 'it''s', 2.5, $1 from t1 -- 'x'"""
    assert strip_literals(text) == """select t1."a 1", '''', $1 from t1  """


def test_lists_of_any_length_are_normalized_alike():
    short, long = "select a from t where b in (1)", "select a from t where b in ({})"
    values = ", ".join(["1"] * 5000)
    assert strip_literals(long.format(values)) == strip_literals(short)
    assert classify(long.format(values)) == StatementKind.READ
    assert classify(long.format("'a', 2, nextval('s')")) == StatementKind.WRITE
