/** A job as the rule checker sees it from outside the controllers. */
import type { Instant, JobSpec } from '@tealdock/wire';

/** State of a job shown by replies to users and runs of tasks; null means not yet known. */
export interface ObservedJob {
  spec: JobSpec;
  submittedAt: Instant;
  firstStartedAt: Instant | null;
  /** When the first request since the last reply that confirms the job was sent. */
  unansweredSince: Instant | null;
  /** Since when the job could have run on a machine with free capacity, without a break. */
  leftWaitingSince: Instant | null;
  accepted: boolean;
  /** `done` or `aborted`, as last reported to a user. */
  finalStatus: string | null;
  /** When a reply first confirmed that the job is cancelled. */
  cancellationConfirmedAt: Instant | null;
  /** When its last task was done. */
  doneAt: Instant | null;
  doneTasks: Set<string>;
}
