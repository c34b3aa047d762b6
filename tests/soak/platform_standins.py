"""Re-exports the stand-ins of platform/standins, so that names of the platform stay in platform/."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform"))

from standins import customers, statements  # noqa: E402
from standins.callersession import CallerSession, Refused, SessionLost  # noqa: E402
from standins.connections import Promotions, serve_member  # noqa: E402
from standins.databasegroup import Commit, DatabaseGroup  # noqa: E402
from standins.foreignwriter import ForeignWriter  # noqa: E402
from standins.httpserver import Response, serve  # noqa: E402
from standins.objectstore import ObjectStore, Outage  # noqa: E402
from standins.operator import Operator, keep_entries  # noqa: E402

__all__ = [
    "CallerSession",
    "Commit",
    "DatabaseGroup",
    "ForeignWriter",
    "ObjectStore",
    "Operator",
    "Outage",
    "Promotions",
    "Refused",
    "Response",
    "SessionLost",
    "customers",
    "keep_entries",
    "serve",
    "serve_member",
    "statements",
]
