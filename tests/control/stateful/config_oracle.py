"""Oracle of the configuration: a model in plain lists, dicts and sets."""

import attrs
import banyanbank_control as control

ACCOUNTS = (control.Account("a"), control.Account("b"))
ROUTES = (
    control.Route("/open", "s", control.Access.OPEN),
    control.Route("/keyed", "s", control.Access.KEYED, ("*",)),
)


def key(number: int, alias: str = "") -> control.Key:
    """Returns a numbered key; an alias changes its id but not its hash."""
    account = "ab"[number % 2]
    digest = control.hash_secret(f"secret-{number}")
    return control.Key(f"k{number}{alias}", account, digest)


def declared(bound: int, keys: tuple[control.Key, ...]) -> control.Declarations:
    """Returns declarations that differ in a staleness bound and keys."""
    model = control.Model("m", staleness_bound=bound)
    return control.Declarations.from_items([*ACCOUNTS, *ROUTES, model, *keys])


@attrs.define
class ConfigOracle:
    """Expected contents by revision, with operator and request id of each."""

    contents: list[control.Declarations] = attrs.Factory(
        lambda: [control.Declarations()]
    )
    authors: list[tuple[str, str]] = attrs.Factory(lambda: [("", "")])
    withdrawn_at: dict[str, float] = attrs.Factory(dict)
    withdrawn_hashes: set[str] = attrs.Factory(set)
    first_replies: dict[str, tuple[control.Command, control.Reply]] = (
        attrs.Factory(dict)
    )

    @property
    def revision(self) -> int:
        """Revision in force."""
        return len(self.contents) - 1

    @property
    def keys(self) -> dict[str, control.Key]:
        """Keys in force."""
        return {item.key_id: item for item in self.contents[-1].keys}

    def check(
        self, cmd: control.Command, reply: control.Reply, now: float
    ) -> None:
        """Checks a reply against the expected outcome, and records it."""
        first_seen = self.first_replies.get(cmd.request_id)
        if first_seen is not None and first_seen[0] == cmd:
            assert reply == first_seen[1], "A retry got a different reply."
            return
        if first_seen is not None:
            assert isinstance(reply, control.Rejected)
            return
        self.first_replies[cmd.request_id] = (cmd, reply)
        content = self._expected_content(cmd)
        if content is None:
            assert isinstance(reply, control.Rejected), reply
        elif isinstance(cmd, control.ApplyDeclarations):
            self._check_apply(cmd, reply, content, now)
        else:
            self._check_accepted(cmd, reply, content, now)

    def _expected_content(
        self, cmd: control.Command
    ) -> control.Declarations | None:
        """Returns the requested content; None if it must be rejected."""
        current = self.contents[-1]
        match cmd:
            case control.CreateKey(key=new):
                hashes = {item.secret_sha256 for item in current.keys}
                is_taken = (
                    new.key_id in self.keys or new.secret_sha256 in hashes
                )
                if is_taken or self._is_withdrawn(new) or not current.accounts:
                    return None
                items = [*current.items(), new]
                return control.Declarations.from_items(items)
            case control.WithdrawKey(key_id=key_id):
                if key_id not in self.keys and key_id not in self.withdrawn_at:
                    return None
                kept = [i for i in current.keys if i.key_id != key_id]
                return current.with_keys(tuple(kept))
            case control.ApplyDeclarations(declared=new):
                return new if new.keys else new.with_keys(current.keys)
        raise AssertionError(cmd)

    def _is_withdrawn(self, new: control.Key) -> bool:
        return (
            new.key_id in self.withdrawn_at
            or new.secret_sha256 in self.withdrawn_hashes
        )

    def _check_apply(
        self,
        cmd: control.ApplyDeclarations,
        reply: control.Reply,
        content: control.Declarations,
        now: float,
    ) -> None:
        is_unchanged = content == self.contents[-1]
        revisions_behind = self.revision - cmd.expected_revision
        if revisions_behind and not (revisions_behind == 1 and is_unchanged):
            assert isinstance(reply, control.RevisionConflict), reply
            author = self.authors[cmd.expected_revision + 1]
            winner = (reply.winner_operator, reply.winner_request_id)
            assert winner in (author, self.authors[-1]), reply
            return
        if not is_unchanged and any(
            self._is_withdrawn(item) for item in cmd.declared.keys
        ):
            assert isinstance(reply, control.Rejected), reply
            return
        keys_by_hash = {
            item.secret_sha256: item for item in self.contents[-1].keys
        }
        if any(
            keys_by_hash.get(item.secret_sha256, item) != item
            for item in cmd.declared.keys
        ):
            assert isinstance(reply, control.Rejected), reply
            return
        self._check_accepted(cmd, reply, content, now)

    def _check_accepted(
        self,
        cmd: control.Command,
        reply: control.Reply,
        content: control.Declarations,
        now: float,
    ) -> None:
        assert isinstance(reply, control.ConfigAccepted), reply
        if content == self.contents[-1]:
            assert reply.revision == self.revision
            return
        kept = {item.key_id for item in content.keys}
        for removed_key in self.contents[-1].keys:
            if removed_key.key_id not in kept:
                self.withdrawn_at[removed_key.key_id] = now
                self.withdrawn_hashes.add(removed_key.secret_sha256)
        self.contents.append(content)
        self.authors.append((cmd.operator, cmd.request_id))
        assert reply.revision == self.revision, "Revisions differ."
