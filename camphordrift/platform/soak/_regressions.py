"""Seeds that failed once, with the cause of each."""

#: Played with the usual settings. A change of the list of faults makes another run of a seed; the
#: tests named in docs/FAULT-SOAK.md keep the cases themselves.
REGRESSIONS = {
    103: "a stream that broke off and found no other server got a refusal after its head",
    301: "a stream whose rest another server failed got that answer after its head",
}
