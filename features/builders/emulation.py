"""Builders of experiments for the emulator."""

import json
from pathlib import Path
from typing import Any

from cumindrift.outcome import Done
from lab.emulator.experiment import Experiment, read_experiment
from lab.emulator.play import known_choices

EXPERIMENTS = Path('lab/experiments')


def load_experiment(name: str) -> Experiment:
    """Returns one of the experiments of the repository."""
    outcome = read_experiment(EXPERIMENTS / f'{name}.json', known_choices())
    assert isinstance(outcome, Done), outcome
    return outcome.content


def experiment_text(**changes: Any) -> str:
    """Returns the text of a small experiment, with changes."""
    plain = {
        'name': 'small',
        'classes': [{'name': 'watch', 'rate_per_s': 20}],
        'faults': [{'kind': 'power-off', 'at_s': 2}],
    }
    return json.dumps({**plain, **changes})


def text_with(key: str, **changes: Any) -> str:
    """Returns an experiment whose first class or fault has changes."""
    plain = json.loads(experiment_text())
    first = {**plain[key][0], **changes}
    return experiment_text(**{key: [first]})
