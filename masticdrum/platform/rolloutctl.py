"""``masticdrum-rollout``: orders roll-outs, shows where they stand, withdraws them."""

import sys
from collections.abc import Awaitable, Callable
from typing import NoReturn

import click
import trio

from masticdrum.core.addresses import is_ipv4_socket_address
from masticdrum.core.decoding import Undecodable
from masticdrum.model.platform import ObjectStatus
from masticdrum.model.rollouts import RolloutOrder, RolloutRead
from masticdrum.platform.rolloutorders import (
    Odd,
    OrderRecords,
    RolloutOrders,
    encode_order,
)
from masticdrum.platform.rollouttext import (
    describe_order,
    describe_orders,
    make_value,
)
from masticdrum.platform.store import Store, StoreFailed
from masticdrum.programs.ctloutput import ExitCode, Output

NOT_CHANGED = "the platform's store refused the call, nothing was changed"
UNKNOWN = "the outcome is unknown; the same command may be repeated"
COMMAND_TIMEOUT_S = 20.0  # of all calls together

Command = Callable[[RolloutOrders], Awaitable[None]]


class Context:
    """The options of the command group."""

    def __init__(self, store: str, output: Output) -> None:
        self._store = store
        self.output = output

    def run(self, command: Command, *, changes: bool = False) -> None:
        """Run a command to completion; exit if the store can't be read.

        Until a command that ``changes`` something makes its one change it only reads,
        so an exception of the store says that nothing was changed.
        """

        async def run() -> None:
            store = Store(self._store, lambda how: None)
            with trio.fail_after(COMMAND_TIMEOUT_S):
                await command(RolloutOrders(store))

        try:
            trio.run(run)
        except StoreFailed as error:
            text = f"the platform's store can't be read: {error}"
            self.output.exit(ExitCode.UNREACHABLE, text)
        except trio.TooSlowError:
            code = ExitCode.UNKNOWN if changes else ExitCode.UNREACHABLE
            self.output.exit(code, f"no end after {COMMAND_TIMEOUT_S:g} s")


def check_store(context: click.Context, parameter: click.Parameter, value: str) -> str:
    """Return the store's address, or refuse it."""
    if not is_ipv4_socket_address(value):
        raise click.BadParameter(f"{value!r} is not IP:PORT")
    return value


def check_service(
    context: click.Context, parameter: click.Parameter, value: str
) -> str:
    """Return a service's name, or refuse what no object can have as its name."""
    if not value or "/" in value or not value.isprintable():
        raise click.BadParameter(f"{value!r} is no name of a service")
    return value


service_argument = click.argument("service", callback=check_service)


@click.group()
@click.option(
    "--store",
    required=True,
    envvar="MASTICDRUM_STORE",
    callback=check_store,
    help="Address of the platform's store, IP:PORT.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.pass_context
def main(context: click.Context, store: str, as_json: bool) -> None:
    """Order roll-outs, show where they stand, and withdraw them."""
    context.obj = Context(store, Output(as_json))


@main.command("list")
@click.pass_obj
def list_command(context: Context) -> None:
    """List all orders."""

    async def command(orders: RolloutOrders) -> None:
        listed = [
            await orders.read_records(order)
            if not isinstance(order, Odd) or order.name
            else OrderRecords(order)
            for order in await orders.list_orders()
        ]
        value = {"orders": [make_value(records) for records in listed]}
        context.output.show(describe_orders(listed), value)

    context.run(command)


@main.command()
@service_argument
@click.pass_obj
def show(context: Context, service: str) -> None:
    """Show the order for SERVICE, who decides it and how far it is."""

    async def command(orders: RolloutOrders) -> None:
        order = await orders.read(service)
        if order is None:
            context.output.exit(ExitCode.WRONG, f"no order for service '{service}'")
        records = await orders.read_records(order)
        context.output.show(describe_order(records), make_value(records))
        if isinstance(order, Odd):
            sys.exit(ExitCode.WRONG)

    context.run(command)


@main.command()
@service_argument
@click.option("--target", required=True, help="The version to move to.")
@click.option("--duration", type=float, required=True, help="How long, in seconds.")
@click.pass_obj
def start(context: Context, service: str, target: str, duration: float) -> None:
    """Order a roll-out of SERVICE; safe to repeat."""
    output = context.output
    wanted = RolloutOrder(service, target, duration)
    try:
        spec = encode_order(wanted)
    except Undecodable as error:
        output.exit(ExitCode.USAGE, f"not an order: {error}")

    async def command(orders: RolloutOrders) -> None:
        found = await orders.read(service)
        if found is not None:
            exit_as_found(output, wanted, found)
        written = await orders.create(service, spec)
        if written is ObjectStatus.OK:
            output.exit(ExitCode.DONE, describe_accepted(wanted))
        if written is ObjectStatus.REJECTED:
            output.exit(ExitCode.UNREACHABLE, NOT_CHANGED)
        # What stands now tells how the write ended, unless it is still on its way.
        found = await read_after_change(output, orders, service)
        if found is not None:
            exit_as_found(output, wanted, found)
        output.exit(ExitCode.UNKNOWN, UNKNOWN)

    context.run(command, changes=True)


def exit_as_found(
    output: Output, wanted: RolloutOrder, found: RolloutRead | Odd
) -> NoReturn:
    """Exit as the order that stands demands: done if it is the wanted one."""
    if isinstance(found, Odd):
        text = f"refused: an order stands that can't be read: {found.reason}"
        output.exit(ExitCode.CONFLICT, text)
    order, state = found.order, found.state
    if order != wanted:
        text = f"'{order.target}' within {order.duration_s:g} s"
        output.exit(ExitCode.CONFLICT, f"refused: an order stands, to {text}")
    if state is not None and state.is_final:
        text = f"refused: this order has ended as {state}; withdraw it first"
        output.exit(ExitCode.CONFLICT, text)
    output.exit(ExitCode.DONE, describe_accepted(wanted))


def describe_accepted(order: RolloutOrder) -> str:
    """Return one sentence on an order that stands."""
    return (
        f"ordered: '{order.service}' to '{order.target}' within {order.duration_s:g} s"
    )


async def read_after_change(
    output: Output, orders: RolloutOrders, service: str
) -> RolloutRead | Odd | None:
    """Read an order after a write whose outcome is unknown; exit if that fails."""
    try:
        return await orders.read(service)
    except StoreFailed as error:
        output.exit(ExitCode.UNKNOWN, f"{UNKNOWN}: {error}")


@main.command()
@service_argument
@click.pass_obj
def withdraw(context: Context, service: str) -> None:
    """Withdraw the order for SERVICE; safe to repeat."""
    output = context.output

    async def command(orders: RolloutOrders) -> None:
        found = await orders.read(service)
        if found is None:
            text = f"no order for service '{service}', nothing to withdraw"
            output.exit(ExitCode.DONE, text)
        written = await orders.remove(service, found.revision)
        if written in (ObjectStatus.OK, ObjectStatus.MISSING):
            output.exit(ExitCode.DONE, f"withdrawn: the order for '{service}'")
        if written is ObjectStatus.CONFLICT:
            text = "refused, the order has changed meanwhile; show it, then repeat"
            output.exit(ExitCode.CONFLICT, text)
        if written is ObjectStatus.REJECTED:
            output.exit(ExitCode.UNREACHABLE, NOT_CHANGED)
        if await read_after_change(output, orders, service) is None:
            output.exit(ExitCode.DONE, f"withdrawn: the order for '{service}'")
        output.exit(ExitCode.UNKNOWN, UNKNOWN)

    context.run(command, changes=True)


if __name__ == "__main__":
    main()
