"""Backend servers that name a limit on what all gateways together may send."""

from parameterized import parameterized

from testing.platform import fleet_stage, stage

# What the rule allows in any window: a factor on the limit, and requests besides.
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
WINDOW_SECONDS = 4.0
# An instance counts as told from this time after it passed such an answer on, in seconds.
TOLD_SECONDS = 0.5


def find_allowed(limit: float) -> float:
    """Returns how many requests a server may get in a window."""
    return ALLOWED_FACTOR * limit * WINDOW_SECONDS + ALLOWED_EXTRA


class NamedLimitTest(stage.StageCase):
    """A server in need says how much it takes."""

    @parameterized.expand([(1, 4.7), (10, 4.7), (10, 0.5), (68, 4.7)])
    def test_server_gets_no_more_than_the_limit_it_named(self, instances, limit) -> None:
        """Pattern: twelve servers near capacity, and one says that it takes a third."""

        async def scene() -> None:
            async with fleet_stage.open_fleet(instances, 12) as played:
                await played.press(2.0, 150.0)
                needy = played.servers[0]
                needy.headers = [("Caperdyke-Server-Limit", str(limit))]
                await played.press(2.0, 150.0)
                since = played.now
                await played.press(8.0, 150.0)
                got = fleet_stage.count_most(needy.times, WINDOW_SECONDS, since)
                self.assertTrue(
                    got <= find_allowed(limit),
                    f"got {got} in {WINDOW_SECONDS} s, allowed {find_allowed(limit)}",
                )

        self.play(scene)
