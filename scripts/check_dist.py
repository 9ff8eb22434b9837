"""Runs controllers and a router from the distribution file and checks their processes."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fakes.fleet import ROOT, ExpectationError, Fleet, FleetSize

PROGRAM = ROOT / "dist" / "sassafrashook"
BYTES_PER_MB = 1e6
PAGE_BYTES = 4096


def read_parent_pids():
    """Return the parent's process id by process id, for all processes that can be read."""
    parent_pids = {}
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                fields = (entry / "stat").read_text().rpartition(")")[2].split()
            except OSError:
                continue
            parent_pids[int(entry.name)] = int(fields[1])
    return parent_pids


def check_process(process):
    """Check that the started process runs the program itself and has no child processes.

    :returns: its resident memory, MB.
    :raises ExpectationError: if it does not.
    """
    pid = process.popen.pid
    children = [child for child, parent in read_parent_pids().items() if parent == pid]
    if children:
        raise ExpectationError(f"{process.name} has child processes: {children}")
    program = (Path("/proc") / str(pid) / "exe").resolve()
    if program.name != "sassafrashook":
        raise ExpectationError(f"{process.name} runs {program.name} instead of sassafrashook")
    pages = int((Path("/proc") / str(pid) / "statm").read_text().split()[1])
    return pages * PAGE_BYTES / BYTES_PER_MB


def main():
    """Start a fleet, send a chat, check the processes and stop them.

    :returns: exit code for the shell.
    """
    with Fleet(FleetSize(controllers=3, routers=1, engines=1), program=[str(PROGRAM)]) as fleet:
        try:
            fleet.start()
            fleet.run_cli_checked("config", "apply", fleet.configuration_file, "--wait")
            fleet.wait_for_upstreams()
            fleet.send_chat()
            names = [*fleet.controllers, *fleet.routers]
            memory_mb = {name: check_process(fleet.processes_[name]) for name in names}
            exit_codes = fleet.stop()
        except ExpectationError as error:
            print(f"FAIL distribution file: {error}")
            fleet.print_logs()
            return 1
    print("distribution file: no child processes and no waiting launcher;", end=" ")
    print(", ".join(f"{name} {size_mb:.0f} MB resident" for name, size_mb in memory_mb.items()))
    return 1 if any(exit_codes.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
