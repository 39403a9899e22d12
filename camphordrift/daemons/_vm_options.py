"""The options by which a command finds a VM and proves who asks."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Optional

from cyclopts import Parameter


@Parameter(name="*")
@dataclass(frozen=True)
class VmOptions:
    """Which VM to talk to, and how."""

    #: Address of its operators' port.
    vm: Annotated[
        Optional[str],
        Parameter(help="IP:PORT of the VM's operators' port; else CAMPHORDRIFT_VM is read."),
    ] = None

    #: File with the operator's key.
    key_file: Annotated[
        Optional[Path],
        Parameter(help="File with the operator's key; else CAMPHORDRIFT_OPERATOR_KEY is read."),
    ] = None

    #: Certificates that the VM's one is checked against.
    authorities: Annotated[
        Optional[Path],
        Parameter(help="Speak TLS, and check the VM's certificate against this PEM file."),
    ] = None


#: Options of a command that names none.
NO_OPTIONS = VmOptions()
