"""Each check of the fault soak detects its violation and accepts permitted behaviour."""

import testtools
from parameterized import parameterized

from bench.soak import checks, records
from testing.platform import soak_parts

PROBE = records.RequestKind.PROBE
BEHIND_CLOSE = soak_parts.BEHIND_CLOSE_STATUS


def make_attempt(**changes) -> records.Attempt:
    """Returns an answered read request, with some fields changed."""
    fields = {
        "request": "r1",
        "kind": records.RequestKind.READ,
        "gateway": 0,
        "start": 1,
        "version": 0,
        "sent_at": 20.0,
        "ended_at": 20.1,
        "status": 200,
        "is_right": True,
    }
    return records.Attempt(**(fields | changes))


def make_records(*attempts: records.Attempt, **changes) -> records.Records:
    """Returns the observations of a run without violations, plus some attempts and changes."""
    observed = records.Records(attempts=[make_attempt(request="served", sent_at=60.0), *attempts])
    observed.confirmed = {1: 0.0, 2: 10.0}
    observed.routes_until = {1: records.NEVER_DROPPED, 2: records.NEVER_DROPPED}
    observed.faults_end_at = 50.0
    observed.logged_requests = {item.request for item in attempts}
    for name, value in changes.items():
        setattr(observed, name, value)
    return observed


def list_broken(observed: records.Records) -> list[str]:
    """Returns the names of the checks that report problems."""
    return [item.check for item in checks.judge(observed) if item.problems]


def make_stranded(served: int, others_served: int, at: float = 20.0, **changes) -> records.Records:
    """Returns the observations of a run in which gateway 0 was stranded from 18 s on.

    :param served: requests of 20 that its callers sent and that were served.
    :param others_served: the same for the callers of another gateway.
    """
    attempts = []
    for gateway, count in ((0, served), (1, others_served)):
        for number in range(20):
            sent_at = at + number * 0.001
            attempts.append(
                make_attempt(
                    request=f"{gateway}-{number}",
                    gateway=gateway,
                    sent_at=sent_at,
                    ended_at=sent_at + 0.01,
                    status=200 if number < count else 503,
                )
            )
    return make_records(*attempts, path_cuts=[records.PathCut(0, 18.0, 30.0)], **changes)


def name_team(team: str, has_key: bool = False) -> records.NamedTeam:
    """Returns what request r1 says about its caller at a server."""
    return records.NamedTeam("r1", 3, team, has_key)


DOWN = records.Disruption(2, 17.0, 25.0, True)
RUN = records.Run("r1", 3, 20.0)
BUY = make_attempt(kind=records.RequestKind.BUY)
LATE_PROBE = make_attempt(kind=PROBE, version=2, status=404)
KNOWN_PROBE = make_attempt(request="r0", kind=PROBE, version=2, sent_at=11.0, ended_at=11.1)
CUT = make_attempt(status=0, is_right=False)
STOP = (0, 1, 19.0, 22.0)

