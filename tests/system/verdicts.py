"""Runs the cases of a system test and prints one verdict line for each."""

import sys
import traceback


def check(condition, what):
    """Fails the running case when `condition` does not hold."""
    if not condition:
        raise AssertionError(what)


def check_equal(seen, expected, what):
    """Fails the running case when two values differ."""
    check(seen == expected, f"{what}: expected {expected!r}, saw {seen!r}")


def run_cases(cases):
    """Runs functions as test cases; returns the process' exit code."""
    failed = 0
    for case in cases:
        name = case.__name__
        try:
            case()
            print(f"ok {name}", flush=True)
        except Exception as fault:  # a case may fail in any way; the others still run
            failed += 1
            reason = " ".join(str(fault).split()) or type(fault).__name__
            print(f"not ok {name} {reason}", flush=True)
            traceback.print_exc(file=sys.stdout)
    return 1 if failed else 0
