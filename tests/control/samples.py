"""Sample declarations and helpers that the tests of control share."""

import banyanbank_control as control

ACCOUNTS = (
    control.Account("acme", weight=2.0),
    control.Account("zeta", requests_per_s=0.5, concurrency=3),
)
KEYS = (
    control.Key("acme-1", "acme", control.hash_secret("s-acme-1")),
    control.Key("zeta-1", "zeta", control.hash_secret("s-zeta-1")),
)
ROUTES = (
    control.Route("/grade", "grade", control.Access.KEYED, ("acme",)),
    control.Route("/orders", "orders", control.Access.KEYED, ("*",)),
    control.Route(
        "/orders/book",
        "orders",
        control.Access.KEYED,
        ("zeta",),
        control.Repeat.NON_IDEMPOTENT,
    ),
    control.Route("/status", "status", control.Access.OPEN),
)
OTHER_ITEMS = (
    control.Model("coach", staleness_bound=2),
    control.Trainer("folds", "acme", "coach", 4, 2, "/grade", 1),
    control.Grant("acme", control.Target.MODEL, "coach"),
    control.Grant("acme", control.Target.ROUTE, "/orders/book"),
    control.Capacity("coach", 1, 4, 1, ("a", "b"), 2.5),
    control.Offer("coach", "a", control.Supply.SAFE, 2.5, 900.0, 3),
    control.Offer(
        "coach", "b", control.Supply.RECLAIMABLE, 0.75, 900.5, 2, 45.0, 0.2
    ),
)
DECLARED = control.Declarations.from_items(
    [*ACCOUNTS, *KEYS, *ROUTES, *OTHER_ITEMS]
)


def send(
    machine: control.ControlMachine, cmd: control.Command
) -> control.Reply:
    """Applies an encoded command at the next index; decodes the reply."""
    payload = control.COMMAND_CODEC.encode(cmd)
    reply = machine.apply(machine.applied + 1, payload)
    return control.REPLY_CODEC.decode(reply)


def make_apply_declarations(
    request_id: str,
    expected_revision: int,
    declared: control.Declarations = DECLARED,
    operator: str = "ann",
) -> control.ApplyDeclarations:
    """Returns a command that applies a set of declarations."""
    return control.ApplyDeclarations(
        request_id, operator, expected_revision, declared
    )


def make_configured_machine() -> control.ControlMachine:
    """Returns a machine with `DECLARED` in force as revision 1."""
    machine = control.ControlMachine()
    send(machine, make_apply_declarations("first", 0))
    return machine
