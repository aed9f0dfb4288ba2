"""Models that validate the values published by the platform."""

import hashlib

import pydantic
import result

from citronport import const
from citronport import validation
from citronport.scheduler import models as scheduler_models


class _Strict(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class DataCentreModel(_Strict):
    """A data centre and its service state, which operators set."""

    name: str
    state: scheduler_models.Service = scheduler_models.Service.IN


class InstanceModel(_Strict):
    """An instance in the platform's instance list."""

    name: str
    data_centre: str
    address: pydantic.IPvAnyAddress
    caller_port: int
    peer_port: int
    operator_port: int = pydantic.Field(default=0, ge=0, le=65535)
    state: scheduler_models.Service = scheduler_models.Service.IN


class EndpointModel(_Strict):
    """An endpoint in the catalogue; units as in the scheduler's model."""

    name: str
    kind: scheduler_models.Kind = scheduler_models.Kind.ENGINE
    models: tuple[str, ...] = pydantic.Field(min_length=1)
    data_centre: str
    address: pydantic.IPvAnyAddress
    port: int = pydantic.Field(ge=1, le=65535)
    concurrency: int = pydantic.Field(default=8, ge=1)
    cold_concurrency: int = pydantic.Field(default=1, ge=1)
    cold_prompt_tokens: int = pydantic.Field(default=2000, ge=1)
    prefill_rate: float = pydantic.Field(default=2000.0, gt=0)
    decode_rate: float = pydantic.Field(default=50.0, gt=0)
    cache_tokens: int = pydantic.Field(default=100_000, ge=0)
    state: scheduler_models.Service = scheduler_models.Service.IN


class LimitsModel(_Strict):
    """Limits of an entry, summed over the fleet."""

    requests_per_second: float | None = pydantic.Field(default=None, gt=0)
    concurrency: int | None = pydantic.Field(default=None, ge=1)
    tokens_per_second: float | None = pydantic.Field(default=None, gt=0)


class EntryModel(_Strict):
    """A catalogue entry: an owner, its tier and its limits."""

    name: str
    owner: str
    tier: int = pydantic.Field(alias="class", ge=0, lt=const.TIERS)
    weight: float = pydantic.Field(default=1.0, gt=0)
    key_sha256: str = pydantic.Field(pattern="^[0-9a-f]{64}$")
    limits: LimitsModel = LimitsModel()


class CatalogueModel(_Strict):
    """The complete catalogue.

    All keys share one salt, so that a key is found with one hash and one
    look-up regardless of the number of entries.
    """

    version: int = pydantic.Field(ge=1)
    key_salt: str = pydantic.Field(min_length=8)
    data_centres: tuple[DataCentreModel, ...] = pydantic.Field(min_length=1)
    endpoints: tuple[EndpointModel, ...] = ()
    entries: tuple[EntryModel, ...] = ()

    @pydantic.model_validator(mode="after")
    def check_consistency(self) -> "CatalogueModel":
        """Reject duplicates and references to unknown data centres."""
        for part in ("data_centres", "endpoints", "entries"):
            _check_unique(part, "name", [i.name for i in getattr(self, part)])
        # An endpoint with two names could have two owners. Each would use
        # its full concurrency, and together they would overload it while
        # it is cold.
        addresses = [f"{e.address}:{e.port}" for e in self.endpoints]
        _check_unique("endpoints", "address", addresses)
        # With a key in two entries, the tier of a request would be
        # ambiguous.
        keys = [e.key_sha256 for e in self.entries]
        _check_unique("entries", "key_sha256", keys)
        known = {item.name for item in self.data_centres}
        for index, endpoint in enumerate(self.endpoints):
            if endpoint.data_centre not in known:
                raise validation.make_error(
                    ("endpoints", index, "data_centre"),
                    f"no data centre {endpoint.data_centre}",
                )
        return self


def _check_unique(part: str, field: str, values: list[str]) -> None:
    seen = set()
    for index, value in enumerate(values):
        if value in seen:
            raise validation.make_error(
                (part, index, field), f"{value} stands twice"
            )
        seen.add(value)


class InstanceListModel(_Strict):
    """The list of running and leaving instances."""

    version: int = pydantic.Field(ge=1)
    instances: tuple[InstanceModel, ...] = ()


def parse_catalogue(text: str) -> result.Result[CatalogueModel, str]:
    """Parse and validate the YAML text of a catalogue."""
    return validation.parse(text, CatalogueModel)


def make_fleet(catalogue: CatalogueModel) -> scheduler_models.Fleet:
    """Convert a catalogue to the scheduler's model."""
    return scheduler_models.Fleet(
        version=catalogue.version,
        data_centres={d.name: d.state for d in catalogue.data_centres},
        endpoints={e.name: _make_endpoint(e) for e in catalogue.endpoints},
        entries={e.name: _make_entry(e) for e in catalogue.entries},
    )


def _make_endpoint(model: EndpointModel) -> scheduler_models.Endpoint:
    fields = model.model_dump(exclude={"address", "port"})
    return scheduler_models.Endpoint(
        address=f"{model.address}:{model.port}", **fields
    )


def _make_entry(model: EntryModel) -> scheduler_models.Entry:
    return scheduler_models.Entry(
        name=model.name,
        workspace=model.owner,
        tier=model.tier,
        weight=model.weight,
        limits=scheduler_models.Limits(**model.limits.model_dump()),
    )


def make_instances(
    listed: InstanceListModel,
) -> dict[str, scheduler_models.Instance]:
    """Convert the instance list to the scheduler's models, by name."""
    return {
        item.name: scheduler_models.Instance(
            **{**item.model_dump(), "address": str(item.address)}
        )
        for item in listed.instances
    }


def hash_key(salt: str, key: str) -> str:
    """Return the salted hash of a workspace key in hexadecimal."""
    return hashlib.sha256(f"{salt}:{key}".encode()).hexdigest()
