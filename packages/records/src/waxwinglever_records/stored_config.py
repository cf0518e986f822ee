"""Creates and edits the stored configuration of a tenant."""

import copy
import datetime
import json

import attrs

from waxwinglever_model import exceptions
from waxwinglever_model import identifiers
from waxwinglever_records import config
from waxwinglever_records import schemas

# A writer whose response was lost looks for its own entry in the history, so
# the history must be longer than the number of writes by others during one
# call; 6,900 writes a day are about 5 a minute.
MAX_HISTORY_ENTRIES = 100
MAX_HISTORY_TEXT_CHARACTERS = 500


def parse_stored_config(text: str) -> schemas.StoredConfig:
    """Returns the stored value in `text` without checking its documents.

    Raises:
      InvalidInput: The text is not a valid value.
    """
    return schemas.structure(schemas.load_json(text), schemas.StoredConfig)


def editable_documents(value: schemas.StoredConfig) -> dict[int, dict]:
    """Returns copies of all documents of a value, by schema version.

    Raises:
      InvalidInput: A document has an unknown schema version, so that it can't
        be edited together with the others.
    """
    documents = {}
    for key, document in value.documents.items():
        if key not in {str(version) for version in config.READABLE_VERSIONS}:
            raise config.unknown_version_error(
                f"{schemas.ROOT}.documents", key, config.READABLE_VERSIONS
            )
        documents[int(key)] = copy.deepcopy(document)
    return documents


def check_documents(documents: dict[int, dict], generation: int) -> str:
    """Checks the documents of one generation and returns their tenant.

    Args:
      documents: Documents by schema version; their generations are ignored.
      generation: The generation that the documents will get.

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
        # Otherwise only the readers of one schema version would treat a zone
        # as out of service.
        if other.zones != first.zones:
            raise exceptions.InvalidInput(
                f"{path}.zones: differ from those of the other documents",
                "list the same zones, with the same states, in all documents",
            )
    return first.tenant


def make_next_value(
    current_text: str | None,
    documents: dict[int, dict],
    author: str,
    message: str,
) -> str:
    """Returns the text of the stored value for the next generation.

    Args:
      current_text: The current value, or None if there is none.
      documents: Documents by schema version; they get the next generation.
      author: Who makes the change.
      message: Reason for the change.

    Raises:
      InvalidInput: A document, the current value, the author or the message is
        invalid, or the new value is too large.
    """
    current = (
        None if current_text is None else parse_stored_config(current_text)
    )
    generation = 1 if current is None else current.generation + 1
    check_documents(documents, generation)
    for field, history_text in (("author", author), ("message", message)):
        check_history_text(field, history_text)
    now = datetime.datetime.now(datetime.timezone.utc)
    entry = schemas.HistoryEntry(
        generation=generation,
        time=now.isoformat(timespec="milliseconds"),
        author=author,
        message=message,
        nonce=identifiers.new_id(),
    )
    history = () if current is None else current.history
    value = schemas.StoredConfig(
        generation=generation,
        documents={
            str(version): {**document, "generation": generation}
            for version, document in sorted(documents.items())
        },
        history=(*history, entry)[-MAX_HISTORY_ENTRIES:],
    )
    text = json.dumps(attrs.asdict(value))
    # Raises InvalidInput if the value is over the size limit.
    parse_stored_config(text)
    return text


def check_history_text(field: str, text: str) -> None:
    """Raises InvalidInput for a text that is not allowed in the history."""
    if len(text) > MAX_HISTORY_TEXT_CHARACTERS or not text.isprintable():
        raise exceptions.InvalidInput(
            f"{field}: too long or not printable",
            f"use one line of up to {MAX_HISTORY_TEXT_CHARACTERS} characters",
        )
