"""Runs the cases of a system test and prints one result line for each."""

import sys
import traceback


def check(condition, what):
    """Fails the running case unless `condition` holds."""
    if not condition:
        raise AssertionError(what)


def check_equal(actual, expected, what):
    """Fails the running case when two values differ."""
    check(actual == expected, f"{what}: expected {expected!r}, saw {actual!r}")


def run_cases(cases):
    """Runs functions as test cases; returns the exit code for the process."""
    failed = 0
    for case in cases:
        name = case.__name__
        try:
            case()
            print(f"ok {name}", flush=True)
        except Exception as error:  # any exception fails the case; the other cases still run
            failed += 1
            reason = " ".join(str(error).split()) or type(error).__name__
            print(f"not ok {name} {reason}", flush=True)
            traceback.print_exc(file=sys.stdout)
    return 1 if failed else 0
