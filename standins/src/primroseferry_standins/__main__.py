"""Starts one stand-in: ``python -m primroseferry_standins engine --model small``."""

from __future__ import annotations

from typing import Annotated

import typer

from . import directory as directory_standin
from . import engine as engine_standin
from . import kv as kv_standin
from . import link as link_standin
from . import service as service_standin

application = typer.Typer(add_completion=False, help=__doc__)
Port = Annotated[int, typer.Option(help="Port to listen on; 0 selects a free port.")]


@application.command()
def kv(port: Port = 0, control_port: Port = 0) -> None:
    """Run the key-value service."""
    kv_standin.run(port, control_port)


@application.command()
def directory(port: Port = 0, control_port: Port = 0) -> None:
    """Run the directory of instances and clients."""
    directory_standin.run(port, control_port)


@application.command()
def engine(
    model: str,
    port: Port = 0,
    control_port: Port = 0,
    slots: int = 16,
    step_ms: float = 10.0,
    prefill_tokens_per_s: float = 20_000.0,
    cache_blocks: int = 256,
    load_lag_ms: int = 0,
    price: float = 1.0,
    checks_fence: bool = True,
) -> None:
    """Run a model engine that generates deterministic tokens."""
    spec = engine_standin.EngineSpec(
        model=model,
        slots=slots,
        step_ms=step_ms,
        prefill_tokens_per_s=prefill_tokens_per_s,
        cache_blocks=cache_blocks,
        load_lag_ms=load_lag_ms,
        price=price,
        checks_fence=checks_fence,
    )
    engine_standin.run(port, control_port, spec)


@application.command()
def service(port: Port = 0, control_port: Port = 0, work_ms: int = 5) -> None:
    """Run a service with orders, bookings, payments and look-ups."""
    service_standin.run(port, control_port, work_ms)


@application.command()
def link(control_port: Port = 0, delay_ms: float = 55.0) -> None:
    """Run a network link between two regions."""
    link_standin.run(control_port, delay_ms)


if __name__ == "__main__":
    application()
