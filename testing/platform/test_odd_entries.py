"""Entries of other writers that no decoder expects."""

import json

import testtools
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from parameterized import parameterized

from caperdyke import errors
from caperdyke.platform import documents
from caperdyke.protocol import announcements, crash_messages
from caperdyke.state import store_rows
from testing.platform import harness, test_documents

NESTED = b"[" * 200_000 + b"]" * 200_000
HUGE = 10**400
ODD_REGISTRATIONS = [
    ("deeply nested", NESTED),
    ("nested in a field", b'{"address": ' + NESTED + b"}"),
    ("huge cold time", test_documents.change_registration("status.coldRemainingMs", HUGE)),
    ("infinite cold time", test_documents.change_registration("status.coldRemainingMs", 1e999)),
    ("cold time no number", test_documents.change_registration("status.coldRemainingMs", "NaN")),
    ("huge slots", test_documents.change_registration("information.slots", HUGE)),
    ("huge start", test_documents.change_registration("born", HUGE)),
    ("huge sequence", test_documents.change_registration("status.sequence", HUGE)),
    ("port out of range", test_documents.change_registration("address", "10.0.0.1:70000")),
    ("port zero", test_documents.change_registration("address", "10.0.0.1:0")),
    ("port in other digits", test_documents.change_registration("address", "10.0.0.1:²")),
    ("host with a zero byte", test_documents.change_registration("address", "a\0b:80")),
    ("host too long", test_documents.change_registration("address", "a" * 300 + ":80")),
    ("half a character", test_documents.change_registration("information.service", "\ud800")),
]
ODD_KEYS = [("other script", "\u4e2d"), ("line break", "a\r\nb"), ("empty", ""), ("space", "a b")]
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda items: st.lists(items) | st.dictionaries(st.text(), items),
    max_leaves=10,
)


class OddRegistrationTest(harness.AsyncTestCase):
    """Registrations that name no usable server."""

    @parameterized.expand(ODD_REGISTRATIONS)
    def test_odd_registration_is_an_error_of_its_row(self, _name, document) -> None:
        row = test_documents.make_row("s1", document)
        self.assertRaises(errors.ProtocolError, documents.read_registration, row)

    @parameterized.expand(ODD_KEYS)
    def test_key_that_no_header_can_contain_is_an_error_of_its_row(self, _name, key) -> None:
        row = test_documents.make_row(key, test_documents.REGISTRATION)
        self.assertRaises(errors.ProtocolError, documents.read_registration, row)

    @seed(1)
    @settings(max_examples=300, deadline=None, database=None)
    @given(st.sampled_from(sorted(test_documents.REGISTRATION)), JSON, JSON)
    def test_any_document_is_decoded_or_an_error_of_its_row(self, field, value, whole) -> None:
        for document in ({**test_documents.REGISTRATION, field: value}, whole):
            row = test_documents.make_row("s1", document)
            for read in (documents.read_registration, documents.read_route_table):
                try:
                    read(row)
                except errors.ProtocolError:
                    continue

    def test_odd_configuration_is_an_error_of_its_row(self) -> None:
        row = test_documents.make_row("config", NESTED, store_rows.StoreTable.CONFIGURATION)
        self.assertRaises(errors.ProtocolError, documents.read_route_table, row)

    @parameterized.expand(ODD_REGISTRATIONS)
    def test_odd_registration_leaves_the_others_in_use(self, _name, document) -> None:
        """Guards against instances that stop following the registrations after an odd one."""

        async def scenario() -> None:
            async with harness.start_gateway(("s1", "s2")) as env:
                node = env.gateway.node
                value = document if isinstance(document, bytes) else json.dumps(document).encode()
                await env.store.put("servers", "a-odd", value)
                draining = env.servers[0].register("reader", "hall-1", "draining", sequence=2)
                await env.store.put("servers", "s1", draining)
                await env.wait_until(lambda: len(node.servers.list_usable(node.now())) == 1)
                status, _, _ = await env.send_request()
                self.assertEqual(200, status)

        self.run_async(scenario)

    def test_row_that_cannot_be_applied_leaves_the_others_in_use(self) -> None:
        """Guards against rows that are lost since an earlier row of the same read failed."""

        async def scenario() -> None:
            async with harness.start_gateway(("s1", "s2")) as env:
                node = env.gateway.node
                read = node.documents.read_registration

                def read_or_fail(row):
                    if row.key == "a-odd":
                        raise RuntimeError("unexpected")
                    return read(row)

                self.patch(documents, "read_registration", read_or_fail)
                await env.store.put("servers", "a-odd", b"{}")
                draining = env.servers[0].register("reader", "hall-1", "draining", sequence=2)
                await env.store.put("servers", "s1", draining)
                await env.wait_until(lambda: len(node.servers.list_usable(node.now())) == 1)

        self.run_async(scenario)


class OddMessageTest(testtools.TestCase):
    """Messages and rows of instances."""

    @parameterized.expand(
        [
            ("infinite start", [6, ["a", float("inf"), "d", "h:1", "h:2", 1]]),
            ("port out of range", [6, ["a", 1, "d", "h:70000", "h:2", 1]]),
            ("no port", [6, ["a", 1, "d", "h:1", "h", 1]]),
        ]
    )
    def test_odd_record_of_an_instance_is_an_error_of_its_row(self, _name, content) -> None:
        data = announcements.msgpack.packb(content)
        self.assertRaises(errors.ProtocolError, announcements.decode_member, data)

    def test_odd_rows_of_another_instance_are_an_error_of_the_message(self) -> None:
        content = [6, [["servers", [1, float("inf")], False, []]]]
        data = announcements.msgpack.packb(content)
        self.assertRaises(errors.ProtocolError, announcements.decode_table_changes, data)

    def test_odd_announcement_is_an_error_of_the_message(self) -> None:
        content = [6, 1, float("inf"), *[None] * 12]
        data = announcements.msgpack.packb(content)
        self.assertRaises(errors.ProtocolError, announcements.decode_announcement, data)

    def test_odd_report_of_crashes_is_an_error_of_the_message(self) -> None:
        items = [[[b"d" * 16, float("inf"), [1], []]]]
        self.assertRaises(errors.ProtocolError, crash_messages.decode_reports, items)
