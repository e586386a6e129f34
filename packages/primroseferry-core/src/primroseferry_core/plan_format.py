"""Parsing and serialising the operators' two lists.

Operators edit YAML; the key-value service and the gateways exchange the same structure as
compressed JSON. Every error names the path of the field and the expected value.
"""

from __future__ import annotations

import json
import zlib
from typing import TYPE_CHECKING
from typing import Any

import yaml

from .errors import PrimroseferryError
from .ids import ChangeId
from .ids import CustomerId
from .ids import ModelId
from .ids import PlanId
from .ids import RegionId
from .ids import ServiceId
from .plans import CustomerPlan
from .plans import Execution
from .plans import ModelUse
from .plans import Operation
from .plans import PlanChange
from .plans import PlanDocument
from .plans import PlanUse
from .plans import ServiceUse
from .plans import Urgency
from .plans import Weights

if TYPE_CHECKING:
    from collections.abc import Callable
    from enum import Enum
    from typing import TypeVar

    T = TypeVar("T")
    E = TypeVar("E", bound=Enum)

PLANS_KEY = "plans"
"""Key of the document in the key-value service."""

MAX_DOCUMENT_BYTES = 1_000_000
MAX_HISTORY_CHANGES = 64
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")


class PlanFormatError(PrimroseferryError):
    """A field of the lists is invalid. ``path`` is its path, such as ``plans[2].urgency``."""

    def __init__(self, path: str, expected: str, found: str) -> None:
        super().__init__(f"{path}: expected {expected}, found {found}")
        self.path = path
        self.expected = expected
        self.found = found


def parse_yaml(text: str) -> PlanDocument:
    """Parse the operators' YAML. Raises :class:`PlanFormatError` for the first invalid field."""
    try:
        data = yaml.safe_load(text)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        where = f"line {mark.line + 1}" if mark is not None else "document"
        raise PlanFormatError(where, "valid YAML", str(getattr(error, "problem", error))) from error
    return _parse_document(data)


def parse_stored(stored: bytes) -> PlanDocument:
    """Parse the output of :func:`to_stored`. Raises :class:`PlanFormatError`."""
    try:
        data = json.loads(zlib.decompress(stored))
    except (zlib.error, ValueError) as error:
        raise PlanFormatError("document", "compressed JSON", str(error)) from error
    return _parse_document(data)


def to_stored(document: PlanDocument) -> bytes:
    """Serialise a document to the compressed JSON that the key-value service stores."""
    compact = json.dumps(to_data(document), separators=(",", ":"), sort_keys=True)
    return zlib.compress(compact.encode())


def to_yaml(document: PlanDocument) -> str:
    """Serialise a document to the YAML that operators edit."""
    return yaml.safe_dump(to_data(document), sort_keys=False, width=100)


def to_data(document: PlanDocument) -> dict[str, Any]:
    """Return a document as JSON-compatible values."""
    return {
        "revision": document.revision,
        "customers": [
            {"customer": str(row.customer), "plan": str(row.plan)} for row in document.customers
        ],
        "plans": [_plan_to_data(use) for use in document.plans],
        "history": [
            {
                "change_id": str(change.change_id),
                "revision": change.revision,
                "author": change.author,
                "summary": change.summary,
            }
            for change in document.history
        ],
    }


def _plan_to_data(use: PlanUse) -> dict[str, Any]:
    return {
        "plan": str(use.plan),
        "regions": [str(region) for region in use.regions],
        "urgency": use.urgency.value,
        "accepted_cost": use.accepted_cost,
        "weights": {
            "cost": use.weights.cost,
            "tail_latency": use.weights.tail_latency,
            "share_sent_away": use.weights.share_sent_away,
        },
        "models": [_model_to_data(model) for model in use.models],
        "services": [_service_to_data(service) for service in use.services],
    }


def _model_to_data(use: ModelUse) -> dict[str, Any]:
    row: dict[str, Any] = {"model": str(use.model), "max_open_requests": use.max_open_requests}
    if use.version:
        row["version"] = use.version
    return row


