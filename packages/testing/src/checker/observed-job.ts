/** A job as the rule checker sees it from outside the controllers. */
import type { Instant, JobSpec } from '@tealdock/wire';

/** What replies to users and runs of tasks have shown of a job; null means not yet. */
export interface ObservedJob {
  spec: JobSpec;
  submittedAt: Instant;
  firstStartedAt: Instant | null;
  /** When the first request since the last reply that confirms the job was sent. */
  unansweredSince: Instant | null;
  /** Since when the job could have run on a machine with free capacity, without a break. */
  leftWaitingSince: Instant | null;
  accepted: boolean;
  /** `done` or `aborted`, as a user was last told. */
  finalStatus: string | null;
  /** When a reply first confirmed that the job is cancelled. */
  cancellationConfirmedAt: Instant | null;
  /** When its last task was done. */
  doneAt: Instant | null;
  doneTasks: Set<string>;
}
