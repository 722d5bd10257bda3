"""Golden files of whole sessions: for each customer one without and one with failures.

Set ``GOLDEN_WRITE=1`` to rewrite the files; review the difference before committing it.
"""

import asyncio
import os
import pathlib

import testtools

from testing import builders, session

GOLDEN_FOLDER = pathlib.Path(__file__).resolve().parent / "golden"
TALA_ENTRIES = {"pasig-1": "pasig-hall", "pasig-2": "pasig-hall", "cebu-1": "cebu-hall"}
COUNCIL_PLACES = """
[places]
operator = kestrelveld
[domain jhb-midrand]
region = gauteng
capacity = 40
slices = 2
blocks = 10.4.0.0/16
[domain cpt-bellville]
region = western-cape
capacity = 40
slices = 1
blocks = 10.5.0.0/16
"""
COUNCIL_CONTRACT = """
[contract]
customer = kestrelveld-forecasting
operator = kestrelveld
weight = headroom
period_ms = 1000
shift_cap = 4
shift_step = 4
retry_percent = 10
[service projview]
kind = cheap
repeatable = yes
deadline_ms = 2000
[service lodgement]
kind = cheap
repeatable = no
deadline_ms = 5000
[service workbooks]
kind = download
repeatable = yes
deadline_ms = 60000
[region gauteng]
share = 40
floor = 20
shift = 2
[region western-cape]
share = 40
floor = 20
shift = 2
"""
COUNCIL_ENTRIES = {"jhb-1": "jhb-midrand", "jhb-2": "jhb-midrand", "cpt-1": "cpt-bellville"}


def make_tala_session() -> session.Session:
    """Returns a session of the customer Tala."""
    texts = [builders.PLACES_TEXT, builders.CONTRACT_TEXT]
    return session.Session(texts, TALA_ENTRIES, ["gallery-reader", "checkout"])


def make_council_session() -> session.Session:
    """Returns a session of the customer Kestrelveld."""
    texts = [COUNCIL_PLACES, COUNCIL_CONTRACT]
    return session.Session(texts, COUNCIL_ENTRIES, ["projview", "lodgement", "workbooks"])


async def run_tala_good_day(running: session.Session) -> None:
    """Browsing, purchases, repeated requests and invalid requests."""
    key = await running.look_up("cebu-1", "tala-gallery", "10.1.0.7")
    await running.request("pasig-1", "gallery-reader", "browse", key, "GET")
    await running.request("pasig-1", "checkout", "buy-1", key)
    await running.request("pasig-2", "checkout", "buy-1", key)
    await running.request("cebu-1", "checkout", "buy-1", key)
    await running.request("cebu-1", "checkout", "other", key)
    await running.request("pasig-1", "checkout", "no-key")
    await running.request("pasig-1", "checkout", "bad-key", "k1.x")
    await running.request("pasig-1", "checkout", "by-get", key, "GET")
    await running.request("pasig-1", "nothing", "unknown-service", key)
    await running.call("pasig-1", "GET", "/lookup?customer=nobody")
    expired_deadline = {"caperdyke-deadline": "1000"}
    await running.call("pasig-1", "GET", "/serve/tala-gallery/gallery-reader/x", expired_deadline)
    invalid_deadline = {"caperdyke-deadline": "soon"}
    await running.call("pasig-1", "GET", "/serve/tala-gallery/gallery-reader/y", invalid_deadline)
    large = b"x" * (1024 * 1024 + 1)
    await running.call(
        "pasig-1", "POST", "/serve/tala-gallery/gallery-reader/z", {}, large, "oversized"
    )
    key_header = {"idempotency-key": "order-77"}
    for name in ("pasig-1", "cebu-1"):
        path = "/serve/tala-gallery/checkout/do"
        await running.call(name, "POST", path, key_header, b"own-key", "own key")


