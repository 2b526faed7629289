/** A job as the rule checker knows it from outside. */
import type { Instant, JobSpec } from '@tealdock/wire';

/** What users were answered about a job, and what ran of it; null is not yet. */
export interface ObservedJob {
  spec: JobSpec;
  submittedAt: Instant;
  firstStartedAt: Instant | null;
  /** The first request since the last answer. */
  unansweredSince: Instant | null;
  /** Since when a machine that fits has had free capacity without a break. */
  leftWaitingSince: Instant | null;
  accepted: boolean;
  /** `done` or `aborted`, as a user was first told. */
  finalStatus: string | null;
  /** When a user was first told that it is cancelled. */
  cancellationConfirmedAt: Instant | null;
  /** When its last task was done. */
  doneAt: Instant | null;
  doneTasks: Set<string>;
}
