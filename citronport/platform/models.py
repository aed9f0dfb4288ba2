"""What the platform publishes, validated at the border."""

import hashlib
from typing import Any

import pydantic
import result
import yaml

from citronport import const
from citronport import settings
from citronport.scheduler import models as decisions


class _Strict(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class DataCentreModel(_Strict):
    """A data centre and whether operators have it in service."""

    name: str
    state: decisions.Service = decisions.Service.IN


class InstanceModel(_Strict):
    """An entry instance in the platform's list."""

    name: str
    data_centre: str
    address: pydantic.IPvAnyAddress
    caller_port: int
    peer_port: int
    state: decisions.Service = decisions.Service.IN


class EndpointModel(_Strict):
    """An endpoint in the catalogue; units as in ``decisions.Endpoint``."""

    name: str
    kind: decisions.Kind = decisions.Kind.ENGINE
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
    state: decisions.Service = decisions.Service.IN


class LimitsModel(_Strict):
    """Limits of an entry over the whole fleet."""

    requests_per_second: float | None = pydantic.Field(default=None, gt=0)
    concurrency: int | None = pydantic.Field(default=None, ge=1)
    tokens_per_second: float | None = pydantic.Field(default=None, gt=0)


class EntryModel(_Strict):
    """A catalogue entry: an owner, a class and that owner's limits."""

    name: str
    owner: str
    tier: int = pydantic.Field(alias="class", ge=0, lt=const.TIERS)
    weight: float = pydantic.Field(default=1.0, gt=0)
    key_sha256: str = pydantic.Field(pattern="^[0-9a-f]{64}$")
    limits: LimitsModel = LimitsModel()


class CatalogueModel(_Strict):
    """The catalogue, whole.

    One salt serves all keys, so that a key is found by one hash and one
    look-up however many entries there are.
    """

    version: int = pydantic.Field(ge=1)
    key_salt: str = pydantic.Field(min_length=8)
    data_centres: tuple[DataCentreModel, ...] = pydantic.Field(min_length=1)
    endpoints: tuple[EndpointModel, ...] = ()
    entries: tuple[EntryModel, ...] = ()

    @pydantic.model_validator(mode="after")
    def check_names(self) -> "CatalogueModel":
        """Refuse names that stand twice and data centres not listed."""
        for part in ("data_centres", "endpoints", "entries"):
            names = [item.name for item in getattr(self, part)]
            twice = {name for name in names if names.count(name) > 1}
            if twice:
                raise ValueError(f"{part}: {min(twice)} stands twice")
        known = {item.name for item in self.data_centres}
        for endpoint in self.endpoints:
            if endpoint.data_centre not in known:
                raise ValueError(
                    f"endpoints: {endpoint.name}: no data centre "
                    f"{endpoint.data_centre}"
                )
        return self


class InstanceListModel(_Strict):
    """The list of live and leaving instances."""

    version: int = pydantic.Field(ge=1)
    instances: tuple[InstanceModel, ...] = ()


def parse_catalogue(text: str) -> result.Result[CatalogueModel, str]:
    """Check a catalogue whole.

    Args:
        text: YAML.

    Returns:
        The catalogue, or one line that names each wrong place, with its
        line number in the text where it can be told.
    """
    try:
        raw = yaml.safe_load(text)
    except yaml.YAMLError as error:
        return result.Err("not YAML: " + " ".join(str(error).split()))
    try:
        return result.Ok(CatalogueModel.model_validate(raw))
    except pydantic.ValidationError as error:
        lines = [
            f"line {find_line(text, item['loc'])}" for item in error.errors()
        ]
        described = settings.describe_errors(error)
        return result.Err(f"{', '.join(lines)}: {described}")


def find_line(text: str, place: tuple[int | str, ...]) -> int:
    """Return the line (from 1) of the node at a place in a YAML text."""
    node = yaml.compose(text, Loader=yaml.SafeLoader)
    line = 1
    for step in place:
        if node is None:
            return line
        line = node.start_mark.line + 1
        child = _descend(node, step)
        if child is None:
            return line
        node = child
    return node.start_mark.line + 1 if node is not None else line


def _descend(node: Any, step: int | str) -> Any:
    match node:
        case yaml.MappingNode():
            for key, value in node.value:
                if key.value == step:
                    return value
        case yaml.SequenceNode() if isinstance(step, int):
            return node.value[step]
    return None


def make_fleet(catalogue: CatalogueModel) -> decisions.Fleet:
    """Return the catalogue as the decisions see it."""
    return decisions.Fleet(
        version=catalogue.version,
        data_centres={d.name: d.state for d in catalogue.data_centres},
        endpoints={e.name: _make_endpoint(e) for e in catalogue.endpoints},
        entries={e.name: _make_entry(e) for e in catalogue.entries},
    )


def _make_endpoint(model: EndpointModel) -> decisions.Endpoint:
    fields = model.model_dump(exclude={"address", "port"})
    return decisions.Endpoint(
        address=f"{model.address}:{model.port}", **fields
    )


def _make_entry(model: EntryModel) -> decisions.Entry:
    return decisions.Entry(
        name=model.name,
        workspace=model.owner,
        tier=model.tier,
        weight=model.weight,
        limits=decisions.Limits(**model.limits.model_dump()),
    )


def make_instances(
    listed: InstanceListModel,
) -> dict[str, decisions.Instance]:
    """Return the instance list as the decisions see it."""
    return {
        item.name: decisions.Instance(
            **{**item.model_dump(), "address": str(item.address)}
        )
        for item in listed.instances
    }


def hash_key(salt: str, key: str) -> str:
    """Return the salted hash of a workspace key, hexadecimal."""
    return hashlib.sha256(f"{salt}:{key}".encode()).hexdigest()
