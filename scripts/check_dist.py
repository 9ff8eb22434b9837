"""Starts controllers and a router from the shipped file and looks at their processes."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fakes.fleet import ROOT, Fleet, Sizes, StepError

PROGRAM = ROOT / "dist" / "sassafrashook"
BYTES_PER_MB = 1e6
PAGE_BYTES = 4096


def read_parents():
    """Return the parent's process id by process id, of all processes that can be read."""
    parents = {}
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                fields = (entry / "stat").read_text().rpartition(")")[2].split()
            except OSError:
                continue
            parents[int(entry.name)] = int(fields[1])
    return parents


def check_process(process):
    """Check that a process is the one that was started, and has no child.

    :returns: its resident memory, MB.
    """
    pid = process.popen.pid
    children = [child for child, parent in read_parents().items() if parent == pid]
    if children:
        raise StepError(f"{process.name} has children: {children}")
    program = (Path("/proc") / str(pid) / "exe").resolve()
    if program.name != "sassafrashook":
        raise StepError(f"{process.name} is still {program.name}")
    pages = int((Path("/proc") / str(pid) / "statm").read_text().split()[1])
    return pages * PAGE_BYTES / BYTES_PER_MB


def main():
    """Run the check.

    :returns: exit code for the shell.
    """
    with Fleet(Sizes(controllers=3, routers=1, engines=1), program=[str(PROGRAM)]) as fleet:
        try:
            fleet.start()
            fleet.operate("config", "apply", fleet.configuration_file, "--wait")
            fleet.wait_for_upstreams()
            fleet.chat()
            roles = [*fleet.controllers, *fleet.routers]
            sizes = {name: check_process(fleet.processes[name]) for name in roles}
            codes = fleet.stop()
        except StepError as error:
            print(f"FAIL shipped file: {error}")
            fleet.print_logs()
            return 1
    print("shipped file: no child, no waiting parent;", end=" ")
    print(", ".join(f"{name} {size:.0f} MB resident" for name, size in sizes.items()))
    return 1 if any(codes.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
