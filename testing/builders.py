"""Builders of configurations, lease rows, members and keys shared by tests."""

import dataclasses

import hypothesis

from caperdyke.coordination import acceptance, adoption, leases
from caperdyke.protocol import documents
from caperdyke.state import configuration as configurations
from caperdyke.state import contract as contracts
from caperdyke.state import ids, keys, lease, member

# Property tests report the first failing example unshrunk; shrinking would take minutes.
PHASES = (hypothesis.Phase.explicit, hypothesis.Phase.generate)

PLACES_TEXT = """
[places]
operator = tala

[domain pasig-hall]
region = luzon
capacity = 100
slices = 2
blocks = 10.1.0.0/17

[domain quezon-hall]
region = luzon
capacity = 100
slices = 2
blocks = 10.1.128.0/17

[domain cebu-hall]
region = visayas
capacity = 200
slices = 3
blocks = 10.2.0.0/16
"""

CONTRACT_TEXT = """
[contract]
customer = tala-gallery
operator = tala
weight = latency
period_ms = 1000
shift_cap = 50
shift_step = 20
retry_percent = 10

[service gallery-reader]
kind = cheap
repeatable = yes
deadline_ms = 2000

[service checkout]
kind = cheap
repeatable = no
deadline_ms = 4000

[region luzon]
share = 120
floor = 60
shift = 20

[region visayas]
share = 150
floor = 75
shift = 30
never = checkout
"""

CUSTOMER = ids.CustomerName("tala-gallery")
PASIG = ids.DomainName("pasig-hall")
CEBU = ids.DomainName("cebu-hall")


def make_proposal(
    text: str,
    change_id: str = "change-1",
    operator: str = "tala",
    base: int = 0,
) -> acceptance.Proposal:
    """Returns a proposal for a document."""
    name, document = documents.parse_document("test.ini", text)
    return acceptance.Proposal(
        ids.ChangeId(change_id),
        ids.OperatorName(operator),
        name,
        ids.Revision(base),
        text,
        document,
    )


def make_configuration(contract_text: str = CONTRACT_TEXT) -> configurations.Configuration:
    """Returns revision 2, with the places and one contract, accepted at 10 s and long in force."""
    first = acceptance.accept(0.0, configurations.EMPTY, make_proposal(PLACES_TEXT))
    return acceptance.accept(10.0, first, make_proposal(contract_text, "change-2"))


def change_contract(
    configuration: configurations.Configuration, now: float, old: str, new: str
) -> configurations.Configuration:
    """Returns the next revision with one piece of the contract's text replaced."""
    name = configurations.DocumentName(configurations.DocumentKind.CONTRACT, CUSTOMER)
    text = configuration.texts[name].replace(old, new)
    base = configuration.text_revisions[name]
    proposal = make_proposal(text, f"change-{configuration.revision + 1}", base=base)
    return acceptance.accept(now, configuration, proposal)


def make_configuration_table(now: float, configuration: configurations.Configuration):
    """Returns a configuration table that holds one configuration, confirmed now."""
    configuration_table = adoption.ConfigurationTable()
    configuration_table.adopt(now, configuration)
    configuration_table.confirm(configuration.revision, now)
    return configuration_table


def make_holder(name: str, incarnation: int = 1) -> lease.Holder:
    """Returns a holder."""
    return lease.Holder(ids.InstanceId(name), ids.Incarnation(incarnation))


def make_member(
    name: str,
    domain: str = "pasig-hall",
    state: member.MemberState = member.MemberState.LIVE,
    incarnation: int = 1,
    successor: str = "",
) -> member.Member:
    """Returns the record of an instance."""
    return member.Member(
        ids.InstanceId(name),
        ids.Incarnation(incarnation),
        ids.DomainName(domain),
        ids.Address(f"{name}:1"),
        ids.Address(f"{name}:2"),
        state,
        ids.InstanceId(successor),
    )


def make_row(
    now: float, holders: list[lease.Holder], slice_count: int, domain: ids.DomainName = PASIG
) -> lease.DomainLease:
    """Returns a lease row whose slices are distributed among holders."""
    row = lease.make_empty(domain, 0)
    for _ in range(slice_count):
        row = leases.plan_renewal(now, row, holders, slice_count)
    return dataclasses.replace(row, version=1)


def make_key(owner: str = "one", sequence: int = 1, expires_at: int = 100_000) -> keys.RequestKey:
    """Returns a request key.

    :param expires_at: in milliseconds since 1970.
    """
    return keys.RequestKey(make_holder(owner), sequence, PASIG, expires_at)


def find_service(name: str) -> contracts.Service:
    """Returns a service of the test contract."""
    return make_configuration().contracts[CUSTOMER].find_service(name)
