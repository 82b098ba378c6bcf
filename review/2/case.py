# ruff: noqa
"""Changes of the manifest go unheard after a short silence of the store."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig import BOUNDS, Rig, run_case

ROUTE = ('127.198.0.1', 443)
ZONES = ('hel-a', 'esp-b', 'van-c')
APPLY_S = BOUNDS['config_apply_ms'] / 1000
CONTACT_S = BOUNDS['contact_ms'] / 1000
# The store is silent for this long, this long after a change.
SILENT_AFTER_S = 0.29
SILENT_S = 0.22
TRIES = 7

rig = Rig(HERE, dict.fromkeys(ZONES, 'fi-south'))
for number, zone in enumerate(ZONES, 1):
    rig.add_front(number, zone)
for number, service in enumerate(('svc-a', 'svc-b', 'svc-a', 'svc-b'), 1):
    rig.add_side(number, ZONES[number % 3], service)
clients = [rig.add_client(n, zone) for n, zone in enumerate(ZONES, 1)]
version = 3


def put_manifest(service, timeout_ms):
    """Writes a manifest as the administrator does; returns its ack's time."""
    global version
    version += 2
    rig.store.put('config', 'main', {
        'version': version,
        'routes': [{
            'hostname': ROUTE[0], 'path_prefix': f'/{ROUTE[1]}/',
            'service': service, 'route_type': 'safe', 'timeout_ms': timeout_ms,
            'target_latency_ms': 200, 'priority': 2,
        }],
        'services': [
            {'name': 'svc-a', 'warmup_per_s': 10},
            {'name': 'svc-b', 'warmup_per_s': 10},
        ],
        'limits': {'idle_timeout_ms': 12000},
    })  # fmt: skip
    rig.note('manifest-acked', version=version, service=service)
    return rig.now()


async def ask(client, service, acked_s, until_s):
    """Sends requests, each on a flow of its own, and judges who runs them."""
    while rig.now() < until_s:
        how, sent_s, answer = await client.run(ROUTE)
        if answer and answer[2] != service and sent_s > acked_s + APPLY_S:
            rig.breach(
                'CONFIG',
                f'a request sent {sent_s - acked_s:.2f} s after the ack was '
                f'run by {answer[2]}, which the route has left',
            )
        await asyncio.sleep(0.1)


async def play():
    service, other = 'svc-a', 'svc-b'
    timeout_ms = 3000
    for _ in range(TRIES):
        # A change that clients don't see, but after which watches are renewed.
        timeout_ms += 100
        acked_s = put_manifest(service, timeout_ms)
        await asyncio.sleep(SILENT_AFTER_S)
        rig.store.is_silent = rig.trouble
        await asyncio.sleep(SILENT_S)
        rig.store.is_silent = False
        # Longer than `contact_ms`: the store is stable, all are in touch.
        await asyncio.sleep(CONTACT_S + 1)
        service, other = other, service
        acked_s = put_manifest(service, timeout_ms)
        await asyncio.gather(
            *(ask(each, service, acked_s, acked_s + APPLY_S + 4)
              for each in clients)
        )  # fmt: skip
        if rig.breaches:
            return


put_manifest('svc-a', 3000)
run_case(rig, play, ('CONFIG',))
