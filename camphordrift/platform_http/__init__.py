"""HTTP clients of the platform's services: the log and the list of VMs."""

from camphordrift.platform_http._log_transport import HttpLogTransport
from camphordrift.platform_http._vm_list import VmListClient, VmListUnavailableError

__all__ = ["HttpLogTransport", "VmListClient", "VmListUnavailableError"]
