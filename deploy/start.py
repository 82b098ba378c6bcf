"""Starts a node with modules from the bundle that `deploy/build` wrote."""

import os
import sys
from importlib.machinery import ModuleSpec, SourcelessFileLoader

BUNDLE_PATH = 'target/node.bundle'
# The bundle begins with the size of its index, in this many digits.
SIZE_DIGITS = 8


class BundleLoader(SourcelessFileLoader):
    """Loads one module from the bundle."""

    def __init__(self, name: str, path: str, code: bytes) -> None:
        """Takes the compiled module in the format of a .pyc file."""
        super().__init__(name, path)
        self.code = code

    def get_data(self, path: str) -> bytes:
        """Returns the compiled module and drops it, as it is read once."""
        code = self.code
        self.code = b''
        return code


class BundleFinder:
    """Import finder for the bundle; other modules use Python's finders."""

    def __init__(self, file: int) -> None:
        """Reads the index of an open bundle."""
        self.file = file
        self.parts = {}
        size = int(os.pread(file, SIZE_DIGITS, 0))
        start = SIZE_DIGITS + size
        for line in os.pread(file, size, SIZE_DIGITS).decode().splitlines():
            name, kind, origin, part_size = line.split('\t')
            self.parts[name] = (kind == 'package', origin, start, part_size)
            start += int(part_size)

    def find_spec(
        self,
        name: str,
        path: object = None,
        target: object = None,
    ) -> ModuleSpec | None:
        """Returns the spec of a module; None if it is not in the bundle."""
        found = self.parts.get(name)
        if found is None:
            return None
        is_package, origin, start, size = found
        code = os.pread(self.file, int(size), start)
        loader = BundleLoader(name, origin, code)
        spec = ModuleSpec(name, loader, origin=origin, is_package=is_package)
        spec.cached = origin
        spec.has_location = True
        if is_package:
            spec.submodule_search_locations.append(origin.rpartition('/')[0])
        return spec


if __name__ == '__main__':
    sys.path[0] = ''
    sys.meta_path.insert(0, BundleFinder(os.open(BUNDLE_PATH, os.O_RDONLY)))
    from cumindrift.node import main

    sys.exit(main())
