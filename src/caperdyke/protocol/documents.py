"""Parses and validates the documents that operators write: places and contracts."""

from caperdyke import errors
from caperdyke.protocol import ini
from caperdyke.state import blockmap, ids, places
from caperdyke.state import configuration as configurations
from caperdyke.state import contract as contracts

COUNT_MAX = 10_000_000
SLICES_MAX = 256
DEADLINE_MAX_MS = 3_600_000


def parse_document(
    file: str, text: str
) -> tuple[configurations.DocumentName, places.Places | contracts.Contract]:
    """Returns the name and content of an operator's document.

    :raises errors.SettingsError: if the document is invalid.
    """
    document = ini.Document(file, text)
    if document.has_section("contract"):
        contract = _parse_contract(document)
        name = _make_name(configurations.DocumentKind.CONTRACT, contract.customer)
        document.check_all_read()
        return name, contract
    if document.has_section("places"):
        operator_places = _parse_places(document)
        name = _make_name(configurations.DocumentKind.PLACES, operator_places.operator)
        document.check_all_read()
        return name, operator_places
    raise errors.SettingsError(
        file, "", "", "neither section", "a section [contract] or a section [places]"
    )


def _make_name(kind: configurations.DocumentKind, subject: str) -> configurations.DocumentName:
    return configurations.DocumentName(kind, subject)


def _parse_places(document: ini.Document) -> places.Places:
    operator = ids.OperatorName(document.read_text("places", "operator"))
    domains = tuple(_parse_domain(document, name) for name in document.list_sections("domain"))
    if not domains:
        raise document.make_error("places", "", "no section [domain NAME]", "at least one")
    regions = [domain.region for domain in domains]
    loans = []
    for borrower in document.list_sections("loan"):
        section = f"loan {borrower}"
        for region in regions:
            amount = document.read_number(section, region, 0, COUNT_MAX, 0)
            if amount and all(loan.region != region for loan in loans):
                loans.append(places.Loan(region, ids.OperatorName(borrower), amount))
    return places.Places(operator, domains, tuple(loans))


def _parse_domain(document: ini.Document, name: str) -> places.FailureDomain:
    section = f"domain {name}"
    return places.FailureDomain(
        ids.DomainName(name),
        ids.RegionName(document.read_text(section, "region")),
        document.read_number(section, "capacity", 0, COUNT_MAX),
        document.read_number(section, "slices", 1, SLICES_MAX),
        _read_blocks(document, section),
    )


def _read_blocks(document: ini.Document, section: str) -> tuple[str, ...]:
    words = document.read_words(section, "blocks", "")
    for word in words:
        try:
            blockmap.parse_block(word)
        except ValueError as error:
            expected = "IPv4 blocks such as 10.1.0.0/16"
            raise document.make_error(section, "blocks", repr(word), expected) from error
    return tuple(words)


def _parse_contract(document: ini.Document) -> contracts.Contract:
    section = "contract"
    services = tuple(_parse_service(document, name) for name in document.list_sections("service"))
    regions = tuple(_parse_region(document, name) for name in document.list_sections("region"))
    for kind, sections in (("service", services), ("region", regions)):
        if not sections:
            raise document.make_error(section, "", f"no section [{kind} NAME]", "at least one")
    weights = [weight.value for weight in contracts.Weight]
    return contracts.Contract(
        customer=ids.CustomerName(document.read_text(section, "customer")),
        operator=ids.OperatorName(document.read_text(section, "operator")),
        weight=contracts.Weight(document.read_choice(section, "weight", weights)),
        period_ms=document.read_number(section, "period_ms", 100, 60_000),
        shift_cap=document.read_number(section, "shift_cap", 0, COUNT_MAX),
        shift_step=document.read_number(section, "shift_step", 0, COUNT_MAX),
        retry_percent=document.read_number(section, "retry_percent", 0, 100),
        services=services,
        regions=regions,
    )


def _parse_service(document: ini.Document, name: str) -> contracts.Service:
    section = f"service {name}"
    kinds = [kind.value for kind in contracts.ServiceKind]
    return contracts.Service(
        ids.ServiceName(name),
        contracts.ServiceKind(document.read_choice(section, "kind", kinds)),
        document.read_flag(section, "repeatable"),
        document.read_number(section, "deadline_ms", 1, DEADLINE_MAX_MS),
    )


def _parse_region(document: ini.Document, name: str) -> contracts.RegionLimits:
    section = f"region {name}"
    never = document.read_words(section, "never", "")
    return contracts.RegionLimits(
        ids.RegionName(name),
        document.read_number(section, "share", 0, COUNT_MAX),
        document.read_number(section, "floor", 0, COUNT_MAX),
        document.read_number(section, "shift", 0, COUNT_MAX),
        frozenset(ids.ServiceName(word) for word in never),
    )
