/** Read-only interfaces through which the parts of a term access it. */
import type { Instant } from '@tealdock/wire';
import type { LiveJob } from '../jobs/live-job.js';
import type { Machine } from '../machines/machine.js';

/** Identity and progress of a term. */
export interface TermStatus {
  /** Identifies the term to workers and the state service. */
  readonly fencingToken: number;
  /** When this process won the election, on its monotonic clock. */
  readonly electedAt: Instant;
  /** True once the stored state has been read. */
  readonly stateLoaded: boolean;
  /** True once leadership is lost. The term must make no more decisions or writes. */
  readonly closed: boolean;
}

/** Read-only view of a term's live jobs and machines. */
export interface TermView extends TermStatus {
  /** Live jobs by identifier, in the order in which they became known. */
  readonly jobs: ReadonlyMap<string, LiveJob>;
  /** Machines by identifier, in the order in which they became known. */
  readonly machines: ReadonlyMap<string, Machine>;
}
