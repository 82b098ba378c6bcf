"""Experiments: what an emulation consists of, read from a file."""

from pathlib import Path

from attrs import define, field, fields
from attrs.validators import ge, gt, le

from cumindrift.code import ResultCode
from cumindrift.document import parse_document
from cumindrift.outcome import Done, Refused


@define(frozen=True, slots=True, kw_only=True)
class RequestClass:
    """One kind of request: its rate, its work and what its client accepts.

    `is_long` requests share flows that stay open; others open a flow each.
    Only `is_idempotent` requests are retried after they may have run.
    """

    name: str
    rate_per_s: float = field(validator=gt(0))
    work_ms: float = field(default=30.0, validator=gt(0))
    time_limit_ms: float = field(default=1000.0, validator=gt(0))
    target_latency_ms: float = field(default=200.0, validator=gt(0))
    priority: int = 1
    retries: int = field(default=2, validator=ge(0))
    is_long: bool = False
    is_idempotent: bool = True


@define(frozen=True, slots=True, kw_only=True)
class FaultPlan:
    """A fault: `kind` names a function of `lab/emulator/fault.py`.

    `factor` is how strong it is; the function's text gives its unit.
    """

    kind: str
    at_s: float = field(validator=ge(0))
    for_s: float = field(default=1.0, validator=gt(0))
    count: int = field(default=1, validator=gt(0))
    factor: float = field(default=5.0, validator=gt(0))


@define(frozen=True, slots=True, kw_only=True)
class Experiment:
    """A deployment, its load and its faults.

    Times are in seconds of virtual time. `load` scales the rates of all
    classes. `router` and `queue_order` name entries of registries. With
    `judges_targets`, nodes run as under the contract `health`.
    """

    name: str
    seed: int = 1
    length_s: float = field(default=30.0, validator=gt(0))
    data_centres: int = field(default=3, validator=gt(0))
    balancers: int = field(default=6, validator=gt(0))
    targets: int = field(default=7, validator=gt(0))
    slots: int = field(default=3, validator=gt(0))
    queue_max: int = field(default=12, validator=ge(0))
    # Speeds of the targets, repeated as needed.
    speeds: tuple[float, ...] = (1.0,)
    link_delay_ms: float = field(default=0.5, validator=ge(0))
    client_delay_ms: float = field(default=3.0, validator=ge(0))
    loss_share: float = field(default=0.0, validator=[ge(0), le(1)])
    load: float = field(default=1.0, validator=gt(0))
    router: str = 'steady'
    queue_order: str = 'urgent-first'
    judges_targets: bool = False
    classes: tuple[RequestClass, ...] = ()
    faults: tuple[FaultPlan, ...] = ()

    @property
    def utilisation(self) -> float:
        """Returns the offered work as a share of what the targets can do."""
        speeds = [
            self.speeds[number % len(self.speeds)]
            for number in range(self.targets)
        ]
        offered_ms = sum(
            each.rate_per_s * each.work_ms for each in self.classes
        )
        return offered_ms * self.load / (sum(speeds) * self.slots * 1000)


@define(frozen=True, slots=True)
class Choices:
    """The names that exist for each key that selects an entry of a registry."""

    fault_kinds: tuple[str, ...]
    routers: tuple[str, ...]
    queue_orders: tuple[str, ...]


def read_experiment(path: Path, choices: Choices) -> Done | Refused:
    """Reads an experiment file, which is JSON with comments.

    A refusal names the key and what is allowed there.

    Example: ``{"name": "calm", "classes": [{"name": "a", "rate_per_s": 50}]}``
    """
    outcome = parse_document(path.read_text('utf-8'), Experiment)
    if isinstance(outcome, Refused):
        return _with_allowed(outcome)
    plan = outcome.content
    selected = [
        ('$.router', plan.router, choices.routers),
        ('$.queue_order', plan.queue_order, choices.queue_orders),
    ]
    for number, fault in enumerate(plan.faults):
        place = f'$.faults[{number}].kind'
        selected.append((place, fault.kind, choices.fault_kinds))
    for place, name, allowed in selected:
        if name not in allowed:
            detail = f'unknown {name!r}; allowed: {", ".join(allowed)}'
            return Refused(ResultCode.WRONG_TYPE, place, detail)
    return outcome


def _with_allowed(refused: Refused) -> Refused:
    """Adds the keys that are allowed where an unknown one stands."""
    if refused.code is not ResultCode.UNKNOWN_FIELD:
        return refused
    shape: type = Experiment
    if 'classes' in refused.path:
        shape = RequestClass
    elif 'faults' in refused.path:
        shape = FaultPlan
    allowed = ', '.join(each.name for each in fields(shape))
    return Refused(
        refused.code, refused.path, f'{refused.detail}; allowed: {allowed}'
    )
