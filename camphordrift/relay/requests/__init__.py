"""Carries out the requests of callers, from admission to the end of the response.

May hold the exchange with one caller and the attempts on servers; decisions about placement belong
to :mod:`camphordrift.relay.scheduling`. Imports all other parts of the relay.
"""

from camphordrift.relay.requests._admission import Admission
from camphordrift.relay.requests._crash_checks import CrashChecks
from camphordrift.relay.requests._engine_inspection import EngineInspector
from camphordrift.relay.requests._relay_metrics import RelayMetrics
from camphordrift.relay.requests._request_handler import RequestHandler
from camphordrift.relay.requests._request_reports import RequestReports
from camphordrift.relay.requests._reservations import ReservationManager
from camphordrift.relay.requests._routing_state import RoutingState
from camphordrift.relay.requests._sender import Sender
from camphordrift.relay.requests._server_calls import ServerCalls
from camphordrift.relay.requests._server_connector import ServerConnector

__all__ = [
    "Admission",
    "CrashChecks",
    "EngineInspector",
    "RelayMetrics",
    "RequestHandler",
    "RequestReports",
    "ReservationManager",
    "RoutingState",
    "Sender",
    "ServerCalls",
    "ServerConnector",
]