CASES = (
    ("ran_twice", make_records(BUY, runs=[RUN, RUN]), "at most once"),
    (
        "refused_and_ran",
        make_records(make_attempt(status=503), runs=[RUN]),
        "a refusal has not run",
    ),
    ("other_body", make_records(make_attempt(is_right=False)), "whole and right answers"),
    ("late_version", make_records(LATE_PROBE), "in force within the bound"),
    (
        "limited_server",
        make_records(
            make_attempt(),
            runs=[records.Run("r1", 3, 20.0 + number * 0.1) for number in range(60)],
            limits=[records.AdvertisedLimit(3, 4.7, 20.0, 30.0)],
        ),
        "a named limit is kept",
    ),
    (
        "resting_server",
        make_records(
            make_attempt(),
            arrivals=[
                records.Arrival("r1", 3, 20.0, 3.0, False),
                *(records.Arrival("r1", 3, 21.0 + n, None, False) for n in (0, 0.5, 1)),
            ],
        ),
        "a named rest is kept",
    ),
    (
        "said_leaving",
        make_records(
            make_attempt(),
            arrivals=[
                records.Arrival("r1", 3, 20.0, None, True),
                records.Arrival("r1", 3, 23.0, None, False),
            ],
        ),
        "a server that says it leaves",
    ),
    (
        "leaving_server",
        make_records(make_attempt(), runs=[RUN], left_at_by_server={3: 17.0}),
        "a leaving",
    ),
    ("cut_after_it_ran", make_records(CUT, runs=[RUN], stops=[STOP]), "a planned stop"),
    (
        "ran_behind_a_close",
        make_records(make_attempt(status=BEHIND_CLOSE), runs=[RUN], stops=[STOP]),
        "a planned stop",
    ),
    ("not_served", make_records(make_attempt(sent_at=61.0, status=503)), "service is back"),
    ("stranded_not_served", make_stranded(served=18, others_served=20), "callers of stranded"),
    (
        "other_team",
        make_records(make_attempt(), teams={"r1": "team-a"}, named_teams=[name_team("team-b")]),
        "requests are those",
    ),
    (
        "no_team",
        make_records(make_attempt(), teams={"r1": "team-a"}, named_teams=[name_team("")]),
        "requests are those",
    ),
    (
        "team_without_a_key",
        make_records(make_attempt(), teams={"r1": ""}, named_teams=[name_team("team-a")]),
        "requests are those",
    ),
    (
        "key_at_a_server",
        make_records(make_attempt(), teams={"r1": ""}, named_teams=[name_team("", True)]),
        "requests are those",
    ),
    (
        "intruder_at_a_server",
        make_records(intruders={"r1": 503}, named_teams=[name_team("")]),
        "requests are those",
    ),
    ("intruder_answered", make_records(intruders={"r1": 200}), "requests are those"),
    (
        "key_rejected",
        make_records(make_attempt(status=401), teams={"r1": "team-a"}),
        "requests are those",
    ),
    ("unexplained", make_records(make_attempt(status=502), logged_requests=set()), "failures are"),
    ("descriptors", make_records(descriptors={0: 900}), "processes stay bounded"),
    ("failed_task", make_records(error_lines=["task failed"]), "processes stay bounded"),
)
SHORT = [records.Shortage(number, 20.0, 30.0) for number in (2, 4)]
DISTURBED = [records.Disruption(0, 17.0, 18.0)]
ALLOWED = (
    ("nothing", make_records()),
    ("read_twice", make_records(make_attempt(), runs=[RUN, RUN])),
    ("disturbed", make_records(LATE_PROBE, disruptions=DISTURBED)),
    ("store_away", make_records(LATE_PROBE, disruptions=[records.Disruption(None, 1, 99)])),
    ("route_dropped", make_records(LATE_PROBE, confirmed={2: 10, 3: 19}, routes_until={2: 2})),
    (
        "team_and_intruder",
        make_records(
            make_attempt(),
            teams={"r1": "team-a"},
            named_teams=[name_team("team-a")],
            intruders={"r2": 401, "r3": 503, "r4": 0},
        ),
    ),
    ("crossing", make_records(make_attempt(status=0, ended_at=20.1), stops=[STOP])),
    ("behind_a_close", make_records(make_attempt(status=BEHIND_CLOSE), stops=[STOP])),
    ("stranded_served", make_stranded(served=19, others_served=20)),
    ("stranded_and_all_refused", make_stranded(served=0, others_served=0)),
    ("stranded_not_noticed_yet", make_stranded(served=0, others_served=20, at=19.4)),
    ("stranded_while_one_is_down", make_stranded(0, 20, disruptions=[DOWN])),
    ("stranded_in_a_shortage", make_stranded(served=0, others_served=20, shortages=SHORT)),
    ("killed", make_records(CUT, runs=[RUN], stops=[STOP], killed={(0, 1)})),
)


class ChecksTest(testtools.TestCase):
    """Observations of runs, each with at most one violation."""

    @parameterized.expand(CASES)
    def test_broken_promise_is_found(self, _name, observed, check) -> None:
        broken = list_broken(observed)
        self.assertEqual(1, len(broken), broken)
        self.assertTrue(broken[0].startswith(check), broken)

    def test_older_version_is_found(self) -> None:
        disturbed = [records.Disruption(0, 17.0, 18.0)]
        observed = make_records(KNOWN_PROBE, LATE_PROBE, disruptions=disturbed)
        self.assertEqual(["never an older version"], list_broken(observed))

    @parameterized.expand(ALLOWED)
    def test_allowed_case_breaks_nothing(self, _name, observed) -> None:
        self.assertEqual([], list_broken(observed))
