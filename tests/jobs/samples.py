"""Sample jobs and engines."""

import banyanbank_base as base
import banyanbank_jobs as jobs

ACCOUNT = base.AccountId("account")


def find_services(item: jobs.ItemProgress) -> tuple[str, ...]:
    """Finds the service of all sample engines for each item."""
    del item
    return ("engines",)


def make_item(
    name: str, prefix: str = "", length_hint: int = 0
) -> jobs.JobItem:
    return jobs.JobItem(
        item=name,
        path="/route/x",
        headers=(),
        body=b"body of " + name.encode(),
        tokens=100,
        prefix=prefix,
        length_hint=length_hint,
    )


def make_job(
    name: str,
    *items: jobs.JobItem,
    model: str = "",
    least_version: int = 0,
    due_at: float = 10.0,
    is_single_version: bool = False,
) -> jobs.Job:
    return jobs.Job(
        job=name,
        account=ACCOUNT,
        host="host.example",
        route="/route/",
        items=items or (make_item("i1"), make_item("i2")),
        accepted_at=0.0,
        due_at=due_at,
        give_up_at=40.0,
        max_attempts=3,
        model=model,
        least_version=least_version,
        is_single_version=is_single_version,
    )


def make_result(item: str, text: str = "text") -> jobs.ItemResult:
    return jobs.ItemResult(item, jobs.ItemOutcome.COMPLETED, text, (1,), "s")


def make_engine(
    name: str,
    slots: int = 2,
    is_ready: bool = True,
    loading: tuple[str, ...] = (),
    service: str = "engines",
    **versions: int,
) -> jobs.EngineView:
    return jobs.EngineView(
        endpoint=base.EndpointId(name),
        service=service,
        slots=slots,
        versions=versions,
        is_ready=is_ready,
        loading=frozenset(loading),
    )
