"""Stand-ins for the store, servers and clients, and the start of the project's own processes.

They use the standard library alone and speak what PROTOCOL.md says. Where a page is silent they
behave like a sound server, client or store.
"""
