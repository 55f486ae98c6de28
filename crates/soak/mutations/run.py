#!/usr/bin/env python3
"""Builds each mutation of mutations.toml and plays it with the soak; prints a table of what caught it.

Usage, from the project's root, after `cargo build --release`: crates/soak/mutations/run.py [--seeds 4] [--for 30s] [NAME ...]
Works on a copy in a temporary folder; exit 1 if a mutation is not caught. Needs Python 3.11 and nothing else.
"""
import argparse
import json
import pathlib
import shutil
import subprocess
import sys
import tempfile
import tomllib

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parents[2]
FIRST_SEED = 9000


def changed(text, find, replace, name):
    """The text with one place changed; the place has to be there once."""
    count = text.count(find)
    if count != 1:
        sys.exit(f"{name}: what is to be found stands {count} times, not once")
    return text.replace(find, replace)


def edits(mutation):
    return [[mutation["file"], mutation["find"], mutation["replace"]], *mutation.get("also", [])]


def build(copy, mutation):
    """Builds the mutated program and puts the sources back; whether it was built."""
    originals = {}
    for file, find, replace in edits(mutation):
        path = copy / file
        text = path.read_text()
        originals.setdefault(path, text)
        path.write_text(changed(text, find, replace, mutation["name"]))
    done = subprocess.run(["cargo", "build", "--release", "--quiet", "-p", "paddleproxy-cli"], cwd=copy, capture_output=True, text=True)
    for path, text in originals.items():
        path.write_text(text)
    if done.returncode != 0:
        print(done.stderr[-2000:], file=sys.stderr)
    return done.returncode == 0


def play(program, mutation, arguments, room):
    """Plays it with several seeds at once; the rules that broke, by seed."""
    plays = []
    for row in range(arguments.seeds):
        command = [str(ROOT / "target/release/paddleproxy"), "soak", "--seed", str(FIRST_SEED + row), "--for", arguments.length,
                   "--troubles", mutation.get("troubles", "all"), "--program", str(program), "--out", str(room / str(row)),
                   "--format", "json"]
        plays.append(subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True))
    caught = []
    for process in plays:
        out, _ = process.communicate()
        report = json.loads(out.splitlines()[0]) if out.strip() else {"violations": [{"rule": "no-report"}]}
        caught.append(sorted({violation["rule"] for violation in report["violations"]}))
    return caught


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--for", dest="length", default="30s")
    parser.add_argument("names", nargs="*")
    arguments = parser.parse_args()
    mutations = tomllib.loads((HERE / "mutations.toml").read_text())["mutation"]
    wanted = [one for one in mutations if not arguments.names or one["name"] in arguments.names]
    missed = 0
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder) / "copy"
        shutil.copytree(ROOT, copy, ignore=shutil.ignore_patterns("journal", ".git", "debug"))
        print("| guard taken out | caught in | by |\n| --- | --- | --- |", flush=True)
        for mutation in wanted:
            if not build(copy, mutation):
                print(f"| {mutation['name']} | does not build | |", flush=True)
                missed += 1
                continue
            program = pathlib.Path(folder) / "program"
            shutil.copy2(copy / "target/release/paddleproxy", program)
            caught = play(program, mutation, arguments, pathlib.Path(folder) / "plays")
            hits = [rules for rules in caught if rules]
            rules = sorted({rule for rules in hits for rule in rules})
            missed += not hits
            print(f"| {mutation['name']}: {mutation['guard']} | {len(hits)} of {len(caught)} | {', '.join(rules)} |", flush=True)
    sys.exit(1 if missed else 0)


main()
