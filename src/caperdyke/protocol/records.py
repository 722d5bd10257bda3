"""Keys and records of the platform's table, and their conversion to configurations."""

import dataclasses

from caperdyke import errors
from caperdyke.coordination import acceptance
from caperdyke.protocol import documents, frames
from caperdyke.state import configuration as configurations
from caperdyke.state import ids, lease

HEAD_KEY = "config/head"
SNAPSHOT_KEY = "config/snapshot"
DRAIN_KEY = "drains"


def make_change_key(revision: ids.Revision) -> str:
    """Returns the key of the row that holds one accepted change."""
    return f"config/change/{revision}"


def make_change_id_key(change_id: ids.ChangeId) -> str:
    """Returns the key of the row that holds the revision of an accepted change."""
    return f"config/change-id/{change_id}"


def make_lease_key(domain: ids.DomainName) -> str:
    """Returns the key of a failure domain's lease row."""
    return f"lease/{domain}"


def make_claim_key(customer: ids.CustomerName, service: ids.ServiceName, token: str) -> str:
    """Returns the key of the row that maps a caller's idempotency key to a request key."""
    return f"claim/{customer}/{service}/{token}"


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Newest accepted revision."""

    revision: ids.Revision
    change_id: ids.ChangeId


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One accepted change."""

    revision: ids.Revision
    change_id: ids.ChangeId
    operator: ids.OperatorName
    accepted_at: ids.Timestamp
    in_force_at: ids.Timestamp
    kind: configurations.DocumentKind
    subject: str
    text: str

    @property
    def name(self) -> configurations.DocumentName:
        """Name of the changed document."""
        return configurations.DocumentName(self.kind, self.subject)


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotText:
    """One document within a snapshot."""

    kind: configurations.DocumentKind
    subject: str
    revision: ids.Revision
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A whole configuration."""

    revision: ids.Revision
    change_id: ids.ChangeId
    in_force_at: ids.Timestamp
    texts: tuple[SnapshotText, ...]
    standing_floors: tuple[configurations.StandingFloor, ...]


def make_snapshot(configuration: configurations.Configuration) -> Snapshot:
    """Returns the snapshot of a configuration."""
    texts = tuple(
        SnapshotText(name.kind, name.subject, configuration.text_revisions[name], text)
        for name, text in configuration.texts.items()
    )
    return Snapshot(
        configuration.revision,
        configuration.change_id,
        configuration.in_force_at,
        texts,
        configuration.standing_floors,
    )


def restore_configuration(snapshot: Snapshot) -> configurations.Configuration:
    """Returns the configuration in a snapshot.

    :raises errors.CaperdykeError: if a document in it is invalid.
    """
    operator_places = {}
    customer_contracts = {}
    texts = {}
    revisions = {}
    for item in snapshot.texts:
        name, document = documents.parse_document(f"revision {item.revision}", item.text)
        texts[name] = item.text
        revisions[name] = item.revision
        if name.kind is configurations.DocumentKind.PLACES:
            operator_places[document.operator] = document
        else:
            customer_contracts[document.customer] = document
    return configurations.Configuration(
        snapshot.revision,
        snapshot.change_id,
        snapshot.in_force_at,
        operator_places,
        customer_contracts,
        snapshot.standing_floors,
        texts,
        revisions,
    )


def apply_change(
    configuration: configurations.Configuration, change: Change
) -> configurations.Configuration:
    """Returns the configuration with its next change applied.

    :raises errors.ProtocolError: if the change is not the next one.
    """
    expected = configuration.revision + 1
    if change.revision != expected:
        raise errors.ProtocolError(f"change {change.revision} arrived, expected {expected}")
    _, document = documents.parse_document(f"revision {change.revision}", change.text)
    return acceptance.apply_document(
        configuration, change.change_id, change.in_force_at, change.name, change.text, document
    )


def decode_lease(data: bytes, version: int) -> lease.DomainLease:
    """Returns a lease row with the version that it has in the table."""
    return dataclasses.replace(frames.decode_record(lease.DomainLease, data), version=version)
