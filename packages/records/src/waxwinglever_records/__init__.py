"""Configuration records: schema versions, validation, generations."""