async def run_tala_bad_night(running: session.Session) -> None:
    """Lost answers, killed key owners and an unavailable platform."""
    key = await running.look_up("pasig-1", "tala-gallery", "10.1.0.7")
    running.backends.faults["checkout"] = ["lose"]
    running.add_comment("the backend server runs a purchase but its answer is lost")
    await running.request("pasig-1", "checkout", "lost-answer", key)
    await running.request("pasig-2", "checkout", "lost-answer", key)
    running.backends.faults["checkout"] = ["unreachable", "refuse"]
    running.add_comment("no connection, then a busy backend server: both prove that nothing ran")
    key = await running.look_up("pasig-1", "tala-gallery", "10.1.0.7")
    await running.request("pasig-1", "checkout", "second-try", key)
    await running.request("pasig-1", "checkout", "second-try", key)
    running.backends.faults["gallery-reader"] = ["cut", "lose"]
    running.add_comment("two broken answers to browsing")
    await running.request("pasig-1", "gallery-reader", "cut", key, "GET")
    await running.request("pasig-1", "gallery-reader", "retried", key, "GET")
    used = await running.look_up("pasig-1", "tala-gallery", "10.1.0.7")
    unused = await running.look_up("pasig-1", "tala-gallery", "10.1.0.7")
    await running.request("pasig-1", "checkout", "before-kill", used)
    await running.kill("pasig-1")
    await running.request("pasig-2", "checkout", "before-kill", used)
    await running.request("cebu-1", "checkout", "never-sent", unused)
    running.platform.faults = ["down", "drop", "drop"]
    running.add_comment("the platform is away")
    path = "/serve/tala-gallery/checkout/do"
    for _ in range(2):
        key_header = {"idempotency-key": "order-78"}
        await running.call("pasig-2", "POST", path, key_header, b"away", "own key")
    running.platform.faults = ["lose"]
    running.add_comment("the platform is back but loses an answer")
    await running.call("pasig-2", "POST", path, key_header, b"away", "own key")


async def run_council_good_day(running: session.Session) -> None:
    """Projections and submissions, the planned stop of an entry instance and a drain."""
    used = await running.look_up("jhb-1", "kestrelveld-forecasting", "10.4.0.7")
    unused = await running.look_up("jhb-1", "kestrelveld-forecasting", "10.4.0.7")
    await running.request("jhb-1", "projview", "view", used, "GET")
    await running.request("jhb-1", "lodgement", "budget", used)
    await running.stop("jhb-1")
    await running.request("jhb-2", "lodgement", "budget", used)
    await running.request("cpt-1", "lodgement", "tariff", unused)
    await running.request("jhb-2", "lodgement", "tariff", unused)
    await running.look_up("cpt-1", "kestrelveld-forecasting", "10.4.0.7")
    await running.request("jhb-2", "workbooks", "workbook", "", "GET")
    running.add_comment("the failure domain jhb-midrand is drained")
    entry = running.nodes["cpt-1"]
    entry.watch.announce("jhb-midrand", True)
    await running.settle()
    await running.look_up("cpt-1", "kestrelveld-forecasting", "10.4.0.7")
    key = await running.look_up("jhb-2", "kestrelveld-forecasting", "10.4.0.7")
    await running.request("jhb-2", "projview", "shifted", key, "GET")


async def run_council_bad_night(running: session.Session) -> None:
    """A region fails: shifted traffic is limited to its cap and home traffic continues."""
    key = await running.look_up("cpt-1", "kestrelveld-forecasting", "10.4.0.7")
    home = await running.look_up("cpt-1", "kestrelveld-forecasting", "10.5.0.7")
    await running.kill("jhb-1")
    await running.kill("jhb-2")
    await running.look_up("cpt-1", "kestrelveld-forecasting", "10.4.0.7")
    for number in range(4):
        await running.request("cpt-1", "projview", f"shifted-{number}", key, "GET")
    await running.request("cpt-1", "projview", "home", home, "GET")
    running.add_comment("one period later")
    running.clock.now += 1.0
    await running.request("cpt-1", "projview", "shifted-4", key, "GET")
    running.backends.faults["workbooks"] = ["cut"]
    running.add_comment("a download breaks off")
    await running.request("cpt-1", "workbooks", "workbook", home, "GET")
    running.backends.faults["lodgement"] = ["hold"]
    running.add_comment("a submission is sent twice at the same time")
    first = asyncio.create_task(running.request("cpt-1", "lodgement", "twice", home))
    await running.settle()
    second = asyncio.create_task(running.request("cpt-1", "lodgement", "twice", home))
    await running.settle()
    running.backends.release.set()
    await asyncio.gather(first, second)


class GoldenSessionTest(testtools.TestCase):
    """Guards the responses to callers against unintended changes."""

    def check(self, name: str, running: session.Session, script) -> None:
        async def run() -> None:
            await running.start()
            try:
                await script(running)
                running.count_runs()
            finally:
                await running.close()

        asyncio.run(run())
        actual = "\n".join(running.lines) + "\n"
        path = GOLDEN_FOLDER / f"{name}.txt"
        if os.environ.get("GOLDEN_WRITE"):
            path.write_text(actual)
        self.assertEqual(path.read_text(), actual)

    def test_tala_good_day(self) -> None:
        self.check("tala_good_day", make_tala_session(), run_tala_good_day)

    def test_tala_bad_night(self) -> None:
        self.check("tala_bad_night", make_tala_session(), run_tala_bad_night)

    def test_council_good_day(self) -> None:
        self.check("council_good_day", make_council_session(), run_council_good_day)

    def test_council_bad_night(self) -> None:
        self.check("council_bad_night", make_council_session(), run_council_bad_night)
