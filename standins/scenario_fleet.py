"""Fleet whose connections all pass through the fault proxy."""

from citronport.scheduler import ownership
from standins import caller
from standins import fleet
from standins import processes
from standins import proxy
from standins import scenario_models

PROXY_OFFSET = 5
"""Added to the second octet of a real address to get the proxy's address."""

NO_LISTENER_REPLY = (
    f"HTTP/1.1 {caller.STATUS_NO_LISTENER} Nobody listens\r\n"
    "Content-Length: 2\r\nConnection: close\r\n\r\n{}"
).encode()
"""Reply of the proxy in place of a refused connection."""


class ProxiedFleet(fleet.Fleet):
    """Publishes the proxy's addresses in place of the real ones.

    Args:
        layout: description of the fleet.
        running: starts the processes.
        links: the proxy.
    """

    def __init__(
        self,
        layout: fleet.Layout,
        running: processes.Processes,
        links: proxy.Proxy,
    ) -> None:
        super().__init__(layout, running)
        self.links = links
        self._listen("platform", self.platform, (fleet.PLATFORM_PORT,))
        for endpoint in self.endpoints:
            address = endpoint["address"]
            self._listen(endpoint["name"], address, (fleet.ENDPOINT_PORT,))
        for instance in self.instances:
            self._listen(
                instance["name"],
                instance["address"],
                (fleet.CALLER_PORT, fleet.PEER_PORT),
            )
            links.register_source(instance["address"], instance["name"])

    def run_instance(self, name: str, settings_file: str) -> None:
        """Start the process of an instance."""
        self.running.start(name, "standins", "instance", settings_file)

    def get_published_address(self, address: str) -> str:
        """Return the proxy's address for a real address."""
        first, second, *rest = address.split(".")
        return ".".join([first, str(int(second) + PROXY_OFFSET), *rest])

    def expand_names(self, words: tuple[str, ...]) -> list[str]:
        """Return node names; expand group names and resolve roles."""
        groups = {
            "entries": [i["name"] for i in self.instances],
            "endpoints": [e["name"] for e in self.endpoints],
        }
        return [
            self.resolve(name)
            for word in words
            for name in groups.get(word, [word])
        ]

    def resolve(self, name: str) -> str:
        """Return the instance for "owner/ENDPOINT" or "other/ENDPOINT".

        "owner" is the instance that owns the endpoint according to the
        published instance list, "other" some instance that does not.
        Other names are returned as they are.
        """
        role, _, endpoint = name.partition("/")
        if not endpoint:
            return name
        members = {
            i["name"]: ownership.Member(
                name=i["name"], data_centre=i["data_centre"]
            )
            for i in self.instances
            if i["state"] == "in"
        }
        centre = next(
            e["data_centre"] for e in self.endpoints if e["name"] == endpoint
        )
        owner = ownership.choose_owner(endpoint, centre, members)
        if role == "owner" and owner is not None:
            return owner
        return next(n for n in reversed(members) if n != owner)

    def get_address(self, name: str) -> str:
        """Return the "ip:port" at which callers reach an instance."""
        address = self.get_published_address(self.get_real_address(name))
        return f"{address}:{fleet.CALLER_PORT}"

    def get_real_address(self, name: str) -> str:
        """Return the address that an instance itself listens at."""
        return next(i for i in self.instances if i["name"] == name)["address"]

    def edit(self, edit: scenario_models.Edit) -> None:
        """Apply an operator's edit and publish the result."""
        if edit.instance:
            _set_state(self.instances, edit.instance, edit.state)
            self.publish_instances()
            return
        if edit.older:
            self.republish_previous_catalogue()
            return
        if edit.data_centre:
            _set_state(self.data_centres, edit.data_centre, edit.state)
        if edit.endpoint:
            _set_state(self.endpoints, edit.endpoint, edit.state)
        if edit.add_entry:
            self.entries.append(edit.add_entry)
        if edit.remove_entry:
            gone = edit.remove_entry
            self.entries = [e for e in self.entries if e["name"] != gone]
        if edit.raw is not None:
            self.versions[fleet.PATH_CATALOGUE] += 1
            self._put(fleet.PATH_CATALOGUE, edit.raw)
            return
        self.publish_catalogue()

    def _listen(self, name: str, address: str, ports: tuple[int, ...]) -> None:
        for port in ports:
            self.links.listen(
                (self.get_published_address(address), port),
                name,
                (address, port),
                NO_LISTENER_REPLY if port == fleet.CALLER_PORT else b"",
            )


def _set_state(items: list[dict], name: str, state: str) -> None:
    next(item for item in items if item["name"] == name)["state"] = state
