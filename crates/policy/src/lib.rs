//! Traffic decisions: admission, fairness, target choice, request records and retries.
