"""Builds small supervisor trees with children that can fail."""

from attrs import define, field
from circuits import Event, handler

from cumindrift.supervision import Child, ChildSpec, Supervisor


class count(Event):  # noqa: N801
    """Makes a CountingChild increment its count, or fail."""


@define(eq=False)
class CountingCore:
    """State of counting children, which survives their restarts."""

    counted: int = 0
    built: dict[str, int] = field(factory=dict)
    released: int = 0


class CountingChild(Child):
    """A child that counts in its core and fails on request."""

    def __init__(self, name: str, core: CountingCore) -> None:
        """Records that the child was built."""
        super().__init__(channel=f'counting-{name}')
        self._core = core
        core.built[name] = core.built.get(name, 0) + 1

    def release(self) -> None:
        """Records that the child was released."""
        self._core.released += 1

    @handler('count')
    def _on_count(self, must_fail: bool = False) -> None:
        if must_fail:
            raise RuntimeError('failure requested by the test')
        self._core.counted += 1


def counting_tree(
    core: CountingCore,
    names: tuple[str, ...] = ('only',),
    strategy: str = 'one-for-one',
) -> Supervisor:
    """Returns a supervisor of counting children, with a fixed clock."""
    specs = [
        ChildSpec(name, lambda name=name: CountingChild(name, core))
        for name in names
    ]
    return Supervisor('test', specs, strategy, clock=lambda: 0.0)


def fire_and_settle(root: Supervisor, name: str, *, must_fail: bool) -> None:
    """Fires an event at a child and runs the tree until no event is left."""
    root.fire(count(must_fail), f'counting-{name}')
    while len(root):
        root.flush()
