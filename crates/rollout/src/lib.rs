//! Decisions on planned version moves: evidence, verdicts, stages, steward and brake.
