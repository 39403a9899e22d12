"""The links of this VM to its leader and its followers, over which VMs share what they know."""

from collections.abc import Callable, Iterable
from typing import Optional

from camphordrift.relay.peers._message_link import MessageLink
from camphordrift.relay.peers._peer_messages import Message


class PeerLinks:
    """Sends what this VM learns to all VMs that it is linked to."""

    def __init__(self) -> None:
        self._links: list[MessageLink] = []
        self._greetings: list[Callable[[], Iterable[Message]]] = []

    def add_greeting(self, greeting: Callable[[], Iterable[Message]]) -> None:
        """Adds messages with which each new link begins, as the other VM may not know them."""
        self._greetings.append(greeting)

    def add(self, link: MessageLink) -> None:
        """Starts to share over a link."""
        self._links.append(link)
        for greeting in self._greetings:
            for message in greeting():
                link.send(message)

    def remove(self, link: MessageLink) -> None:
        """Stops to share over a link; unknown links are ignored."""
        if link in self._links:
            self._links.remove(link)

    def send(self, message: Message, source: Optional[MessageLink] = None) -> None:
        """Sends a message over all links but the one over which its content arrived."""
        for link in self._links:
            if link is not source:
                link.send(message)
