"""Builders of packets, frames, heartbeats and settings files of nodes."""

import json
from struct import pack
from typing import Any

from attrs import evolve

from cumindrift.address import Endpoint
from cumindrift.steering.agent.heartbeat import Heartbeat
from cumindrift.steering.frame import ForwardedPacket, FrameKind, service_digest

SYN, ACK, FIN, RST, BOUNCED = 1, 128, 8, 4, 2
SERVICE = 'kaynti'
SERVICE_ADDRESS = Endpoint('198.18.0.1', 443)
URGENT_ADDRESS = Endpoint('198.18.0.1', 8443)
BALANCER_IP = '10.1.0.10'
AGENT_IP = '10.1.0.13'
TARGET_SEQUENCE = 7000


def client_packet(
    flags: int,
    *,
    port: int = 40001,
    sequence: int = 100,
    acknowledged: int = 0,
    payload: bytes = b'',
    service_port: int = SERVICE_ADDRESS.port,
) -> bytes:
    """Returns a packet of the client at `port`."""
    return (
        pack(
            '>IIHBBH4sH4sII',
            0,
            0xA1B2C3D5,
            len(payload),
            flags,
            0,
            port,
            bytes((198, 18, 0, 1)),
            service_port,
            bytes((100, 64, 0, 7)),
            sequence,
            acknowledged,
        )
        + payload
    )


def target_packet(
    flags: int,
    *,
    port: int = 40001,
    sequence: int = TARGET_SEQUENCE,
    payload: bytes = b'',
) -> bytes:
    """Returns a packet of the target to the client at `port`."""
    return (
        pack(
            '>IIHBBH4sH4sII',
            0,
            0x55,
            len(payload),
            flags,
            0,
            SERVICE_ADDRESS.port,
            bytes((100, 64, 0, 7)),
            port,
            bytes((198, 18, 0, 1)),
            sequence,
            101,
        )
        + payload
    )


def bounced(octets: bytes) -> bytes:
    """Returns a packet as a target bounces it."""
    flags = bytes((octets[10] | BOUNCED,))
    return b'\1\2\3\4' + octets[4:10] + flags + octets[11:]


def flow_key(port: int = 40001) -> bytes:
    """Returns the flow key of the client at `port`."""
    return client_packet(SYN, port=port)[12:24]


def heartbeat(**changes: Any) -> Heartbeat:
    """Returns a heartbeat of a warm target that accepts flows."""
    plain = Heartbeat(
        target_id='i-1',
        service=SERVICE,
        packets=Endpoint('10.1.0.13', 8165),
        is_draining=False,
        slots=7,
        cold_s=0.0,
        sequence=5,
        incarnation=1_000_000,
    )
    return evolve(plain, **changes)


def forwarded(
    octets: bytes, kind: FrameKind, **changes: Any
) -> ForwardedPacket:
    """Returns a client's packet forwarded by the balancer."""
    plain = ForwardedPacket(
        kind,
        BALANCER_IP,
        octets,
        manifest_version=3,
        service_digest=service_digest(SERVICE),
        sender_ip=BALANCER_IP,
    )
    return evolve(plain, **changes)


def opening(port: int = 40001, **changes: Any) -> ForwardedPacket:
    """Returns a forwarded SYN with two more candidates."""
    changes.setdefault('candidate_ips', ('10.1.0.14', '10.1.0.15'))
    return forwarded(client_packet(SYN, port=port), FrameKind.OPEN, **changes)


def agent_ip(number: int) -> str:
    """Returns the address of agent `number`."""
    return f'10.1.1.{number}'


def node_file(**changes: Any) -> str:
    """Returns the settings file of an agent's host, as TOML."""
    fields = {
        'node_name': 'side-hel-a-1',
        'role': 'agent',
        'machine_class': 'side',
        'ip': '10.1.0.13',
        'zone': 'hel-a',
        'internal_port_range': [7720, 7735],
        'seed_addrs': ['10.1.0.10:8166'],
        'bootstrap': True,
        'heartbeat_ms': 1200,
        'app': '10.1.0.13:8165',
        'service': SERVICE,
        **changes,
    }
    lines = [
        f'{name} = {json.dumps(content)}'
        for name, content in fields.items()
        if content is not None
    ]
    lines.extend(
        (
            '[listen_addrs]',
            'datagram_addr = "10.1.0.13:8172"',
            'outbound = "10.1.0.13:8162"',
            'ready_addr = "10.1.0.13:8167"',
            'control = "10.1.0.13:8166"',
            '[bounds]',
            'grace_s = 6',
            'not_known_yet = 1',
            '[platform]',
            'address = "10.200.1.7:8169"',
        )
    )
    return '\n'.join(lines)
