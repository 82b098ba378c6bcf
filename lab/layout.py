"""Writes the settings files of the demonstration's processes.

The demonstration has three balancers and the targets of the Helsinki
deployment: seven of kaynti and three of asiakirja, spread over the data
centres hel-a, esp-b and van-c.
"""

import json
from pathlib import Path
from random import SystemRandom

from absl import app, flags
from attrs import define, evolve

from cumindrift.address import Endpoint
from cumindrift.document import unstructure
from cumindrift.settings.process import ProcessSettings, TargetSettings
from cumindrift.settings.token import (
    SUPERVISORS,
    TOKEN_BYTES,
    TokenSettings,
    make_token,
)
from cumindrift.settings.tree import DataCentre, Service, Team, Tree

REGION = 'fi-south'
DATA_CENTRES = ('hel-a', 'esp-b', 'van-c')
TEAM = 'todistajat'
ENDPOINT_COUNTS = {'kaynti': 7, 'asiakirja': 3}
SPEEDS = (1.0, 1.0, 2.0, 3.0, 1.0, 2.0, 1.0, 1.0, 2.0, 3.0)
CALLER_IP = '127.0.4.1'
FABRIC = Endpoint('127.0.0.10', 7300)
PLATFORM = Endpoint('127.0.3.1', 7500)
SERVICES = {
    'kaynti': Endpoint('10.20.0.1', 700),
    'asiakirja': Endpoint('10.20.0.2', 700),
}
BALANCER_COUNT = 3
KEY_BYTES = 32
STOP_WITHIN_S = 5.0
# Much longer than the stand-in target's tick, so that different speeds
# show in its figures.
WORK_S = 0.1

_OUT = flags.DEFINE_string('out', 'run', 'Folder for the settings files.')


@define(frozen=True, slots=True)
class TargetSpec:
    """Name, location and speed of one target of the demonstration."""

    name: str
    service: str
    data_centre: str
    ip: str
    speed: float


def target_specs() -> list[TargetSpec]:
    """Returns all targets, assigned to the data centres in turn."""
    specs = []
    for service, count in ENDPOINT_COUNTS.items():
        for number in range(count):
            index = len(specs)
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            specs.append(
                TargetSpec(
                    f'{service}-{data_centre}-{number + 1}',
                    service,
                    data_centre,
                    f'127.0.2.{index + 1}',
                    SPEEDS[index],
                ),
            )
    return specs


def balancer_ip(number: int) -> str:
    """Returns the address of a balancer; numbers start at 1."""
    return f'127.0.1.{number}'


def settings_tree() -> Tree:
    """Returns the settings tree that the demonstration starts with."""
    services = {
        name: Service(ip=endpoint.ip, port=endpoint.port)
        for name, endpoint in SERVICES.items()
    }
    return Tree(
        data_centres={name: DataCentre(REGION) for name in DATA_CENTRES},
        teams={TEAM: Team(services)},
    )


@define(frozen=True, slots=True)
class Secrets:
    """The shared message key and the token settings of one demonstration."""

    key: str
    tokens: tuple[TokenSettings, ...]


def process_settings(secrets: Secrets) -> list[ProcessSettings]:
    """Returns the settings of every process."""
    numbers = range(1, BALANCER_COUNT + 1)
    balancers = [
        _settings(
            'balancer',
            f'balancer-{number}',
            DATA_CENTRES[(number - 1) % len(DATA_CENTRES)],
            balancer_ip(number),
            secrets,
        )
        for number in numbers
    ]
    agents = [
        evolve(
            _settings(
                'agent',
                spec.name,
                spec.data_centre,
                spec.ip,
                secrets,
            ),
            target=TargetSettings(
                team=TEAM,
                service=spec.service,
                http=f'{spec.ip}:8080',
                packets=f'{spec.ip}:7400',
            ),
        )
        for spec in target_specs()
    ]
    return [*balancers, *agents]


def _settings(
    role: str,
    name: str,
    data_centre: str,
    ip: str,
    secrets: Secrets,
) -> ProcessSettings:
    is_balancer = role == 'balancer'
    return ProcessSettings(
        role=role,
        name=name,
        region=REGION,
        data_centre=data_centre,
        peer=f'{ip}:7100',
        admin=f'{ip}:7200',
        keys=(secrets.key,),
        fabric=f'{ip}:7300' if is_balancer else '',
        seeds=tuple(
            f'{balancer_ip(number)}:7100'
            for number in range(1, BALANCER_COUNT + 1)
        ),
        platform=str(PLATFORM),
        tokens=secrets.tokens if is_balancer else (),
        stop_within_s=STOP_WITHIN_S,
    )


def make_secrets(out: Path) -> Secrets:
    """Generates the key and the tokens; writes the tokens to `out`."""
    randomness = SystemRandom()
    tokens = []
    for holder in (SUPERVISORS, TEAM):
        secret, token_settings = make_token(
            holder, randomness.randbytes(TOKEN_BYTES)
        )
        (out / f'{holder}.token').write_text(secret)
        tokens.append(token_settings)
    return Secrets(randomness.randbytes(KEY_BYTES).hex(), tuple(tokens))


def _run(_arguments: list[str]) -> int:
    out = Path(_OUT.value)
    out.mkdir(parents=True, exist_ok=True)
    (out / 'tree.json').write_text(json.dumps(unstructure(settings_tree())))
    for settings in process_settings(make_secrets(out)):
        text = json.dumps(unstructure(settings), indent=2)
        path = out / f'{settings.name}.jsonc'
        path.write_text(f'// {settings.role} of the demonstration\n{text}\n')
    lines = [
        f'--http={spec.ip}:8080 --packets={spec.ip}:7400'
        f' --speed={spec.speed} --work_s={WORK_S}\n'
        for spec in target_specs()
    ]
    (out / 'targets.txt').write_text(''.join(lines))
    return 0


if __name__ == '__main__':
    app.run(_run)
