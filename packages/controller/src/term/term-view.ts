/** What the parts of a term of leadership may read of it. */
import type { Instant } from '@tealdock/wire';
import type { LiveJob } from '../jobs/live-job.js';
import type { Machine } from '../machines/machine.js';

/** Whose term it is and how far it has come. */
export interface TermStatus {
  /** Identifies the term towards workers and the state service. */
  readonly fencingToken: number;
  /** When this process won the election. */
  readonly electedAt: Instant;
  /** True once the stored state has been read. */
  readonly stateLoaded: boolean;
  /** True once leadership is lost: nothing may be decided or written any more. */
  readonly closed: boolean;
}

/** Read-only view of a term's live jobs and machines. */
export interface TermView extends TermStatus {
  /** By identifier, in the order in which they became known. */
  readonly jobs: ReadonlyMap<string, LiveJob>;
  /** By identifier, in the order in which they became known. */
  readonly machines: ReadonlyMap<string, Machine>;
}
