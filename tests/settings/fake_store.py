"""A store in memory that answers at once, as the operators' tool needs it."""

from returns.result import Failure, Success

from beryltrack.platform.messages import (
    ErrorKind,
    ObjectList,
    PlatformError,
    PlatformObject,
)


class FakeStore:
    """Objects with versions; `fault` fails each call that the test names."""

    def __init__(self, instances=()):
        self.revision = 0
        self.objects = {}
        self.instances = tuple(instances)
        self.faults = {}

    def fail(self, call, kind=ErrorKind.REFUSED):
        self.faults[call] = Failure(PlatformError(kind, "fault of the test"))

    async def get(self, path):
        return self.faults.get("get") or Success(self.objects.get(path))

    async def list(self, prefix):
        objects = tuple(
            item
            for path, item in sorted(self.objects.items())
            if path.startswith(prefix)
        )
        return self.faults.get("list") or Success(ObjectList(self.revision, objects))

    async def list_instances(self):
        return self.faults.get("list_instances") or Success(self.instances)

    async def put(self, path, value, if_version):
        if "put" in self.faults:
            return self.faults["put"]
        present = self.objects.get(path)
        version = present.version if present else 0
        if version != if_version:
            error = PlatformError(ErrorKind.CONFLICT, "another version", version)
            return Failure(error)
        self.revision += 1
        self.objects[path] = PlatformObject(path, self.revision, value, False)
        return Success(self.revision)
