"""Configuration records: schema versions, validation, generations.

Public modules: config, schemas, stored_config.
"""
