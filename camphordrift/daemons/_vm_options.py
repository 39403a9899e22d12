"""Options with the address of a VM and the operator's credentials."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Optional

from cyclopts import Parameter


@Parameter(name="*")
@dataclass(frozen=True)
class VmOptions:
    """Options of all commands that contact a VM."""

    #: Address of the operators' port.
    vm: Annotated[
        Optional[str],
        Parameter(
            help="IP:PORT of the VM's operators' port; by default the value of CAMPHORDRIFT_VM."
        ),
    ] = None

    #: File that contains the operator's key.
    key_file: Annotated[
        Optional[Path],
        Parameter(
            help="File with the operator's key; by default the value of CAMPHORDRIFT_OPERATOR_KEY."
        ),
    ] = None

    #: Trusted authorities for the VM's certificate.
    authorities: Annotated[
        Optional[Path],
        Parameter(help="Use TLS and verify the VM's certificate against this PEM file."),
    ] = None


#: Default options: address and key are read from environment variables.
NO_OPTIONS = VmOptions()