def _service_to_data(use: ServiceUse) -> dict[str, Any]:
    operations = []
    for operation in use.operations:
        row = {
            "operation": f"{operation.method} {operation.path}",
            "execution": operation.execution.value,
        }
        if operation.lookup_path:
            row["lookup_path"] = operation.lookup_path
        operations.append(row)
    return {
        "service": str(use.service),
        "max_open_requests": use.max_open_requests,
        "operations": operations,
    }


def _parse_document(data: object) -> PlanDocument:
    reader = _FieldReader(data, "document", ("revision", "customers", "plans", "history"))
    customers = reader.rows("customers", _parse_customer)
    plans = reader.rows("plans", _parse_plan)
    _check_unique([str(row.customer) for row in customers], "customers", "customer")
    _check_unique([str(use.plan) for use in plans], "plans", "plan")
    _check_versions(plans)
    known = {use.plan for use in plans}
    for index, row in enumerate(customers):
        if row.plan not in known:
            path = f"customers[{index}].plan"
            raise PlanFormatError(path, "the name of a plan in the list plans", repr(row.plan))
    return PlanDocument(
        revision=reader.whole_number("revision", minimum=0, default=0),
        customers=customers,
        plans=plans,
        history=reader.rows("history", _parse_change, default=())[:MAX_HISTORY_CHANGES],
    )


def _check_versions(plans: tuple[PlanUse, ...]) -> None:
    """Require one version per model across all plans: an engine loads one version at a time."""
    desired: dict[ModelId, str] = {}
    for plan_index, plan in enumerate(plans):
        for model_index, use in enumerate(plan.models):
            if use.version and desired.setdefault(use.model, use.version) != use.version:
                path = f"plans[{plan_index}].models[{model_index}].version"
                expected = f"{desired[use.model]!r} as in the plans before"
                raise PlanFormatError(path, expected, repr(use.version))


def _check_unique(names: list[str], where: str, field_name: str) -> None:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            raise PlanFormatError(f"{where}[{index}].{field_name}", "a name used once", repr(name))
        seen.add(name)


def _parse_customer(data: object, path: str) -> CustomerPlan:
    reader = _FieldReader(data, path, ("customer", "plan"))
    return CustomerPlan(CustomerId(reader.name("customer")), PlanId(reader.name("plan")))


def _parse_change(data: object, path: str) -> PlanChange:
    reader = _FieldReader(data, path, ("change_id", "revision", "author", "summary"))
    return PlanChange(
        ChangeId(reader.name("change_id")),
        reader.whole_number("revision", minimum=0),
        reader.text("author"),
        reader.text("summary"),
    )


def _parse_plan(data: object, path: str) -> PlanUse:
    fields = ("plan", "regions", "urgency", "accepted_cost", "weights", "models", "services")
    reader = _FieldReader(data, path, fields)
    regions = reader.rows("regions", _parse_region)
    if not regions:
        raise PlanFormatError(f"{path}.regions", "at least one region", "an empty list")
    _check_unique([str(region) for region in regions], f"{path}.regions", "name")
    models = reader.rows("models", _parse_model, default=())
    services = reader.rows("services", _parse_service, default=())
    _check_unique([str(use.model) for use in models], f"{path}.models", "model")
    _check_unique([str(use.service) for use in services], f"{path}.services", "service")
    return PlanUse(
        plan=PlanId(reader.name("plan")),
        regions=regions,
        urgency=reader.enum_value("urgency", Urgency),
        accepted_cost=reader.non_negative_number("accepted_cost"),
        weights=_parse_weights(reader.get("weights", {}), f"{path}.weights"),
        models=models,
        services=services,
    )


def _parse_region(data: object, path: str) -> RegionId:
    if not isinstance(data, str) or not data:
        raise PlanFormatError(path, "the name of a region", repr(data))
    return RegionId(data)


def _parse_weights(data: object, path: str) -> Weights:
    reader = _FieldReader(data, path, ("cost", "tail_latency", "share_sent_away"))
    return Weights(
        cost=reader.non_negative_number("cost", default=1.0),
        tail_latency=reader.non_negative_number("tail_latency", default=1.0),
        share_sent_away=reader.non_negative_number("share_sent_away", default=1.0),
    )


