"""Tests of statement classification."""

import unittest

from lavendergate.core.classification import StatementKind, classify
from lavendergate.core.session_state import autocommit_value

_KINDS: dict[StatementKind, tuple[str, ...]] = {
    StatementKind.read: (
        "select * from a where x = 'for update'",
        "SELECT mail FROM a WHERE mail = 'a@b.de; drop table a'",
        'select x from `for update`',
        '(select 1 from a) union (select 2 from b)',
        'with a as (select 1) select * from a',
        '-- note\nselect * from a',
        'explain select * from a',
        "select 'it''s; fine' from a; -- end",
    ),
    StatementKind.locking_read: (
        'SELECT * FROM a FOR UPDATE',
        'select * from a for\n share skip locked',
        'select * from a lock in share mode',
    ),
    StatementKind.write: (
        "insert into a values ('x@y.z')",
        'with a as (select 1) update t set x = 1',
        'rollback to savepoint a',
        '/* note */ DELETE FROM a',
        'call f()',
    ),
    StatementKind.pinned: (
        'select @a',
        'select last_insert_id() from t',
        'select x into @a from t',
        'insert into t values (@x)',
        'set @a = 1',
        'create temporary table a (x int)',
    ),
    StatementKind.local: (
        'select @@lavendergate_token',
        '/* x */ SELECT @@version_comment LIMIT 1',
        'SELECT LAST_INSERT_ID()',
        'select database()',
        'SELECT 1',
        'SET NAMES utf8mb4',
        'SET AUTOCOMMIT = 0',
    ),
    StatementKind.set_session: (
        "set @@session.sql_mode = 'ANSI'",
        'set session transaction isolation level read committed',
    ),
    StatementKind.refused: (
        'select 1; drop table a',
        'select /*!50000 1 */',
        "select get_lock('a', 1)",
        "select x into outfile 'f' from a",
        'set global x = 1',
        "set sql_mode = 'NO_BACKSLASH_ESCAPES'",
        'commit and chain',
        'lock tables a write',
        'grant all on a to b',
        '',
    ),
    StatementKind.begin: ('begin', 'START TRANSACTION READ ONLY'),
    StatementKind.commit: ('commit;',),
    StatementKind.rollback: ('ROLLBACK',),
    StatementKind.use_database: ('use `glasdaten-1`',),
}


class ClassificationTest(unittest.TestCase):
    """Kinds of statements."""

    def test_kinds(self) -> None:
        """Guards against sending a write or locking read to a replica."""
        for kind, statements in _KINDS.items():
            for sql in statements:
                with self.subTest(sql=sql):
                    self.assertIs(classify(sql), kind)

    def test_autocommit(self) -> None:
        """Guards against an ignored ``SET autocommit = 0`` of a client driver.

        Each statement would then end its transaction.
        """
        self.assertIs(autocommit_value('set @@session.autocommit=OFF'), False)
        self.assertIs(autocommit_value('SET autocommit = 1;'), True)
        self.assertIsNone(autocommit_value('SET NAMES utf8'))
