"""One running fleet under faults, and the checks that all cases share."""

import time

import fleet
import limits_check

PERIOD = 1.0
SHARE = 60
FLOOR = 30
SHIFT = 20
STEP = 8
PLACES = """
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
REGIONS = {
    "pasig-hall": "luzon",
    "quezon-hall": "luzon",
    "cebu-hall": "visayas",
    "iloilo-hall": "visayas",
}


def make_contract(share: int = SHARE, floor: int = FLOOR, shift: int = SHIFT) -> str:
    """Returns the contract of the cases."""
    regions = "".join(
        f"[region {region}]\nshare = {share}\nfloor = {floor}\nshift = {shift}\n"
        for region in ("luzon", "visayas")
    )
    return (
        "[contract]\ncustomer = tala-gallery\noperator = tala\nweight = latency\n"
        f"period_ms = 1000\nshift_cap = {2 * shift}\nshift_step = {2 * STEP}\n"
        "retry_percent = 20\n"
        "[service gallery-reader]\nkind = cheap\nrepeatable = yes\ndeadline_ms = 2000\n"
        "[service checkout]\nkind = cheap\nrepeatable = no\ndeadline_ms = 4000\n"
        "[service bundle-depot]\nkind = download\nrepeatable = yes\ndeadline_ms = 60000\n"
        f"{regions}"
    )


class Case:
    """One running fleet and what was found wrong."""

    def __init__(self, running: fleet.Fleet) -> None:
        self.fleet = running
        self.problems: list[str] = []
        self.figures: dict[str, object] = {}

    def expect(self, is_true: bool, text: str) -> None:
        """Records a problem where a condition does not hold."""
        if not is_true:
            self.problems.append(text)

    def write(self, name: str, text: str) -> str:
        """Writes a document and returns its path."""
        path = self.fleet.folder / name
        path.write_text(text)
        return str(path)

    def apply(self, name: str, text: str) -> dict:
        """Gets a document accepted."""
        path = self.write(name, text)
        return self.fleet.run_operator(
            "apply", path, "--operator", "tala", "--platform", self.fleet.platform
        )

    def read_status(self, entry: fleet.Entry) -> dict:
        """Returns the status of an entry instance."""
        return self.fleet.call(entry.caller_address, "GET", "/status")

    def start_load(self, seconds: int, *streams: str, name: str = "load"):
        """Starts a load of streams, each ``name service rate client [method path]``."""
        alive = " ".join(entry.caller_address for entry in self.fleet.entries)
        text = f"[run]\nseconds = {seconds}\nseed = 7\nentries = {alive}\n"
        for stream in streams:
            label, service, rate, client, method, path = stream.split()
            text += (
                f"[stream {label}]\ncustomer = tala-gallery\nservice = {service}\nrate = {rate}\n"
                f"client = {client}\nmethod = {method}\npath = {path}\nbody_size = 100\n"
                f"timeout_ms = {40_000 if 'download' in path else 4000}\n"
            )
        return self.fleet.start_load(text, name)

    def check_limits(self, since: float = 0.0, share: int = SHARE, shift: int = SHIFT) -> None:
        """Checks share, shift and step of both regions at the backend servers."""
        by_region: dict[str, list[float]] = {}
        shifted: dict[str, list[float]] = {}
        for at, domain, token in self.fleet.read_starts():
            if not token:
                continue
            region = REGIONS[domain]
            if at >= since:
                by_region.setdefault(region, []).append(at)
            home = "visayas" if "visayas" in token else "luzon"
            if home != region:
                shifted.setdefault(region, []).append(at)
        for region, times in by_region.items():
            peak = limits_check.find_peak(times, PERIOD)
            self.figures[f"peak {region}"] = peak
            self.expect(peak <= share, f"{region}: {peak} starts in a period, limit {share}")
        for region, times in shifted.items():
            peak = limits_check.find_peak(times, PERIOD)
            step = limits_check.find_steepest_step(times, PERIOD)
            self.figures[f"shift {region}"] = f"peak {peak}, step {step}"
            self.expect(peak <= shift, f"{region}: {peak} shifted in a period, limit {shift}")
            self.expect(step <= STEP, f"{region}: shift grew by {step}, limit {STEP}")

    def check_outcomes(self, report: list[dict]) -> None:
        """Checks that no answer was wrong and that what was refused as not run did not run."""
        runs = self.fleet.read_runs()
        for item in report:
            self.expect(item["wrong"] == 0, f"{item['stream']}: {item['wrong']} wrong answers")
            ran = [token for token in item["not_run_tokens"] if runs.get(token)]
            self.expect(not ran, f"{item['stream']}: reported not run but ran: {ran[:3]}")
        once = [token for token, count in runs.items() if "-once" in token and count > 1]
        self.expect(not once, f"ran more than once: {once[:3]}")

    def wait_in_force(self, revision: int, limit: float) -> None:
        """Waits until a revision is in force everywhere; records a problem after a limit.

        :param limit: in seconds.
        """
        deadline = time.time() + limit
        while True:
            found = [self.read_status(entry)["in_force_revision"] for entry in self.fleet.entries]
            if all(item >= revision for item in found):
                return
            if time.time() > deadline:
                self.expect(False, f"revision {revision} not in force after {limit} s: {found}")
                return
            time.sleep(0.05)