def _parse_model(data: object, path: str) -> ModelUse:
    reader = _FieldReader(data, path, ("model", "max_open_requests", "version"))
    return ModelUse(
        ModelId(reader.name("model")),
        reader.whole_number("max_open_requests", 1),
        reader.text("version", default=""),
    )


def _parse_service(data: object, path: str) -> ServiceUse:
    reader = _FieldReader(data, path, ("service", "max_open_requests", "operations"))
    operations = reader.rows("operations", _parse_operation)
    names = [f"{operation.method} {operation.path}" for operation in operations]
    _check_unique(names, f"{path}.operations", "operation")
    return ServiceUse(
        ServiceId(reader.name("service")),
        reader.whole_number("max_open_requests", 1),
        operations,
    )


def _parse_operation(data: object, path: str) -> Operation:
    reader = _FieldReader(data, path, ("operation", "execution", "lookup_path"))
    method, _, route = reader.name("operation").partition(" ")
    if method not in METHODS or not route.startswith("/"):
        expected = f"a method ({', '.join(METHODS)}), a space and a path such as 'POST /orders'"
        raise PlanFormatError(f"{path}.operation", expected, repr(reader.name("operation")))
    lookup_path = reader.text("lookup_path", default="")
    if lookup_path and "{key}" not in lookup_path:
        raise PlanFormatError(f"{path}.lookup_path", "a path containing {key}", repr(lookup_path))
    return Operation(method, route, reader.enum_value("execution", Execution), lookup_path)


_MISSING = object()


class _FieldReader:
    """Reads and validates the fields of one mapping. ``path`` locates it in error messages."""

    def __init__(self, data: object, path: str, fields: tuple[str, ...]) -> None:
        if not isinstance(data, dict):
            expected = f"a mapping with the fields {', '.join(fields)}"
            raise PlanFormatError(path, expected, _describe(data))
        for name in data:
            if name not in fields:
                raise PlanFormatError(
                    self._join(path, str(name)), f"one of {', '.join(fields)}", "an unknown field"
                )
        self._data = data
        self._path = path

    @staticmethod
    def _join(path: str, name: str) -> str:
        return name if path == "document" else f"{path}.{name}"

    def get(self, name: str, default: object = _MISSING) -> object:
        value = self._data.get(name, _MISSING)
        if value is _MISSING or value is None:
            value = default
        if value is _MISSING:
            raise PlanFormatError(self._join(self._path, name), "a value", "nothing")
        return value

    def name(self, name: str) -> str:
        value = self.text(name)
        if not value or value != value.strip():
            raise PlanFormatError(self._join(self._path, name), "a name", repr(value))
        return value

    def text(self, name: str, default: object = _MISSING) -> str:
        value = self.get(name, default)
        if not isinstance(value, str):
            raise PlanFormatError(self._join(self._path, name), "a text", _describe(value))
        return value

    def whole_number(self, name: str, minimum: int, default: object = _MISSING) -> int:
        value = self.get(name, default)
        if not isinstance(value, int) or isinstance(value, bool) or value < minimum:
            expected = f"a whole number of at least {minimum}"
            raise PlanFormatError(self._join(self._path, name), expected, _describe(value))
        return value

    def non_negative_number(self, name: str, default: object = _MISSING) -> float:
        value = self.get(name, default)
        if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value < 1e12:
            expected = "a number of at least 0"
            raise PlanFormatError(self._join(self._path, name), expected, _describe(value))
        return float(value)

    def enum_value(self, name: str, choices: type[E]) -> E:
        value = self.get(name)
        for choice in choices:
            if choice.value == value:
                return choice
        allowed = ", ".join(str(choice.value) for choice in choices)
        raise PlanFormatError(self._join(self._path, name), f"one of {allowed}", _describe(value))

    def rows(
        self, name: str, parse: Callable[[object, str], T], default: object = _MISSING
    ) -> tuple[T, ...]:
        value = self.get(name, default)
        path = self._join(self._path, name)
        if not isinstance(value, list | tuple):
            raise PlanFormatError(path, "a list", _describe(value))
        return tuple(parse(row, f"{path}[{index}]") for index, row in enumerate(value))


def _describe(value: object) -> str:
    text = repr(value)
    return text if len(text) <= 60 else f"{text[:57]}..."
