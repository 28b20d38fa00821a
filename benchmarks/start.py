"""Time to ready and memory of a freshly started sidecar.

    python -m benchmarks.start --runs 15 -- .venv/bin/python -m tulipnotch.sidecar

Prints the median and the range of the time from exec to the line that says it serves (ms), and of resident
then (kB).  Several commands, parted by a further `--`, are played in turn: they see the same machine.
"""

from __future__ import annotations

import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

CONFIG = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:9",
    "seed": "1",
    "known": {
        "version": 1,
        "full": True,
        "servers": [
            {"id": f"s-{n}", "addr": f"127.0.0.1:{9_000 + n}", "zone": "a", "kind": "", "cell": 1,
             "state": "active"}
            for n in range(10)
        ],
    },
    "settings": {"lanes": [{"name": "look", "giveUpUs": 1_500_000, "promiseUs": 600_000,
                            "repeat": "read_like"}], "discovery": "on_request"},
}  # fmt: skip


def once(command: list[str], config: Path) -> tuple[float, int]:
    began = time.perf_counter()
    process = subprocess.Popen(
        command, env={**os.environ, "BALANCER_CONFIG": str(config)}, stderr=subprocess.PIPE, text=True
    )
    assert process.stderr is not None
    said = process.stderr.readline()
    took_ms = (time.perf_counter() - began) * 1e3
    if "serves on" not in said:
        raise SystemExit(f"{command} did not serve: {said}")
    status = Path(f"/proc/{process.pid}/status").read_text()
    memory_kb = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS"))
    process.send_signal(signal.SIGKILL)
    process.wait()
    process.stderr.close()
    return took_ms, memory_kb


def main(arguments: list[str]) -> None:
    runs = int(arguments[arguments.index("--runs") + 1]) if "--runs" in arguments[:2] else 15
    commands: list[list[str]] = []
    for each in arguments[arguments.index("--") :]:
        if each == "--":
            commands.append([])
        else:
            commands[-1].append(each)
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "config.json"
        config.write_text(json.dumps(CONFIG))
        seen = [[once(command, config) for command in commands] for _ in range(runs)]
    for index, command in enumerate(commands):
        for name, figures in zip(("ms", "kB"), zip(*[row[index] for row in seen], strict=True), strict=True):
            low, middle, high = min(figures), statistics.median(figures), max(figures)
            print(f"{middle:9.1f} {name} ({low:.1f} to {high:.1f})  {' '.join(command)}")


if __name__ == "__main__":
    main(sys.argv[1:])
