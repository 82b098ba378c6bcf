"""Faults and writes in random order, and what must hold among them."""

from collections import Counter
from collections.abc import Callable
from random import Random

from attrs import define, field

from cumindrift.invariant import require
from cumindrift.objects.store import StoreCallback
from cumindrift.outcome import Done, Outcome
from cumindrift.registry import Registry
from cumindrift.settings.feeder import SETTINGS_KEY
from cumindrift.settings.tree import Snapshot
from lab.platform_fleet import Fleet, FleetProcess, fleet_tree, record_body
from standin.platform import PlatformFaults

STEP_S = 3.0
LONG_STEP_S = 60.0
LONG_SHARE = 0.05
# Backoff of the platform's client, a round trip, rounds and exchanges.
CONVERGENCE_S = 60.0
MEMBERS_MIN = 9

steps: Registry[Callable[['FaultRun'], None]] = Registry('step of a run')


@define(slots=True, eq=False)
class FaultRun:
    """A fleet, what was accepted in it, and what became of the writes."""

    fleet: Fleet
    random: Random
    accepted_version: int = 0
    highest_versions: dict[str, int] = field(factory=dict)
    counts: Counter[str] = field(factory=Counter)

    def step(self) -> None:
        """Does one random thing, lets time pass and checks."""
        name = self.random.choice(steps.names())
        self.counts[name] += 1
        steps.get(name)(self)
        is_long = self.random.random() < LONG_SHARE
        self.fleet.run(LONG_STEP_S if is_long else STEP_S)
        self.check()

    def check(self) -> None:
        """Requires that no version went down anywhere."""
        for process in self.fleet.alive():
            name = process.me.name
            require(
                process.version >= self.highest_versions.get(name, 0),
                'settings-version-goes-up',
                process=name,
            )
            self.highest_versions[name] = process.version

    def finish(self) -> None:
        """Ends all faults, waits, and requires what was accepted."""
        self.fleet.heal()
        self.fleet.model.faults = PlatformFaults()
        self.fleet.run(CONVERGENCE_S)
        self.check()
        versions = self.fleet.versions()
        require(
            len(versions) == 1 and min(versions) >= self.accepted_version,
            'accepted-settings-in-force-everywhere',
            versions=versions,
            accepted=self.accepted_version,
        )

    def write(self, writer: FleetProcess, *, replicates: bool) -> None:
        """Writes the next version as the administration does."""
        version = writer.version + 1
        tree = fleet_tree(version * 1000 + self.random.randrange(1000))

        def on_replicated(is_replicated: bool) -> None:
            self.counts['handed' if is_replicated else 'not handed'] += 1
            if is_replicated:
                self.accepted_version = max(self.accepted_version, version)

        def on_written(outcome: Outcome) -> None:
            self.counts[outcome.code.name] += 1
            if isinstance(outcome, Done) and replicates and not writer.is_dead:
                writer.distribution.publish(
                    Snapshot(version, tree), on_replicated
                )

        self._store(writer, record_body(version, tree), version, on_written)

    def _store(
        self,
        writer: FleetProcess,
        body: bytes,
        version: int,
        on_written: StoreCallback,
    ) -> None:
        if writer.store is not None:
            write_id = self.random.randbytes(8).hex()
            writer.store.write(
                SETTINGS_KEY,
                body,
                version - 1,
                write_id,
                on_written,
            )


@steps.register('write')
def write_settings(run: FaultRun) -> None:
    """One process writes; two sometimes race each other."""
    for _ in range(run.random.choice((1, 1, 2))):
        run.write(run.random.choice(run.fleet.alive()), replicates=True)


@steps.register('write without hand-over')
def write_and_pause(run: FaultRun) -> None:
    """A writer is paused between its write and the hand-over."""
    run.write(run.random.choice(run.fleet.alive()), replicates=False)


@steps.register('kill')
def kill_process(run: FaultRun) -> None:
    """A process dies, more often than not a feeder."""
    if len(run.fleet.alive()) > MEMBERS_MIN:
        among = run.fleet.feeders() or run.fleet.alive()
        run.random.choice(among).is_dead = True
        run.fleet.share_view()


@steps.register('join')
def join_process(run: FaultRun) -> None:
    """A process joins, whatever is broken at the time."""
    run.fleet.join()
    run.fleet.share_view()


@steps.register('pause')
def pause_process(run: FaultRun) -> None:
    """A process is paused, or a paused one wakes."""
    process = run.random.choice(run.fleet.alive())
    process.is_paused = not process.is_paused


@steps.register('cut')
def cut_half(run: FaultRun) -> None:
    """Two data centres are cut from the others and the platform."""
    run.fleet.cut(set(run.random.sample([f'dc-{n}' for n in range(4)], 2)))


@steps.register('heal')
def heal_cut(run: FaultRun) -> None:
    """The cut ends."""
    run.fleet.heal()


@steps.register('platform fault')
def break_platform(run: FaultRun) -> None:
    """The platform goes down, slow, or loses answers."""
    run.fleet.model.faults = run.random.choice(
        (
            PlatformFaults(is_down=True),
            PlatformFaults(slow_s=2.0),
            PlatformFaults(loses_answers=True),
            PlatformFaults(garbles=True),
        ),
    )


@steps.register('platform back')
def restore_platform(run: FaultRun) -> None:
    """The platform works again."""
    run.fleet.model.faults = PlatformFaults()


def fault_run(seed: int, member_count: int, loss_share: float) -> FaultRun:
    """Returns a run that is ready to step."""
    fleet = Fleet(member_count, seed, loss_share, double_share=0.05)
    return FaultRun(fleet, Random(seed))
