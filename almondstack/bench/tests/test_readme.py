"""The README's commands, run as they are written."""

import doctest
import fcntl
import re
import subprocess
from pathlib import Path

ROOT = Path(__file__).parents[3]
BLOCK = re.compile(r"^```console\n(.*?)^```", re.MULTILINE | re.DOTALL)
MARK = "=== almondstack step"
LOCK = Path("/tmp/almondstack-readme.lock")
TIMEOUT_S = 120
FLAGS = doctest.ELLIPSIS | doctest.NORMALIZE_WHITESPACE


def read_steps() -> list[tuple[str, str]]:
    """Return the commands of the README, each with the output it shows."""
    steps: list[tuple[str, str]] = []
    for block in BLOCK.findall((ROOT / "README.md").read_text()):
        for line in block.splitlines():
            if line.startswith("$ "):
                steps.append((line[2:], ""))
            else:
                command, shown = steps[-1]
                steps[-1] = (command, shown + line + "\n")
    return steps


def make_script(steps: list[tuple[str, str]]) -> str:
    """Return a shell script that marks where the output of each step begins."""
    lines = ["shopt -s expand_aliases", "trap 'kill $(jobs -p) 2>/dev/null' EXIT"]
    for number, (command, _) in enumerate(steps):
        lines.append(f"echo; echo '{MARK} {number}'")
        lines.append(command)
    return "\n".join(lines)


def test_readme_gives_each_output_it_shows():
    steps = read_steps()
    assert len(steps) >= 10
    with LOCK.open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        done = subprocess.run(
            ["bash", "-c", make_script(steps)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
    outputs = re.split(rf"\n{MARK} \d+\n", done.stdout)[1:]
    assert len(outputs) == len(steps), done.stderr
    checker = doctest.OutputChecker()
    for (command, shown), output in zip(steps, outputs, strict=True):
        if shown:
            got = output.replace("\r", "").strip() + "\n"
            assert checker.check_output(shown, got, FLAGS), f"{command}\n{got}\n{done.stderr}"


def test_checker_would_see_another_output():
    checker = doctest.OutputChecker()
    assert not checker.check_output('{"live":true}\n', '{"live":false}\n', FLAGS)
    assert not checker.check_output("is accepted: yes\n", "is accepted: no\n", FLAGS)
