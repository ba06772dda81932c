"""The two clients of the platform that every process has."""

from collections.abc import Callable

import trio

from masticdrum.model.platform import InstancesListed, ObjectAnswer
from masticdrum.model.settings import AgentSettings, EntrySettings
from masticdrum.shell.instanceclient import InstanceClient
from masticdrum.shell.objectclient import ObjectClient


class PlatformClients:
    """The object API and the instance list, set up from a program's settings."""

    def __init__(
        self,
        nursery: trio.Nursery,
        submit: Callable[[ObjectAnswer | InstancesListed], None],
        settings: EntrySettings | AgentSettings,
    ) -> None:
        timeouts = settings.platform
        self.objects = ObjectClient(
            nursery, submit, settings.object_api, timeout_s=timeouts.call_s
        )
        self.instances = InstanceClient(
            submit,
            settings.instance_list,
            every_s=timeouts.instances_every_s,
            timeout_s=timeouts.call_s,
        )
