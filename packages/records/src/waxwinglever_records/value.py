"""Writes the store's value for one tenant."""

import copy
import datetime
import json

import attrs

from waxwinglever_model import exceptions
from waxwinglever_model import identifiers
from waxwinglever_records import config
from waxwinglever_records import schemas

# A lost answer is resolved from the history, so it must outlast the writes of
# others during one call; 6,900 writes a day are 5 a minute.
MAX_HISTORY = 100
MAX_NOTE_CHARACTERS = 500


def parse(text: str) -> schemas.Value:
    """Returns the value in `text` without a check of its documents.

    Raises:
      InvalidInput: The text is not a value.
    """
    return schemas.structure(schemas.load_json(text), schemas.Value)


def documents_of(value: schemas.Value) -> dict[int, dict]:
    """Returns copies of all documents of a value by schema version.

    Raises:
      InvalidInput: A document has a schema version that is not known, so it
        can't be edited together with the others.
    """
    documents = {}
    for key, document in value.documents.items():
        if key not in {str(version) for version in config.READABLE}:
            raise config.unknown_version(
                f"{schemas.ROOT}.documents", key, config.READABLE
            )
        documents[int(key)] = copy.deepcopy(document)
    return documents


def check_documents(documents: dict[int, dict], generation: int) -> str:
    """Checks the documents of one generation and returns their tenant.

    Args:
      documents: By schema version; their generations are not looked at.
      generation: The generation that they are to have.

    Raises:
      InvalidInput: A document is invalid, or their tenants or zones differ.
    """
    if not documents:
        raise exceptions.InvalidInput(
            f"{schemas.ROOT}.documents: empty", "give at least one document"
        )
    parsed_documents = []
    for version, document in documents.items():
        path = f"{schemas.ROOT}.documents.{version}"
        content = document
        if isinstance(document, dict):
            content = {**document, "generation": generation}
        parsed = config.parse_document(content, path)
        if parsed.schema_version != version:
            raise exceptions.InvalidInput(
                f"{path}.schema_version: {parsed.schema_version} differs from"
                f" {version}",
                f"use {version}",
            )
        parsed_documents.append(parsed)
    first = parsed_documents[0]
    for other in parsed_documents[1:]:
        path = f"{schemas.ROOT}.documents.{other.schema_version}"
        if other.tenant != first.tenant:
            raise exceptions.InvalidInput(
                f"{path}.tenant: {other.tenant!r} differs from"
                f" {first.tenant!r}",
                "apply the documents of each tenant by themselves",
            )
        # Otherwise a zone would be out for the readers of one version only.
        if other.zones != first.zones:
            raise exceptions.InvalidInput(
                f"{path}.zones: not the zones of the other documents",
                "list the same zones and states in all documents",
            )
    return first.tenant


def next_value(
    current_text: str | None,
    documents: dict[int, dict],
    author: str,
    message: str,
) -> str:
    """Returns the store's value for the next generation.

    Args:
      current_text: The present value, or None.
      documents: By schema version; they get the next generation.
      author: Who makes the change.
      message: Why.

    Raises:
      InvalidInput: A document, the present value or the new size is invalid.
    """
    current = None if current_text is None else parse(current_text)
    generation = 1 if current is None else current.generation + 1
    check_documents(documents, generation)
    for field, note in (("author", author), ("message", message)):
        check_note(field, note)
    now = datetime.datetime.now(datetime.timezone.utc)
    entry = schemas.HistoryEntry(
        generation=generation,
        time=now.isoformat(timespec="milliseconds"),
        author=author,
        message=message,
        nonce=identifiers.new_id(),
    )
    history = () if current is None else current.history
    value = schemas.Value(
        generation=generation,
        documents={
            str(version): {**document, "generation": generation}
            for version, document in sorted(documents.items())
        },
        history=(*history, entry)[-MAX_HISTORY:],
    )
    text = json.dumps(attrs.asdict(value))
    # Refuses a value over the size limit.
    parse(text)
    return text


def check_note(field: str, note: str) -> None:
    """Raises InvalidInput for a text that the history can't hold."""
    if len(note) > MAX_NOTE_CHARACTERS or not note.isprintable():
        raise exceptions.InvalidInput(
            f"{field}: too long, or not printable",
            f"use one line of up to {MAX_NOTE_CHARACTERS} characters",
        )
