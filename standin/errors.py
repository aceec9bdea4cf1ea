"""MySQL errors that a member reports."""

_SQLSTATES = {
    1040: '08004',
    1044: '42000',
    1045: '28000',
    1046: '3D000',
    1048: '23000',
    1050: '42S01',
    1051: '42S02',
    1054: '42S22',
    1060: '42S21',
    1061: '42000',
    1062: '23000',
    1064: '42000',
    1065: '42000',
    1094: 'HY000',
    1146: '42S02',
    1193: 'HY000',
    1205: 'HY000',
    1227: '42000',
    1290: 'HY000',
    1305: '42000',
    1317: '70100',
    1318: '42000',
    1406: '22001',
    1644: '45000',
    1792: '25006',
    3819: 'HY000',
}


class MemberError(Exception):
    """An error with a MySQL error number.

    Parameters
    ----------
    code
        MySQL error number.
    message
        Text that the client receives.
    """

    def __init__(self, code: int, message: str) -> None:
        super().__init__(code, message)
        self.code = code
        self.message = message


def sqlstate(code: int) -> str:
    """Return the SQLSTATE of a MySQL error number, HY000 if unknown."""
    return _SQLSTATES.get(code, 'HY000')


def read_only_error(detail: str) -> MemberError:
    """Return the error for a write that a member refuses.

    Parameters
    ----------
    detail
        Why the member refuses the write.
    """
    return MemberError(
        1290,
        'The MySQL server is running with the --read-only option so it '
        f'cannot execute this statement ({detail})',
    )
