"""Runs all features and prints the summary line that CI reads.

Scenarios listed in KNOWN-RED.txt may fail: these failures are printed and
counted as skipped. Any other failure fails the run.
"""

import sys
from pathlib import Path

from behave.configuration import Configuration
from behave.model import Scenario
from behave.runner import Runner

_KNOWN_RED = Path('KNOWN-RED.txt')
_MARK = 'scenario: '


def known_red_names() -> set[str]:
    """Returns the scenario names that KNOWN-RED.txt lists."""
    if not _KNOWN_RED.exists():
        return set()
    lines = _KNOWN_RED.read_text('utf-8').splitlines()
    return {
        line.removeprefix(_MARK).strip()
        for line in lines
        if line.startswith(_MARK)
    }


def run_features() -> tuple[list[Scenario], bool]:
    """Runs all features.

    Returns their scenarios and whether the run ended without being aborted.
    """
    runner = Runner(Configuration(['features', '--format=progress3']))
    runner.run()
    scenarios = [
        scenario
        for feature in runner.features
        for scenario in feature.walk_scenarios()
    ]
    return scenarios, not runner.aborted


def is_failed(scenario: Scenario) -> bool:
    """Returns whether a scenario failed or has undefined steps."""
    return scenario.status.has_failed() or scenario.status.name == 'undefined'


def main() -> int:
    """Returns 0 if only scenarios listed in KNOWN-RED.txt failed."""
    scenarios, has_ended = run_features()
    known = known_red_names()
    failed = [scenario.name for scenario in scenarios if is_failed(scenario)]
    others = [name for name in failed if name not in known]
    passed = sum(scenario.status.name == 'passed' for scenario in scenarios)
    for name in failed:
        kind = 'known red' if name in known else 'FAILED'
        sys.stdout.write(f'{kind}: {name}\n')
    if not has_ended or not passed:
        others.append('the run was aborted')
    skipped = len(failed) - len(others)
    sys.stdout.write(
        f'\n{passed} passed, {len(others)} failed, {max(skipped, 0)} skipped\n',
    )
    return 1 if others else 0


if __name__ == '__main__':
    sys.exit(main())
