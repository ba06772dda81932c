"""Runs all benches with a results file but capacity; each prints its table."""

import subprocess
import sys

MODULES = ("datapath", "ledger", "admission", "tablesync", "policies")


def main() -> None:
    """Run the benches one after another, each in its own process."""
    for name in MODULES:
        print(f"== {name}", flush=True)
        subprocess.run([sys.executable, "-m", f"bench.{name}"], check=True)


if __name__ == "__main__":
    main()
