"""Tests of the stand-in's data after a truncation."""

from lavendergate.tests.test_standin import TABLE, WAIT_LIMIT_MS, GroupTestCase


class RebuildTest(GroupTestCase):
    """Connections that were opened before the data was rebuilt."""

    async def test_first_write_goes_to_the_rebuilt_data(self) -> None:
        """Guards against a write that is in the log but not in the data."""
        await self.elect(1, 0, 1, 2)
        old = await self.connect(0)
        await old.run(TABLE)
        for index in (1, 2):
            await self.admins[index].run(
                f'CALL group_wait(1, 1, {WAIT_LIMIT_MS})'
            )
            await self.admins[index].run('CALL group_fence(2)')
        await old.run("INSERT INTO rounds (name) VALUES ('truncated')")
        await self.admins[1].run('CALL group_promote(2)')
        self.assertEqual(await self.follow(0, 2, 1), 1)
        await self.elect(3, 0, 1, 2)
        await old.run("INSERT INTO rounds (name) VALUES ('kept')")
        other = await self.connect(0)
        names = await other.run('SELECT name FROM rounds')
        self.assertEqual(names, (('kept',),))
