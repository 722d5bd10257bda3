"""Fixture and shared checks of the fault cases: one running fleet and the problems found."""

import time

import fleet
import limits_check

PERIOD_S = 1.0
REGION_SHARE = 60
REGION_FLOOR = 30
REGION_SHIFT = 20
REGION_SHIFT_STEP = 8
PLACES_DOCUMENT = """
[places]
operator = tala
[domain pasig-hall]
region = luzon
capacity = 200
slices = 2
blocks = 10.1.0.0/17
[domain quezon-hall]
region = luzon
capacity = 200
slices = 2
blocks = 10.1.128.0/17
[domain cebu-hall]
region = visayas
capacity = 200
slices = 2
blocks = 10.2.0.0/17
[domain iloilo-hall]
region = visayas
capacity = 200
slices = 2
blocks = 10.2.128.0/17
"""
SERVICES = (
    fleet.ServicePlan("gallery-reader", 3, 3, 8),
    fleet.ServicePlan("checkout", 2, 3, 15),
    fleet.ServicePlan("bundle-depot", 1, 6, 5, 4 << 20, 4000),
)
REGION_BY_DOMAIN = {
    "pasig-hall": "luzon",
    "quezon-hall": "luzon",
    "cebu-hall": "visayas",
    "iloilo-hall": "visayas",
}


def make_contract(
    share: int = REGION_SHARE, floor: int = REGION_FLOOR, shift: int = REGION_SHIFT
) -> str:
    """Returns the contract document that the cases use.

    :param share: starts allowed per period in each region.
    :param floor: starts per period that each region keeps while the platform is unavailable.
    :param shift: starts per period that each region may take over from the other.
    """
    regions = "".join(
        f"[region {region}]\nshare = {share}\nfloor = {floor}\nshift = {shift}\n"
        for region in ("luzon", "visayas")
    )
    return (
        "[contract]\ncustomer = tala-gallery\noperator = tala\nweight = latency\n"
        f"period_ms = 1000\nshift_cap = {2 * shift}\nshift_step = {2 * REGION_SHIFT_STEP}\n"
        "retry_percent = 20\n"
        "[service gallery-reader]\nkind = cheap\nrepeatable = yes\ndeadline_ms = 2000\n"
        "[service checkout]\nkind = cheap\nrepeatable = no\ndeadline_ms = 4000\n"
        "[service bundle-depot]\nkind = download\nrepeatable = yes\ndeadline_ms = 60000\n"
        f"{regions}"
    )


class Case:
    """A running fleet, the problems found and the figures to print."""

    def __init__(self, running: fleet.Fleet) -> None:
        self.fleet = running
        self.problems: list[str] = []
        self.figures: dict[str, object] = {}

    def expect(self, condition: bool, problem: str) -> None:
        """Records a problem if a condition does not hold."""
        if not condition:
            self.problems.append(problem)

    def write_document(self, name: str, text: str) -> str:
        """Writes a document to the folder of the fleet and returns its path."""
        path = self.fleet.folder / name
        path.write_text(text)
        return str(path)

    def apply_document(self, name: str, text: str) -> dict:
        """Submits a document as operator and returns the report of the command.

        :raises RuntimeError: if the command fails.
        """
        path = self.write_document(name, text)
        return self.fleet.run_operator(
            "apply", path, "--operator", "tala", "--platform", self.fleet.platform
        )

    def read_status(self, entry: fleet.Entry) -> dict:
        """Returns the status of an entry instance."""
        return self.fleet.call(entry.caller_address, "GET", "/status")

    def start_load(self, seconds: int, *streams: str, name: str = "load"):
        """Starts the load program against all entry instances.

        :param streams: each as ``name service rate client method path``.
        """
        entry_addresses = " ".join(entry.caller_address for entry in self.fleet.entries)
        text = f"[run]\nseconds = {seconds}\nseed = 7\nentries = {entry_addresses}\n"
        for stream in streams:
            label, service, rate, client, method, path = stream.split()
            text += (
                f"[stream {label}]\ncustomer = tala-gallery\nservice = {service}\nrate = {rate}\n"
                f"client = {client}\nmethod = {method}\npath = {path}\nbody_size = 100\n"
                f"timeout_ms = {40_000 if 'download' in path else 4000}\n"
            )
        return self.fleet.start_load(text, name)

    def check_limits(
        self, since: float = 0.0, share: int = REGION_SHARE, shift: int = REGION_SHIFT
    ) -> None:
        """Checks the share, the shift and its step per region from starts at the backend servers.

        :param since: time from which the share is checked, in seconds since the epoch.
        """
        starts_by_region: dict[str, list[float]] = {}
        shifted_by_region: dict[str, list[float]] = {}
        for started_at, domain, token in self.fleet.read_starts():
            if not token:
                continue
            region = REGION_BY_DOMAIN[domain]
            if started_at >= since:
                starts_by_region.setdefault(region, []).append(started_at)
            home = "visayas" if "visayas" in token else "luzon"
            if home != region:
                shifted_by_region.setdefault(region, []).append(started_at)
        for region, times in starts_by_region.items():
            peak = limits_check.find_peak(times, PERIOD_S)
            self.figures[f"peak {region}"] = peak
            self.expect(peak <= share, f"{region}: {peak} starts in a period, limit {share}")
        for region, times in shifted_by_region.items():
            peak = limits_check.find_peak(times, PERIOD_S)
            step = limits_check.find_steepest_step(times, PERIOD_S)
            self.figures[f"shift {region}"] = f"peak {peak}, step {step}"
            self.expect(peak <= shift, f"{region}: {peak} shifted in a period, limit {shift}")
            self.expect(
                step <= REGION_SHIFT_STEP,
                f"{region}: shift grew by {step}, limit {REGION_SHIFT_STEP}",
            )

    def check_outcomes(self, report: list[dict]) -> None:
        """Checks the outcomes: no wrong answer, no request reported as not run that was executed,
        and no request marked ``-once`` that was executed again.
        """
        runs = self.fleet.read_runs()
        for item in report:
            self.expect(item["wrong"] == 0, f"{item['stream']}: {item['wrong']} wrong answers")
            ran = [token for token in item["not_run_tokens"] if runs.get(token)]
            self.expect(not ran, f"{item['stream']}: reported not run but ran: {ran[:3]}")
        repeated = [token for token, count in runs.items() if "-once" in token and count > 1]
        self.expect(not repeated, f"ran more than once: {repeated[:3]}")

    def wait_until_in_force(self, revision: int, timeout_s: float) -> None:
        """Waits until a revision is in force on every entry; records a problem on timeout."""
        deadline = time.time() + timeout_s
        while True:
            revisions = [
                self.read_status(entry)["in_force_revision"] for entry in self.fleet.entries
            ]
            if all(item >= revision for item in revisions):
                return
            if time.time() > deadline:
                self.expect(
                    False, f"revision {revision} not in force after {timeout_s} s: {revisions}"
                )
                return
            time.sleep(0.05)
