#!/usr/bin/env python3
"""Counts across a fleet, per second, what its nodes logged: calls, attempts, endings, probes, list answers and lines.

    tools/count-fleet.py LOGS [SECONDS]

LOGS is a folder with a log a node, each line beginning with seconds since the start; the nodes log at debug
(`run = "GLENDECK_LOG=debug exec ..."` in a copy of the deploy file). Below each line: connections and pairs of host
and group that stand, then host:connections/groups, with !n where n broke in that second.
"""
import collections
import pathlib
import re
import sys

LINE = re.compile(r"^(\d+\.\d+) \S+\s+\w+ \S+: (.*)$")


def events(folder):
    found = []
    for log in pathlib.Path(folder).glob("*.log"):
        for line in log.open(errors="replace"):
            if match := LINE.match(line):
                found.append((float(match[1]), log.name, match[2]))
    return sorted(found)


def kind(message):
    outcome = re.search(r"outcome=(\w+)", message)
    if message.startswith("call received"):
        is_returning = "returning=true" in message
        return "call:" + ("at" if "previous_host=Some" in message else "again" if is_returning else "new")
    if message.startswith("attempt ended"):
        return "attempt:" + outcome[1]
    if message.startswith("connection ended"):
        return "end:" + outcome[1]
    for begin, name in (("attempt opened", "attempt"), ("call established", "up"), ("probe finished", "probe"),
                        ("endpoint list received", "list"), ("call rejected", "reject"),
                        ("endpoint list request failed", "list-failed"), ("serving", "start")):
        if message.startswith(begin):
            return name
    return "other"


def main():
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    step = float(sys.argv[2]) if len(sys.argv) > 2 else 1.0
    groups, conns, names = {}, {}, {}
    stands = collections.defaultdict(collections.Counter)
    counts, broke, until = collections.Counter(), collections.Counter(), step

    def show():
        pairs = sum(1 for host in stands.values() for n in host.values() if n > 0)
        print(f"{until - step:6.1f}", " ".join(f"{k}={n}" for k, n in sorted(counts.items())))
        print(f"       stand={len(conns)} pairs={pairs} ", " ".join(
            f"{names[h]}:{sum(stands[h].values())}/{sum(1 for n in stands[h].values() if n > 0)}"
            + (f"!{broke[h]}" if broke[h] else "")
            for h in sorted(stands, key=names.get) if sum(stands[h].values())))
        counts.clear()
        broke.clear()

    for at, node, message in events(sys.argv[1]):
        while at >= until:
            show()
            until += step
        what = kind(message)
        counts[what] += 1
        call, host = re.search(r"call_id=(\d+)", message), re.search(r"host_id=(\d+)", message)
        call, host = call and (node, call[1]), host and host[1]
        if host:
            names.setdefault(host, len(names))
        if what == "list":
            counts["list-lines"] += int(re.search(r"endpoints=(\d+)", message)[1])
        elif what.startswith("call:"):
            group = re.search(r"group_id=(\d+)", message)
            groups[call] = group[1] if group else "0"
        elif what == "up":
            conns[call] = host
            stands[host][groups.get(call)] += 1
        elif what == "start":
            for lost in [known for known in conns if known[0] == node]:
                stands[conns.pop(lost)][groups.get(lost)] -= 1
        elif what.startswith("end:") and call in conns:
            stands[conns.pop(call)][groups.get(call)] -= 1
            broke[host] += what == "end:Broken"
    show()


if __name__ == "__main__":
    main()
