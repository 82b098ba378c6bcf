"""Puts every module that a node loads at its start into one file.

A node that starts reads some 150 files otherwise, and looks for each in
several folders; `deploy/start.py` reads this one. What is loaded later, and
modules in machine code, come from their own files.
"""

import marshal
import sys
from importlib import import_module
from importlib.machinery import SourceFileLoader
from importlib.util import MAGIC_NUMBER
from pathlib import Path

from start import BUNDLE_PATH, SIZE_DIGITS

ROLES = ('agent', 'balancer')
# What stands before the code in a compiled file: no time, no size.
PYC_HEADER = MAGIC_NUMBER + bytes(12)


def pack_modules() -> bytes:
    """Returns the bundle of all loaded modules that are in Python."""
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


def main() -> None:
    """Loads a node of each role and writes the bundle."""
    sys.path.insert(0, str(Path.cwd()))
    import_module('cumindrift.node')
    for role in ROLES:
        import_module(f'cumindrift.steering.{role}.supervisor')
    Path(BUNDLE_PATH).write_bytes(pack_modules())


if __name__ == '__main__':
    main()
