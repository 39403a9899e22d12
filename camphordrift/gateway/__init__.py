"""The HTTP API for callers: authentication, request bodies, deadlines, responses and errors."""

from camphordrift.gateway._active_requests import ActiveRequest, ActiveRequests
from camphordrift.gateway._app import gateway_app
from camphordrift.gateway._attempt_policy import (
    AttemptPolicy,
    BudgetedAttemptPolicy,
    FailedAttempt,
)
from camphordrift.gateway._bodies import BodyMemory
from camphordrift.gateway._context import AdmissionGate, GatewayContext, GatewayLimits
from camphordrift.gateway._generation import GenerationRunner, GenerationSummary
from camphordrift.gateway._lengths import estimate_tokens, prefix_block_hashes
from camphordrift.gateway._output import AnswerMismatchError, OutputAssembler, OutputProgress
from camphordrift.gateway._request_recorder import RequestEnd, RequestRecorder
from camphordrift.gateway._server_selector import ServerSelector
from camphordrift.gateway._service_calls import ServiceCaller, ServiceRequest

__all__ = [
    "ActiveRequest",
    "ActiveRequests",
    "AdmissionGate",
    "AnswerMismatchError",
    "AttemptPolicy",
    "BodyMemory",
    "BudgetedAttemptPolicy",
    "FailedAttempt",
    "GatewayContext",
    "GatewayLimits",
    "GenerationRunner",
    "GenerationSummary",
    "OutputAssembler",
    "OutputProgress",
    "RequestEnd",
    "RequestRecorder",
    "ServerSelector",
    "ServiceCaller",
    "ServiceRequest",
    "estimate_tokens",
    "gateway_app",
    "prefix_block_hashes",
]
