"""Seeds that failed in the past, with the cause of each."""

#: Seeds to run with the default settings and the basic kinds of faults. A change to this list of
#: kinds changes what a seed draws; the tests that docs/FAULT-SOAK.md names cover the cases.
REGRESSIONS = {
    103: "a truncated stream for which no other server was found got a refusal after its head",
    301: "a stream that another server failed to resume got that server's response after its head",
}
