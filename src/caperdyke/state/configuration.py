"""One accepted configuration and the documents that it consists of."""

import dataclasses
import enum

from caperdyke.state import contract as contracts
from caperdyke.state import ids, places


class DocumentKind(enum.Enum):
    """What an operator's document describes."""

    PLACES = "places"
    CONTRACT = "contract"


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentName:
    """Kind and subject of a document; places are named by operator, contracts by customer."""

    kind: DocumentKind
    subject: str

    def __str__(self) -> str:
        return f"{self.kind.value}/{self.subject}"


@dataclasses.dataclass(frozen=True, slots=True)
class StandingFloor:
    """A floor that one slice had in an earlier revision.

    An instance that is cut off from the platform may still be using it.

    :param until: time at which the last such instance stops using it, seconds since 1970.
    """

    customer: ids.CustomerName
    domain: ids.DomainName
    slice_index: int
    floor: int
    shift_floor: int
    until: ids.Timestamp


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """All documents at one revision.

    :param in_force_at: time from which this revision replaces earlier ones, seconds since 1970.
    """

    revision: ids.Revision
    change_id: ids.ChangeId
    in_force_at: ids.Timestamp
    places: dict[ids.OperatorName, places.Places]
    contracts: dict[ids.CustomerName, contracts.Contract]
    standing_floors: tuple[StandingFloor, ...] = ()
    # Text of each document as its operator wrote it, and the revision that accepted it.
    texts: dict[DocumentName, str] = dataclasses.field(default_factory=dict)
    text_revisions: dict[DocumentName, ids.Revision] = dataclasses.field(default_factory=dict)

    def find_domain(self, name: ids.DomainName) -> places.FailureDomain | None:
        """Returns a failure domain of any operator, or None."""
        for operator_places in self.places.values():
            domain = operator_places.find_domain(name)
            if domain is not None:
                return domain
        return None

    def list_region(self, region: ids.RegionName) -> tuple[places.FailureDomain, ...]:
        """Returns the failure domains of a region."""
        owner = self.find_owner(region)
        return owner.list_region(region) if owner else ()

    def find_owner(self, region: ids.RegionName) -> places.Places | None:
        """Returns the places of the operator that runs a region, or None."""
        return next((item for item in self.places.values() if region in item.regions), None)


EMPTY = Configuration(ids.Revision(0), ids.ChangeId(""), ids.Timestamp(0.0), {}, {})
