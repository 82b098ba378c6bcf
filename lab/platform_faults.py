"""Random faults and writes of settings, and the invariants to check."""

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
# Enough for the backoff of the platform's client, a round trip, the rounds of
# the distribution and the transfers.
CONVERGENCE_S = 60.0
MEMBERS_MIN = 9

steps: Registry[Callable[['FaultRun'], None]] = Registry('step of a run')


@define(slots=True, eq=False)
class FaultRun:
    """A fleet under faults, with the versions seen and the writes' outcomes."""

    fleet: Fleet
    random: Random
    accepted_version: int = 0
    highest_versions: dict[str, int] = field(factory=dict)
    counts: Counter[str] = field(factory=Counter)

    def step(self) -> None:
        """Does one random step, runs the fleet and checks its versions."""
        name = self.random.choice(steps.names())
        self.counts[name] += 1
        steps.get(name)(self)
        is_long = self.random.random() < LONG_SHARE
        self.fleet.run(LONG_STEP_S if is_long else STEP_S)
        self.check()

    def check(self) -> None:
        """Requires that no process has gone back to an older version."""
        for process in self.fleet.alive():
            name = process.me.name
            require(
                process.version >= self.highest_versions.get(name, 0),
                'settings-version-goes-up',
                process=name,
            )
            self.highest_versions[name] = process.version

    def finish(self) -> None:
        """Ends all faults and requires that the fleet converges.

        All processes must have the same version, and none older than the last
        accepted one.
        """
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
        """Writes the next version, as the administration API would.

        With `replicates` the writer then replicates it; once that is
        acknowledged, the version counts as accepted.
        """
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
    """One process writes settings, or two write at the same time."""
    for _ in range(run.random.choice((1, 1, 2))):
        run.write(run.random.choice(run.fleet.alive()), replicates=True)


@steps.register('write without hand-over')
def write_and_pause(run: FaultRun) -> None:
    """A process writes settings but does not replicate them."""
    run.write(run.random.choice(run.fleet.alive()), replicates=False)


@steps.register('kill')
def kill_process(run: FaultRun) -> None:
    """Kills a process, an active feeder if there is one."""
    if len(run.fleet.alive()) > MEMBERS_MIN:
        among = run.fleet.feeders() or run.fleet.alive()
        run.random.choice(among).is_dead = True
        run.fleet.share_view()


@steps.register('join')
def join_process(run: FaultRun) -> None:
    """Adds a process, whatever faults are present."""
    run.fleet.join()
    run.fleet.share_view()


@steps.register('pause')
def pause_process(run: FaultRun) -> None:
    """Pauses a process, or resumes it if it is paused."""
    process = run.random.choice(run.fleet.alive())
    process.is_paused = not process.is_paused


@steps.register('cut')
def cut_half(run: FaultRun) -> None:
    """Partitions two data centres from the others and the platform."""
    run.fleet.cut(set(run.random.sample([f'dc-{n}' for n in range(4)], 2)))


@steps.register('heal')
def heal_cut(run: FaultRun) -> None:
    """Ends the partition."""
    run.fleet.heal()


@steps.register('platform fault')
def break_platform(run: FaultRun) -> None:
    """Makes the platform fail, slow, lose answers or corrupt them."""
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
    """Ends the platform's faults."""
    run.fleet.model.faults = PlatformFaults()


def fault_run(seed: int, member_count: int, loss_share: float) -> FaultRun:
    """Returns a run with a new fleet."""
    fleet = Fleet(member_count, seed, loss_share, double_share=0.05)
    return FaultRun(fleet, Random(seed))
