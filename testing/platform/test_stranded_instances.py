"""Instances that have lost their path to all backend servers while callers still reach them."""

import asyncio

import testtools
from parameterized import parameterized

from testing.knowledge import simulated_loop
from testing.platform import live_fleet, path_cuts

# Time from the cut on which callers of a stranded instance are served like those of the others,
# and the ratio that counts as alike.
NOTICED_WITHIN_SECONDS = 1.5
SERVED_RATIO_MIN = 0.95
MANNERS = [(manner.value, manner) for manner in path_cuts.CutManner]


class StrandedInstanceTest(testtools.TestCase):
    """Callers of instances that are cut off from all servers."""

    @parameterized.expand(MANNERS)
    def test_callers_of_a_stranded_instance_are_served_like_others(self, _name, manner) -> None:
        """Guards against RECOVER: every request found out anew that no server could be reached."""

        async def scenario() -> None:
            domains = ["hall-1", "hall-1", "hall-2", "hall-3"]
            async with live_fleet.start_fleet(domains) as fleet:
                await fleet.send_load(0, 1.0, 20)
                fleet.cut(0, manner)
                await fleet.send_load(0, NOTICED_WITHIN_SECONDS, 20)
                stranded, other = await asyncio.gather(
                    fleet.send_load(0, 4.0, 20), fleet.send_load(1, 4.0, 20)
                )
                served = sum(answer.status == 200 for answer in stranded)
                expected = sum(answer.status == 200 for answer in other)
                self.assertEqual(len(other), expected)
                self.assertTrue(
                    served >= SERVED_RATIO_MIN * expected,
                    f"served {served} of {len(stranded)}, expected {expected} like at the other",
                )

        simulated_loop.run_with_sockets(scenario())
