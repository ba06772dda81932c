"""Runs every measurement but the capacity page's; each prints its table."""

import subprocess
import sys

MODULES = ("datapath", "ledger", "admission", "tablesync", "policies")


def main() -> None:
    """Run one measurement after the other, each as a process of its own."""
    for name in MODULES:
        print(f"== {name}", flush=True)
        subprocess.run([sys.executable, "-m", f"bench.{name}"], check=True)


if __name__ == "__main__":
    main()
