"""Bundles all Python modules that a node imports at start into one file.

Otherwise a starting node reads some 150 files and searches several folders
for each. `deploy/start.py` reads the bundle. Modules that are imported later
and extension modules are loaded from their own files.
"""

import marshal
import sys
from importlib import import_module
from importlib.machinery import SourceFileLoader
from importlib.util import MAGIC_NUMBER
from pathlib import Path

from start import BUNDLE_PATH, SIZE_DIGITS

ROLES = ('agent', 'balancer')
# The header of a .pyc file; modification time and size are zero.
PYC_HEADER = MAGIC_NUMBER + bytes(12)


def pack_modules() -> bytes:
    """Returns the bundle of all imported modules with Python source."""
    index = []
    code = []
    for name, module in sorted(sys.modules.items()):
        spec = getattr(module, '__spec__', None)
        if spec is None or not isinstance(spec.loader, SourceFileLoader):
            continue
        octets = PYC_HEADER + marshal.dumps(spec.loader.get_code(name))
        kind = 'package' if spec.submodule_search_locations else 'module'
        index.append(f'{name}\t{kind}\t{spec.origin}\t{len(octets)}\n')
        code.append(octets)
    head = ''.join(index).encode()
    size = f'{len(head):0{SIZE_DIGITS}}'.encode()
    return b''.join((size, head, *code))


def write_bundle(octets: bytes) -> None:
    """Replaces the bundle; a node that starts meanwhile reads either one."""
    bundle = Path(BUNDLE_PATH)
    written = bundle.with_suffix('.new')
    written.write_bytes(octets)
    written.replace(bundle)


def main() -> None:
    """Imports the modules of both roles and writes the bundle."""
    sys.path.insert(0, str(Path.cwd()))
    import_module('cumindrift.node')
    for role in ROLES:
        import_module(f'cumindrift.steering.{role}.supervisor')
    write_bundle(pack_modules())


if __name__ == '__main__':
    main()
