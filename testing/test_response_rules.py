"""Which responses of backend servers are passed on."""

import testtools
from parameterized import parameterized

from caperdyke.transport.http import response_rules

LENGTH = (b"content-length", b"3")
CHUNKS = (b"transfer-encoding", b"chunked")


class ResponseRulesTest(testtools.TestCase):
    """Responses that one side reads and the other cannot write, or writes differently."""

    @parameterized.expand(
        [
            *((f"status {status}", b"1.1", status, [LENGTH]) for status in (200, 205, 418, 599)),
            ("no length", b"1.1", 200, []),
            ("chunks", b"1.1", 200, [CHUNKS]),
            ("older version", b"1.0", 200, [LENGTH]),
            ("no content", b"1.1", 204, []),
            ("no content of no length", b"1.1", 204, [(b"content-length", b"0")]),
            ("not modified with a length", b"1.1", 304, [LENGTH]),
            ("bytes beyond ascii", b"1.1", 200, [(b"x", b"\xc3\xa9\xff")]),
            ("tab", b"1.1", 200, [(b"x", b"a\tb")]),
        ]
    )
    def test_passed_on(self, _name, version, status, headers) -> None:
        self.assertIsNone(response_rules.find_fault(version, status, headers))

    @parameterized.expand(
        [
            *((f"status {status}", b"1.1", status, [LENGTH]) for status in (0, 99, 100, 101, 199)),
            *((f"status {status}", b"1.1", status, [LENGTH]) for status in (600, 999, 1000, -200)),
            *((f"version {version}", version, 200, [LENGTH]) for version in (b"0.9", b"2.0")),
            ("version 3.7", b"3.7", 200, [LENGTH]),
            ("length beside chunks", b"1.1", 200, [LENGTH, CHUNKS]),
            ("no content with a length", b"1.1", 204, [LENGTH]),
            ("no content in chunks", b"1.1", 204, [CHUNKS]),
            *(
                (f"control character {code}", b"1.1", 200, [LENGTH, (b"x", b"a%cb" % code)])
                for code in (0x00, 0x01, 0x0A, 0x0D, 0x1F, 0x7F)
            ),
        ]
    )
    def test_no_answer(self, _name, version, status, headers) -> None:
        """Guards against answers that no caller can use, and connections that end without one."""
        self.assertIsInstance(response_rules.find_fault(version, status, headers), str)
